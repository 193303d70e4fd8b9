"""Sessions with the control plane in virtual time: what is asked for, and what follows a loss."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from random import Random
from typing import Any

import pytest

from reedspoke.common.messages import (
    CONFIGURATION,
    MEMBERS,
    WORKERS,
    ConfigurationSnapshot,
    ControlMember,
    FetchRequest,
    MemberList,
    WatchRequest,
)
from reedspoke.data_plane import control_session
from reedspoke.data_plane.session_choice import TARGET_SESSIONS, TARGET_SESSIONS_IN_DOUBT, SessionChoice
from reedspoke.data_plane.subscription import Subscription
from reedspoke.data_plane.watch_session import SessionTimeouts, WatchSession
from tests.data_plane.control_stand_in import NODE_STATE, SILENCE_S, ChannelStandIn, Control
from tests.data_plane.test_subscription import Heard, delta, make_subscription, snapshot, workers
from tests.data_plane.virtual_loop import VirtualLoop


@pytest.fixture
def control(monkeypatch: pytest.MonkeyPatch) -> Iterator[Control]:
    made = Control(monkeypatch)
    try:
        yield made
    finally:
        made.close()


@pytest.fixture
def heard(control: Control) -> Heard:
    return control.heard


@pytest.fixture
def made(control: Control) -> Subscription:
    return control.made


def test_two_sessions_stand_with_different_schedulers(control: Control) -> None:
    assert len(control.live()) == 2
    assert len({channel.address for channel in control.live()}) == 2


def test_the_first_watch_tells_who_asks_and_what_it_holds(control: Control) -> None:
    watch = control.channels[0].watch()
    assert (watch.node_name, watch.incarnation, watch.zone, watch.draining) == ("edge-1", "ab12", "za", False)
    assert watch.running == {"i-1": (2, 30)}
    assert watch.versions == {CONFIGURATION: (0, 0), WORKERS: (0, 0), MEMBERS: (0, 0)}


def test_what_is_lacking_is_fetched_and_then_watched(control: Control, heard: Heard) -> None:
    channel = control.channels[0]
    channel.offer(configuration=(3, 0), workers=(1, 2), members=(0, 5))
    assert channel.fetches() == [FetchRequest(CONFIGURATION), FetchRequest(WORKERS), FetchRequest(MEMBERS)]
    channel.say(snapshot(3), workers(1, 2), MemberList((0, 5), (), ()))
    assert heard.configurations == [(3, (3, 0))]
    assert heard.workers == [(1, 2)]
    assert channel.watch().versions == {CONFIGURATION: (3, 0), WORKERS: (1, 2), MEMBERS: (0, 5)}
    assert channel.watch().request_id == 2


def test_two_sessions_do_not_both_fetch_the_same(control: Control) -> None:
    one, two = control.channels
    one.offer(configuration=(3, 0))
    two.offer(configuration=(3, 0))
    assert one.fetches() == [FetchRequest(CONFIGURATION)]
    assert two.fetches() == []
    assert two.watch().versions[CONFIGURATION] == (3, 0)


def test_what_one_session_fails_to_bring_is_fetched_by_the_other(control: Control, heard: Heard) -> None:
    one, two = control.channels
    one.offer(configuration=(3, 0))
    one.say(ConnectionResetError())
    two.offer(configuration=(3, 0))
    assert two.fetches() == [FetchRequest(CONFIGURATION)]
    two.say(snapshot(3))
    assert heard.configurations == [(3, (3, 0))]


def test_a_difference_from_another_base_is_followed_by_the_whole(control: Control, heard: Heard) -> None:
    one = control.channels[0]
    one.offer(configuration=(3, 0))
    one.say(snapshot(3))
    one.offer(configuration=(6, 0))
    assert one.fetches()[-1] == FetchRequest(CONFIGURATION, (3, 0))
    one.say(delta(2, 6))
    assert one.fetches()[-1] == FetchRequest(CONFIGURATION, (0, 0))
    one.say(snapshot(6))
    assert heard.configurations == [(3, (3, 0)), (6, (6, 0))]
    assert isinstance(one.sent[-1], WatchRequest)


def test_a_scheduler_that_is_behind_changes_nothing(control: Control, heard: Heard) -> None:
    one, two = control.channels
    one.offer(configuration=(6, 0), workers=(3, 1))
    one.say(snapshot(6), workers(3, 1))
    two.offer(configuration=(2, 0), workers=(2, 9))
    assert two.fetches() == []
    two.say(snapshot(2), workers(2, 9), delta(6, 2))
    assert heard.configurations == [(6, (6, 0))]
    assert heard.workers == [(3, 1)]


def test_an_answer_with_nothing_new_is_followed_by_one_watch(control: Control) -> None:
    one = control.channels[0]
    for number in range(1, 6):
        assert len(one.sent) == number
        one.offer()
    assert all(isinstance(message, WatchRequest) for message in one.sent)


def test_a_silent_scheduler_is_left_for_another(control: Control) -> None:
    silent = control.channels[0].address
    control.loop.run_for(SILENCE_S + 0.3)
    assert control.channels[0].closed
    assert control.channels[2].address != silent


def test_an_ended_session_is_replaced(control: Control) -> None:
    ended = control.channels[0]
    ended.say(ConnectionResetError())
    control.keep_alive(0.4)
    assert ended.closed
    assert len(control.live()) == 2
    assert ended.address not in {channel.address for channel in control.live()}


def test_a_scheduler_that_refuses_is_not_asked_without_pause(control: Control) -> None:
    control.refusing = {"c1:1", "c2:1", "c3:1"}
    for channel in control.channels:
        channel.say(ConnectionResetError())
    control.tried.clear()
    control.loop.run_for(3)
    assert 4 <= len(control.tried) <= 80
    control.refusing = set()
    control.keep_alive(1)
    assert TARGET_SESSIONS <= len(control.live()) <= TARGET_SESSIONS_IN_DOUBT
    control.keep_alive(3)
    assert len(control.live()) == TARGET_SESSIONS


def test_schedulers_that_members_name_are_asked_too(control: Control) -> None:
    one, two = control.channels
    named = (ControlMember("c9:1", "za"), ControlMember("c8:1", "zb"))
    one.offer(members=(0, 1))
    one.say(MemberList((0, 1), named, ()))
    control.refusing = {"c1:1", "c2:1", "c3:1"}
    one.say(ConnectionResetError())
    two.say(ConnectionResetError())
    control.loop.run_for(0.5)
    assert {channel.address for channel in control.live()} == {"c9:1", "c8:1"}


def test_sessions_stand_in_different_zones_where_that_is_possible(control: Control) -> None:
    one, two = control.channels
    named = tuple(
        ControlMember(f"c{number}:1", zone) for number, zone in enumerate(["zb", "za", "zb", "za", "zc"])
    )
    one.offer(members=(0, 1))
    one.say(MemberList((0, 1), named, ()))
    one.say(ConnectionResetError())
    control.loop.run_for(0.3)
    two.say(ConnectionResetError())
    control.loop.run_for(2)
    control.keep_alive(4)
    zones = {member.address: member.zone for member in named}
    assert len({zones[channel.address] for channel in control.live()}) == 2


@pytest.mark.parametrize(
    "poison",
    [ConfigurationSnapshot((9, 0), b"{"), ConfigurationSnapshot((9, 0), b'{"generation":1}')],
    ids=["no JSON", "a field is missing"],
)
def test_a_configuration_that_cannot_be_used_does_not_end_the_sessions(
    control: Control, heard: Heard, poison: ConfigurationSnapshot
) -> None:
    """As from a control scheduler of another version."""
    for channel in list(control.live()):
        channel.offer(configuration=(9, 0))
        channel.say(poison)
    control.keep_alive(1)
    assert len(control.live()) == 2
    for channel in control.live():
        channel.offer(configuration=(10, 0))
    control.loop.run_for(1)
    for channel in control.live():
        if channel.fetches():
            channel.say(snapshot(10))
    assert heard.configurations == [(10, (10, 0))]


def test_a_seed_that_is_no_address_does_not_end_the_sessions(monkeypatch: pytest.MonkeyPatch) -> None:
    control = Control(monkeypatch)
    real_open = control.open

    async def open_channel(address: str) -> ChannelStandIn:
        if address == "nonsense":
            raise ValueError("not a port")
        return await real_open(address)

    monkeypatch.setattr(control_session, "open_channel", open_channel)
    control.seeds = ("nonsense", "c1:1", "c2:1")
    for channel in list(control.live()):
        channel.say(ConnectionResetError())
    control.loop.run_for(2)
    for channel in list(control.live()):
        channel.say(ConnectionResetError())
    control.loop.run_for(2)
    assert len(control.live()) >= 1
    assert not control.running.done()
    control.close()


def test_sessions_that_do_not_come_up_do_not_count(control: Control) -> None:
    """By their number the process knows that it has to read its settings again."""
    control.dark = {"c1:1", "c2:1", "c3:1"}
    for channel in control.channels:
        channel.say(ConnectionResetError())
    counts = []
    for _ in range(20):
        control.loop.run_for(0.17)
        counts.append(control.sessions.confirmed_sessions())
    assert set(counts) == {0}


def made_in(loop: VirtualLoop, channel: Any, made: Subscription) -> WatchSession:
    async def make() -> WatchSession:
        choice = SessionChoice(Random(1))
        return WatchSession(
            channel, "c1:1", made, lambda: NODE_STATE, choice, SessionTimeouts(), lambda: None
        )

    return loop.run_until_complete(make())


def test_a_frame_that_takes_long_is_no_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """A large configuration over a narrow link: its bytes keep coming."""
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

    made, heard = make_subscription()
    channel = Channel(reader, Writer())  # type: ignore[arg-type]
    conversation = made_in(loop, channel, made)
    running = loop.create_task(conversation.run())
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
    assert heard.configurations == [(5, (5, 0))]
