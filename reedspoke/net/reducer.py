"""The one place where state changes: takes an event and the time, returns the effects to carry out.

Only here is the decision module called. It picks hosts, repeats, declines and delays; what stands around it
keeps the platform's rules: what counts as sent, what is told of it, and that each authorisation gets one
answer. Each concern is a module of its own, composed here: `clients`, `legs`, `hosts`, `lifecycle`, `upkeep`.
A further front brings a concern of its own by `add`.
"""

from __future__ import annotations

import traceback

from reedspoke import interface as api
from reedspoke.logic import Dispatcher
from reedspoke.net import effects as fx
from reedspoke.net.clients import Clients
from reedspoke.net.core import Budget, Concern, Core, Reactions, Rings
from reedspoke.net.hosts import Hosts
from reedspoke.net.legs import Legs
from reedspoke.net.lifecycle import Lifecycle
from reedspoke.net.state import State
from reedspoke.net.upkeep import Upkeep


class Reducer:
    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        budget: Budget,
        conn_idle: int = 0,
        directory: tuple[str, int] = ("", 0),
        inherited: bool = False,
    ) -> None:
        self.core = core = Core(settings, seed, budget, directory, inherited)
        self.clients = Clients(core)
        self.legs = Legs(core, self.clients, conn_idle)
        self.hosts = Hosts(core, self.clients, self.legs)
        self.lifecycle = Lifecycle(core, self.legs, self.hosts)
        self.upkeep = Upkeep(core, self.clients, self.hosts)
        self._reactions: Reactions = {fx.Rung: self._on_rung}
        self._watchful: list[Concern] = []
        self._rings: Rings = {"module": self._ring_module}
        for concern in (self.clients, self.legs, self.hosts, self.lifecycle, self.upkeep):
            self.add(concern)

    def add(self, concern: Concern) -> None:
        """From now on its events and timers are handled; one that has a home already keeps it.

        Raises ValueError where another concern has one of them."""
        reactions, rings = concern.reactions(), concern.rings()
        if twice := (self._reactions.keys() & reactions.keys()) or (self._rings.keys() & rings.keys()):
            raise ValueError(f"two concerns for {twice}")
        self._reactions.update(reactions)
        self._rings.update(rings)
        if type(concern).after is not Concern.after:
            self._watchful.append(concern)

    @property
    def state(self) -> State:
        return self.core.state

    @property
    def module(self) -> Dispatcher:
        return self.core.module

    @property
    def settings(self) -> api.Settings:
        return self.core.settings

    @property
    def budget(self) -> Budget:
        return self.core.budget

    def handle(self, event: fx.Event, now: int) -> list[fx.Effect]:
        core = self.core
        core.now, core.effects = now, []
        self._reactions[type(event)](event)
        while core.told:
            self._tell(core.told.popleft())
        for concern in self._watchful:
            concern.after()
        return core.effects

    # ---- the module ----

    def _tell(self, event: api.Event) -> None:
        core = self.core
        try:
            actions = core.module.handle(core.now, event)
        except Exception:  # a fault there costs one authorisation, not all the others
            core.fault(f"decision module, at {type(event).__name__}: {traceback.format_exc(limit=-3)}")
            if isinstance(event, api.Request) and (auth := core.state.authorisations.get(event.id)):
                self.clients.answer(auth, fx.Verdict.FAILED)
            actions = []
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        core = self.core
        match action:
            case api.Send():
                self.legs.send(action)
            case api.SetTimer():
                timer = core.state.next_id()
                core.state.timers[timer] = action.token
                core.ring(("module", timer), core.now + action.delay)
            case api.Cancel():
                self.legs.cancel(action)
            case api.Refuse():
                self._final(action.id, fx.Verdict.DECLINED, action.retry_after)
            case api.Fail():
                self._final(action.id, fx.Verdict.FAILED)
            case api.Watch():
                self.hosts.watch()
            case api.Probe():
                self.legs.probe(action)
            case api.Log():
                core.ask(fx.Say(f"module: {action.text}"))

    def _final(self, number: int, verdict: fx.Verdict, retry_after: int = 0) -> None:
        auth = self.core.state.authorisations.get(number)
        if auth is None or not auth.open:
            self.core.fault(f"the module answers an authorisation that is not open ({verdict.value})")
            return
        self.clients.answer(auth, verdict, retry_after=retry_after)

    def _on_rung(self, event: fx.Rung) -> None:
        what, number = event.key
        self._rings[what](number)

    def _ring_module(self, number: int) -> None:
        self.core.tell(api.Timer(self.core.state.timers.pop(number)))
