"""Tests of sessions with data plane nodes over real connections to a transport in this process."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

import pytest

from reedspoke.common.messages import (
    ConfigurationSnapshot,
    ControlMember,
    EvacuationOrders,
    FetchRequest,
    MemberList,
    UnconfirmedResponse,
    Version,
    WatchRequest,
    WatchResponse,
    WorkerEntry,
    WorkerList,
    ZoneOrder,
)
from reedspoke.common.transport import CONNECTION_ENDED, Channel, open_channel
from reedspoke.control_plane.delivery import edge_sessions
from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache
from reedspoke.control_plane.delivery.edge_sessions import EdgeSessions
from reedspoke.control_plane.delivery.membership import Membership
from reedspoke.control_plane.delivery.published_state import PublishedState
from reedspoke.control_plane.peers.messages import PeerHello, PeerMessage, SessionTable
from reedspoke.control_plane.peers.transport import PeerTransport
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.view import Member
from reedspoke.control_plane.tallies.messages import OrderMessage, TallyMessage
from reedspoke.control_plane.workers.worker_list import WorkerListState
from tests.control_plane_process.stand_ins import Answer, configuration_document
from tests.ports import free_port

HOST = "127.0.0.1"
HEARTBEAT_S = 0.3
VIEW = 2
WORKER = WorkerEntry("i-1", "u1", "a:1", "z", "v1", 4, False, 1000.0)


Received = TypeVar("Received")


class ControlSide:
    """The control plane node's side of sessions, without its replica."""

    def __init__(self) -> None:
        self.address = f"{HOST}:{free_port((HOST,))}"
        self.membership = Membership(ControlMember(self.address, "za"), 5.0, 77)
        self.cache = ConfigurationCache()
        self.workers = WorkerListState()
        self.confirmed = True
        self.confirmed_ago_s = 0.0
        self.state = PublishedState(self.cache, self.workers, self.membership, self.confirmed_as_of)
        self.sessions = EdgeSessions("core", self.state, HEARTBEAT_S, self.membership_changed)
        self.peer_messages: list[tuple[str, PeerMessage]] = []
        self.transport = PeerTransport(
            self.address, "za", self.peer_message, self.tally_message, self.sessions
        )

    def tally_message(self, sender: str, message: TallyMessage | OrderMessage) -> None:
        """Fail, as no tally messages are expected."""
        raise AssertionError(message)

    def confirmed_as_of(self) -> float | None:
        """Return the time of the confirmation set by the test."""
        return asyncio.get_running_loop().time() - self.confirmed_ago_s if self.confirmed else None

    def membership_changed(self) -> None:
        """Refresh the list of members and notify the sessions."""
        self.membership.refresh(asyncio.get_running_loop().time())
        self.sessions.notify_update()

    def peer_message(self, sender: str, message: PeerMessage) -> None:
        """Record a message of a peer."""
        self.peer_messages.append((sender, message))

    def commit(self, sequence: int, document: bytes) -> None:
        """Install a committed document and notify the sessions."""
        self.cache.install(self.cache.prepare(CommittedConfiguration(sequence, sequence * 2, document, VIEW)))
        self.sessions.notify_update()

    def publish(self, workers: WorkerList) -> None:
        """Adopt a list of workers and notify the sessions."""
        self.workers.adopt(workers, asyncio.get_running_loop().time())
        self.sessions.notify_update()


