"""Passes events to the reducer, one at a time, and executes the effects that it returns, in order."""

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
from reedspoke.net.timer_wheel import TimerWheel

log = logging.getLogger("reedspoke")

TICK = 5 * MS
LAG_WARNING = 50 * MS  # a larger lag of the event loop is logged as a warning
COUNTERS_INTERVAL = 10 * SECOND  # between log lines with the counters


class Clock:
    """Unix time in microseconds that never jumps: read once, then advanced by the monotonic clock."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def now(self) -> int:
        """The time, us."""
        return (self._offset + time.monotonic_ns()) // 1000


class EffectHandler(Protocol):
    """A part with sockets that executes the types of effects that it lists."""

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """The handler of each type of effect."""
        ...


class Runtime:
    """Connects the reducer to the event loop: events, effects and timers."""

    def __init__(self, clock: Clock, reducer: Reducer) -> None:
        self.clock = clock
        self.reducer = reducer
        self.stopped = asyncio.Event()
        self._events: deque[tuple[fx.Event, int]] = deque()
        self._busy = False
        self._wheel = TimerWheel(TICK, clock.now())
        self._ticking = False
        self._lag = 0
        self._logged_at = clock.now()
        self._handlers: dict[type, Callable[[Any], None]] = {
            fx.SetTimer: self._set_timer,
            fx.CancelTimer: lambda effect: self._wheel.stop(effect.key),
            fx.WriteLog: self._log,
            fx.Exit: lambda _: self.stopped.set(),
        }

    def attach(self, part: EffectHandler) -> None:
        """Register the handlers of a part."""
        self._handlers.update(part.effects())

    def emit(self, event: fx.Event) -> None:
        """Handle an event; events that its effects cause at once are queued after it."""
        self._events.append((event, self.clock.now()))
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                event, now = self._events.popleft()
                for effect in self.reducer.handle(event, now):
                    self._execute(effect)
        finally:
            self._busy = False

    def _execute(self, effect: fx.Effect) -> None:
        try:
            self._handlers[type(effect)](effect)
        except Exception:  # a failed effect must not prevent the others
            log.exception("fault: effect %s", type(effect).__name__)

    def _log(self, effect: fx.WriteLog) -> None:
        if effect.fault:
            log.error("fault: %s", effect.text)
        else:
            log.info("%s", effect.text)

    # ---- time ----

    def _set_timer(self, effect: fx.SetTimer) -> None:
        self._wheel.set(effect.key, effect.at)
        if not self._ticking:
            self._ticking = True
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        now = self.clock.now()
        due = (now // TICK + 1) * TICK
        asyncio.get_running_loop().call_later((due - now) / SECOND, self._on_tick, due)

    def _on_tick(self, due: int) -> None:
        now = self.clock.now()
        self._lag = max(self._lag, now - due)
        for key in self._wheel.advance(now):
            self.emit(fx.TimerFired(key))  # type: ignore[arg-type]
        if now - self._logged_at >= COUNTERS_INTERVAL:
            self.log_counters()
        self._ticking = len(self._wheel) > 0 and not self.stopped.is_set()
        if self._ticking:
            self._schedule_tick()

    def log_counters(self) -> None:
        """Log the counters since the start and the largest lag of the event loop since the last such line."""
        if self._lag > LAG_WARNING:
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
        self._lag, self._logged_at = 0, self.clock.now()

    def ready(self) -> bool:
        """Whether clients may be sent to this process."""
        return self.reducer.state.ready()

    def leaving(self) -> bool:
        """Whether clients are sent away, or the process has ended its service."""
        return self.reducer.state.leaving() or self.reducer.state.phase is ProcessPhase.ENDED
