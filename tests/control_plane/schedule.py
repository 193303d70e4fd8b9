"""Random schedules of faults and operator calls, and the checks after them."""

from __future__ import annotations

import itertools

from reedspoke.common.errors import ErrorCode
from tests.control_plane.simulated_parts import DiskMode, Machine
from tests.control_plane.simulation import Simulation

MAX_PAUSE_S = 0.7
SETTLE_LIMIT_S = 12.0


class Operator:
    """Submits changes that build on the newest generation it knows, two competing ones, or old ones again."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self._counts = itertools.count(1)
        self._generation = 0

    def act(self) -> None:
        """Make one or two random calls."""
        choice = self._random.random()
        if choice < 0.5:
            self.change()
        elif choice < 0.6:
            match = self._believed()
            self.change(match)
            self.change(match)
        elif choice < 0.7:
            self.change(self._random.randint(0, self._believed() + 2))
        elif choice < 0.8:
            self.again()
        else:
            self._simulation.get(self._somewhere())

    def change(self, match: int | None = None) -> None:
        """Submit a new change."""
        match = self._believed() if match is None else match
        self._generation = max(self._generation, match) + 1
        document = f"document {next(self._counts)}".encode()
        self._simulation.put(self._somewhere(), match, self._generation, document)

    def again(self) -> None:
        """Submit an earlier document again that is not known to be rejected."""
        changes = self._simulation.judge.changes
        documents = [document for document, change in changes.items() if change.may_be_in_force]
        if documents:
            document = self._random.choice(documents)
            change = changes[document]
            self._simulation.put(self._somewhere(), change.match, change.generation, document)

    def _believed(self) -> int:
        return max(self._simulation.judge.newest_acknowledged, self._simulation.judge.newest_read)

    def _somewhere(self) -> str:
        return self._random.choice(list(self._simulation.machines))


class Faults:
    """Injects faults; no more disks are lost at a time than tolerated."""

    def __init__(self, simulation: Simulation, tolerated: int) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self._tolerated = tolerated

    def act(self) -> None:
        """Inject a random fault, or end all faults."""
        simulation = self._simulation
        machine = self._random.choice(list(simulation.machines.values()))
        address = machine.address
        fault = self._random.choice(
            ["kill", "power", "freeze", "thaw", "stall", "full", "fails", "works", "cut", "one-way"]
            + ["isolate", "heal", "heal", "noise", "disk", "all", "nothing"]
        )
        match fault:
            case "kill":
                simulation.kill(address, self._random.uniform(0.1, 2.0))
            case "power":
                simulation.lose_power(address, self._random.uniform(0.3, 3.0))
            case "freeze":
                simulation.freeze(address)
            case "thaw":
                simulation.thaw(address)
            case "stall" | "full" | "fails" | "works":
                simulation.set_disk(address, DiskMode[_MODES[fault]])
            case "cut" | "one-way":
                other = self._random.choice(list(simulation.machines))
                simulation.cut(address, other, both=fault == "cut")
            case "isolate":
                simulation.isolate(address)
            case "heal":
                simulation.heal()
            case "noise":
                self._noise()
            case "disk":
                self._lose_disks()
            case "all":
                self._lose_power_everywhere()

    def _noise(self) -> None:
        network = self._simulation.network
        network.loss = self._random.choice([0.0, 0.02, 0.2])
        network.duplicated = self._random.choice([0.0, 0.1])
        network.late = self._random.choice([0.0, 0.1])
        network.holds = self._random.random() < 0.5

    def _lose_disks(self) -> None:
        """Lose disks, but only while all machines are in the chain, so that earlier losses are repaired."""
        simulation = self._simulation
        all_run = len(simulation.running()) == len(simulation.machines)
        if self._tolerated == 0 or not all_run or not simulation.all_in_chain():
            return
        addresses = self._random.sample(list(simulation.machines), len(simulation.machines))
        lost = addresses[: self._random.randint(1, self._tolerated)]
        with_power = self._random.random() < 0.5
        for address in lost:
            simulation.lose_disk(address)
        if with_power:
            for address in addresses[len(lost) :]:
                simulation.lose_power(address, self._random.uniform(0.1, 0.5))

    def _lose_power_everywhere(self) -> None:
        for address in self._simulation.machines:
            self._simulation.lose_power(address, self._random.uniform(0.1, 1.0))


_MODES = {"stall": "STALLS", "full": "FULL", "fails": "FAILS", "works": "WORKS"}


def play(simulation: Simulation, tolerated: int, steps: int) -> None:
    """Run faults and calls in random order, then end all faults and check the final state."""
    operator = Operator(simulation)
    faults = Faults(simulation, tolerated)
    for _ in range(steps):
        if simulation.random.random() < 0.35:
            faults.act()
        else:
            operator.act()
        simulation.run(simulation.random.uniform(0.0, MAX_PAUSE_S))
    come_back(simulation)
    check_end(simulation)


def come_back(simulation: Simulation, restarts_within: float = 3.1) -> None:
    """End all faults, and wait until all machines are in the chain."""
    simulation.heal()
    simulation.run(restarts_within)
    simulation.heal()
    simulation.settle(SETTLE_LIMIT_S)


def check_end(simulation: Simulation) -> None:
    """Check that all machines read the newest configuration and acknowledge accepted changes again."""
    judge = simulation.judge
    assert not [request for change in judge.changes.values() for request in change.open_calls]
    read = {_read(simulation, machine) for machine in simulation.running()}
    assert len(read) == 1
    assert next(iter(read)) >= judge.newest_acknowledged
    for document, change in list(judge.changes.items()):
        if change.acknowledged:
            address = simulation.random.choice(list(simulation.machines))
            answer = simulation.put_and_wait(address, change.match, change.generation, document)
            assert answer is None, (
                f"generation {change.generation} was acknowledged and is answered with {answer!r}"
            )


def _read(simulation: Simulation, machine: Machine) -> int:
    answer = simulation.get_and_wait(machine.address)
    assert answer is not None
    assert answer.error in (None, ErrorCode.NO_CONFIGURATION), answer
    return answer.committed.generation if answer.committed else 0
