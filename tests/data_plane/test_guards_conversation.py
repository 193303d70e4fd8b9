"""Guards of a session with a control scheduler, one at a time, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from reedspoke.common.messages import UnconfirmedResponse, WatchRequest, WatchResponse
from tests.data_plane.control_stand_in import ChannelStandIn, Control

LONG_AGO_S = 100.0


@pytest.fixture
def control(monkeypatch: pytest.MonkeyPatch) -> Iterator[Control]:
    made = Control(monkeypatch)
    try:
        yield made
    finally:
        made.close()


def watches(channel: ChannelStandIn) -> int:
    return sum(isinstance(message, WatchRequest) for message in channel.sent)


def earlier_request(channel: ChannelStandIn) -> int:
    return channel.watch().request_id - 1


def test_an_answer_to_another_request_vouches_for_nothing(control: Control) -> None:
    channel = control.channels[0]
    channel.say(WatchResponse(earlier_request(channel), channel.address, {}))
    assert control.made.confirmation.as_of() is None
    assert control.sessions.confirmed_sessions() == 0
    channel.offer()
    assert control.made.confirmation.as_of() is not None
    assert control.sessions.confirmed_sessions() == 1


def test_an_answer_to_another_request_leaves_the_watch_out(control: Control) -> None:
    channel = control.channels[0]
    channel.say(WatchResponse(earlier_request(channel), channel.address, {}))
    assert watches(channel) == 1
    channel.offer()
    assert watches(channel) == 2


def test_the_word_of_a_lost_majority_for_a_fetch_leaves_the_watch_out(control: Control) -> None:
    channel = control.channels[0]
    channel.say(UnconfirmedResponse(earlier_request(channel), channel.address))
    control.loop.run_for(0.5)
    assert watches(channel) == 1


def test_an_answer_that_vouches_for_the_past_only_makes_no_sound_session(control: Control) -> None:
    channel = control.channels[0]
    watch = channel.watch()
    channel.say(WatchResponse(watch.request_id, channel.address, {}, confirmed_ago_s=LONG_AGO_S))
    assert control.sessions.confirmed_sessions() == 0
    assert control.made.confirmation.in_doubt(control.loop.time())
