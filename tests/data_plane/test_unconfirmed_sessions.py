"""Sessions with control schedulers that no majority stands behind, in virtual time."""

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
from tests.data_plane.control_stand_in import ANSWER_S, ChannelStandIn, Control
from tests.data_plane.test_subscription import delta, snapshot, workers
from tests.data_plane.virtual_loop import VirtualLoop

HOLD_S = SessionTimeouts().max_watch_wait_s
DOUBT_S = MAX_AGE_FRACTION * 2.0
SEEDS = ("c1:1", "c2:1", "c3:1")


@pytest.fixture
def control(monkeypatch: pytest.MonkeyPatch) -> Iterator[Control]:
    made = Control(monkeypatch)
    try:
        yield made
    finally:
        made.close()


def refuse_all(control: Control, seconds: float, **versions: tuple[int, int]) -> None:
    """All live sessions say for so long that no majority stands behind them, as soon as they are asked."""
    for _ in range(round(seconds / ANSWER_S)):
        for channel in control.live():
            if isinstance(channel.sent[-1], WatchRequest):
                channel.refuse(**versions)
        control.loop.run_for(ANSWER_S)


def live_addresses(control: Control) -> set[str]:
    return {channel.address for channel in control.live()}


def in_doubt(control: Control) -> bool:
    return control.made.confirmation.in_doubt(control.loop.time())


# ---- leaving ----


def test_one_that_has_lost_its_majority_is_left_at_once(control: Control) -> None:
    one, two = control.channels
    one.offer()
    two.offer()
    one.refuse()
    assert one.closed
    assert len(control.live()) == TARGET_SESSIONS
    assert one.address not in live_addresses(control)


def test_both_that_are_cut_off_are_left_for_whom_an_earlier_list_named(control: Control) -> None:
    one, two = control.channels
    named = tuple(ControlMember(f"c{number}:1", f"z{number % 3}") for number in range(1, 6))
    one.offer(members=(0, 1))
    one.say(MemberList((0, 1), named, ()))
    cut_off = {"c1:1", "c2:1", "c3:1"}
    for _ in range(10):
        for channel in control.live():
            if not isinstance(channel.sent[-1], WatchRequest):
                continue
            if channel.address in cut_off:
                channel.refuse(named[0], named[1])
            else:
                channel.offer()
        control.loop.run_for(0.03)
    assert live_addresses(control) == {"c4:1", "c5:1"}


def test_a_hint_is_followed(control: Control) -> None:
    control.seeds = ()
    one, two = control.channels
    one.refuse(ControlMember("c9:1", "zb"))
    assert "c9:1" in live_addresses(control)


def test_one_that_has_its_majority_again_counts_again(control: Control) -> None:
    refuse_all(control, 1)
    assert control.sessions.confirmed_sessions() == 0
    (channel, *_) = control.live()
    control.loop.run_for(ANSWER_S)
    channel.offer()
    assert control.sessions.confirmed_sessions() == 1
    assert not in_doubt(control)


def test_where_all_are_unconfirmed_neither_dials_nor_watches_run_wild(control: Control) -> None:
    """Also where each `WatchRequest` is answered at once, as a control scheduler does only the first time."""
    control.tried.clear()
    before = sum(len(channel.sent) for channel in control.channels)
    answered_at_once = 0
    for _ in range(3000):
        for channel in control.live():
            if isinstance(channel.sent[-1], WatchRequest):
                channel._incoming.put_nowait(UnconfirmedResponse(channel.watch().request_id, channel.address))
                answered_at_once += 1
        control.loop.run_for(0.01)
    assert len(control.live()) >= TARGET_SESSIONS
    assert len(control.live()) <= MAX_OPEN_SESSIONS
    assert len(control.tried) <= CONNECT_BURST + 30 * CONNECTS_PER_S
    watches = sum(len(channel.sent) for channel in control.channels) - before
    assert watches <= MAX_OPEN_SESSIONS * 30 / ANSWER_S
    assert answered_at_once > 100


def test_seeds_that_the_settings_name_later_are_tried(control: Control) -> None:
    refuse_all(control, 5)
    control.seeds = ("c7:1",)
    control.loop.run_for(0.5)
    assert "c7:1" in live_addresses(control)


