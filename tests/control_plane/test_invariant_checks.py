"""Each invariant check of the control plane detects a violation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any, cast

import pytest
from msgspec import structs

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import WorkerList
from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.delivery.edge_sessions import EdgeSessions
from reedspoke.control_plane.delivery.published_state import PublishedState
from reedspoke.control_plane.peer_exchange import PeerExchange
from reedspoke.control_plane.peers.transport import PeerTransport
from reedspoke.control_plane.quota.service import QuotaService
from reedspoke.control_plane.replication.driver import ReplicaDriver
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.invariants import ReplicaInvariants
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.workers.discovery_lease import DiscoveryLease
from reedspoke.telemetry.invariants import Invariant, monitor
from tests.control_plane.chain_replica import MIDDLE, ChainReplica, entry
from tests.control_plane.test_guards_configuration_publisher import PublisherWorld, play
from tests.control_plane.test_storage_driver import ADDRESS, Surroundings


def broken_by(doing: Callable[[], object]) -> set[Invariant]:
    """The invariants that an action violates."""
    monitor.reset_violations()
    doing()
    return {violation.invariant for violation in monitor.reset_violations()}


def view(number: int) -> View:
    return View(number, (), ())


def committed(sequence: int, document: bytes = b"{}") -> CommittedConfiguration:
    return CommittedConfiguration(sequence, sequence, document, 1)


def test_a_view_number_that_decreases() -> None:
    seen = ReplicaInvariants()
    assert broken_by(lambda: seen.check_after_event(view(4), None, None)) == set()
    assert broken_by(lambda: seen.check_after_event(view(3), None, None)) == {Invariant.VIEW_RISES}


def test_a_committed_sequence_that_decreases() -> None:
    seen = ReplicaInvariants()
    assert broken_by(lambda: seen.check_after_event(None, committed(4), None)) == set()
    assert broken_by(lambda: seen.check_after_event(None, committed(3), None)) == {Invariant.SEQUENCE_RISES}
    assert broken_by(lambda: seen.check_after_event(None, None, None)) == {Invariant.SEQUENCE_RISES}


def test_two_changes_of_one_sequence() -> None:
    held = entry(4)
    same = CommittedConfiguration(4, held.generation, held.document, 1)
    other = structs.replace(same, document=b"another")
    assert broken_by(lambda: ReplicaInvariants().check_after_event(None, same, held)) == set()
    assert broken_by(lambda: ReplicaInvariants().check_after_event(None, other, held)) == {
        Invariant.ONE_CHANGE_A_SEQUENCE
    }


def test_an_acknowledgement_before_the_sync(monkeypatch: pytest.MonkeyPatch) -> None:
    replica = ChainReplica(MIDDLE, held=entry(1))

    def act() -> None:
        replica.register.entry = entry(2)  # as if its store had succeeded
        replica.chain._send_status()

    assert broken_by(act) == {Invariant.ACKNOWLEDGED_IS_SYNCED}


class WithoutMajority:
    """A replica without contact with a majority."""

    def holds_majority(self, now: float) -> bool:
        return False


def test_an_answer_without_a_grant(tmp_path: Path) -> None:
    async def run() -> None:
        settings = NodeSettings("core-1", "127.0.0.1", "z", data_dir=str(tmp_path))
        driver: Any = ReplicaDriver(settings, ADDRESS, Surroundings())
        driver._replica = WithoutMajority()
        for answer in (PutCompleted(1, None), GetCompleted(1, committed(1))):
            assert broken_by(lambda answer=answer: driver._check_grant(answer, 0.0)) == {  # type: ignore[misc]
                Invariant.READ_HAS_GRANT
            }
        refused = PutCompleted(1, ErrorCode.NO_QUORUM, "")
        assert broken_by(lambda: driver._check_grant(refused, 0.0)) == set()

    asyncio.run(run())


def test_state_that_is_confirmed_without_a_grant() -> None:
    async def scene(world: PublisherWorld) -> None:
        world.replica.as_of = 5.0
        world.replica.holds_majority = lambda: False  # type: ignore[method-assign]
        assert broken_by(world.confirmed_as_of) == {Invariant.STATE_HAS_GRANT}

    play(scene)


def test_a_list_that_is_published_without_the_lease() -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        exchange = PeerExchange(
            own_address="127.0.0.1:1",
            published=cast(PublishedState, WithoutWorkers()),
            sessions=cast(EdgeSessions, NoSessions()),
            lease=DiscoveryLease("127.0.0.1:1", loop.time(), fresh_fleet=True, identity=1),
            quota=cast(QuotaService, None),
            transport=cast(PeerTransport, None),
            replica=cast(ReplicaDriver, None),
            on_lease_update=lambda: None,
        )
        unleased = WorkerList((7, 1), ())
        assert broken_by(lambda: exchange.publish_workers(unleased)) == {Invariant.DUTY_HAS_LEASE}

    asyncio.run(run())


class WithoutWorkers:
    """Published state without a worker list."""

    membership = None
    workers = None

    def encoded_workers(self, now: float) -> None:
        return None


class NoSessions:
    """Replacement for the sessions with data plane nodes."""

    def notify_update(self) -> None:
        """Do nothing, as there are no sessions."""
