"""Random schedules of calls and faults, determined by a seed.

`python -m tests.control_plane.tallies.random_days --steps N` runs many of them, and prints those that find a
problem.
"""

from __future__ import annotations

import argparse
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from random import Random

from reedspoke.control_plane.tallies import replica
from reedspoke.control_plane.tallies.messages import TallyAdd
from reedspoke.telemetry.invariants import monitor
from tests.control_plane.tallies.simulated_tallies import DELAY_S, SLOW_DELAY_S, Node, OrderRecord, Simulation

TALLIES = ("t1", "t2", "t3")
STEP_S = (0.005, 0.12)
STEPS_PER_FAULT = 25
CALLS_PER_STEP = 2
ORDER_PROBABILITY = 0.15
NEXT_ORDER_PROBABILITY = 0.3  # of another order after the last one is acknowledged
GIVE_UP_PROBABILITY = 0.3  # of another order though the last one is not acknowledged
FAULT_S = (0.2, 6.0)
UNDISTURBED_S = 12.0
RECOVERY_S = 6.0  # a machine counts as lost for this time after it is back
MAX_AMOUNT = 20


class RandomSchedule:
    """Owns the schedule, and the time until which each machine counts as lost.

    If the operator gives up orders, an order that is not acknowledged may be followed by another one.
    """

    def __init__(
        self, seed: int, count: int = 5, tolerated: int = 2, *, gives_up_orders: bool = False
    ) -> None:
        self.random = Random(seed)
        self.simulation = Simulation(seed, count, tolerated)
        self._lost_until: dict[str, float] = {}
        self._recent: list[TallyAdd] = []
        self._no_fault_until = 0.0
        self._gives_up_orders = gives_up_orders

    def play(self, steps: int) -> list[str]:
        """Run the schedule for `steps` steps and return the problems."""
        simulation = self.simulation
        simulation.run(1.0)
        for step in range(steps):
            simulation.run(self.random.uniform(*STEP_S))
            for _ in range(CALLS_PER_STEP):
                self._call()
            if self.random.random() < ORDER_PROBABILITY:
                self._order()
            if step % STEPS_PER_FAULT == STEPS_PER_FAULT - 1:
                self._fault()
        simulation.settle()
        return simulation.problems

    # ---- callers ----

    def _call(self) -> None:
        node = self.random.choice(list(self.simulation.nodes.values()))
        draw = self.random.random()
        if draw < 0.4:
            self.simulation.read(node, self.random.choice(TALLIES))
        elif draw < 0.6 and self._recent:
            self.simulation.add(node, self.random.choice(self._recent))  # repeated, here or elsewhere
        else:
            add = TallyAdd(
                self.random.choice(TALLIES), self.random.getrandbits(64), self.random.randint(0, MAX_AMOUNT)
            )
            self._recent = [*self._recent[-30:], add]
            self.simulation.add(node, add)

    def _order(self) -> None:
        orders = self.simulation.orders
        if not orders:
            orders.append(OrderRecord(evacuated=True))
        if orders[-1].acknowledged:
            if self.random.random() > NEXT_ORDER_PROBABILITY:
                return
            orders.append(OrderRecord(evacuated=not orders[-1].evacuated))
        elif self._gives_up_last_order():
            orders.append(OrderRecord(evacuated=self.random.random() < 0.5))
        self.simulation.order(self.random.choice(list(self.simulation.nodes.values())), orders[-1])

    def _gives_up_last_order(self) -> bool:
        if not self._gives_up_orders or self.random.random() > GIVE_UP_PROBABILITY:
            return False
        return not self.simulation.operator_waits()

    # ---- faults ----

    def _fault(self) -> None:
        faults = [
            self._cut,
            self._cut,
            self._one_way,
            self._bridge,
            self._kill,
            self._kill_all,
            self._power_loss_with_lost_disks,
            self._lose_disk,
            self._freeze,
            self._disk_fails,
            self._disk_stalls,
            self._slow_network,
            self._lose_disks_right_after_an_acknowledgement,
            self._lose_disks_right_after_an_acknowledgement,
            self._no_fault,
        ]
        if self.simulation.now >= self._no_fault_until:
            self.random.choice(faults)()

    def _duration(self) -> float:
        return self.random.uniform(*FAULT_S)

    def _random_nodes(self, most: int) -> list[Node]:
        nodes = list(self.simulation.nodes.values())
        return self.random.sample(nodes, self.random.randint(1, most))

    def _cut_for_a_while(self, links: set[tuple[str, str]]) -> None:
        if self.simulation.cut:
            return
        self.simulation.set_cut(links)
        self.simulation.at(self._duration(), lambda: self.simulation.set_cut(set()))

    def _cut(self) -> None:
        """Cut all links between two sides."""
        names = set(self.simulation.nodes)
        side = {node.name for node in self._random_nodes(len(names) - 1)}
        both = {(one, other) for one in side for other in names - side}
        self._cut_for_a_while(both | {(other, one) for one, other in both})

    def _one_way(self) -> None:
        names = set(self.simulation.nodes)
        side = {node.name for node in self._random_nodes(len(names) - 1)}
        self._cut_for_a_while({(one, other) for one in side for other in names - side})

    def _bridge(self) -> None:
        """Cut the links between two machines; the others reach both."""
        one, other = self.random.sample(sorted(self.simulation.nodes), 2)
        self._cut_for_a_while({(one, other), (other, one)})

    def _kill(self) -> None:
        for node in self._random_nodes(2):
            self._kill_for(node, self._duration())

    def _is_lost_for(self, node: Node, seconds: float) -> None:
        """Count a machine as lost for some time, and for RECOVERY_S after it."""
        until = self.simulation.now + seconds + RECOVERY_S
        self._lost_until[node.name] = max(until, self._lost_until.get(node.name, 0.0))

    def _kill_for(self, node: Node, seconds: float) -> None:
        self._is_lost_for(node, seconds)
        self.simulation.kill(node)
        self.simulation.at(seconds, lambda: self.simulation.start(node))

    def _kill_all(self) -> None:
        for node in self.simulation.nodes.values():
            self._kill_for(node, self.random.uniform(0.0, 1.0))

    def _losable_disks(self) -> int:
        """The number of disks that may be lost now."""
        lost = sum(until > self.simulation.now for until in self._lost_until.values())
        return max(self.simulation.tolerated - lost, 0)

    def _lose(self, nodes: list[Node]) -> None:
        for node in nodes:
            down_s = self.random.uniform(0.1, 1.0)
            self._is_lost_for(node, down_s)
            self.simulation.lose_disk(node)
            self.simulation.at(down_s, lambda node=node: self.simulation.start(node))  # type: ignore[misc]

    def _lose_disk(self) -> None:
        if self._losable_disks():
            self._lose(self._random_nodes(self._losable_disks()))

    def _power_loss_with_lost_disks(self) -> None:
        """Lose some disks, and kill the processes of all other machines at the same time."""
        count = self._losable_disks()
        if not count or self.simulation.cut:
            return
        lost = self._random_nodes(count)
        self._lose(lost)
        for node in self.simulation.nodes.values():
            if node not in lost:
                self._kill_for(node, self.random.uniform(0.1, 1.0))

    def _freeze(self) -> None:
        for node in self._random_nodes(2):
            seconds = self._duration()
            self._is_lost_for(node, seconds - RECOVERY_S)  # its disk may be lost as soon as it continues
            self.simulation.freeze(node)
            self.simulation.at(seconds, lambda node=node: self.simulation.thaw(node))  # type: ignore[misc]

    def _disk_fails(self) -> None:
        for node in self._random_nodes(2):
            node.disk.is_failing = True
            self.simulation.disturbed()
            self.simulation.at(self._duration(), lambda node=node: self._end_disk_fault(node))  # type: ignore[misc]

    def _disk_stalls(self) -> None:
        for node in self._random_nodes(2):
            node.disk.is_stalled = True
            self.simulation.disturbed()
            self.simulation.at(self._duration(), lambda node=node: self._end_disk_fault(node))  # type: ignore[misc]

    def _slow_network(self) -> None:
        self.simulation.delay_s = SLOW_DELAY_S
        self.simulation.at(self._duration(), self._end_slow_network)

    def _end_slow_network(self) -> None:
        self.simulation.delay_s = DELAY_S
        self.simulation.disturbed()

    def _lose_disks_right_after_an_acknowledgement(self) -> None:
        """Lose the disk of the machine that acknowledges next, and disks of others as far as tolerated.

        The processes of all other machines are killed.
        """

        def lose(node: Node) -> None:
            count = self._losable_disks()
            if not count or self.simulation.cut:
                return
            others = [other for other in self.simulation.nodes.values() if other is not node]
            lost = [node, *self.random.sample(others, count - 1)]
            self._lose(lost)
            for other in others:
                if other not in lost:
                    self._kill_for(other, self.random.uniform(0.1, 1.0))

        # The disk is lost only after the call has been answered.
        self.simulation.on_acknowledged = lambda node: self.simulation.at(0.0, lambda: lose(node))

    def _no_fault(self) -> None:
        self._no_fault_until = self.simulation.now + UNDISTURBED_S

    def _end_disk_fault(self, node: Node) -> None:
        node.disk.is_failing = node.disk.is_stalled = False
        self.simulation.disturbed()


