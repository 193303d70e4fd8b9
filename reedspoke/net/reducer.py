"""The reducer, the only place where state changes: it takes an event and the time, and returns effects.

The decision module is called only here. It selects workers, retries, rejects and delays requests; the code
around it enforces the platform's rules: what counts as sent, what the module is notified of, and that each
request gets exactly one response. Each component is a module of its own, composed here: `clients`,
`attempts`, `workers`, `lifecycle`, `administration`. Extensions add components with `add`.
"""

from __future__ import annotations

import traceback

from reedspoke import interface as api
from reedspoke.logic import Dispatcher
from reedspoke.net import effects as fx
from reedspoke.net.administration import Administration
from reedspoke.net.attempts import Attempts
from reedspoke.net.clients import Clients
from reedspoke.net.core import Budget, Component, Core, EventHandlers, TimerHandlers
from reedspoke.net.lifecycle import Lifecycle
from reedspoke.net.state import State
from reedspoke.net.workers import Workers


class Reducer:
    """Dispatches events to the components, and carries out the decision module's actions."""

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
        self.attempts = Attempts(core, self.clients, conn_idle)
        self.workers = Workers(core, self.clients, self.attempts)
        self.lifecycle = Lifecycle(core, self.attempts, self.workers)
        self.administration = Administration(core, self.clients, self.workers)
        self._event_handlers: EventHandlers = {fx.TimerFired: self._on_timer_fired}
        self._after_event: list[Component] = []
        self._timer_handlers: TimerHandlers = {"module": self._on_module_timer}
        for component in (self.clients, self.attempts, self.workers, self.lifecycle, self.administration):
            self.add(component)

    def add(self, component: Component) -> None:
        """Register the event and timer handlers of a component.

        Raises ValueError if another component already handles one of them."""
        event_handlers, timer_handlers = component.event_handlers(), component.timer_handlers()
        if twice := (self._event_handlers.keys() & event_handlers.keys()) or (
            self._timer_handlers.keys() & timer_handlers.keys()
        ):
            raise ValueError(f"two components handle {twice}")
        self._event_handlers.update(event_handlers)
        self._timer_handlers.update(timer_handlers)
        if type(component).after_event is not Component.after_event:
            self._after_event.append(component)

    @property
    def state(self) -> State:
        """The reducer's state."""
        return self.core.state

    @property
    def module(self) -> Dispatcher:
        """The decision module."""
        return self.core.module

    @property
    def settings(self) -> api.Settings:
        """The platform's settings."""
        return self.core.settings

    @property
    def budget(self) -> Budget:
        """The limits currently in force."""
        return self.core.budget

    def handle(self, event: fx.Event, now: int) -> list[fx.Effect]:
        """Handle one event at the time `now` (us) and return the requested effects."""
        core = self.core
        core.now, core.effects = now, []
        self._event_handlers[type(event)](event)
        while core.module_events:
            self._tell(core.module_events.popleft())
        for component in self._after_event:
            component.after_event()
        return core.effects

    # ---- the decision module ----

    def _tell(self, event: api.Event) -> None:
        core = self.core
        try:
            actions = core.module.handle(core.now, event)
        except Exception:  # a defect in the module fails one request and no others
            core.log_fault(f"decision module, at {type(event).__name__}: {traceback.format_exc(limit=-3)}")
            if isinstance(event, api.Request) and (request := core.state.requests.get(event.id)):
                self.clients.answer(request, fx.Outcome.FAILED)
            actions = []
        for action in actions:
            self._carry_out(action)

    def _carry_out(self, action: api.Action) -> None:
        core = self.core
        match action:
            case api.Send():
                self.attempts.send(action)
            case api.SetTimer():
                timer = core.state.next_id()
                core.state.timers[timer] = action.token
                core.set_timer(("module", timer), core.now + action.delay)
            case api.Cancel():
                self.attempts.cancel(action)
            case api.Refuse():
                self._final(action.id, fx.Outcome.REJECTED, action.retry_after)
            case api.Fail():
                self._final(action.id, fx.Outcome.FAILED)
            case api.Watch():
                self.workers.watch()
            case api.Probe():
                self.attempts.probe(action)
            case api.Log():
                core.request_effect(fx.WriteLog(f"module: {action.text}"))

    def _final(self, number: int, outcome: fx.Outcome, retry_after: int = 0) -> None:
        request = self.core.state.requests.get(number)
        if request is None or not request.open:
            self.core.log_fault(f"decision module: answers a request that is not open ({outcome.value})")
            return
        self.clients.answer(request, outcome, retry_after=retry_after)

    def _on_timer_fired(self, event: fx.TimerFired) -> None:
        what, number = event.key
        self._timer_handlers[what](number)

    def _on_module_timer(self, number: int) -> None:
        self.core.notify_module(api.Timer(self.core.state.timers.pop(number)))
