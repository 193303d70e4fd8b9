"""Feeds events to the reducer and carries out the effects that it asks for, in order, one event at a time."""

from __future__ import annotations

import asyncio
import logging
import resource
import time
from collections import deque
from collections.abc import Callable
from typing import Any, Protocol

from reedspoke.net import effects as fx
from reedspoke.net.core import MS, SECOND
from reedspoke.net.reducer import Reducer
from reedspoke.net.state import ProcessPhase
from reedspoke.net.wheel import Wheel

log = logging.getLogger("reedspoke")

TICK = 5 * MS
LAG_TOLD = 50 * MS
FIGURES_EVERY = 10 * SECOND


class Clock:
    """Microseconds of Unix time that never step: taken once, then carried on by the monotonic clock."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        return (self._offset + time.monotonic_ns()) // 1000


class Part(Protocol):
    """A part with sockets; it takes the effects that it names."""

    def effects(self) -> dict[type, Callable[[Any], None]]: ...


class Runtime:
    def __init__(self, clock: Clock, reducer: Reducer) -> None:
        self.clock = clock
        self.reducer = reducer
        self.over = asyncio.Event()
        self._events: deque[tuple[fx.Event, int]] = deque()
        self._busy = False
        self._wheel = Wheel(TICK, clock.now())
        self._turning = False
        self._lag = 0
        self._told_at = clock.now()
        self._doing: dict[type, Callable[[Any], None]] = {
            fx.SetTimer: self._ring,
            fx.CancelTimer: lambda effect: self._wheel.stop(effect.key),
            fx.WriteLog: self._say,
            fx.Exit: lambda _: self.over.set(),
        }

    def attach(self, part: Part) -> None:
        self._doing.update(part.effects())

    def emit(self, event: fx.Event) -> None:
        """Tell the reducer; what its effects cause at once is told behind it."""
        self._events.append((event, self.clock.now()))
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event, now = self._events.popleft()
                for effect in self.reducer.handle(event, now):
                    self._do(effect)
        finally:
            self._busy = False

    def _do(self, effect: fx.Effect) -> None:
        try:
            self._doing[type(effect)](effect)
        except Exception:  # one effect that fails must not take the others with it
            log.exception("fault: effect %s", type(effect).__name__)

    def _say(self, effect: fx.WriteLog) -> None:
        if effect.fault:
            log.error("fault: %s", effect.text)
        else:
            log.info("%s", effect.text)

    # ---- time ----

    def _ring(self, effect: fx.SetTimer) -> None:
        self._wheel.set(effect.key, effect.at)
        if not self._turning:
            self._turning = True
            self._turn_next()

    def _turn_next(self) -> None:
        now = self.clock.now()
        due = (now // TICK + 1) * TICK
        asyncio.get_running_loop().call_later((due - now) / SECOND, self._turn, due)

    def _turn(self, due: int) -> None:
        now = self.clock.now()
        self._lag = max(self._lag, now - due)
        for key in self._wheel.advance(now):
            self.emit(fx.TimerFired(key))  # type: ignore[arg-type]
        if now - self._told_at >= FIGURES_EVERY:
            self.tell_figures()
        self._turning = len(self._wheel) > 0 and not self.over.is_set()
        if self._turning:
            self._turn_next()

    def tell_figures(self) -> None:
        """One line: what was counted since the start, and the loop's worst lag since the last such line."""
        if self._lag > LAG_TOLD:
            log.warning("loop lag: %d ms", self._lag // MS)
        rss = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024
        state = self.reducer.state
        counted = " ".join(
            f"{name.replace(' ', '_')}={count}" for name, count in sorted(state.log_counters.items())
        )
        log.info(
            "figures: lag_ms=%.1f rss_mb=%d open=%d %s",
            self._lag / MS,
            rss,
            len(state.open_request_ids),
            counted,
        )
        self._lag, self._told_at = 0, self.clock.now()

    def ready(self) -> bool:
        return self.reducer.state.ready()

    def leaving(self) -> bool:
        return self.reducer.state.leaving() or self.reducer.state.phase is ProcessPhase.ENDED
