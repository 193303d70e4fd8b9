"""What operators ask for: hosts left out by hand, clients sent away, and the door's callers themselves."""

from __future__ import annotations

from reedspoke.net import effects as fx
from reedspoke.net.core import CALLERS, MS, SECOND
from reedspoke.net.lifecycle import Lifecycle
from reedspoke.net.state import Standing

CALL = 2 * SECOND  # for the bytes of one call, and for the end of its connection
AWAY = 600 * MS  # from the drain on: the front asks ten times a second and stops 0.2 s after a no
AWAY_AGAIN = 200 * MS  # between looks at who is idle, or has connected and says nothing


class Upkeep(Lifecycle):
    # ---- the door ----

    def _on_rang(self, event: fx.Rang) -> None:
        """Guards the door against callers that never end their call: the one that waits longest goes for the
        newest, so that a whole call is always read at once."""
        callers = self.state.callers
        while len(callers) >= CALLERS:
            waiting = (caller for caller, called in callers.items() if not called)
            self._dismiss(next(waiting, next(iter(callers))))
        callers[event.caller] = False
        self._ring(("caller", event.caller), self.now + CALL)

    def _dismiss(self, caller: int) -> None:
        del self.state.callers[caller]
        self._quiet(("caller", caller))
        self._count("callers dismissed")
        self._effects.append(fx.Dismiss(caller))

    def _on_hungup(self, event: fx.Hungup) -> None:
        if self.state.callers.pop(event.caller, None) is not None:
            self._quiet(("caller", event.caller))

    def _ring_caller(self, caller: int) -> None:
        if caller in self.state.callers:
            self._dismiss(caller)

    def _on_called(self, event: fx.Called) -> None:
        state = self.state
        if event.caller not in state.callers:
            return
        state.callers[event.caller] = True
        word = fx.Word.YES
        match event.order:
            case fx.Order.READY:
                word = fx.Word.YES if state.able() else fx.Word.NO
            case fx.Order.SUSPEND | fx.Order.RESUME:
                if event.host in state.ever_listed or event.host in state.suspended:
                    self._suspend(event.host, event.order is fx.Order.SUSPEND)
                else:
                    word = fx.Word.UNKNOWN
            case fx.Order.DRAIN | fx.Order.ACTIVATE:
                self._drain(event.order is fx.Order.DRAIN)
        self._effects.append(fx.Reply(event.caller, word, event.order is fx.Order.FIGURES))

    # ---- hosts left out by hand ----

    def _suspend(self, uid: str, on: bool) -> None:
        """In force once this has returned: nothing that is queued, or still dials, goes there any more."""
        state, host = self.state, self.state.hosts.get(uid)
        if on == (uid in state.suspended):
            return
        if on:
            state.suspended[uid] = host.endpoint if host is not None else ("", 0)
        else:
            del state.suspended[uid]
        self._effects.append(fx.Say(f"operators: issuer host {uid} {'suspended' if on else 'resumed'}"))
        self._heed_bans()

    # ---- clients sent away ----

    def _drain(self, on: bool) -> None:
        if on == self.state.drained:
            return
        self.state.drained = on
        self._effects.append(fx.Say(f"operators: {'drained' if on else 'active'}"))
        if on:
            self._ring(("away", 0), self.now + AWAY)
        else:
            self._quiet(("away", 0))

    def _ring_away(self, _: int) -> None:
        """Sends away those who are owed nothing; who has only just connected may be about to ask."""
        state = self.state
        if not state.drained:
            return
        for standing, clients in state.resting.items():
            for number in clients:
                if standing is not Standing.SILENT or self.now >= state.clients[number].joined + AWAY:
                    self._effects.append(fx.Drop(number))
        self._ring(("away", 0), self.now + AWAY_AGAIN)
