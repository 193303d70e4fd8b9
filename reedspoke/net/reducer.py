"""The one place where state changes: takes an event and the time, returns the effects to carry out.

Only here is the decision module called. It picks hosts, repeats, declines and delays; what stands around it
keeps the platform's rules: what counts as sent, what is told of it, and that each authorisation gets one
answer. Each concern is a module of its own, from `core` up: `clients`, `legs`, `hosts`, `lifecycle`,
`upkeep`.
"""

from __future__ import annotations

import traceback
from collections.abc import Callable
from typing import Any

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.core import Budget
from reedspoke.net.legs import IDLE_MOST, IDLE_SHARE
from reedspoke.net.upkeep import Upkeep


class Reducer(Upkeep):
    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        budget: Budget,
        conn_idle: int = 0,
        directory: tuple[str, int] = ("", 0),
        inherited: bool = False,
    ) -> None:
        super().__init__(settings, seed, budget, directory, inherited)
        self.conn_idle = int(conn_idle * IDLE_SHARE) or IDLE_MOST
        self._reactions: dict[type, Callable[[Any], None]] = {
            fx.Joined: self._on_joined, fx.Reading: self._on_reading, fx.Arrived: self._on_arrived,
            fx.Answered: self._on_answered, fx.Parted: self._on_parted, fx.Opened: self._on_opened,
            fx.Heard: self._on_heard, fx.Ending: self._on_ending, fx.Refused: self._on_refused,
            fx.Written: self._on_written, fx.Noted: self._on_noted, fx.Concluded: self._on_concluded,
            fx.Freed: self._on_freed, fx.Broken: self._on_broken, fx.Listed: self._on_listed,
            fx.Beaten: self._on_beaten, fx.Unlisted: self._on_unlisted, fx.Rung: self._on_rung,
            fx.Listening: self._on_listening, fx.Stop: self._on_stop, fx.Reload: self._on_reload,
            fx.Reloaded: self._on_reloaded, fx.Unloaded: self._on_unloaded, fx.Rang: self._on_rang,
            fx.Called: self._on_called, fx.Hungup: self._on_hungup, fx.Ordered: self._on_ordered,
            fx.Unrecorded: self._on_unrecorded, fx.Accompanied: self._on_accompanied,
        }  # fmt: skip
        self._rings: dict[str, Callable[[int], None]] = {
            "module": self._ring_module, "leg": self._ring_leg, "idle": self._ring_idle,
            "mute": self._ring_mute, "guard": self._ring_guard, "client": self._ring_client,
            "silence": self._ring_silence, "room": lambda _: self._make_room(), "leave": self._ring_leave,
            "last call": self._ring_last_call, "end": self._ring_end, "caller": self._ring_caller,
            "away": self._ring_away, "record": self._ring_record, "look": self._ring_look,
            "settle": lambda _: self._settle(),
        }  # fmt: skip

    def handle(self, event: fx.Event, now: int) -> list[fx.Effect]:
        self.now, self._effects = now, []
        self._reactions[type(event)](event)
        while self._told:
            self._tell(self._told.popleft())
        self._see_end()
        return self._effects

    # ---- the module ----

    def _tell(self, event: api.Event) -> None:
        try:
            actions = self.module.handle(self.now, event)
        except Exception:  # a fault there costs one authorisation, not all the others
            self._fault(f"decision module, at {type(event).__name__}: {traceback.format_exc(limit=-3)}")
            if isinstance(event, api.Request) and (auth := self.state.authorisations.get(event.id)):
                self._answer(auth, fx.Verdict.FAILED)
            actions = []
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                timer = self.state.next_id()
                self.state.timers[timer] = action.token
                self._ring(("module", timer), self.now + action.after)
            case api.Cancel():
                self._cancel(action)
            case api.Refuse():
                self._final(action.id, fx.Verdict.DECLINED, action.retry_after)
            case api.Fail():
                self._final(action.id, fx.Verdict.FAILED)
            case api.Watch():
                self._count("watches")
                self._follow()
            case api.Probe():
                self._probe(action)
            case api.Log():
                self._effects.append(fx.Say(f"module: {action.text}"))

    def _final(self, number: int, verdict: fx.Verdict, retry_after: int = 0) -> None:
        auth = self.state.authorisations.get(number)
        if auth is None or not auth.open:
            self._fault(f"the module answers an authorisation that is not open ({verdict.value})")
            return
        self._answer(auth, verdict, retry_after=retry_after)

    def _cancel(self, action: api.Cancel) -> None:
        auth = self.state.authorisations.get(action.id)
        leg = auth.out.get(action.attempt) if auth else None
        if leg is not None:
            self._hang_up(self.state.conns[leg.conn])
            self._outcome(leg, api.Reason.CANCELLED)

    def _on_rung(self, event: fx.Rung) -> None:
        what, number = event.key
        self._rings[what](number)

    def _ring_module(self, number: int) -> None:
        self._told.append(api.Timer(self.state.timers.pop(number)))