class Edge:
    """The data plane node's side."""

    def __init__(self, channel: Channel, name: str) -> None:
        self.channel = channel
        self.name = name
        self.known_versions: dict[str, Version] = {}
        self.request_id = 0

    def watch(self, *, draining: bool = False) -> None:
        """Send a watch."""
        self.request_id += 1
        watch = WatchRequest(self.request_id, self.name, "1", "za", self.known_versions, draining=draining)
        self.channel.send(watch)

    async def versions(self) -> WatchResponse:
        """Receive a `WatchResponse`."""
        answer = await self.channel.receive(Answer)
        assert isinstance(answer, WatchResponse)
        return answer

    async def watch_response(self) -> WatchResponse:
        """Send a watch and receive its response."""
        self.watch()
        return await self.versions()

    async def receive_until_closed(self) -> None:
        """Receive messages until the connection is closed."""
        while True:
            await self.channel.receive(Answer)

    async def fetch(self, source: str, known_version: Version = (0, 0)) -> Answer:
        """Fetch a source and receive the answer."""
        self.channel.send(FetchRequest(source, known_version))
        answer: Answer = await self.channel.receive(Answer)
        return answer


def run_scene(scene: Callable[[ControlSide, Edge], Awaitable[None]]) -> None:
    """Run the scene with both sides connected."""

    async def run() -> None:
        side = ControlSide()
        await side.transport.listen()
        edge = Edge(await open_channel(side.address), "edge-1")
        async with asyncio.timeout(5):
            await scene(side, edge)
        side.transport.close()
        await asyncio.sleep(0)

    asyncio.run(run())


async def timed(awaited: Awaitable[Received]) -> tuple[float, Received]:
    """Await a result, and return the elapsed seconds with it."""
    loop = asyncio.get_running_loop()
    began = loop.time()
    answer = await awaited
    return loop.time() - began, answer


def test_a_watch_with_nothing_new_is_answered_after_the_heartbeat() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        edge.known_versions = (await edge.watch_response()).versions
        took, answer = await timed(edge.watch_response())
        assert HEARTBEAT_S * 0.9 <= took < HEARTBEAT_S * 3
        assert answer.request_id == 2

    run_scene(scene)


def test_a_pending_watch_is_answered_as_soon_as_there_is_an_update() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        edge.known_versions = (await edge.watch_response()).versions
        edge.watch()
        await asyncio.sleep(0.02)
        side.commit(3, configuration_document(6))
        took, answer = await timed(edge.versions())
        assert took < HEARTBEAT_S / 2
        assert answer.versions["configuration"] == (VIEW, 3)
        snapshot = await edge.fetch("configuration")
        assert isinstance(snapshot, ConfigurationSnapshot)
        assert snapshot.document == configuration_document(6)

    run_scene(scene)


def test_an_outdated_node_is_notified_immediately_but_only_once_of_the_same_versions() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        side.commit(3, configuration_document(6))
        took, first = await timed(edge.watch_response())
        assert took < HEARTBEAT_S / 2
        took, again = await timed(edge.watch_response())
        assert took >= HEARTBEAT_S * 0.9, "the same versions must not be exchanged in a tight loop"
        assert again.versions == first.versions
        edge.watch()
        side.commit(4, configuration_document(8))
        took, _ = await timed(edge.versions())
        assert took < HEARTBEAT_S / 2

    run_scene(scene)


def test_a_node_with_newer_versions_is_sent_nothing_older() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        side.commit(3, configuration_document(6))
        side.publish(WorkerList((2, 2), (WORKER,)))
        edge.known_versions = {"configuration": (VIEW, 9), "workers": (8, 1)}
        await edge.watch_response()
        assert side.workers.highest_seen == (8, 1)
        edge.channel.send(FetchRequest("configuration", (VIEW, 9)))
        edge.channel.send(FetchRequest("workers", (8, 1)))
        edge.channel.send(FetchRequest("no such source", (0, 0)))
        assert isinstance(await edge.fetch("members"), MemberList)

    run_scene(scene)


def test_the_remaining_warm_up_time_of_a_worker_decreases() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        side.publish(WorkerList((2, 2), (WORKER,)))
        side.workers.received_at -= 0.4
        answer = await edge.fetch("workers")
        assert isinstance(answer, WorkerList)
        assert 100.0 < answer.workers[0].cold_left_ms <= 600.0

    run_scene(scene)


