"""Random losses within the tolerated number; at each step every further tolerated loss is checked.

A machine counts as lost while it is killed, frozen, cut off, without power or removed, and for the catch-up
time after it or its replacement is back. More faults may be injected into a lost machine. Operators submit
changes all the time.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.events import ShutdownStarted
from reedspoke.control_plane.replication.messages import ViewDecided
from reedspoke.control_plane.replication.view import View
from tests.control_plane.loss_check import check_by_trial, check_records, further_losses
from tests.control_plane.schedule import Operator
from tests.control_plane.simulated_parts import DiskMode
from tests.control_plane.simulation import Simulation

MAX_PAUSE_S = 0.4
LOSS_LASTS_S = (0.1, 2.5)
DEPARTURE_LOOK_S = 0.05
MIN_DEPARTURE_S = 0.3
PROPAGATION_S = 0.2  # time by which a new view has reached all replicas
MAX_DEPARTURE_S = 7.0  # the longest that a process stays after SIGTERM, as in operation
FORGOTTEN_AFTER_S = 1.0
ARMED_MESSAGES = 60
LOSS_SHARE = 0.12  # share of steps that begin with a loss
AGAIN_SHARE = 0.04  # share of steps that begin with another fault of a lost machine
MAX_NOISE = 0.05  # share of messages that are late or duplicated, as after a reconnect
MESSAGE_CHECK_SHARE = 0.03  # share of messages that trigger a check of the records
FOREVER = float("inf")


@dataclass
class Figures:
    """Counts of injected losses and of checks."""

    losses: int = 0
    steps: int = 0
    sets: int = 0
    trials: int = 0


@dataclass
class Lost:
    """A loss that still counts: the lost machine, and its replacement."""

    addresses: set[str] = field(default_factory=set)
    leaving: str = ""  # a machine that will be shut down once its replacement has started
    until: float = FOREVER


Fault = Callable[[Lost, str], None]


class DecidedViews:
    """Checks the decided views: one of each number, with at most one voter changed from view to view."""

    def __init__(self) -> None:
        self._views: dict[int, View] = {}

    def decided(self, view: View) -> None:
        """Record and check a view that a message announces as decided."""
        known = self._views.setdefault(view.number, view)
        assert known == view, f"two views {view.number}: {known} and {view}"
        for number in (view.number, view.number + 1):
            if number in self._views and number - 1 in self._views:
                self._check_successive(self._views[number - 1], self._views[number])

    @staticmethod
    def _check_successive(before: View, after: View) -> None:
        old, new = set(before.voters), set(after.voters)
        assert len(old - new) <= 1, f"two voters go between {before} and {after}"
        assert len(new - old) <= 1, f"two voters come between {before} and {after}"


class LossSchedule:
    """Steps of losses and calls; each step is checked by the records, and a share of them also by trials."""

    def __init__(
        self, simulation: Simulation, tolerated: int, catch_up_s: float, trial_share: float = 0.05
    ) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self._tolerated = tolerated
        self._catch_up_s = catch_up_s
        self._trial_share = trial_share
        self._operator = Operator(simulation)
        self._names = itertools.count(1)
        self._losses: list[Lost] = []
        self._armed: Fault | None = None
        self._armed_for = 0
        self._views = DecidedViews()
        self.figures = Figures()
        simulation.on_send = self._spy

    def play(self, steps: int) -> Figures:
        """Run from the first start on; the first loss comes after the catch-up time."""
        network = self._simulation.network
        network.late = network.duplicated = self._random.choice([0.0, MAX_NOISE])
        end = self._simulation.now + self._catch_up_s
        while self._simulation.now < end:
            self._act()
        self._simulation.on_message = self._on_message
        for _ in range(steps):
            self._lose_now_and_then()
            self._act()
            self._check()
        return self.figures

    # ---- losses ----

    def _lost(self) -> list[Lost]:
        self._losses = [loss for loss in self._losses if loss.until > self._simulation.now]
        return self._losses

    def _lost_addresses(self) -> set[str]:
        return {address for loss in self._lost() for address in loss.addresses}

    def _lose_now_and_then(self) -> None:
        chance = self._random.random()
        if chance < LOSS_SHARE:
            self._lose(armed=False)
        elif chance < 2 * LOSS_SHARE:
            self._lose(armed=True)
        elif chance < 2 * LOSS_SHARE + AGAIN_SHARE:
            self._harm_again()

    def _lose(self, armed: bool) -> None:
        """Lose a machine now, or just before one of the next messages, such as those that decide a view."""
        fault = self._random.choice(
            [self._kill, self._power, self._disk, self._replace, self._leave]
            + [self._freeze, self._isolate, self._stall]
        )
        if armed:
            self._armed = fault
            self._armed_for = self._simulation.message_count + self._random.randint(1, ARMED_MESSAGES)
        else:
            self._begin(fault)

    def _on_message(self, count: int) -> None:
        """Called before each message: some trigger a loss, some a check."""
        if self._armed is not None and count >= self._armed_for:
            fault, self._armed = self._armed, None
            self._begin(fault)
        elif self._random.random() < MESSAGE_CHECK_SHARE:
            self._check_records()

    def _spy(self, effect: SendMessage) -> None:
        if isinstance(effect.message, ViewDecided):
            self._views.decided(effect.message.view)

    def _begin(self, fault: Fault) -> None:
        if len(self._lost()) >= self._tolerated:
            return
        taken = self._lost_addresses() | {loss.leaving for loss in self._lost()}
        idle = [machine.address for machine in self._simulation.running() if machine.address not in taken]
        address = self._random.choice(idle)
        loss = Lost({address})
        self._losses.append(loss)
        self.figures.losses += 1
        fault(loss, address)

    def _harm_again(self) -> None:
        """Let a machine that is back but still counts as lost lose its process, power or disk again."""
        losses = [loss for loss in self._lost() if loss.until < FOREVER]
        if not losses:
            return
        loss = self._random.choice(losses)
        running = [m.address for m in self._simulation.running() if m.address in loss.addresses]
        if running:
            self.figures.losses += 1
            self._random.choice([self._kill, self._power, self._disk])(loss, self._random.choice(running))

    # ---- faults ----

    def _kill(self, loss: Lost, address: str) -> None:
        self._simulation.kill(address, restart_after=None)
        self._back(loss, lambda: self._simulation.start(address))

    def _power(self, loss: Lost, address: str) -> None:
        self._simulation.lose_power(address, restart_after=None)
        self._back(loss, lambda: self._simulation.start(address))

    def _disk(self, loss: Lost, address: str) -> None:
        self._simulation.lose_disk(address, restart_after=None)
        self._back(loss, lambda: self._simulation.start(address))

    def _replace(self, loss: Lost, address: str) -> None:
        """The machine is removed without notice; its replacement starts later."""
        self._simulation.lose_power(address, restart_after=None)
        self._forget(address)
        self._back(loss, lambda: self._add_machine(loss))

    def _leave(self, loss: Lost, address: str) -> None:
        """The machine is shut down with SIGTERM, after or before its replacement starts."""
        if self._random.random() < 0.5:
            loss.addresses.discard(address)  # it still runs, and shuts down gracefully
            loss.leaving = address
            self._add_machine(loss)
            self._at(
                self._random.uniform(0.0, 1.0),
                lambda: depart(self._simulation, address, lambda: self._departed(loss, address)),
            )
            return

        def replace() -> None:
            self._departed(loss, address)
            self._back(loss, lambda: self._add_machine(loss))

        depart(self._simulation, address, replace)

    def _departed(self, loss: Lost, address: str) -> None:
        self._forget(address)
        loss.addresses.add(address)
        loss.leaving = ""
        loss.until = self._simulation.now + self._catch_up_s

    def _freeze(self, loss: Lost, address: str) -> None:
        self._simulation.freeze(address)
        self._back(loss, lambda: self._simulation.thaw(address))

    def _stall(self, loss: Lost, address: str) -> None:
        self._simulation.set_disk(address, DiskMode.STALLS)
        self._back(loss, lambda: self._simulation.set_disk(address, DiskMode.WORKS))

    def _isolate(self, loss: Lost, address: str) -> None:
        network = self._simulation.network
        self._simulation.isolate(address)
        network.holds = self._random.random() < 0.5

        def join() -> None:
            network.cut = {link for link in network.cut if address not in link}

        self._back(loss, join)

    # ---- helpers ----

    def _back(self, loss: Lost, come_back: Callable[[], None]) -> None:
        """End the fault after a while; the loss counts until the machine has had the time to catch up."""
        loss.until = FOREVER

        def back() -> None:
            come_back()
            loss.until = self._simulation.now + self._catch_up_s

        self._at(self._random.uniform(*LOSS_LASTS_S), back)

    def _add_machine(self, loss: Lost) -> None:
        address = f"n{next(self._names)}"
        loss.addresses.add(address)
        simulation = self._simulation
        simulation.add_machine(address)
        running = [machine.address for machine in simulation.running()]
        simulation.change_seeds(tuple(self._random.sample(running, min(3, len(running)))))

    def _forget(self, address: str) -> None:
        def forget() -> None:
            del self._simulation.machines[address]

        self._at(FORGOTTEN_AFTER_S, forget)

    def _at(self, after: float, action: Callable[[], None]) -> None:
        self._simulation.at(self._simulation.now + after, action)

    def _act(self) -> None:
        self._operator.act()
        self._simulation.run(self._random.uniform(0.0, MAX_PAUSE_S))

    def _check(self) -> None:
        self.figures.steps += 1
        self._check_records()
        if self._random.random() < self._trial_share:
            lost = self._lost_addresses()
            for wiped in further_losses(self._simulation, lost, self._budget()):
                check_by_trial(self._simulation, lost, wiped)
                self.figures.trials += 1

    def _check_records(self) -> None:
        self.figures.sets += check_records(self._simulation, self._lost_addresses(), self._budget())

    def _budget(self) -> int:
        return self._tolerated - len(self._lost())


def depart(simulation: Simulation, address: str, on_end: Callable[[], None]) -> None:
    """SIGTERM: the process ends once it is out of the chain, as the program does, or after a time-out."""
    simulation.inject(address, ShutdownStarted())
    machine = simulation.machines[address]
    incarnation, began = machine.incarnation, simulation.now
    last_needed = began

    def look() -> None:
        nonlocal last_needed
        if machine.incarnation != incarnation:
            on_end()
            return
        now = simulation.now
        view = machine.replica.view if machine.replica else None
        if view is None or address in [link.member.address for link in view.chain]:
            last_needed = now
        may_end = now - began >= MIN_DEPARTURE_S and now - last_needed >= PROPAGATION_S
        if may_end or now - began >= MAX_DEPARTURE_S:
            simulation.kill(address, restart_after=None)
            on_end()
        else:
            simulation.at(now + DEPARTURE_LOOK_S, look)

    look()
