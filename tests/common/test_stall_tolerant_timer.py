"""Time limits of a process that stands still now and then."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from reedspoke.common.stall_tolerant_timer import LATE_S, YIELDS_WHEN_LATE, StallTolerantTimer
from tests.data_plane.virtual_loop import VirtualLoop

LIMIT_S = 0.02
STALL_S = 0.09


@pytest.fixture
def loop() -> Iterator[VirtualLoop]:
    loop = VirtualLoop()
    yield loop
    loop.close()


def after_passes(loop: VirtualLoop, passes: int, order: list[str]) -> None:
    """Note an answer after so many passes of the loop."""
    if passes:
        loop.call_soon(after_passes, loop, passes - 1, order)
    else:
        order.append("answer")


def test_the_timer_fires_at_its_time(loop: VirtualLoop) -> None:
    rang: list[float] = []
    began = loop.time()
    StallTolerantTimer(loop, began + LIMIT_S, lambda: rang.append(loop.time()))
    loop.run_for(LIMIT_S / 2)
    assert rang == []
    loop.run_for(LIMIT_S)
    assert rang == [pytest.approx(began + LIMIT_S, abs=LATE_S)]


@pytest.mark.parametrize("passes", range(1, YIELDS_WHEN_LATE - 1))
def test_responses_that_arrived_during_a_stall_are_handled_first(loop: VirtualLoop, passes: int) -> None:
    order: list[str] = []
    StallTolerantTimer(loop, loop.time() + LIMIT_S, lambda: order.append("limit"))
    loop._virtual.now += STALL_S
    after_passes(loop, passes, order)
    loop.settle()
    assert order == ["answer", "limit"]


def test_a_timer_that_is_on_time_does_not_yield(loop: VirtualLoop) -> None:
    order: list[str] = []
    StallTolerantTimer(loop, loop.time() + LIMIT_S, lambda: order.append("limit"))
    loop.call_at(loop.time() + LIMIT_S, after_passes, loop, 4, order)
    loop.run_for(2 * LIMIT_S)
    assert order == ["limit", "answer"]


@pytest.mark.parametrize("stalled", [False, True])
def test_a_cancelled_timer_does_not_fire(loop: VirtualLoop, stalled: bool) -> None:
    rang: list[bool] = []
    timer = StallTolerantTimer(loop, loop.time() + LIMIT_S, lambda: rang.append(True))
    if stalled:
        loop._virtual.now += STALL_S
        loop.call_soon(loop.call_soon, timer.cancel)
    else:
        timer.cancel()
    loop.run_for(1.0)
    assert rang == []
