"""The base of all reducer components: state, requested effects, and events for the decision module."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from reedspoke import interface as api
from reedspoke.logic import Dispatcher
from reedspoke.net import effects as fx
from reedspoke.net.state import State

MS = 1000
SECOND = 1000 * MS
OWN_DESCRIPTORS = 20  # standard streams, event loop, listener, directory, configuration
OWN_MEMORY_MB = 24  # an idle process uses 17 MB
CLIENT_MEMORY_KB = 80  # a body of 64 KB, a header, a stream and its coroutine
MAX_OPERATOR_CALLS = 16  # concurrent operator connections; each holds a descriptor
OPERATOR_DESCRIPTORS = (
    MAX_OPERATOR_CALLS + 2
)  # plus the listener, and a connection accepted before one closes
SPARE_ATTEMPTS = 4  # for probes, beyond one attempt for each client
LOG_INTERVAL = 10 * SECOND  # between log lines on one subject that clients or workers can trigger


EventHandlers = dict[type, Callable[[Any], None]]  # by the type of the event
TimerHandlers = dict[str, Callable[[int], None]]  # by the first part of the timer's key


@dataclass(slots=True, frozen=True)
class ExtensionLimits:
    """The share of the limits that is reserved for extensions."""

    descriptors: int = 0
    memory_mb: float = 0
    client_kb: float = 0  # for each client


@dataclass(slots=True, frozen=True)
class Budget:
    """Limits on clients and attempts. A client needs one descriptor for its connection and one for its
    attempt."""

    clients: int
    attempts: int
    sockets: int = 0  # the descriptor limit that it was derived from
    memory_mb: float = 0
    operator_descriptors: int = 0
    extensions: ExtensionLimits = ExtensionLimits()

    @classmethod
    def of(
        cls,
        sockets: int,
        memory_mb: float = 192,
        operator_descriptors: int = 0,
        extensions: ExtensionLimits | None = None,
    ) -> Budget:
        """Derive the budget from the descriptor and memory limits.

        Memory is calculated for the largest body of each client. Clients always get a third of the
        descriptors, since usual bodies are much smaller."""
        extensions = extensions or ExtensionLimits()
        sockets_left = sockets - extensions.descriptors
        clients = (sockets_left - OWN_DESCRIPTORS - operator_descriptors - SPARE_ATTEMPTS) // 2
        own, each = OWN_MEMORY_MB + extensions.memory_mb, CLIENT_MEMORY_KB + extensions.client_kb
        held = int((memory_mb - own) * 1024 / each)
        clients = min(clients, max(held, sockets_left // 3))
        clients = max(1, clients)
        return cls(clients, clients + SPARE_ATTEMPTS, sockets, memory_mb, operator_descriptors, extensions)


class Core:
    """State, time, requested effects and queued module events, shared by all components."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        budget: Budget,
        directory: tuple[str, int] = ("", 0),
        inherited: bool = False,
    ) -> None:
        self.state = State(directory=directory, inherited=inherited)
        self.state.workers_known = self.state.accepting = not inherited
        self.module = Dispatcher(settings, seed)
        self.settings = settings
        self.budget = self.full_budget = budget
        self.now = 0
        self.effects: list[fx.Effect] = []
        self.module_events: deque[api.Event] = (
            deque()
        )  # events for the decision module, in order of occurrence

    def request_effect(self, effect: fx.Effect) -> None:
        """Add an effect to those that the runtime will carry out."""
        self.effects.append(effect)

    def notify_module(self, event: api.Event) -> None:
        """Queue an event for the decision module, delivered after the current event is handled."""
        self.module_events.append(event)

    def set_timer(self, key: fx.TimerKey, at: int) -> None:
        """Set or replace the timer of this key; `at` is in us of Unix time."""
        self.effects.append(fx.SetTimer(key, at))

    def cancel_timer(self, key: fx.TimerKey) -> None:
        """Cancel the timer of this key, if it is set."""
        self.effects.append(fx.CancelTimer(key))

    def log_fault(self, text: str) -> None:
        """Count and log a defect of this program or of the decision module."""
        self.count("faults")
        self.effects.append(fx.WriteLog(text, fault=True))

    def log_rate_limited(self, about: str, text: str) -> None:
        """Log at most one line per `LOG_INTERVAL` about a subject that clients or workers can trigger."""
        if self.now - self.state.last_logged_at.get(about, 0) >= LOG_INTERVAL:
            self.state.last_logged_at[about] = self.now
            self.effects.append(fx.WriteLog(text))

    def count(self, what: str) -> None:
        """Increment a counter of the periodic log line."""
        self.state.log_counters[what] += 1

    def count_metric(self, what: str, cls: str = "") -> None:
        """Increment a metric that operators read."""
        self.state.metric_counters[what, cls] += 1

    def record_maximum(self, what: str, number: int) -> None:
        """Record the highest value of a number in the periodic log line."""
        self.state.log_counters[f"most {what}"] = max(self.state.log_counters[f"most {what}"], number)


class Component:
    """One component of the reducer. It declares the events and timers that it handles, and calls the other
    components that it is given."""

    def __init__(self, core: Core) -> None:
        self.core, self.state = core, core.state

    def event_handlers(self) -> EventHandlers:
        """Return the handlers of its events."""
        return {}

    def timer_handlers(self) -> TimerHandlers:
        """Return the handlers of its timers."""
        return {}

    def after_event(self) -> None:
        """Run after each event, whichever component handled it."""
