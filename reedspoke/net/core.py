"""What each component of the reducer stands on: state, the effects asked for, and what the module is told."""

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
OWN_DESCRIPTORS = 20  # standard streams, the loop's own, listener, directory, the configuration
OWN_MEMORY_MB = 24  # MB; 17 MB were measured on calm days
CLIENT_MEMORY_KB = 80  # KB: a body of 64 KB, a head, a stream and its coroutine
MAX_OPERATOR_CALLS = 16  # at the operators' door at once; those it needs and no more, each holds a descriptor
OPERATOR_DESCRIPTORS = (
    MAX_OPERATOR_CALLS + 2
)  # descriptors set aside for it: its listener, and a caller taken in before one goes
SPARE_ATTEMPTS = 4  # for probes, beyond one leg for each client
LOG_INTERVAL = 10 * SECOND  # between lines on the same matter that clients or hosts can cause at will


EventHandlers = dict[type, Callable[[Any], None]]  # by the type of the event
TimerHandlers = dict[str, Callable[[int], None]]  # by the first part of the timer's key


@dataclass(slots=True, frozen=True)
class ExtensionLimits:
    """What parts beyond the platform's program take of the limits."""

    descriptors: int = 0
    memory_mb: float = 0
    client_kb: float = 0  # for each client


@dataclass(slots=True, frozen=True)
class Budget:
    """Descriptors: a client that is served needs one of its own and one for its leg."""

    clients: int
    attempts: int
    sockets: int = 0  # what it was made of
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
        """Each client may hold the largest body. Usual ones take a third of the descriptors at most, and that
        many are always taken in."""
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
        self.module_events: deque[api.Event] = deque()  # for the module, in the order in which it happened

    def request_effect(self, effect: fx.Effect) -> None:
        self.effects.append(effect)

    def notify_module(self, event: api.Event) -> None:
        """The module hears of it once the event in hand is handled."""
        self.module_events.append(event)

    def set_timer(self, key: fx.TimerKey, at: int) -> None:
        self.effects.append(fx.SetTimer(key, at))

    def cancel_timer(self, key: fx.TimerKey) -> None:
        self.effects.append(fx.CancelTimer(key))

    def log_fault(self, text: str) -> None:
        self.count("faults")
        self.effects.append(fx.WriteLog(text, fault=True))

    def log_rate_limited(self, about: str, text: str) -> None:
        """Guards the log against those who can cause a line as often as they like."""
        if self.now - self.state.last_logged_at.get(about, 0) >= LOG_INTERVAL:
            self.state.last_logged_at[about] = self.now
            self.effects.append(fx.WriteLog(text))

    def count(self, what: str) -> None:
        self.state.log_counters[what] += 1

    def count_metric(self, what: str, cls: str = "") -> None:
        """For the operators' figures."""
        self.state.metric_counters[what, cls] += 1

    def record_maximum(self, what: str, number: int) -> None:
        self.state.log_counters[f"most {what}"] = max(self.state.log_counters[f"most {what}"], number)


class Component:
    """One subject of the reducer. It names the events and the timers that are its own, and knows the
    components that it is given; nothing is inherited from them."""

    def __init__(self, core: Core) -> None:
        self.core, self.state = core, core.state

    def event_handlers(self) -> EventHandlers:
        return {}

    def timer_handlers(self) -> TimerHandlers:
        return {}

    def after_event(self) -> None:
        """Called behind each event, whosever it was."""
