"""Fault injection into a core; each fault ends by itself after some time.

No more machines are lost at a time than tolerated. The exceptions are the loss of all processes with their
disks kept and, with `beyond`, partitions and stops, which may then affect any machines.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from functools import partial
from random import Random

from tests.control_plane.loss_budget import LossBudget
from tests.control_plane.operators import Operators
from tests.control_plane.simulated_parts import Direction, DiskMode
from tests.control_plane.simulation import Simulation

SHORT_S = (0.1, 3.0)
CUT_S = (18.0, 20.0)
SHORT_CUT_S = (0.3, 5.0)
NOISE_S = 5.0
SEEDS = 3
AFTER_ACK_S = 0.004

Log = Callable[[str], None]


class FaultInjector:
    """Injects faults; each public method is one kind of fault, with its name in a schedule."""

    def __init__(self, simulation: Simulation, operators: Operators, log: Log, beyond: bool = False) -> None:
        self.budget = LossBudget(simulation)
        self._simulation = simulation
        self._operators = operators
        self._log = log
        self._beyond = beyond
        self._new_names = (f"n{number}" for number in itertools.count(1))
        self.on_cut: Callable[[list[str], Random], None] | None = None
        self.on_join: Callable[[], None] | None = None
        self._at_next_ack: Callable[[], None] | None = None
        self._departing: set[str] = set()
        simulation.judge.on_acknowledged.append(self._acknowledged)

    def stop(self) -> None:
        """Cancel the fault that waits for an acknowledgement."""
        self._at_next_ack = None

    # ---- one process ----

    def kill(self, rng: Random) -> None:
        """SIGKILL, and a restart a little later."""
        for address in self._victims(rng):
            self._log(f"kill {address}")
            self._simulation.kill(address, rng.uniform(*SHORT_S))

    def power(self, rng: Random) -> None:
        """Machines lose power, and restart a little later."""
        for address in self._victims(rng):
            self._log(f"power of {address}")
            self._simulation.lose_power(address, rng.uniform(*SHORT_S))

    def freeze(self, rng: Random) -> None:
        """Processes are stopped for some time."""
        for address in self._victims(rng):
            seconds = rng.uniform(*SHORT_S)
            self._log(f"freeze {address} for {seconds:.2f} s")
            self._simulation.freeze(address)
            self._later(seconds, partial(self._thaw, address))

    def leave(self, rng: Random) -> None:
        """A process gets SIGTERM, ends, and restarts."""
        for address in self._victims(rng, most=1):
            self._log(f"SIGTERM of {address}")
            gone_after = rng.uniform(0.3, 1.0)
            self._simulation.shut_down(address, gone_after)
            self._later(gone_after + rng.uniform(0.1, 1.0), partial(self._start, address))

    # ---- disks ----

    def disk_trouble(self, rng: Random) -> None:
        """Disks are full, fail or stall; never more than tolerated, as the core still counts as stable."""
        for address in self._expendable(rng):
            mode = rng.choice([DiskMode.FULL, DiskMode.FAILS, DiskMode.STALLS])
            self._log(f"disk of {address} {mode.value}")
            self._simulation.set_disk(address, mode)
            self._later(rng.uniform(0.2, 5.0), partial(self._repair_disk, address))

    def wipe(self, rng: Random) -> None:
        """Disks are lost, as many as are tolerated at most."""
        self._wipe(self._expendable_for_good(rng), rng)

    def wipe_oldest(self, rng: Random) -> None:
        """The oldest disks are lost."""
        self._wipe(self._expendable_for_good(rng, self._oldest_first()), rng)

    def wipe_after_ack(self, rng: Random) -> None:
        """As many disks as are tolerated are lost right after the next acknowledgement."""

        def inject() -> None:
            if self.budget.none_lost():
                addresses = rng.sample(list(self._simulation.machines), self._simulation.tolerated)
                self._wipe(addresses, rng, power=rng.random() < 0.5)

        self._at_next_ack = lambda: self._later(rng.uniform(0.0, AFTER_ACK_S), inject)

    # ---- all processes ----

    def kill_all(self, rng: Random) -> None:
        """All processes are killed at once, and restart within a second."""
        self._log("kill all")
        for address in list(self._simulation.machines):
            self._simulation.kill(address, rng.uniform(0.1, 1.0))

    def power_all(self, rng: Random) -> None:
        """All machines lose power at once."""
        self._log("power of all")
        for address in list(self._simulation.machines):
            self._simulation.lose_power(address, rng.uniform(0.1, 1.0))

    # ---- links ----

    def cut(self, rng: Random) -> None:
        """Machines are partitioned from the others for about twenty seconds, in one of several variants."""
        self._cut(rng, rng.uniform(*CUT_S))

    def short_cut(self, rng: Random) -> None:
        """Machines are partitioned from the others for a short time."""
        self._cut(rng, rng.uniform(*SHORT_CUT_S))

    def _cut(self, rng: Random, seconds: float) -> None:
        simulation = self._simulation
        victims = self._victims(rng)
        if not victims or simulation.network.cut:
            return
        shape = rng.choice(
            ["lossy", "holds", "from them", "to them", "both restarted", "new seeds", "competing changes"]
        )
        self._log(f"cut off {', '.join(victims)} for {seconds:.1f} s: {shape}")
        directions = {"from them": Direction.FROM_THEM, "to them": Direction.TO_THEM}
        simulation.network.holds = shape in ("holds", "from them", "to them")
        simulation.cut_off(victims, directions.get(shape, Direction.BOTH))
        if self.on_cut is not None:
            self.on_cut(victims, rng)
        others = [address for address in simulation.machines if address not in victims]
        if shape == "both restarted":
            self._restart_in_turn(victims, others, rng)
        elif shape == "new seeds":
            simulation.change_seeds(tuple([*victims, *others][:SEEDS]))
            self._restart_in_turn(rng.sample(others, min(1, len(others))), victims, rng)
        if shape == "competing changes":
            self._order_at(victims, seconds / 2)
            self._order_at(victims, seconds)
        self._later(seconds, self._join)

    def _join(self) -> None:
        self._simulation.restore_links()
        if self.on_join is not None:
            self.on_join()

    def _restart_in_turn(self, first: list[str], then: list[str], rng: Random) -> None:
        for place, address in enumerate([*first, *then]):
            self._later(1.0 + place * rng.uniform(0.2, 2.0), partial(self._restart, address))

    def _restart(self, address: str) -> None:
        if address in self._simulation.machines:
            self._simulation.kill(address, restart_after=0.3)

    def _order_at(self, addresses: list[str], after: float) -> None:
        def order() -> None:
            for address in addresses:
                if address in self._simulation.machines:
                    newest = self._operators.newest()
                    self._operators.order(newest, newest + 1, at=address)

        self._later(after, order)

    def link(self, rng: Random) -> None:
        """One link is cut in one direction or both."""
        if len(self._simulation.machines) < 2:
            return
        one, other = rng.sample(list(self._simulation.machines), 2)
        if self._simulation.network.cut or not (self._beyond or self.budget.allows(one)):
            return
        both = rng.random() < 0.5
        self._log(f"cut the link from {one} to {other}{' and back' if both else ''}")
        self._simulation.cut(one, other, both=both)
        self._later(rng.uniform(*SHORT_CUT_S), self._simulation.restore_links)

    def noise(self, rng: Random) -> None:
        """Messages are lost, duplicated and late."""
        network = self._simulation.network
        network.loss, network.duplicated, network.late = rng.choice([(0.02, 0.1, 0.1), (0.2, 0.0, 0.1)])
        self._simulation.disturbances.record(self._simulation.now, *self._simulation.machines)
        self._log(f"noise {network.loss}")
        self._later(rng.uniform(0.5, NOISE_S), self._simulation.end_message_faults)

    # ---- replacement of machines ----

    def replace_planned(self, rng: Random) -> None:
        """New machines with empty disks are added at new addresses; then the old ones get SIGTERM."""
        for old in self._replaceable(rng):
            new = self._add_in_place_of(old, rng)
            self._log(f"{new} starts, {old} shuts down")
            leaves_after = rng.uniform(0.5, 5.0)
            gone_after = rng.uniform(0.3, 1.0)
            self._later(leaves_after, partial(self._leave_for_good, old, gone_after))

    def replace_unplanned(self, rng: Random) -> None:
        """Machines are lost permanently; new ones with empty disks are added later at new addresses."""
        for old in self._replaceable(rng):
            self._log(f"{old} is lost permanently")
            self._simulation.lose_power(old, restart_after=None)
            self._simulation.machines[old].removed = True
            seconds = rng.uniform(0.3, 3.0)
            self._later(seconds, partial(self._replace_gone, old, rng))

    def seeds(self, rng: Random) -> None:
        """The seeds in the settings change."""
        self._name_seeds(rng)
        self._log(f"seeds {', '.join(self._simulation.seeds)}")
        self._simulation.change_seeds(self._simulation.seeds)

    def _replace_gone(self, old: str, rng: Random) -> None:
        self._simulation.remove_machine(old)
        new = self._add_in_place_of(old, rng)
        self._log(f"{new} replaces {old}")

    def _add_in_place_of(self, old: str, rng: Random) -> str:
        new = next(self._new_names)
        self.budget.succeeds(new, old)
        self._name_seeds(rng)
        self._simulation.add_machine(new)
        return new

    def _leave_for_good(self, old: str, after: float) -> None:
        if old in self._simulation.machines:
            self._simulation.shut_down(old, after)
            self._later(after + 0.01, lambda: self._simulation.remove_machine(old))

    def _name_seeds(self, rng: Random) -> None:
        """Choose the seeds from a list that may be outdated; at least one of them is running."""
        running = [machine.address for machine in self._simulation.running()]
        machines = list(self._simulation.machines)
        rng.shuffle(machines)
        first = rng.sample(running, 1) if running else []
        rest = [address for address in (*machines, *self._simulation.seeds) if address not in first]
        self._simulation.seeds = tuple([*first, *dict.fromkeys(rest)][:SEEDS])

    # ---- helpers ----

    def _victims(self, rng: Random, most: int | None = None) -> list[str]:
        """Machines to stop or partition now."""
        if self._beyond and rng.random() < 0.5:
            count = rng.randint(1, len(self._simulation.machines))
            return rng.sample(list(self._simulation.machines), min(count, most or count))
        return self._expendable(rng, most=most)

    def _expendable(self, rng: Random, order: list[str] | None = None, most: int | None = None) -> list[str]:
        """Machines that may be lost now within the tolerated number, one more often than several."""
        addresses = order or rng.sample(list(self._simulation.machines), len(self._simulation.machines))
        tolerated = self._simulation.tolerated
        wanted = min(most or tolerated, tolerated if rng.random() < 0.5 else 1)
        chosen: list[str] = []
        for address in addresses:
            if len(chosen) < wanted and self.budget.allows(*chosen, address):
                chosen.append(address)
        return chosen

    def _expendable_for_good(self, rng: Random, order: list[str] | None = None) -> list[str]:
        """Machines whose disks may be lost now."""
        chosen = self._expendable(rng, order)
        return chosen if self.budget.allows_for_good(*chosen) else []

    def _replaceable(self, rng: Random) -> list[str]:
        """Machines that may be replaced now and are not being replaced already."""
        chosen = self._expendable_for_good(rng, self._oldest_first() if rng.random() < 0.3 else None)
        machines = [address for address in chosen if address not in self._departing]
        self._departing.update(machines)
        return machines

    def _oldest_first(self) -> list[str]:
        machines = self._simulation.machines
        return sorted(machines, key=lambda address: machines[address].disk.made_at)

    def _wipe(self, addresses: list[str], rng: Random, power: bool = False) -> None:
        for address in addresses:
            self._log(f"disk of {address} lost")
            self._simulation.lose_disk(address, rng.uniform(0.1, 1.0))
        if power:
            self._log("power of all others")
            others = [address for address in self._simulation.machines if address not in addresses]
            for address in others:
                self._simulation.lose_power(address, rng.uniform(0.1, 1.0))

    def _acknowledged(self) -> None:
        inject, self._at_next_ack = self._at_next_ack, None
        if inject is not None:
            inject()

    def _later(self, seconds: float, action: Callable[[], None]) -> None:
        self._simulation.at(self._simulation.now + seconds, action)

    def _start(self, address: str) -> None:
        if address in self._simulation.machines:
            self._simulation.start(address)

    def _thaw(self, address: str) -> None:
        machine = self._simulation.machines.get(address)
        if machine is not None and machine.frozen:
            self._simulation.thaw(address)

    def _repair_disk(self, address: str) -> None:
        if address in self._simulation.machines:
            self._simulation.set_disk(address, DiskMode.WORKS)
