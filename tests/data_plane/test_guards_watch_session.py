"""Tests of single checks in `WatchSession`, for the mutants of those checks, in virtual time."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from reedspoke.common.messages import UnconfirmedResponse, WatchRequest, WatchResponse
from tests.data_plane.control_stand_in import FakeChannel, FakeControlPlane

LONG_AGO_S = 100.0


@pytest.fixture
def control(monkeypatch: pytest.MonkeyPatch) -> Iterator[FakeControlPlane]:
    control = FakeControlPlane(monkeypatch)
    try:
        yield control
    finally:
        control.close()


def watch_count(channel: FakeChannel) -> int:
    return sum(isinstance(message, WatchRequest) for message in channel.sent)


def previous_request_id(channel: FakeChannel) -> int:
    return channel.last_watch().request_id - 1


def test_response_to_another_request_confirms_nothing(control: FakeControlPlane) -> None:
    channel = control.channels[0]
    channel.deliver(WatchResponse(previous_request_id(channel), channel.address, {}))
    assert control.subscription.confirmation.as_of() is None
    assert control.sessions.confirmed_sessions() == 0
    channel.respond()
    assert control.subscription.confirmation.as_of() is not None
    assert control.sessions.confirmed_sessions() == 1


def test_response_to_another_request_leaves_the_watch_in_flight(control: FakeControlPlane) -> None:
    channel = control.channels[0]
    channel.deliver(WatchResponse(previous_request_id(channel), channel.address, {}))
    assert watch_count(channel) == 1
    channel.respond()
    assert watch_count(channel) == 2


def test_unconfirmed_response_to_a_fetch_leaves_the_watch_in_flight(control: FakeControlPlane) -> None:
    channel = control.channels[0]
    channel.deliver(UnconfirmedResponse(previous_request_id(channel), channel.address))
    control.loop.run_for(0.5)
    assert watch_count(channel) == 1


def test_response_confirmed_long_ago_makes_no_confirmed_session(control: FakeControlPlane) -> None:
    channel = control.channels[0]
    watch = channel.last_watch()
    channel.deliver(WatchResponse(watch.request_id, channel.address, {}, confirmed_ago_s=LONG_AGO_S))
    assert control.sessions.confirmed_sessions() == 0
    assert control.subscription.confirmation.in_doubt(control.loop.time())