def test_a_session_that_is_left_as_a_message_comes_does_end() -> None:
    """With wait_for a cancellation that met a message was lost, and the session went on beside the others."""
    loop = VirtualLoop()
    reader = asyncio.StreamReader(loop=loop)
    channel = Channel(reader, WriterStandIn())  # type: ignore[arg-type]
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


class WriterStandIn:
    """Where nothing is written."""

    def get_extra_info(self, name: str) -> None:
        return None


# ---- what is not taken ----


def test_nothing_is_fetched_where_no_majority_stands(control: Control) -> None:
    refuse_all(control, UNCONFIRMED_FALLBACK_S - 0.5, configuration=(4, 1), workers=(2, 1))
    assert [channel.fetches() for channel in control.channels if channel.fetches()] == []
    assert control.heard.configurations == []


def test_state_that_nobody_asked_for_is_not_taken(control: Control) -> None:
    one = control.channels[0]
    one.offer()
    one.refuse()
    two = control.channels[1]
    two.refuse()
    for channel in (one, two):
        channel.say(snapshot(4), workers(2, 1))
    assert control.heard.configurations == []
    assert control.heard.workers == []


def test_members_of_an_unconfirmed_one_are_hints_only(control: Control) -> None:
    control.seeds = ()
    one = control.channels[0]
    one.offer(members=(0, 3))
    control.channels[1].refuse()
    one._incoming.put_nowait(UnconfirmedResponse(one.sent[-2].request_id, one.address))  # type: ignore[attr-defined]
    one.say(MemberList((0, 3), (ControlMember("c9:1", "zb"),), ()))
    assert control.heard.members == []
    control.loop.run_for(2 * ANSWER_S)
    assert "c9:1" in live_addresses(control)


def test_loads_come_with_confirmed_answers_only(control: Control) -> None:
    one, two = control.channels
    one.say(WatchResponse(1, one.address, {}, {"i-1": (2, 40)}))
    two.refuse()
    assert control.heard.running == [{"i-1": (2, 40)}]


def test_what_is_in_force_never_goes_back(control: Control) -> None:
    one, two = control.channels
    one.offer(configuration=(4, 0))
    one.say(snapshot(4))
    two.offer(configuration=(3, 0))
    two.refuse(configuration=(2, 0))
    two.say(snapshot(2))
    assert control.heard.configurations == [(4, (4, 0))]
    assert control.made.version(CONFIGURATION) == (4, 0)


# ---- a start without any majority ----


def fetched(control: Control) -> list[tuple[ChannelStandIn, FetchRequest]]:
    return [(channel, fetch) for channel in control.channels for fetch in channel.fetches()]


def test_after_a_while_without_any_majority_a_start_takes_what_there_is(control: Control) -> None:
    refuse_all(control, UNCONFIRMED_FALLBACK_S + 0.5, configuration=(4, 0), workers=(2, 1))
    asked = fetched(control)
    assert asked
    assert all(fetch.allow_unconfirmed for _, fetch in asked)
    channel = asked[0][0]
    channel.say(snapshot(4), workers(2, 1))
    assert control.heard.configurations == [(4, (4, 0))]
    assert control.heard.workers == [(2, 1)]
    assert in_doubt(control)


def test_a_start_that_took_an_old_one_takes_a_newer_one_from_whom_a_majority_confirms(
    control: Control,
) -> None:
    refuse_all(control, UNCONFIRMED_FALLBACK_S + 0.5, configuration=(4, 0))
    fetched(control)[0][0].say(snapshot(4))
    sound = control.live()[0]
    control.loop.run_for(ANSWER_S)
    sound.offer(configuration=(5, 0))
    assert sound.fetches()[-1] == FetchRequest(CONFIGURATION, (4, 0))
    sound.say(snapshot(5))
    assert control.heard.configurations == [(4, (4, 0)), (5, (5, 0))]
    assert not in_doubt(control)


def test_a_start_that_took_an_old_one_takes_a_newer_one_that_is_not_confirmed_either(
    control: Control,
) -> None:
    refuse_all(control, UNCONFIRMED_FALLBACK_S + 0.5, configuration=(4, 0))
    fetched(control)[0][0].say(snapshot(4))
    for _ in range(20):
        refuse_all(control, ANSWER_S, configuration=(6, 0))
        asked = [channel for channel, fetch in fetched(control) if fetch.known_version == (4, 0)]
        if asked:
            break
    asked[0].say(delta(4, 6))
    assert control.heard.configurations == [(4, (4, 0)), (6, (6, 0))]


