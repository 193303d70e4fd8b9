"""Sessions with the control plane in virtual time: what is fetched, and how lost sessions are replaced."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from random import Random
from typing import Any

import pytest

from reedspoke.common.messages import (
    CONFIGURATION,
    EVACUATIONS,
    MEMBERS,
    WORKERS,
    ConfigurationSnapshot,
    ControlMember,
    EvacuationOrders,
    FetchRequest,
    MemberList,
    WatchRequest,
)
from reedspoke.data_plane import control_session
from reedspoke.data_plane.session_choice import TARGET_SESSIONS, TARGET_SESSIONS_IN_DOUBT, SessionChoice
from reedspoke.data_plane.subscription import Subscription
from reedspoke.data_plane.watch_session import SessionTimeouts, WatchSession
from tests.data_plane.control_stand_in import IDLE_TIMEOUT_S, NODE_STATE, FakeChannel, FakeControlPlane
from tests.data_plane.test_subscription import ReceivedUpdates, delta, make_subscription, snapshot, workers
from tests.data_plane.virtual_loop import VirtualLoop


@pytest.fixture
def control(monkeypatch: pytest.MonkeyPatch) -> Iterator[FakeControlPlane]:
    control = FakeControlPlane(monkeypatch)
    try:
        yield control
    finally:
        control.close()


@pytest.fixture
def updates(control: FakeControlPlane) -> ReceivedUpdates:
    return control.updates


@pytest.fixture
def subscription(control: FakeControlPlane) -> Subscription:
    return control.subscription


def test_two_sessions_are_open_with_different_nodes(control: FakeControlPlane) -> None:
    assert len(control.open_channels()) == 2
    assert len({channel.address for channel in control.open_channels()}) == 2


def test_first_watch_has_the_node_state_and_versions(control: FakeControlPlane) -> None:
    watch = control.channels[0].last_watch()
    assert (watch.node_name, watch.incarnation, watch.zone, watch.draining) == ("edge-1", "ab12", "za", False)
    assert watch.running == {"i-1": (2, 30)}
    unknown = (0, 0)
    assert watch.versions == dict.fromkeys((CONFIGURATION, WORKERS, MEMBERS, EVACUATIONS), unknown)


def test_newer_sources_are_fetched_and_then_watched(
    control: FakeControlPlane, updates: ReceivedUpdates
) -> None:
    channel = control.channels[0]
    channel.respond(configuration=(3, 0), workers=(1, 2), members=(0, 5))
    assert channel.fetches() == [FetchRequest(CONFIGURATION), FetchRequest(WORKERS), FetchRequest(MEMBERS)]
    channel.deliver(snapshot(3), workers(1, 2), MemberList((0, 5), (), ()))
    assert updates.configurations == [(3, (3, 0))]
    assert updates.workers == [(1, 2)]
    assert channel.last_watch().versions == {
        CONFIGURATION: (3, 0),
        WORKERS: (1, 2),
        MEMBERS: (0, 5),
        EVACUATIONS: (0, 0),
    }
    assert channel.last_watch().request_id == 2


def test_orders_on_zones_are_fetched_before_the_list_to_which_they_apply(
    control: FakeControlPlane, updates: ReceivedUpdates
) -> None:
    """Guards against requests to an evacuated zone by a list that was published before the order."""
    one, two = control.channels
    one.respond(workers=(1, 2), evacuations=(1, 9))
    assert one.fetches() == [FetchRequest(EVACUATIONS), FetchRequest(WORKERS)]
    one.deliver(EvacuationOrders((1, 9), ()), workers(1, 2))
    assert one.last_watch().versions[EVACUATIONS] == (1, 9)
    # The versions of two nodes are compared for equality only, each with what its own session has fetched.
    two.respond(evacuations=(1, 4))
    assert two.fetches() == [FetchRequest(EVACUATIONS)]
    two.deliver(EvacuationOrders((1, 4), ()))
    assert two.last_watch().versions[EVACUATIONS] == (1, 4)


def test_a_node_that_offers_no_orders_is_asked_for_none(control: FakeControlPlane) -> None:
    """It is of the version before, or does not know them yet."""
    channel = control.channels[0]
    channel.respond(evacuations=(1, 9))
    channel.deliver(EvacuationOrders((1, 9), ()))
    channel.respond(configuration=(3, 0))
    assert channel.fetches()[-1] == FetchRequest(CONFIGURATION)
    channel.deliver(snapshot(3))
    assert channel.last_watch().versions[EVACUATIONS] == (1, 9)


def test_two_sessions_do_not_fetch_the_same_version(control: FakeControlPlane) -> None:
    one, two = control.channels
    one.respond(configuration=(3, 0))
    two.respond(configuration=(3, 0))
    assert one.fetches() == [FetchRequest(CONFIGURATION)]
    assert two.fetches() == []
    assert two.last_watch().versions[CONFIGURATION] == (3, 0)


def test_fetch_of_a_failed_session_is_repeated_by_the_other(
    control: FakeControlPlane, updates: ReceivedUpdates
) -> None:
    one, two = control.channels
    one.respond(configuration=(3, 0))
    one.deliver(ConnectionResetError())
    two.respond(configuration=(3, 0))
    assert two.fetches() == [FetchRequest(CONFIGURATION)]
    two.deliver(snapshot(3))
    assert updates.configurations == [(3, (3, 0))]


def test_delta_from_another_base_is_followed_by_a_snapshot_fetch(
    control: FakeControlPlane, updates: ReceivedUpdates
) -> None:
    one = control.channels[0]
    one.respond(configuration=(3, 0))
    one.deliver(snapshot(3))
    one.respond(configuration=(6, 0))
    assert one.fetches()[-1] == FetchRequest(CONFIGURATION, (3, 0))
    one.deliver(delta(2, 6))
    assert one.fetches()[-1] == FetchRequest(CONFIGURATION, (0, 0))
    one.deliver(snapshot(6))
    assert updates.configurations == [(3, (3, 0)), (6, (6, 0))]
    assert isinstance(one.sent[-1], WatchRequest)


def test_node_with_older_versions_changes_nothing(
    control: FakeControlPlane, updates: ReceivedUpdates
) -> None:
    one, two = control.channels
    one.respond(configuration=(6, 0), workers=(3, 1))
    one.deliver(snapshot(6), workers(3, 1))
    two.respond(configuration=(2, 0), workers=(2, 9))
    assert two.fetches() == []
    two.deliver(snapshot(2), workers(2, 9), delta(6, 2))
    assert updates.configurations == [(6, (6, 0))]
    assert updates.workers == [(3, 1)]


def test_response_without_newer_versions_is_followed_by_one_watch(control: FakeControlPlane) -> None:
    one = control.channels[0]
    for number in range(1, 6):
        assert len(one.sent) == number
        one.respond()
    assert all(isinstance(message, WatchRequest) for message in one.sent)


def test_session_without_responses_is_replaced(control: FakeControlPlane) -> None:
    unresponsive = control.channels[0].address
    control.loop.run_for(IDLE_TIMEOUT_S + 0.3)
    assert control.channels[0].closed
    assert control.channels[2].address != unresponsive


def test_ended_session_is_replaced(control: FakeControlPlane) -> None:
    ended = control.channels[0]
    ended.deliver(ConnectionResetError())
    control.respond_for(0.4)
    assert ended.closed
    assert len(control.open_channels()) == 2
    assert ended.address not in {channel.address for channel in control.open_channels()}


def test_refused_connections_are_retried_with_delays(control: FakeControlPlane) -> None:
    control.refusing = {"c1:1", "c2:1", "c3:1"}
    for channel in control.channels:
        channel.deliver(ConnectionResetError())
    control.connect_attempts.clear()
    control.loop.run_for(3)
    assert 4 <= len(control.connect_attempts) <= 80
    control.refusing = set()
    control.respond_for(1)
    assert TARGET_SESSIONS <= len(control.open_channels()) <= TARGET_SESSIONS_IN_DOUBT
    control.respond_for(3)
    assert len(control.open_channels()) == TARGET_SESSIONS


def test_listed_members_are_connected_to(control: FakeControlPlane) -> None:
    one, two = control.channels
    listed = (ControlMember("c9:1", "za"), ControlMember("c8:1", "zb"))
    one.respond(members=(0, 1))
    one.deliver(MemberList((0, 1), listed, ()))
    control.refusing = {"c1:1", "c2:1", "c3:1"}
    one.deliver(ConnectionResetError())
    two.deliver(ConnectionResetError())
    control.loop.run_for(0.5)
    assert {channel.address for channel in control.open_channels()} == {"c9:1", "c8:1"}


def test_sessions_are_in_different_zones_where_possible(control: FakeControlPlane) -> None:
    one, two = control.channels
    listed = tuple(
        ControlMember(f"c{number}:1", zone) for number, zone in enumerate(["zb", "za", "zb", "za", "zc"])
    )
    one.respond(members=(0, 1))
    one.deliver(MemberList((0, 1), listed, ()))
    one.deliver(ConnectionResetError())
    control.loop.run_for(0.3)
    two.deliver(ConnectionResetError())
    control.loop.run_for(2)
    control.respond_for(4)
    zones = {member.address: member.zone for member in listed}
    assert len({zones[channel.address] for channel in control.open_channels()}) == 2


@pytest.mark.parametrize(
    "unusable",
    [ConfigurationSnapshot((9, 0), b"{"), ConfigurationSnapshot((9, 0), b'{"generation":1}')],
    ids=["no JSON", "a field is missing"],
)
def test_unusable_configuration_does_not_stop_the_session_manager(
    control: FakeControlPlane, updates: ReceivedUpdates, unusable: ConfigurationSnapshot
) -> None:
    """A control plane node of another software version may send one."""
    for channel in list(control.open_channels()):
        channel.respond(configuration=(9, 0))
        channel.deliver(unusable)
    control.respond_for(1)
    assert len(control.open_channels()) == 2
    for channel in control.open_channels():
        channel.respond(configuration=(10, 0))
    control.loop.run_for(1)
    for channel in control.open_channels():
        if channel.fetches():
            channel.deliver(snapshot(10))
    assert updates.configurations == [(10, (10, 0))]


def test_invalid_seed_address_does_not_stop_the_session_manager(monkeypatch: pytest.MonkeyPatch) -> None:
    control = FakeControlPlane(monkeypatch)
    real_open = control.open

    async def open_channel(address: str) -> FakeChannel:
        if address == "nonsense":
            raise ValueError("not a port")
        return await real_open(address)

    monkeypatch.setattr(control_session, "open_channel", open_channel)
    control.seeds = ("nonsense", "c1:1", "c2:1")
    for channel in list(control.open_channels()):
        channel.deliver(ConnectionResetError())
    control.loop.run_for(2)
    for channel in list(control.open_channels()):
        channel.deliver(ConnectionResetError())
    control.loop.run_for(2)
    assert len(control.open_channels()) >= 1
    assert not control.running.done()
    control.close()


def test_sessions_that_do_not_connect_are_not_confirmed(control: FakeControlPlane) -> None:
    """The process reads its settings again while there is no confirmed session."""
    control.unreachable = {"c1:1", "c2:1", "c3:1"}
    for channel in control.channels:
        channel.deliver(ConnectionResetError())
    counts = []
    for _ in range(20):
        control.loop.run_for(0.17)
        counts.append(control.sessions.confirmed_sessions())
    assert set(counts) == {0}


def make_watch_session(loop: VirtualLoop, channel: Any, subscription: Subscription) -> WatchSession:
    async def make() -> WatchSession:
        choice = SessionChoice(Random(1))
        return WatchSession(
            channel, "c1:1", subscription, lambda: NODE_STATE, choice, SessionTimeouts(), lambda: None
        )

    return loop.run_until_complete(make())


def test_frame_that_arrives_slowly_does_not_time_out(monkeypatch: pytest.MonkeyPatch) -> None:
    """A large configuration on a slow link: bytes keep arriving within the idle time-out."""
    from reedspoke.common.messages import encode
    from reedspoke.common.transport import LENGTH, Channel

    loop = VirtualLoop()
    reader = asyncio.StreamReader(loop=loop, limit=2**20)
    sent: list[bytes] = []

    class Writer:
        def get_extra_info(self, name: str) -> None:
            return None

        def is_closing(self) -> bool:
            return False

        def write(self, data: bytes) -> None:
            sent.append(data)

    subscription, updates = make_subscription()
    channel = Channel(reader, Writer())  # type: ignore[arg-type]
    watch_session = make_watch_session(loop, channel, subscription)
    running = loop.create_task(watch_session.run())
    loop.settle()
    frame = encode(snapshot(5))
    raw = LENGTH.pack(len(frame)) + frame
    step = len(raw) // 6
    for start in range(0, len(raw), step):
        reader.feed_data(raw[start : start + step])
        loop.run_for(0.4)
    failed = running.exception() if running.done() else None
    running.cancel()
    loop.settle()
    loop.close()
    assert failed is None
    assert updates.configurations == [(5, (5, 0))]
