"""An unexpected error ends one step of background work, not the work itself."""

from __future__ import annotations

from typing import NoReturn

import pytest

from reedspoke.common.unhandled_errors import unhandled_errors
from reedspoke.data_plane.session_choice import SessionChoice
from reedspoke.data_plane.upstream_pool import ConnectFailure, ConnectResult, UpstreamPool
from tests.data_plane.control_stand_in import FakeControlPlane
from tests.data_plane.virtual_loop import VirtualLoop

BAD_ADDRESS = "a worker without a port"
SOON_S = 3.0


def test_unexpected_connection_error_is_reported_as_a_failure() -> None:
    loop = VirtualLoop()
    results: list[ConnectResult] = []
    UpstreamPool(loop).connect(BAD_ADDRESS, results.append)
    loop.settle()
    assert results == [ConnectFailure()]
    loop.close()


def test_sessions_are_maintained_after_an_unexpected_error(monkeypatch: pytest.MonkeyPatch) -> None:
    control = FakeControlPlane(monkeypatch)
    before = unhandled_errors.count

    def fail(*_: object) -> NoReturn:
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr(SessionChoice, "next_member", fail)
        control.loop.run_for(SOON_S)
    attempts = len(control.connect_attempts)
    control.channels.clear()
    control.loop.run_for(SOON_S)
    assert len(control.connect_attempts) > attempts
    assert unhandled_errors.count > before
    assert not control.running.done()