def test_what_was_confirmed_once_is_not_replaced_by_what_is_not(control: Control) -> None:
    one = control.channels[0]
    one.offer(configuration=(4, 0))
    one.say(snapshot(4))
    refuse_all(control, 20, configuration=(9, 0), workers=(2, 1))
    asked = {fetch.source for _, fetch in fetched(control) if fetch.allow_unconfirmed}
    assert asked == {WORKERS}  # nothing is held of these: without them the process would never be ready


def test_a_confirmed_source_puts_the_bound_off(control: Control) -> None:
    control.loop.run_for(0.05)
    control.keep_alive(UNCONFIRMED_FALLBACK_S)
    refuse_all(control, UNCONFIRMED_FALLBACK_S - 0.5, configuration=(4, 0))
    assert fetched(control) == []
    refuse_all(control, 1, configuration=(4, 0))
    assert fetched(control) != []


def test_an_unconfirmed_fetch_is_not_repeated_while_it_is_answered(control: Control) -> None:
    """As a large configuration over a narrow link takes its time."""
    refuse_all(control, UNCONFIRMED_FALLBACK_S + ANSWER_S, configuration=(4, 0))
    (channel, _) = fetched(control)[0]
    control.loop.run_for(0.9)
    assert len(channel.fetches()) == 1


# ---- fetches that are not answered ----


def test_a_fetch_to_one_that_lost_its_majority_is_followed_by_a_watch(control: Control) -> None:
    """It does not answer the fetch any more; only a `WatchRequest` brings to light why."""
    one = control.channels[0]
    one.offer(configuration=(4, 0))
    assert isinstance(one.sent[-1], FetchRequest)
    for _ in range(round((FETCH_TIMEOUT_S + 0.5) / ANSWER_S)):
        for channel in control.live():
            if channel is not one:
                channel.offer()
        control.loop.run_for(ANSWER_S)
    assert isinstance(one.sent[-1], WatchRequest)
    one.refuse()
    assert one.closed


def test_what_one_will_not_bring_is_fetched_from_the_other_at_its_next_answer(control: Control) -> None:
    one, two = control.channels
    one.offer(configuration=(4, 0))
    two.offer(configuration=(4, 0))
    assert two.fetches() == []
    one.say(UnconfirmedResponse(0, one.address))
    two.offer(configuration=(4, 0))
    assert two.fetches() == [FetchRequest(CONFIGURATION)]


def test_a_fetch_that_is_neither_answered_nor_refused_is_begun_anew_by_the_other(control: Control) -> None:
    one, two = control.channels
    one.offer(configuration=(4, 0))
    two.offer(configuration=(4, 0))
    control.loop.run_for(FETCH_TIMEOUT_S + 0.05)
    two.offer(configuration=(4, 0))
    assert two.fetches() == [FetchRequest(CONFIGURATION)]


def test_a_fetch_that_another_session_began_since_is_not_given_up(control: Control) -> None:
    one, two = control.channels
    one.offer(configuration=(4, 0))
    two.offer(configuration=(5, 0))
    assert two.fetches() == [FetchRequest(CONFIGURATION)]
    one.say(ConnectionResetError())
    assert control.made.expected_version(CONFIGURATION, control.loop.time()) == (5, 0)


def test_one_watch_is_out_at_a_time(control: Control) -> None:
    one = control.channels[0]
    one.offer(configuration=(4, 0))
    control.loop.run_for(FETCH_TIMEOUT_S + 0.5)
    watches = [message for message in one.sent if isinstance(message, WatchRequest)]
    assert [watch.request_id for watch in watches] == [1, 2]
    one.say(snapshot(4))
    watches = [message for message in one.sent if isinstance(message, WatchRequest)]
    assert [watch.request_id for watch in watches] == [1, 2]


# ---- times ----


def test_an_answer_vouches_from_when_the_watch_was_sent(control: Control) -> None:
    one = control.channels[0]
    one.offer(configuration=(4, 0))
    one.say(snapshot(4))
    sent_at = control.loop.time()
    control.loop.run_for(HOLD_S + 0.3)
    versions = {CONFIGURATION: (4, 0)}
    one.say(WatchResponse(one.watch().request_id, one.address, versions, wait_s=HOLD_S, confirmed_ago_s=0.2))
    as_of = control.made.confirmation.as_of()
    assert as_of == pytest.approx(sent_at + HOLD_S - 0.2, abs=0.01)


