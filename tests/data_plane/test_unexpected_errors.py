"""An error that nobody expected ends one step of the work in the background, and not the work."""

from __future__ import annotations

from typing import NoReturn

import pytest

from reedspoke.common.unhandled_errors import unhandled_errors
from reedspoke.data_plane.session_choice import SessionChoice
from reedspoke.data_plane.upstream_pool import ConnectFailure, ConnectResult, UpstreamPool
from tests.data_plane.control_stand_in import Control
from tests.data_plane.virtual_loop import VirtualLoop

BAD_ADDRESS = "a worker without a port"
SOON_S = 3.0


def test_a_connection_that_fails_in_an_unexpected_way_is_told_as_failed() -> None:
    loop = VirtualLoop()
    results: list[ConnectResult] = []
    UpstreamPool(loop).connect(BAD_ADDRESS, results.append)
    loop.settle()
    assert results == [ConnectFailure()]
    loop.close()


def test_sessions_are_kept_after_an_unexpected_error(monkeypatch: pytest.MonkeyPatch) -> None:
    side = Control(monkeypatch)
    before = unhandled_errors.count

    def fail(*_: object) -> NoReturn:
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr(SessionChoice, "next_member", fail)
        side.loop.run_for(SOON_S)
    tried = len(side.tried)
    side.channels.clear()
    side.loop.run_for(SOON_S)
    assert len(side.tried) > tried
    assert unhandled_errors.count > before
    assert not side.running.done()
