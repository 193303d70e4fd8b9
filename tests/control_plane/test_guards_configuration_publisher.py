"""Tests of the checks in the configuration publisher: when its published configuration is confirmed."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import cast

from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache, PreparedConfiguration
from reedspoke.control_plane.delivery.configuration_publisher import ConfigurationPublisher
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.storage.job_thread import JobThread
from tests.control_plane_process.stand_ins import configuration_document

FAR_AHEAD_S = 1000.0


class Documents:
    """Replaces the thread that parses documents. Each document completes when the test says so."""

    def __init__(self) -> None:
        self._waiting: list[
            tuple[Callable[[], PreparedConfiguration], asyncio.Future[PreparedConfiguration]]
        ] = []

    def call(self, function: Callable[[], PreparedConfiguration]) -> asyncio.Future[PreparedConfiguration]:
        """Queue a function, in place of `JobThread.call`."""
        future: asyncio.Future[PreparedConfiguration] = asyncio.get_running_loop().create_future()
        self._waiting.append((function, future))
        return future

    async def end_first(self) -> None:
        """Complete the first queued function."""
        function, future = self._waiting.pop(0)
        future.set_result(function())
        await asyncio.sleep(0)


class Replica:
    """Replaces the replica's driver."""

    def __init__(self) -> None:
        self.as_of: float | None = asyncio.get_running_loop().time() + FAR_AHEAD_S

    def confirmed_as_of(self) -> float | None:
        """Return the time set by the test."""
        return self.as_of

    def holds_majority(self) -> bool:
        """Return whether the test has set a time."""
        return self.as_of is not None


class PublisherWorld:
    """A publisher with a replica and a document thread controlled by the test."""

    def __init__(self) -> None:
        self.documents = Documents()
        self.replica = Replica()
        self.publisher = ConfigurationPublisher(
            ConfigurationCache(), cast(JobThread, self.documents), self.replica, lambda configuration: None
        )

    def commit(self, sequence: int) -> None:
        """Pass a committed configuration to the publisher."""
        committed = CommittedConfiguration(sequence, sequence, configuration_document(sequence), 1)
        self.publisher.publish(committed)

    def confirmed_as_of(self) -> float | None:
        """Return the time that is reported to data plane nodes."""
        return self.publisher.confirmed_as_of()


def play(scene: Callable[[PublisherWorld], Awaitable[None]]) -> None:
    """Run the scene with a new publisher."""

    async def run() -> None:
        await scene(PublisherWorld())

    asyncio.run(run())


def test_a_committed_change_ends_the_confirmation_until_it_is_published() -> None:
    async def scene(world: PublisherWorld) -> None:
        world.replica.as_of = 5.0
        assert world.confirmed_as_of() == 5.0
        world.commit(1)
        world.replica.as_of = 9.0
        assert world.confirmed_as_of() == 5.0, "the published configuration was the newest before the change"
        await world.documents.end_first()
        assert world.confirmed_as_of() == 9.0

    play(scene)


def test_nothing_is_confirmed_without_confirmation_by_the_replica() -> None:
    async def scene(world: PublisherWorld) -> None:
        assert world.confirmed_as_of() is not None
        world.replica.as_of = None
        assert world.confirmed_as_of() is None
        world.commit(1)
        assert world.confirmed_as_of() is None

    play(scene)


def test_a_configuration_that_was_never_the_newest_known_is_not_confirmed() -> None:
    """After a start, a change may have been committed long before this process receives it."""

    async def scene(world: PublisherWorld) -> None:
        world.commit(1)
        world.replica.as_of = 1.0
        assert world.confirmed_as_of() is None

    play(scene)


def test_nothing_is_confirmed_before_the_newest_configuration_is_published() -> None:
    async def scene(world: PublisherWorld) -> None:
        world.commit(3)
        assert world.confirmed_as_of() is None
        await world.documents.end_first()
        assert world.confirmed_as_of() == world.replica.as_of

    play(scene)


def test_the_first_of_two_committed_changes_is_not_confirmed_when_published() -> None:
    async def scene(world: PublisherWorld) -> None:
        since = world.confirmed_as_of()
        assert since is not None
        world.commit(1)
        world.commit(2)
        world.replica.as_of = since + 1.0
        assert world.confirmed_as_of() == since
        await world.documents.end_first()
        assert world.confirmed_as_of() == since
        await world.documents.end_first()
        assert world.confirmed_as_of() == world.replica.as_of

    play(scene)
