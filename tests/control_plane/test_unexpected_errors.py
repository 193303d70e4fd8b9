"""After an unexpected error a control scheduler continues to work or ends its process."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from reedspoke.common.node_settings import NodeSettings
from reedspoke.common.transport import Channel, open_channel
from reedspoke.common.unhandled_errors import unhandled_errors
from reedspoke.control_plane.peers import link as peer_link
from reedspoke.control_plane.peers.messages import DiscoveryLeaseRelease
from reedspoke.control_plane.replication import driver as driver_module
from reedspoke.control_plane.replication.driver import ReplicaDriver
from reedspoke.control_plane.replication.replica import Replica
from tests.control_plane.test_storage_driver import ADDRESS, Surroundings
from tests.control_plane_process.test_peer_transport import TransportNode, with_two_nodes

LIMIT_S = 5.0
FAILING_TICK = 3
TICKS = 10


class FailingSurroundings(Surroundings):
    """Fails at one tick."""

    def __init__(self) -> None:
        self.ticks = 0

    def ticked(self) -> None:
        self.ticks += 1
        if self.ticks == FAILING_TICK:
            raise ZeroDivisionError


def drive(folder: Path, surroundings: Surroundings, until: Callable[[ReplicaDriver], bool]) -> None:
    """Run a driver until the condition holds."""

    async def run() -> None:
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        settings = NodeSettings(
            "core-1", "127.0.0.1", "z", seed_nodes=("127.0.0.1:8146",), bootstrap=True, data_dir=str(folder)
        )
        driver = ReplicaDriver(settings, ADDRESS, surroundings)
        driver.start()
        async with asyncio.timeout(LIMIT_S):
            while not until(driver):
                await asyncio.sleep(0)

    asyncio.run(run())


def test_ticks_continue_after_an_error_in_one_of_them(tmp_path: Path) -> None:
    surroundings = FailingSurroundings()
    before = unhandled_errors.count
    drive(tmp_path, surroundings, lambda driver: surroundings.ticks >= TICKS)
    assert unhandled_errors.count == before + 1


def test_an_error_in_the_replica_ends_the_process(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """The state may be wrong and effects are lost, so the next process restores the state from disk."""
    ended: list[int] = []
    monkeypatch.setattr(driver_module, "end_process", ended.append, raising=False)

    def fail(*_: Any) -> None:
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr(Replica, "handle", fail)
        drive(tmp_path, Surroundings(), lambda driver: bool(ended))
    assert ended[0] == driver_module.REPLICA_FAILED_EXIT


def test_a_link_to_a_peer_continues_after_an_unexpected_error(monkeypatch: pytest.MonkeyPatch) -> None:
    failures = [ZeroDivisionError]

    async def open_or_fail(address: str, timeout: float) -> Channel:
        if failures:
            raise failures.pop()
        return await open_channel(address, timeout)

    monkeypatch.setattr(peer_link, "open_channel", open_or_fail)

    async def scene(first: TransportNode, second: TransportNode) -> None:
        await second.transport.listen()

        def has_come() -> bool:
            first.transport.send(second.address, DiscoveryLeaseRelease(1))
            return bool(second.terms)

        await second.until(has_come)

    with_two_nodes(scene)