def test_the_marks_of_a_list_are_sent_with_it() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        marked = WorkerList((2, 2), (WORKER,), (WORKER.instance_id,), (ZoneOrder("za", 3, True),))
        side.publish(marked)
        side.workers.received_at -= 0.4  # so that it is encoded with other warm-up times
        answer = await edge.fetch("workers")
        assert isinstance(answer, WorkerList)
        assert (answer.evacuated, answer.orders) == (marked.evacuated, marked.orders)

    run_scene(scene)


def test_a_node_is_notified_of_orders_on_zones_at_once() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        edge.known_versions = (await edge.watch_response()).versions | {"evacuations": (0, 0)}
        edge.watch()
        await asyncio.sleep(0.02)
        orders = (ZoneOrder("za", 3, True),)
        assert side.state.set_evacuations(orders, (1, 77))
        assert not side.state.set_evacuations(orders, (1, 77))
        side.sessions.notify_update()
        took, answer = await timed(edge.versions())
        assert took < HEARTBEAT_S / 2
        assert answer.versions["evacuations"] == (1, 77)
        assert await edge.fetch("evacuations") == EvacuationOrders((1, 77), orders)

    run_scene(scene)


def test_a_node_of_the_version_before_is_not_notified_of_orders_on_zones() -> None:
    """It would answer each notification at once, as it fetches nothing."""

    async def scene(side: ControlSide, edge: Edge) -> None:
        edge.known_versions = (await edge.watch_response()).versions
        edge.watch()
        await asyncio.sleep(0.02)
        assert side.state.set_evacuations((ZoneOrder("za", 3, True),), (1, 77))
        side.sessions.notify_update()
        took, _ = await timed(edge.versions())
        assert took >= HEARTBEAT_S * 0.5

    run_scene(scene)


def test_unknown_orders_are_not_offered() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        assert "evacuations" not in (await edge.watch_response()).versions

    run_scene(scene)


def test_a_draining_node_is_not_a_member_after_its_session_is_closed() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        await edge.watch_response()
        assert [member.node_name for member in side.membership.members.edges] == ["edge-1"]
        edge.watch(draining=True)
        await asyncio.sleep(0.05)
        edge.channel.close()
        await asyncio.sleep(0.05)
        assert side.membership.members.edges == ()

    run_scene(scene)


def test_a_node_that_loses_its_session_stays_a_member_for_a_while() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        await edge.watch_response()
        edge.channel.close()
        await asyncio.sleep(0.05)
        assert len(side.membership.members.edges) == 1

    run_scene(scene)


def test_sessions_beyond_the_limit_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(edge_sessions, "MAX_SESSIONS", 1)

    async def scene(side: ControlSide, edge: Edge) -> None:
        await edge.watch_response()
        other = Edge(await open_channel(side.address), "edge-2")
        with pytest.raises(CONNECTION_ENDED):
            await other.watch_response()
        await edge.watch_response()

    run_scene(scene)


def test_the_session_of_a_node_that_does_not_read_is_closed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(edge_sessions, "MAX_BACKLOG_BYTES", 1_000_000)

    async def scene(side: ControlSide, edge: Edge) -> None:
        side.commit(3, configuration_document(6, routes=20_000))
        for _ in range(200):
            edge.channel.send(FetchRequest("configuration", (0, 0)))
            await asyncio.sleep(0.001)
        with pytest.raises(CONNECTION_ENDED):
            await edge.receive_until_closed()

    run_scene(scene)


def test_a_response_contains_its_waiting_time_and_the_age_of_its_confirmation() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        edge.known_versions = (await edge.watch_response()).versions
        side.confirmed_ago_s = 0.25
        answer = await edge.watch_response()
        assert answer.wait_s == pytest.approx(HEARTBEAT_S, abs=HEARTBEAT_S / 2)
        assert answer.confirmed_ago_s == pytest.approx(0.25, abs=0.01)

    run_scene(scene)


