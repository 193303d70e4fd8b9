"""Losses that overlap beyond the tolerated number, while no more disks are lost than tolerated.

In each round any machine may be killed, frozen, cut off, without power, have a disk that is full or stalls,
or be shut down, all at once and at any message or view. Only the machines drawn for the round, at most as
many as tolerated, may lose their disks or be replaced, each once. Once all are back, the newest acknowledged
change is read and a further one is acknowledged within `RECOVERY_S`. Many schedules:
`python -m tests.control_plane.overlapping_losses --steps N --seed S`.
"""

from __future__ import annotations

import argparse
import itertools
import sys
from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.view import View
from tests.control_plane.loss_schedule import depart
from tests.control_plane.schedule import Operator, check_end
from tests.control_plane.simulated_parts import DiskMode, IdleComponent, Machine
from tests.control_plane.simulation import Simulation
from tests.control_plane.strength import at_full_strength

RECOVERY_S = 12.0  # `recovery_s` of the smallest deployments
DEPARTURE_LIMIT_S = 10.0
FULL_STRENGTH_LIMIT_S = 30.0
STEPS_PER_ROUND = (4, 16)
MAX_PAUSE_S = 1.2
DOWN_S = (0.2, 3.0)
ARMED_MESSAGES = 80
ARMED_SHARE = 0.35  # share of faults that happen just before one of the next messages
AT_VIEW_SHARE = 0.3  # share of faults that happen as a machine enters the next view
STAYS_DOWN_SHARE = 0.4  # share of the stopped machines that start only at the end of the round

Fault = Callable[[str], None]


class Size(Struct, frozen=True):
    """A size of the core."""

    machines: int
    tolerated: int


SIZES = (Size(3, 1), Size(5, 2), Size(4, 1), Size(6, 2))


class ViewFaults(IdleComponent):
    """Carries out a fault as any machine enters the next view."""

    def __init__(self) -> None:
        self.armed: Callable[[], None] | None = None

    def view_changed(self, machine: Machine, view: View) -> None:
        """A replica acts in a newer view."""
        if self.armed is not None:
            fault, self.armed = self.armed, None
            fault()


