"""Checks that tolerated losses leave every acknowledged change and a working core.

`check_records` checks the records on the disks; `check_by_trial` copies the disks into a new simulation,
starts it and waits until it accepts changes. Some machines may be lost already. Each set of further machines
within the tolerated number may lose their disks at once while all others lose power.
"""

from __future__ import annotations

import copy
import itertools
from collections.abc import Iterator
from dataclasses import dataclass
from hashlib import sha256

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.entry import ChangeId
from reedspoke.control_plane.replication.log_records import RestoredState, restore
from reedspoke.control_plane.replication.settings import REACHABLE_TIMEOUT_S
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.first_view import FIRST_VIEW_NUMBER
from reedspoke.control_plane.views.quorum import majority_size
from tests.control_plane.schedule import check_end
from tests.control_plane.simulated_parts import Disk, Machine
from tests.control_plane.simulation import Simulation

ORDERS_LIMIT_S = 8.0
STARTS_WITHIN_S = 0.5
# By then every machine has received heartbeats of the others.
ALL_REACHABLE_AFTER_S = STARTS_WITHIN_S + REACHABLE_TIMEOUT_S
FIRST_FREE_ID = 1_000_000  # for folders and requests of a copy, so that none is used twice


@dataclass
class Stored:
    """A machine's disk as a restart would find it."""

    folder_id: str
    state: RestoredState


def further_losses(simulation: Simulation, lost: set[str], budget: int) -> Iterator[frozenset[str]]:
    """Every set of machines that may be lost besides these, including the empty set."""
    addresses = [machine.address for machine in simulation.running() if machine.address not in lost]
    for size in range(budget + 1):
        yield from map(frozenset, itertools.combinations(addresses, size))


def check_records(simulation: Simulation, lost: set[str], budget: int) -> int:
    """Check each further loss by the records on the other disks; return the number of checks."""
    disks = {
        machine.address: Stored(machine.disk.folder_id, restore(machine.disk.records))
        for machine in simulation.running()
    }
    newest = _newest_view(simulation, disks)
    if newest is None:
        return 0
    changes = _acknowledged_changes(simulation)
    count = 0
    for wiped in further_losses(simulation, lost, budget):
        survivors = {
            disk.folder_id: disk.state
            for address, disk in disks.items()
            if address not in wiped and address not in lost
        }
        _check_survivors(survivors, newest, changes, f"without {sorted(lost)} and {sorted(wiped)}")
        count += 1
    return count


def check_by_trial(simulation: Simulation, lost: set[str], wiped: frozenset[str]) -> None:
    """In a copy of the core, the machines `wiped` lose their disks and the others power, without `lost`.

    The copy must accept changes and have kept all acknowledged ones. Then the lost machines return unchanged.
    """
    trial = Trial(simulation, lost, wiped)
    trial.submit_until_acknowledged()
    trial.bring_back(simulation, lost)
    trial.run(ALL_REACHABLE_AFTER_S)
    trial.settle(ORDERS_LIMIT_S)
    check_end(trial)


class Trial(Simulation):
    """A core that starts from copies of another one's disks, of which some are empty."""

    def __init__(self, origin: Simulation, lost: set[str], wiped: frozenset[str]) -> None:
        super().__init__(origin.random.getrandbits(32), machines=0, tolerated=origin.tolerated, seeds=0)
        self._folders = itertools.count(FIRST_FREE_ID)
        self._requests = itertools.count(FIRST_FREE_ID)
        self.seeds = origin.seeds
        self.judge = copy.deepcopy(origin.judge)
        for address in origin.machines:
            self.judge.stopped(address)
        for machine in origin.running():
            if machine.address in lost:
                continue
            self.machines[machine.address] = self._copied(machine, machine.address in wiped)
            start = self.now + self.random.uniform(0.0, STARTS_WITHIN_S)
            self.at(start, self._starter(machine.address))

    def submit_until_acknowledged(self) -> None:
        """Submit changes that build on the newest generation until one is acknowledged."""
        deadline = self.now + ORDERS_LIMIT_S
        for number in itertools.count(1):
            assert self.now < deadline, f"accepts no changes: {self.newest_view()}"
            self.run(0.1)
            running = [machine.address for machine in self.running()]
            if not running:
                continue
            address = self.random.choice(running)
            read = self.get_and_wait(address)
            if read is None or read.error is ErrorCode.NO_QUORUM:
                continue
            match = read.committed.generation if read.committed else 0
            document = f"order {number} after the loss".encode()
            if self.put_and_wait(address, match, self._next_generation(), document) is None:
                return

    def bring_back(self, origin: Simulation, lost: set[str]) -> None:
        """Start the lost machines with the disks that they had."""
        for address in sorted(lost & set(origin.machines)):
            self.machines[address] = self._copied(origin.machines[address], wiped=False)
            self.start(address)

    def _next_generation(self) -> int:
        return max((change.generation for change in self.judge.changes.values()), default=0) + 1

    def _copied(self, machine: Machine, wiped: bool) -> Machine:
        copied = self._new_machine(machine.address, bootstrap=machine.bootstrap and not wiped)
        if not wiped:
            copied.disk = Disk(machine.disk.folder_id, list(machine.disk.records))
            waiting = machine.disk.waiting
            for store in waiting[: self.random.randint(0, len(waiting))]:
                self._write(copied.disk, store)
        return copied


def _newest_view(simulation: Simulation, disks: dict[str, Stored]) -> View | None:
    """The newest decided view that anyone knows, in memory or on disk."""
    views = [disk.state.view for disk in disks.values()] + [simulation.newest_view()]
    return max((view for view in views if view), key=lambda view: view.number, default=None)


def _acknowledged_changes(simulation: Simulation) -> set[ChangeId]:
    return {
        ChangeId(change.generation, sha256(document).digest())
        for document, change in simulation.judge.changes.items()
        if change.acknowledged
    }


def _check_survivors(
    survivors: dict[str, RestoredState], newest: View, changes: set[ChangeId], losses: str
) -> None:
    where = f"{losses}, newest view {newest}"
    known = max(
        (state.view for state in survivors.values() if state.view),
        key=lambda view: view.number,
        default=None,
    )
    assert known is not None, f"no view is known {where}"
    if known.number < newest.number:
        assert known.number == newest.number - 1, f"two views are lost {where}"
        assert _majority_survives(known.voters, survivors), f"the view can't be learned {where}"
    assert _majority_survives(newest.voters, survivors), f"no majority {where}"
    complete = [
        survivors[link.member.folder_id]
        for link in newest.chain
        if link.member.folder_id in survivors
        and (
            link.joined_view == FIRST_VIEW_NUMBER
            or survivors[link.member.folder_id].synced_since == link.joined_view
        )
    ]
    assert complete, f"no complete member {where}"
    for state in complete:
        assert all(change in state.history for change in changes), (
            f"an acknowledged change is missing {where}"
        )


def _majority_survives(voters: tuple[Member, ...], survivors: dict[str, RestoredState]) -> bool:
    left = sum(voter.folder_id in survivors for voter in voters)
    return left >= majority_size(len(voters))
