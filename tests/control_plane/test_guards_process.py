"""Guards of the process: as of when the configuration that it has published was certainly the newest."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache, PreparedConfiguration
from reedspoke.control_plane.process import ControlProcess
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from tests.control_plane_process.stand_ins import configuration

FAR_AHEAD_S = 1000.0
SETTINGS = NodeSettings(node_name="m1", ip_address="127.0.0.1", zone="za")
NO_SETTINGS_FILE = Path("/nonexistent/settings.json")


class Documents:
    """In place of the thread that parses documents: each is ready when the test says so."""

    def __init__(self) -> None:
        self._waiting: list[
            tuple[Callable[[], PreparedConfiguration], asyncio.Future[PreparedConfiguration]]
        ] = []

    def call(self, function: Callable[[], PreparedConfiguration]) -> asyncio.Future[PreparedConfiguration]:
        """As `JobThread.call`."""
        future: asyncio.Future[PreparedConfiguration] = asyncio.get_running_loop().create_future()
        self._waiting.append((function, future))
        return future

    async def end_first(self) -> None:
        """The document that came first is ready."""
        function, future = self._waiting.pop(0)
        future.set_result(function())
        await asyncio.sleep(0)


class Driver:
    """In place of the replica."""

    def __init__(self) -> None:
        self.as_of: float | None = asyncio.get_running_loop().time() + FAR_AHEAD_S

    def confirmed_as_of(self) -> float | None:
        """As `ReplicaDriver.confirmed_as_of`."""
        return self.as_of

    def holds_majority(self) -> bool:
        """As `ReplicaDriver.holds_majority`."""
        return self.as_of is not None


class Sessions:
    """In place of the sessions with data plane schedulers."""

    def notify_update(self) -> None:
        """As `EdgeSessions.notify_update`."""


class Process(ControlProcess):
    """The process with nothing around it."""

    def _build(self, settings: NodeSettings) -> None:
        self.documents = Documents()
        self.driver = Driver()
        self._configuration = ConfigurationCache()
        self._documents: Any = self.documents
        self._driver: Any = self.driver
        self._sessions: Any = Sessions()

    def commit(self, sequence: int) -> None:
        """The replica knows this change to be committed."""
        self.deliver(CommittedConfiguration(sequence, sequence, configuration(sequence), 1))

    def confirmed_as_of(self) -> float | None:
        """What is told to data plane schedulers."""
        return self._confirmed_as_of()


def play(scene: Callable[[Process], Awaitable[None]]) -> None:
    async def run() -> None:
        await scene(Process(SETTINGS, NO_SETTINGS_FILE))

    asyncio.run(run())


def test_a_change_that_is_not_published_yet_ends_what_is_confirmed() -> None:
    async def scene(process: Process) -> None:
        process.driver.as_of = 5.0
        assert process.confirmed_as_of() == 5.0
        process.commit(1)
        process.driver.as_of = 9.0
        assert process.confirmed_as_of() == 5.0, "what is published was the newest before the change came"
        await process.documents.end_first()
        assert process.confirmed_as_of() == 9.0

    play(scene)


def test_what_the_replica_does_not_confirm_is_not_confirmed() -> None:
    async def scene(process: Process) -> None:
        assert process.confirmed_as_of() is not None
        process.driver.as_of = None
        assert process.confirmed_as_of() is None
        process.commit(1)
        assert process.confirmed_as_of() is None

    play(scene)


def test_what_was_never_the_newest_known_is_confirmed_as_of_no_time() -> None:
    """As after a start: a change may have been committed long before this process hears of it."""

    async def scene(process: Process) -> None:
        process.commit(1)
        process.driver.as_of = 1.0
        assert process.confirmed_as_of() is None

    play(scene)


def test_after_a_gap_nothing_is_confirmed_before_the_newest_is_published() -> None:
    async def scene(process: Process) -> None:
        process.commit(3)
        assert process.confirmed_as_of() is None
        await process.documents.end_first()
        assert process.confirmed_as_of() == process.driver.as_of

    play(scene)


def test_of_two_changes_the_first_to_be_published_is_an_old_one() -> None:
    async def scene(process: Process) -> None:
        since = process.confirmed_as_of()
        assert since is not None
        process.commit(1)
        process.commit(2)
        process.driver.as_of = since + 1.0
        assert process.confirmed_as_of() == since
        await process.documents.end_first()
        assert process.confirmed_as_of() == since
        await process.documents.end_first()
        assert process.confirmed_as_of() == process.driver.as_of

    play(scene)