class OverlappingLosses:
    """Rounds of overlapping losses, each followed by a full recovery."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self._operator = Operator(simulation)
        self._names = itertools.count(1)
        self._view_faults = ViewFaults()
        self._armed: Callable[[], None] | None = None
        self._armed_for = 0
        self._may_lose_disk: set[str] = set()
        self._departures = 0  # processes that have got SIGTERM and have not ended yet
        self.steps = 0
        simulation.components.append(self._view_faults)
        simulation.on_message = self._on_message

    def play(self, steps: int) -> None:
        """Play rounds until this number of steps is reached. Raises AssertionError for a violation."""
        while self.steps < steps:
            self._settle()
            self._round()
            self._recover()
        self._settle()
        assert self._simulation.run_until(self._no_open_calls, RECOVERY_S), "a call is not answered"
        check_end(self._simulation)

    def _no_open_calls(self) -> bool:
        return not any(change.open_calls for change in self._simulation.judge.changes.values())

    def _settle(self) -> None:
        simulation = self._simulation
        assert simulation.run_until(
            lambda: at_full_strength(simulation, simulation.tolerated), FULL_STRENGTH_LIMIT_S
        ), f"not at full strength: {simulation.newest_view()}"
        simulation.run(self._random.uniform(0.0, MAX_PAUSE_S))

    def _round(self) -> None:
        simulation = self._simulation
        machines = list(simulation.machines)
        self._may_lose_disk = set(
            self._random.sample(machines, self._random.randint(0, simulation.tolerated))
        )
        for _ in range(self._random.randint(*STEPS_PER_ROUND)):
            self.steps += 1
            self._begin_fault()
            for _ in range(self._random.randint(0, 3)):
                self._operator.act()
                simulation.run(self._random.uniform(0.0, MAX_PAUSE_S / 2))
        self._armed = self._view_faults.armed = None

    def _recover(self) -> None:
        """All machines are back: the newest acknowledged change is read, and one more is acknowledged."""
        simulation = self._simulation
        simulation.heal()
        for address in list(simulation.machines):
            simulation.start(address)
        assert simulation.run_until(lambda: not self._departures, DEPARTURE_LIMIT_S)
        for address in list(simulation.machines):
            simulation.start(address)
        deadline = simulation.now + RECOVERY_S
        for number in itertools.count(1):
            assert simulation.now < deadline, f"not recovered: {simulation.newest_view()}"
            simulation.run(0.1)
            address = self._random.choice(list(simulation.machines))
            if simulation.machines[address].replica is None:
                simulation.start(address)
                continue
            acknowledged = simulation.judge.newest_acknowledged
            read = simulation.get_and_wait(address)
            if read is None or read.error is ErrorCode.NO_QUORUM:
                continue
            match = read.committed.generation if read.committed else 0
            assert match >= acknowledged
            newest = max((change.generation for change in simulation.judge.changes.values()), default=0)
            document = f"after round {self.steps} try {number}".encode()
            if simulation.put_and_wait(address, match, newest + 1, document) is None:
                return

    # ---- faults ----

    def _begin_fault(self) -> None:
        faults: list[Fault] = [self._kill, self._kill, self._power, self._power, self._disk_trouble]
        faults += [self._freeze, self._isolate, self._leave]
        fault = self._random.choice(faults)
        addresses = list(self._simulation.machines)
        if self._may_lose_disk and self._random.random() < 0.35:
            fault = self._random.choice([self._lose_disk, self._lose_disk, self._replace])
            addresses = sorted(self._may_lose_disk)
        address = self._random.choice(addresses)

        def begin() -> None:
            if address in self._simulation.machines:
                fault(address)

        chance = self._random.random()
        if chance < ARMED_SHARE:
            self._armed = begin
            self._armed_for = self._simulation.message_count + self._random.randint(1, ARMED_MESSAGES)
        elif chance < ARMED_SHARE + AT_VIEW_SHARE:
            self._view_faults.armed = begin
        else:
            begin()

    def _on_message(self, count: int) -> None:
        if self._armed is not None and count >= self._armed_for:
            fault, self._armed = self._armed, None
            fault()

    def _down_s(self) -> float | None:
        stays = self._random.random() < STAYS_DOWN_SHARE
        return None if stays else self._random.uniform(*DOWN_S)

    def _kill(self, address: str) -> None:
        self._simulation.kill(address, self._down_s())

    def _power(self, address: str) -> None:
        self._simulation.lose_power(address, self._down_s())

    def _lose_disk(self, address: str) -> None:
        if address not in self._may_lose_disk:
            return
        self._may_lose_disk.discard(address)
        self._simulation.lose_disk(address, self._down_s())

    def _freeze(self, address: str) -> None:
        simulation = self._simulation
        simulation.freeze(address)

        def thaw() -> None:
            if address in simulation.machines and simulation.machines[address].frozen:
                simulation.thaw(address)

        self._later(thaw)

    def _isolate(self, address: str) -> None:
        simulation = self._simulation
        simulation.isolate(address)
        simulation.network.holds = self._random.random() < 0.5
        self._later(simulation.restore_links)

    def _disk_trouble(self, address: str) -> None:
        simulation = self._simulation
        simulation.set_disk(address, self._random.choice([DiskMode.FULL, DiskMode.STALLS, DiskMode.FAILS]))

        def works_again() -> None:
            if address in simulation.machines:
                simulation.set_disk(address, DiskMode.WORKS)

        self._later(works_again)

    def _leave(self, address: str) -> None:
        """SIGTERM, and a restart with the disk as it was."""
        if self._simulation.machines[address].replica is None:
            return
        restart_s = self._random.uniform(*DOWN_S)
        self._departures += 1

        def ended() -> None:
            self._departures -= 1
            self._simulation.at(self._simulation.now + restart_s, lambda: self._simulation.start(address))

        depart(self._simulation, address, ended)

    def _replace(self, address: str) -> None:
        """The machine and its disk are gone for good; another one starts at a new address."""
        if address not in self._may_lose_disk:
            return
        self._may_lose_disk.discard(address)
        simulation = self._simulation
        simulation.lose_power(address, restart_after=None)
        simulation.machines[address].removed = True
        del simulation.machines[address]
        simulation.add_machine(f"n{next(self._names)}")
        simulation.change_seeds(tuple(sorted(simulation.machines))[:3])

    def _later(self, action: Callable[[], None]) -> None:
        self._simulation.at(self._simulation.now + self._random.uniform(*DOWN_S), action)


def run_schedule(size: Size, seed: int, steps: int) -> int:
    """Play one schedule, and return the number of its steps. Raises AssertionError for a violation."""
    simulation = Simulation(seed, machines=size.machines, tolerated=size.tolerated)
    schedule = OverlappingLosses(simulation)
    schedule.play(steps)
    return schedule.steps


def main() -> int:
    """Run schedules from the given seed on, until the given number of steps has been played."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--steps-per-seed", type=int, default=60)
    arguments = parser.parse_args()
    played = faults = 0
    seed: int = arguments.seed
    while played < arguments.steps:
        for size in SIZES:
            try:
                played += run_schedule(size, seed, arguments.steps_per_seed)
            except AssertionError as error:
                faults += 1
                played += arguments.steps_per_seed
                print(f"fault: seed {seed}, {size}: {str(error)[:300]}", flush=True)
        seed += 1
    print(f"seeds {arguments.seed} to {seed - 1}: {faults} faults, {played} steps")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
