"""Sessions with control plane nodes that have no majority, in virtual time."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest

from reedspoke.common.messages import (
    CONFIGURATION,
    WORKERS,
    ControlMember,
    ControlMessage,
    FetchRequest,
    MemberList,
    UnconfirmedResponse,
    WatchRequest,
    WatchResponse,
    encode,
)
from reedspoke.common.node_settings import Bounds, NodeSettings
from reedspoke.common.transport import LENGTH, Channel
from reedspoke.data_plane.confirmation import MAX_AGE_FRACTION
from reedspoke.data_plane.session_choice import (
    CONNECT_BURST,
    CONNECTS_PER_S,
    MAX_OPEN_SESSIONS,
    TARGET_SESSIONS,
)
from reedspoke.data_plane.subscription import FETCH_TIMEOUT_S, UNCONFIRMED_FALLBACK_S
from reedspoke.data_plane.watch_session import SessionTimeouts
from tests.data_plane.control_stand_in import RESPONSE_INTERVAL_S, FakeChannel, FakeControlPlane
from tests.data_plane.test_subscription import delta, snapshot, workers
from tests.data_plane.virtual_loop import VirtualLoop

MAX_WATCH_WAIT_S = SessionTimeouts().max_watch_wait_s
MAX_AGE_S = MAX_AGE_FRACTION * 2.0
SEEDS = ("c1:1", "c2:1", "c3:1")


@pytest.fixture
def control(monkeypatch: pytest.MonkeyPatch) -> Iterator[FakeControlPlane]:
    control = FakeControlPlane(monkeypatch)
    try:
        yield control
    finally:
        control.close()


def respond_unconfirmed_for(control: FakeControlPlane, seconds: float, **versions: tuple[int, int]) -> None:
    """For this time, all open sessions respond to each `WatchRequest` that they have no majority."""
    for _ in range(round(seconds / RESPONSE_INTERVAL_S)):
        for channel in control.open_channels():
            if isinstance(channel.sent[-1], WatchRequest):
                channel.respond_unconfirmed(**versions)
        control.loop.run_for(RESPONSE_INTERVAL_S)


def open_addresses(control: FakeControlPlane) -> set[str]:
    return {channel.address for channel in control.open_channels()}


def in_doubt(control: FakeControlPlane) -> bool:
    return control.subscription.confirmation.in_doubt(control.loop.time())


# ---- closing of sessions ----


def test_session_is_closed_as_soon_as_its_node_loses_the_majority(control: FakeControlPlane) -> None:
    one, two = control.channels
    one.respond()
    two.respond()
    one.respond_unconfirmed()
    assert one.closed
    assert len(control.open_channels()) == TARGET_SESSIONS
    assert one.address not in open_addresses(control)


def test_two_partitioned_nodes_are_replaced_by_members_listed_before(control: FakeControlPlane) -> None:
    one, two = control.channels
    listed = tuple(ControlMember(f"c{number}:1", f"z{number % 3}") for number in range(1, 6))
    one.respond(members=(0, 1))
    one.deliver(MemberList((0, 1), listed, ()))
    partitioned = {"c1:1", "c2:1", "c3:1"}
    for _ in range(10):
        for channel in control.open_channels():
            if not isinstance(channel.sent[-1], WatchRequest):
                continue
            if channel.address in partitioned:
                channel.respond_unconfirmed(listed[0], listed[1])
            else:
                channel.respond()
        control.loop.run_for(0.03)
    assert open_addresses(control) == {"c4:1", "c5:1"}


def test_members_in_an_unconfirmed_response_are_tried(control: FakeControlPlane) -> None:
    control.seeds = ()
    one, two = control.channels
    one.respond_unconfirmed(ControlMember("c9:1", "zb"))
    assert "c9:1" in open_addresses(control)


def test_session_is_confirmed_again_when_its_node_regains_the_majority(control: FakeControlPlane) -> None:
    respond_unconfirmed_for(control, 1)
    assert control.sessions.confirmed_sessions() == 0
    (channel, *_) = control.open_channels()
    control.loop.run_for(RESPONSE_INTERVAL_S)
    channel.respond()
    assert control.sessions.confirmed_sessions() == 1
    assert not in_doubt(control)


def test_connects_and_watches_are_bounded_while_all_are_unconfirmed(control: FakeControlPlane) -> None:
    """Here each `WatchRequest` is answered at once; a control plane node does so only the first time."""
    control.connect_attempts.clear()
    before = sum(len(channel.sent) for channel in control.channels)
    immediate_responses = 0
    for _ in range(3000):
        for channel in control.open_channels():
            if isinstance(channel.sent[-1], WatchRequest):
                channel._incoming.put_nowait(
                    UnconfirmedResponse(channel.last_watch().request_id, channel.address)
                )
                immediate_responses += 1
        control.loop.run_for(0.01)
    assert len(control.open_channels()) >= TARGET_SESSIONS
    assert len(control.open_channels()) <= MAX_OPEN_SESSIONS
    assert len(control.connect_attempts) <= CONNECT_BURST + 30 * CONNECTS_PER_S
    watches = sum(len(channel.sent) for channel in control.channels) - before
    assert watches <= MAX_OPEN_SESSIONS * 30 / RESPONSE_INTERVAL_S
    assert immediate_responses > 100


def test_seeds_added_to_the_settings_later_are_tried(control: FakeControlPlane) -> None:
    respond_unconfirmed_for(control, 5)
    control.seeds = ("c7:1",)
    control.loop.run_for(0.5)
    assert "c7:1" in open_addresses(control)


def test_session_cancelled_as_a_message_arrives_ends() -> None:
    """With asyncio.wait_for, a cancellation as a message arrived was lost and the session continued."""
    loop = VirtualLoop()
    reader = asyncio.StreamReader(loop=loop)
    channel = Channel(reader, NullWriter())  # type: ignore[arg-type]
    channel.idle_timeout_s = 1.2

    async def listen() -> None:
        while True:
            await channel.receive(ControlMessage)

    frame = encode(WatchResponse(1, "c1", {}))
    task = loop.create_task(listen())
    loop.settle()
    reader.feed_data(LENGTH.pack(len(frame)) + frame)
    task.cancel()
    loop.settle()
    assert task.cancelled()
    loop.close()


class NullWriter:
    """A stream writer that nothing is written to."""

    def get_extra_info(self, name: str) -> None:
        return None


# ---- state that is not applied ----


def test_nothing_is_fetched_from_nodes_without_a_majority(control: FakeControlPlane) -> None:
    respond_unconfirmed_for(control, UNCONFIRMED_FALLBACK_S - 0.5, configuration=(4, 1), workers=(2, 1))
    assert [channel.fetches() for channel in control.channels if channel.fetches()] == []
    assert control.updates.configurations == []


def test_unrequested_unconfirmed_state_is_not_applied(control: FakeControlPlane) -> None:
    one = control.channels[0]
    one.respond()
    one.respond_unconfirmed()
    two = control.channels[1]
    two.respond_unconfirmed()
    for channel in (one, two):
        channel.deliver(snapshot(4), workers(2, 1))
    assert control.updates.configurations == []
    assert control.updates.workers == []


def test_members_from_an_unconfirmed_node_are_only_addresses_to_try(control: FakeControlPlane) -> None:
    control.seeds = ()
    one = control.channels[0]
    one.respond(members=(0, 3))
    control.channels[1].respond_unconfirmed()
    one._incoming.put_nowait(UnconfirmedResponse(one.sent[-2].request_id, one.address))  # type: ignore[attr-defined]
    one.deliver(MemberList((0, 3), (ControlMember("c9:1", "zb"),), ()))
    assert control.updates.members == []
    control.loop.run_for(2 * RESPONSE_INTERVAL_S)
    assert "c9:1" in open_addresses(control)


def test_load_is_taken_from_watch_responses_only(control: FakeControlPlane) -> None:
    one, two = control.channels
    one.deliver(WatchResponse(1, one.address, {}, {"i-1": (2, 40)}))
    two.respond_unconfirmed()
    assert control.updates.peer_load == [{"i-1": (2, 40)}]


def test_version_in_force_never_goes_back(control: FakeControlPlane) -> None:
    one, two = control.channels
    one.respond(configuration=(4, 0))
    one.deliver(snapshot(4))
    two.respond(configuration=(3, 0))
    two.respond_unconfirmed(configuration=(2, 0))
    two.deliver(snapshot(2))
    assert control.updates.configurations == [(4, (4, 0))]
    assert control.subscription.version(CONFIGURATION) == (4, 0)


# ---- start without any majority ----


def fetched(control: FakeControlPlane) -> list[tuple[FakeChannel, FetchRequest]]:
    return [(channel, fetch) for channel in control.channels for fetch in channel.fetches()]


def test_start_applies_unconfirmed_state_after_a_while_without_a_majority(control: FakeControlPlane) -> None:
    respond_unconfirmed_for(control, UNCONFIRMED_FALLBACK_S + 0.5, configuration=(4, 0), workers=(2, 1))
    requested = fetched(control)
    assert requested
    assert all(fetch.allow_unconfirmed for _, fetch in requested)
    channel = requested[0][0]
    channel.deliver(snapshot(4), workers(2, 1))
    assert control.updates.configurations == [(4, (4, 0))]
    assert control.updates.workers == [(2, 1)]
    assert in_doubt(control)


def test_start_from_unconfirmed_state_applies_newer_confirmed_state(
    control: FakeControlPlane,
) -> None:
    respond_unconfirmed_for(control, UNCONFIRMED_FALLBACK_S + 0.5, configuration=(4, 0))
    fetched(control)[0][0].deliver(snapshot(4))
    confirmed_channel = control.open_channels()[0]
    control.loop.run_for(RESPONSE_INTERVAL_S)
    confirmed_channel.respond(configuration=(5, 0))
    assert confirmed_channel.fetches()[-1] == FetchRequest(CONFIGURATION, (4, 0))
    confirmed_channel.deliver(snapshot(5))
    assert control.updates.configurations == [(4, (4, 0)), (5, (5, 0))]
    assert not in_doubt(control)


def test_start_from_unconfirmed_state_applies_newer_unconfirmed_state(
    control: FakeControlPlane,
) -> None:
    respond_unconfirmed_for(control, UNCONFIRMED_FALLBACK_S + 0.5, configuration=(4, 0))
    fetched(control)[0][0].deliver(snapshot(4))
    for _ in range(20):
        respond_unconfirmed_for(control, RESPONSE_INTERVAL_S, configuration=(6, 0))
        requested = [channel for channel, fetch in fetched(control) if fetch.known_version == (4, 0)]
        if requested:
            break
    requested[0].deliver(delta(4, 6))
    assert control.updates.configurations == [(4, (4, 0)), (6, (6, 0))]


def test_confirmed_state_is_not_replaced_by_unconfirmed_state(control: FakeControlPlane) -> None:
    one = control.channels[0]
    one.respond(configuration=(4, 0))
    one.deliver(snapshot(4))
    respond_unconfirmed_for(control, 20, configuration=(9, 0), workers=(2, 1))
    requested = {fetch.source for _, fetch in fetched(control) if fetch.allow_unconfirmed}
    assert requested == {WORKERS}  # without any worker list the process would never be ready


def test_confirmed_report_restarts_the_fallback_time(control: FakeControlPlane) -> None:
    control.loop.run_for(0.05)
    control.respond_for(UNCONFIRMED_FALLBACK_S)
    respond_unconfirmed_for(control, UNCONFIRMED_FALLBACK_S - 0.5, configuration=(4, 0))
    assert fetched(control) == []
    respond_unconfirmed_for(control, 1, configuration=(4, 0))
    assert fetched(control) != []


def test_unconfirmed_fetch_is_not_repeated_on_the_same_session(control: FakeControlPlane) -> None:
    """A large configuration on a slow link takes longer than the fetch time-out."""
    respond_unconfirmed_for(control, UNCONFIRMED_FALLBACK_S + RESPONSE_INTERVAL_S, configuration=(4, 0))
    (channel, _) = fetched(control)[0]
    control.loop.run_for(0.9)
    assert len(channel.fetches()) == 1


# ---- fetches without a response ----


def test_fetch_without_a_response_is_followed_by_a_watch(control: FakeControlPlane) -> None:
    """A node that lost its majority may not respond to the fetch; a `WatchRequest` reveals the loss."""
    one = control.channels[0]
    one.respond(configuration=(4, 0))
    assert isinstance(one.sent[-1], FetchRequest)
    for _ in range(round((FETCH_TIMEOUT_S + 0.5) / RESPONSE_INTERVAL_S)):
        for channel in control.open_channels():
            if channel is not one:
                channel.respond()
        control.loop.run_for(RESPONSE_INTERVAL_S)
    assert isinstance(one.sent[-1], WatchRequest)
    one.respond_unconfirmed()
    assert one.closed


def test_fetch_refused_by_one_node_is_repeated_at_the_next_response_of_another(
    control: FakeControlPlane,
) -> None:
    one, two = control.channels
    one.respond(configuration=(4, 0))
    two.respond(configuration=(4, 0))
    assert two.fetches() == []
    one.deliver(UnconfirmedResponse(0, one.address))
    two.respond(configuration=(4, 0))
    assert two.fetches() == [FetchRequest(CONFIGURATION)]


def test_fetch_without_any_response_is_repeated_on_the_other_session(control: FakeControlPlane) -> None:
    one, two = control.channels
    one.respond(configuration=(4, 0))
    two.respond(configuration=(4, 0))
    control.loop.run_for(FETCH_TIMEOUT_S + 0.05)
    two.respond(configuration=(4, 0))
    assert two.fetches() == [FetchRequest(CONFIGURATION)]


def test_fetch_begun_later_by_another_session_is_not_abandoned(control: FakeControlPlane) -> None:
    one, two = control.channels
    one.respond(configuration=(4, 0))
    two.respond(configuration=(5, 0))
    assert two.fetches() == [FetchRequest(CONFIGURATION)]
    one.deliver(ConnectionResetError())
    assert control.subscription.expected_version(CONFIGURATION, control.loop.time()) == (5, 0)


def test_one_watch_is_in_flight_at_a_time(control: FakeControlPlane) -> None:
    one = control.channels[0]
    one.respond(configuration=(4, 0))
    control.loop.run_for(FETCH_TIMEOUT_S + 0.5)
    watches = [message for message in one.sent if isinstance(message, WatchRequest)]
    assert [watch.request_id for watch in watches] == [1, 2]
    one.deliver(snapshot(4))
    watches = [message for message in one.sent if isinstance(message, WatchRequest)]
    assert [watch.request_id for watch in watches] == [1, 2]


# ---- times ----


def test_response_confirms_as_of_the_sending_of_its_watch(control: FakeControlPlane) -> None:
    one = control.channels[0]
    one.respond(configuration=(4, 0))
    one.deliver(snapshot(4))
    sent_at = control.loop.time()
    control.loop.run_for(MAX_WATCH_WAIT_S + 0.3)
    versions = {CONFIGURATION: (4, 0)}
    one.deliver(
        WatchResponse(
            one.last_watch().request_id, one.address, versions, wait_s=MAX_WATCH_WAIT_S, confirmed_ago_s=0.2
        )
    )
    as_of = control.subscription.confirmation.as_of()
    assert as_of == pytest.approx(sent_at + MAX_WATCH_WAIT_S - 0.2, abs=0.01)


def test_response_to_another_watch_confirms_nothing(control: FakeControlPlane) -> None:
    one = control.channels[0]
    one.deliver(WatchResponse(17, one.address, {}))
    assert control.subscription.confirmation.as_of() is None
    assert control.sessions.confirmed_sessions() == 0


def test_no_second_watch_is_sent_after_a_response_to_a_fetch(control: FakeControlPlane) -> None:
    """`UnconfirmedResponse` is also the response to a `FetchRequest`, and then has the id of no request."""
    one = control.channels[0]
    one.respond(configuration=(4, 0))
    control.loop.run_for(FETCH_TIMEOUT_S + 0.5)
    assert one.last_watch().request_id == 2
    one.deliver(UnconfirmedResponse(0, one.address))
    control.loop.run_for(3 * RESPONSE_INTERVAL_S)
    assert one.last_watch().request_id == 2


def test_refused_fetch_does_not_stop_the_watches_of_a_session(control: FakeControlPlane) -> None:
    one = control.channels[0]
    one.respond(configuration=(4, 0))
    one.deliver(UnconfirmedResponse(0, one.address))
    control.loop.run_for(2 * RESPONSE_INTERVAL_S)
    assert one.closed or isinstance(one.sent[-1], WatchRequest)


def test_session_whose_response_was_confirmed_too_long_ago_is_closed(control: FakeControlPlane) -> None:
    """A node that was suspended before it sent the response causes this."""
    one, two = control.channels
    two.respond()
    one.deliver(WatchResponse(1, one.address, {}, confirmed_ago_s=MAX_AGE_S + 0.1))
    assert one.closed


def test_suspended_process_is_in_doubt_until_the_next_response(control: FakeControlPlane) -> None:
    control.respond_for(2)
    assert not in_doubt(control)
    responses = [
        (
            channel,
            WatchResponse(channel.last_watch().request_id, channel.address, {}, wait_s=MAX_WATCH_WAIT_S),
        )
        for channel in control.open_channels()
    ]
    control.loop._virtual.now += 7.0  # the clock advances while the process is suspended
    assert in_doubt(control)
    for channel, response in responses:  # received during the suspension
        channel._incoming.put_nowait(response)
    control.loop.settle()
    assert in_doubt(control)
    control.respond_for(1)
    assert not in_doubt(control)
    control.respond_for(3)
    assert len(control.open_channels()) == TARGET_SESSIONS


@pytest.mark.parametrize("apply_ms", [1000, 2000, 12000, 120_000])
@pytest.mark.parametrize("heartbeat_ms", [200, 1000, 1200, 3000, 6000, 12000, 120_000])
def test_time_limits_of_a_session_follow_the_settings(heartbeat_ms: float, apply_ms: float) -> None:
    bounds = Bounds(apply_ms=apply_ms)
    settings = NodeSettings("edge-1", "127.0.0.1", "za", heartbeat_ms=heartbeat_ms, bounds=bounds)
    max_watch_wait_s = settings.watch_timeout_s()
    timeouts = SessionTimeouts(max_watch_wait_s)
    assert max_watch_wait_s <= heartbeat_ms / 1000 / 3 + 1e-9
    # One missed response does not cause doubt.
    assert 2 * max_watch_wait_s < MAX_AGE_FRACTION * apply_ms / 1000
    assert max_watch_wait_s < timeouts.stale_after_s < timeouts.idle_timeout_s
    assert timeouts.idle_timeout_s > 0.8


def test_idle_timeout_at_the_default_heartbeat() -> None:
    settings = NodeSettings("edge-1", "127.0.0.1", "za", heartbeat_ms=1200)
    assert SessionTimeouts(settings.watch_timeout_s()).idle_timeout_s == pytest.approx(1.2)


def test_sessions_with_responses_as_rare_as_the_settings_allow_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a long heartbeat and a long apply time, responses are seconds apart."""
    control = FakeControlPlane(monkeypatch, SessionTimeouts(max_watch_wait_s=4.0), apply_s=16.0)
    open_before = control.open_channels()
    for _ in range(5):
        for channel in control.open_channels():
            channel.respond()
        control.loop.run_for(4.0)
    open_after = control.open_channels()
    control.close()
    assert open_after == open_before
