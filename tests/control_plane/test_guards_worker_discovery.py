"""Tests of single checks in the list of workers, worker discovery and the membership."""

from __future__ import annotations

import asyncio

import pytest

from reedspoke.common.messages import ControlMember, WatchRequest, WorkerEntry, WorkerList
from reedspoke.common.node_settings import CloudApi
from reedspoke.control_plane.delivery import membership
from reedspoke.control_plane.delivery.membership import Membership
from reedspoke.control_plane.workers import discovery, worker_list
from reedspoke.control_plane.workers.discovery import WorkerDiscovery
from reedspoke.control_plane.workers.platform_messages import PlatformInstance, PlatformPage
from reedspoke.control_plane.workers.worker_list import WorkerListState

EDGE_TTL_S = 3.0


def _workers(term: int, count: int) -> WorkerList:
    entries = (WorkerEntry(f"i-{number}", "u1", "a:1", "z", "v1", 4, False) for number in range(count))
    return WorkerList((term, 1), tuple(entries))


def test_a_list_that_is_too_long_is_not_adopted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(worker_list, "MAX_WORKERS", 2)
    state = WorkerListState()
    assert not state.adopt(_workers(1, 3), 0.0)
    assert state.current is None
    assert state.adopt(_workers(1, 2), 0.0)


def test_the_highest_observed_version_is_kept() -> None:
    state = WorkerListState()
    state.observe_version((5, 1))
    state.observe_version((3, 9))
    assert state.highest_seen == (5, 1)
    assert state.term_to_exceed(4) == 5


def test_sessions_beyond_the_limit_are_not_members(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(membership, "MAX_EDGES", 1)
    members = Membership(ControlMember("10.0.0.1:1", "za"), EDGE_TTL_S, 77)
    for name in ("e1", "e2"):
        members.update_edge(WatchRequest(1, name, "1", "zx", {}, {}), 0.0)
    members.refresh(0.0)
    assert [edge.node_name for edge in members.members.edges] == ["e1"]


class ExpiringLease:
    """A lease that expires while the platform handles a call."""

    term = 1

    def __init__(self) -> None:
        self.held = True

    def is_held(self, now: float) -> bool:
        """Return whether the lease is still held."""
        return self.held


class Platform:
    """Returns one worker after the lease has expired."""

    def __init__(self, lease: ExpiringLease) -> None:
        self._lease = lease
        self.answered = asyncio.Event()

    async def fetch_page(self, token: str | None) -> PlatformPage:
        """End the lease, and return one page."""
        self._lease.held = False
        self.answered.set()
        return PlatformPage((PlatformInstance("i-1", "u1", "a:1"),))

    def close(self) -> None:
        """Do nothing, as no connection is open."""


def test_a_response_received_after_the_lease_has_expired_is_not_published(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario() -> list[WorkerList]:
        lease = ExpiringLease()
        platform = Platform(lease)
        monkeypatch.setattr(discovery, "PlatformClient", lambda address: platform)
        published: list[WorkerList] = []
        worker_discovery = WorkerDiscovery(
            CloudApi("a:1"),
            lease,  # type: ignore[arg-type]
            WorkerListState(),
            published.append,
            lambda messages: None,
        )
        worker_discovery.check_lease()
        running = asyncio.create_task(worker_discovery.run())
        await platform.answered.wait()
        await asyncio.sleep(0)  # lets the pending call complete
        running.cancel()
        return published

    assert asyncio.run(scenario()) == []
