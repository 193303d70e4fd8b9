"""What each concern of the reducer stands on: state, the effects asked for, and what the module is told."""

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
OWN_MEMORY = 24  # MB; 17 MB were measured on calm days
CLIENT_MEMORY = 80  # KB: a body of 64 KB, a head, a stream and its coroutine
CALLERS = 16  # at the operators' door at once; those it needs and no more, each holds a descriptor
DOOR = CALLERS + 2  # descriptors set aside for it: its listener, and a caller taken in before one goes
SPARE_LEGS = 4  # for probes, beyond one leg for each client
SELDOM = 10 * SECOND  # between lines on the same matter that clients or hosts can cause at will


Reactions = dict[type, Callable[[Any], None]]  # by the type of the event
Rings = dict[str, Callable[[int], None]]  # by the first part of the timer's key


@dataclass(slots=True, frozen=True)
class Further:
    """What parts beyond the platform's program take of the limits."""

    descriptors: int = 0
    memory_mb: float = 0
    client_kb: float = 0  # for each client


@dataclass(slots=True, frozen=True)
class Budget:
    """Descriptors: a client that is served needs one of its own and one for its leg."""

    clients: int
    legs: int
    sockets: int = 0  # what it was made of
    memory_mb: float = 0
    door: int = 0
    further: Further = Further()

    @classmethod
    def of(
        cls, sockets: int, memory_mb: float = 192, door: int = 0, further: Further | None = None
    ) -> Budget:
        """Each client may hold the largest body. Usual ones take a third of the descriptors at most, and that
        many are always taken in."""
        further = further or Further()
        sockets_left = sockets - further.descriptors
        clients = (sockets_left - OWN_DESCRIPTORS - door - SPARE_LEGS) // 2
        own, each = OWN_MEMORY + further.memory_mb, CLIENT_MEMORY + further.client_kb
        held = int((memory_mb - own) * 1024 / each)
        clients = min(clients, max(held, sockets_left // 3))
        clients = max(1, clients)
        return cls(clients, clients + SPARE_LEGS, sockets, memory_mb, door, further)


class Core:
    """What every concern shares: the state, the time, what is asked for, and what the module will be told."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        budget: Budget,
        directory: tuple[str, int] = ("", 0),
        inherited: bool = False,
    ) -> None:
        self.state = State(directory=directory, inherited=inherited)
        self.state.settled = self.state.accepting = not inherited
        self.module = Dispatcher(settings, seed)
        self.settings = settings
        self.budget = self.whole = budget
        self.now = 0
        self.effects: list[fx.Effect] = []
        self.told: deque[api.Event] = deque()  # for the module, in the order in which it happened

    def ask(self, effect: fx.Effect) -> None:
        self.effects.append(effect)

    def tell(self, event: api.Event) -> None:
        """The module hears of it once the event in hand is handled."""
        self.told.append(event)

    def ring(self, key: fx.TimerKey, at: int) -> None:
        self.effects.append(fx.Ring(key, at))

    def quiet(self, key: fx.TimerKey) -> None:
        self.effects.append(fx.Quiet(key))

    def fault(self, text: str) -> None:
        self.count("faults")
        self.effects.append(fx.Say(text, fault=True))

    def say_seldom(self, about: str, text: str) -> None:
        """Guards the log against those who can cause a line as often as they like."""
        if self.now - self.state.told.get(about, 0) >= SELDOM:
            self.state.told[about] = self.now
            self.effects.append(fx.Say(text))

    def count(self, what: str) -> None:
        self.state.figures[what] += 1

    def tally(self, what: str, cls: str = "") -> None:
        """For the operators' figures."""
        self.state.counted[what, cls] += 1

    def most(self, what: str, number: int) -> None:
        self.state.figures[f"most {what}"] = max(self.state.figures[f"most {what}"], number)


class Concern:
    """One subject of the reducer. It names the events and the timers that are its own, and knows the concerns
    that it is given; nothing is inherited from them."""

    def __init__(self, core: Core) -> None:
        self.core, self.state = core, core.state

    def reactions(self) -> Reactions:
        return {}

    def rings(self) -> Rings:
        return {}

    def after(self) -> None:
        """Called behind each event, whosever it was."""