def test_without_a_majority_a_watch_and_a_fetch_are_answered_as_unconfirmed() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        side.commit(3, configuration_document(6))
        side.publish(WorkerList((2, 2), (WORKER,)))
        side.confirmed = False
        edge.watch()
        answer = await edge.channel.receive(Answer)
        assert isinstance(answer, UnconfirmedResponse)
        assert (answer.request_id, answer.versions["configuration"]) == (1, (VIEW, 3))
        for source in ("configuration", "workers", "members"):
            assert isinstance(await edge.fetch(source), UnconfirmedResponse)

    run_scene(scene)


def test_a_fetch_that_allows_unconfirmed_state_gets_it() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        side.commit(3, configuration_document(6))
        side.confirmed = False
        edge.channel.send(FetchRequest("configuration", allow_unconfirmed=True))
        assert isinstance(await edge.channel.receive(Answer), ConfigurationSnapshot)

    run_scene(scene)


def test_a_pending_watch_is_answered_when_the_majority_is_lost_and_regained() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        side.sessions.check_majority()
        edge.known_versions = (await edge.watch_response()).versions
        edge.watch()
        await asyncio.sleep(0.02)
        side.confirmed = False
        side.sessions.check_majority()
        took, answer = await timed(edge.channel.receive(Answer))
        assert isinstance(answer, UnconfirmedResponse)
        assert took < HEARTBEAT_S / 2
        edge.watch()
        await asyncio.sleep(0.02)
        side.confirmed = True
        side.sessions.check_majority()
        took, answer = await timed(edge.channel.receive(Answer))
        assert isinstance(answer, WatchResponse)
        assert took < HEARTBEAT_S / 2

    run_scene(scene)


def test_an_unconfirmed_response_is_repeated_with_each_heartbeat_only() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        side.confirmed = False
        edge.watch()
        await edge.channel.receive(Answer)
        edge.watch()
        took, _ = await timed(edge.channel.receive(Answer))
        assert took >= HEARTBEAT_S * 0.9

    run_scene(scene)


def test_a_process_suspended_before_its_response_sends_no_state_as_current() -> None:
    """The grant expires while the process is suspended between receiving a watch and answering it."""

    async def scene(side: ControlSide, edge: Edge) -> None:
        edge.known_versions = (await edge.watch_response()).versions
        edge.watch()
        await asyncio.sleep(0.02)
        side.confirmed = False
        side.commit(3, configuration_document(6))
        answer = await edge.channel.receive(Answer)
        assert isinstance(answer, UnconfirmedResponse)

    run_scene(scene)


def test_an_unconfirmed_response_names_other_control_plane_nodes() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        side.membership.set_view((Member("f1", side.address, "za"), Member("f2", "10.0.0.9:7660", "zb")))
        side.confirmed = False
        edge.watch()
        answer = await edge.channel.receive(Answer)
        assert isinstance(answer, UnconfirmedResponse)
        assert answer.control == (ControlMember("10.0.0.9:7660", "zb"),)

    run_scene(scene)


@pytest.mark.parametrize("payload", [b"", b"x", b"\xc1", b"\x91\xa5watch", b"\x92\xa5other\x01"])
def test_a_malformed_message_closes_only_its_own_connection(payload: bytes) -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        bad = await open_channel(side.address)
        bad.send_encoded(payload)
        with pytest.raises(CONNECTION_ENDED):
            await bad.receive(Answer)
        await edge.watch_response()

    run_scene(scene)


def test_messages_of_a_peer_are_handled_with_its_address() -> None:
    async def scene(side: ControlSide, edge: Edge) -> None:
        table = SessionTable((), (1, 1), (1, 2))
        peer = await open_channel(side.address)
        peer.send(PeerHello("10.0.0.9:1", "zb"))
        peer.send(table)
        while not side.peer_messages:
            await asyncio.sleep(0.01)
        assert side.peer_messages == [("10.0.0.9:1", table)]

    run_scene(scene)