def test_an_answer_to_another_watch_vouches_for_nothing(control: Control) -> None:
    one = control.channels[0]
    one.say(WatchResponse(17, one.address, {}))
    assert control.made.confirmation.as_of() is None
    assert control.sessions.confirmed_sessions() == 0


def test_while_a_watch_is_out_no_other_is_sent_for_an_answer_that_is_not_to_it(control: Control) -> None:
    """A control scheduler answers a `FetchRequest` without a majority too, with the id of no request."""
    one = control.channels[0]
    one.offer(configuration=(4, 0))
    control.loop.run_for(FETCH_TIMEOUT_S + 0.5)
    assert one.watch().request_id == 2
    one.say(UnconfirmedResponse(0, one.address))
    control.loop.run_for(3 * ANSWER_S)
    assert one.watch().request_id == 2


def test_an_unanswered_fetch_does_not_hold_a_session_back(control: Control) -> None:
    one = control.channels[0]
    one.offer(configuration=(4, 0))
    one.say(UnconfirmedResponse(0, one.address))
    control.loop.run_for(2 * ANSWER_S)
    assert one.closed or isinstance(one.sent[-1], WatchRequest)


def test_a_control_scheduler_that_confirms_the_past_only_is_left(control: Control) -> None:
    """As one that was stopped between the making of an answer and its sending."""
    one, two = control.channels
    two.offer()
    one.say(WatchResponse(1, one.address, {}, confirmed_ago_s=DOUBT_S + 0.1))
    assert one.closed


def test_a_process_that_was_stopped_is_in_doubt_until_it_is_told_anew(control: Control) -> None:
    control.keep_alive(2)
    assert not in_doubt(control)
    answers = [
        (channel, WatchResponse(channel.watch().request_id, channel.address, {}, wait_s=HOLD_S))
        for channel in control.live()
    ]
    control.loop._virtual.now += 7.0  # the clock went on, the process did not
    assert in_doubt(control)
    for channel, answer in answers:  # these came in the meantime
        channel._incoming.put_nowait(answer)
    control.loop.settle()
    assert in_doubt(control)
    control.keep_alive(1)
    assert not in_doubt(control)
    control.keep_alive(3)
    assert len(control.live()) == TARGET_SESSIONS


@pytest.mark.parametrize("apply_ms", [1000, 2000, 12000, 120_000])
@pytest.mark.parametrize("heartbeat_ms", [200, 1000, 1200, 3000, 6000, 12000, 120_000])
def test_the_bounds_of_a_session_follow_the_settings(heartbeat_ms: float, apply_ms: float) -> None:
    bounds = Bounds(apply_ms=apply_ms)
    settings = NodeSettings("edge-1", "127.0.0.1", "za", heartbeat_ms=heartbeat_ms, bounds=bounds)
    hold_s = settings.watch_timeout_s()
    timeouts = SessionTimeouts(hold_s)
    assert hold_s <= heartbeat_ms / 1000 / 3 + 1e-9
    assert 2 * hold_s < MAX_AGE_FRACTION * apply_ms / 1000  # one answer may be missed without any doubt
    assert hold_s < timeouts.stale_after_s < timeouts.idle_timeout_s
    assert timeouts.idle_timeout_s > 0.8


def test_at_the_usual_heartbeat_silence_is_bounded_as_before() -> None:
    settings = NodeSettings("edge-1", "127.0.0.1", "za", heartbeat_ms=1200)
    assert SessionTimeouts(settings.watch_timeout_s()).idle_timeout_s == pytest.approx(1.2)


def test_sessions_that_are_quiet_for_as_long_as_the_settings_allow_are_kept(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With a long heartbeat and much time for a change, answers are seconds apart."""
    control = Control(monkeypatch, SessionTimeouts(max_watch_wait_s=4.0), apply_s=16.0)
    stood = control.live()
    for _ in range(5):
        for channel in control.live():
            channel.offer()
        control.loop.run_for(4.0)
    live = control.live()
    control.close()
    assert live == stood