SMALL_SIZES = {
    "MAX_RETAINED_ENTRIES": 60,
    "MAX_ENTRIES_PER_PULL": 25,
    "MAX_IDS_PER_CHUNK": 40,
    "MIN_REWRITE_BYTES": 3000,
}


@contextmanager
def small_sizes() -> Iterator[None]:
    """Reduce the limits of logs, chunks and pulls, so that a short schedule reaches all of them."""
    before = {name: getattr(replica, name) for name in SMALL_SIZES}
    for name, size in SMALL_SIZES.items():
        setattr(replica, name, size)
    try:
        yield
    finally:
        for name, size in before.items():
            setattr(replica, name, size)


def play(
    seed: int, steps: int, count: int = 5, tolerated: int = 2, *, gives_up_orders: bool = False
) -> list[str]:
    """Run one schedule and return its problems, including violated invariants."""
    monitor.reset_violations()
    with small_sizes():
        problems = RandomSchedule(seed, count, tolerated, gives_up_orders=gives_up_orders).play(steps)
    return problems + [repr(violation) for violation in monitor.reset_violations()]


def main() -> int:
    """Run schedules from the command line. Exit status 1 if one of them found a problem."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=100_000, help="over all schedules")
    parser.add_argument("--day-steps", type=int, default=500)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--machines", type=int, default=5)
    parser.add_argument("--tolerated", type=int, default=2)
    parser.add_argument("--gives-up-orders", action="store_true", help="the operator gives orders up")
    arguments = parser.parse_args()
    failed = 0
    days = arguments.steps // arguments.day_steps
    for seed in range(arguments.seed, arguments.seed + days):
        problems = play(
            seed,
            arguments.day_steps,
            arguments.machines,
            arguments.tolerated,
            gives_up_orders=arguments.gives_up_orders,
        )
        if problems:
            failed += 1
            print(f"seed {seed}: {len(problems)}: {problems[:3]}", flush=True)
    evaluated = {invariant.value: count for invariant, count in monitor.evaluated.items()}
    print(f"{days} schedules of {arguments.day_steps} steps, {failed} failed; evaluated: {evaluated}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
