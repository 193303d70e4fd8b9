"""Hundreds of changes on real logs: returning members catch up, and no member acts on outdated state.

To run more changes, in another random order:
`STORAGE_CHANGES=3000 STORAGE_SEED=72 .venv/bin/python -m pytest tests/control_plane/test_storage_changes.py`.
"""

from __future__ import annotations

import os
from collections.abc import Callable

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication import outbox as replica_outbox
from reedspoke.control_plane.replication.effects import StoreRecords
from reedspoke.control_plane.replication.messages import (
    AppendRequest,
    CommitNotification,
    InstallSnapshot,
    SuccessorStatus,
)
from tests.control_plane.simulated_parts import DiskMode
from tests.control_plane.storage_simulation import StorageSimulation

CHANGES = int(os.environ.get("STORAGE_CHANGES", "400"))
SEED = int(os.environ.get("STORAGE_SEED", "71"))
CATCH_UP_S = 4.0
SMALL_REWRITE_BYTES = 6_000  # small, so that the log is rewritten often
CHANGES_PER_FAULT = 12
POSITIONS = {"head": 0, "middle": 1, "tail": 2}
STEP_S = 0.02


class Fleet:
    """A complete fleet of control plane nodes, with an operator that numbers its changes."""

    def __init__(self, simulation: StorageSimulation) -> None:
        self.simulation = simulation
        self.generation = 0
        simulation.settle()
        simulation.run(1.0)

    def change(self, address: str, document: bytes = b"") -> None:
        """Send one change until it is acknowledged."""
        document = document or b"document %d " % (self.generation + 1) * 6
        for _ in range(40):
            error = self.simulation.put_and_wait(address, self.generation, self.generation + 1, document)
            if error is None:
                self.generation += 1
                return
            assert error in (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR), error
            self.simulation.run(0.1)
        raise AssertionError(f"change {self.generation + 1} is not accepted")

    def changes(self, count: int, address: str) -> None:
        """Send several changes."""
        for _ in range(count):
            self.change(address)

    def at(self, position: str) -> str:
        """The address at a position of the chain."""
        return self.simulation.chain()[POSITIONS[position]]

    def has_caught_up_in_time(self, address: str) -> bool:
        """Whether a member catches up within CATCH_UP_S, while no member acts on outdated state."""
        return self.simulation.run_until(lambda: self.has_newest_change(address), CATCH_UP_S, STEP_S)

    def check_end(self) -> None:
        """Check that all machines have the newest change, also after all have lost power."""
        for _ in range(2):
            self.simulation.settle()
            assert self.simulation.run_until(self._agree, CATCH_UP_S), (
                "not all machines have the newest change"
            )
            for address in self.simulation.machines:
                self.simulation.lose_power(address)
            self.simulation.run(0.6)

    def has_newest_change(self, address: str) -> bool:
        """Whether a member is back in the chain and has the newest change."""
        self._check_ends_of_chain()
        machine = self.simulation.machines[address]
        if machine.replica is None or machine.frozen:
            return False
        return self.simulation.all_in_chain() and self._held(address) == self.generation

    def _check_ends_of_chain(self) -> None:
        """Check that the head and the tail of the newest chain have the newest acknowledged change."""
        view = self.simulation.newest_view()
        assert view is not None
        for link in (view.chain[0], view.chain[-1]):
            replica = self.simulation.machines[link.member.address].replica
            if replica is not None and replica.view == view and replica.in_chain:
                newest = self.simulation.judge.newest_acknowledged
                assert replica._register.generation >= newest, f"{link.member.address} has outdated state"

    def _held(self, address: str) -> int:
        replica = self.simulation.machines[address].replica
        return replica.committed.generation if replica is not None and replica.committed else 0

    def _agree(self) -> bool:
        return {self._held(address) for address in self.simulation.machines} == {self.generation}


@pytest.fixture
def fleet(monkeypatch: pytest.MonkeyPatch) -> Fleet:
    """A fleet of three machines whose logs are rewritten often."""
    monkeypatch.setattr(replica_outbox, "LOG_REWRITE_THRESHOLD_BYTES", SMALL_REWRITE_BYTES)
    return Fleet(StorageSimulation(monkeypatch, seed=SEED))


def _stop(fleet: Fleet, fault: str, address: str) -> Callable[[], None]:
    """Stop a member by a fault; the returned function ends the fault."""
    simulation = fleet.simulation
    match fault:
        case "killed":
            simulation.kill(address, restart_after=None)
        case "without power":
            simulation.lose_power(address, restart_after=None)
        case "frozen":
            simulation.freeze(address)
            return lambda: simulation.thaw(address)
        case "isolated":
            simulation.isolate(address)
            return simulation.heal
        case "disk stalls":
            simulation.set_disk(address, DiskMode.STALLS)
            return lambda: simulation.set_disk(address, DiskMode.WORKS)
    return lambda: simulation.start(address)


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("fault", ["killed", "without power", "frozen", "isolated", "disk stalls"])
@pytest.mark.parametrize(("down_s", "missed"), [(0.1, 0), (0.4, 1), (1.0, 0), (1.0, 1), (2.5, 2), (6.0, 150)])
def test_a_member_catches_up_in_time(
    fleet: Fleet, fault: str, position: str, down_s: float, missed: int
) -> None:
    simulation = fleet.simulation
    fleet.changes(30, "m1")
    address = fleet.at(position)
    other = next(name for name in simulation.machines if name != address)
    simulation.put(other, fleet.generation, fleet.generation + 1, b"in flight at the fault")
    simulation.run(simulation.random.uniform(0.0, 0.02))
    stopped_at = simulation.now
    end_fault = _stop(fleet, fault, address)
    fleet.change(other, b"in flight at the fault")
    fleet.changes(missed, other)
    simulation.run(max(0.0, stopped_at + down_s - simulation.now))
    end_fault()
    assert fleet.has_caught_up_in_time(address)
    fleet.change(address)
    fleet.check_end()


def test_many_changes_with_faults_during_stores(fleet: Fleet) -> None:
    simulation = fleet.simulation
    addresses = list(simulation.machines)
    faults = [simulation.kill, simulation.lose_power]
    for round_number in range(CHANGES // CHANGES_PER_FAULT):
        fleet.changes(CHANGES_PER_FAULT - 1, addresses[round_number % 3])
        victim = simulation.random.choice(addresses)
        wanted = simulation.store_count + simulation.random.randint(1, 3)

        def inject_fault(count: int, victim: str = victim, wanted: int = wanted) -> None:
            if count == wanted:
                fault = simulation.random.choice(faults)
                simulation.at(simulation.now, lambda: fault(victim, simulation.random.uniform(0.1, 1.5)))

        simulation.on_store = inject_fault
        fleet.change(addresses[(round_number + 1) % 3])
        simulation.run(0.1)
        assert fleet.has_caught_up_in_time(victim)
    simulation.on_store = None
    fleet.check_end()


# ---- sending and installing a snapshot ----


def _stop_until_left_out(fleet: Fleet, address: str, changes: int = 3) -> Callable[[], None]:
    """Stop a member until it is removed from the chain and has missed changes."""
    end_fault = _stop(fleet, "killed", address)
    other = next(name for name in fleet.simulation.machines if name != address)
    fleet.simulation.run(1.0)
    fleet.changes(changes, other)
    return end_fault


class ChainFault:
    """Loses, duplicates or delays the n-th message of one kind to one member."""

    def __init__(self, kind: type[Struct], receiver: str | None, number: int, delays: list[float]) -> None:
        self._kind = kind
        self._receiver = receiver
        self._number = number
        self._delays = delays
        self.count = 0

    def __call__(self, sender: str, receiver: str, message: Struct) -> list[float]:
        if isinstance(message, self._kind) and self._receiver in (None, receiver):
            self.count += 1
            if self.count == self._number:
                return self._delays
        return [0.0]


LOST: list[float] = []
DUPLICATED = [0.0, 0.3]
LATE = [0.8]


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("kind", [InstallSnapshot, AppendRequest, SuccessorStatus, CommitNotification])
@pytest.mark.parametrize("delays", [LOST, DUPLICATED, LATE], ids=["lost", "duplicated", "late"])
def test_a_message_of_catching_up_is_lost_duplicated_or_late(
    fleet: Fleet, kind: type[Struct], delays: list[float], position: str
) -> None:
    simulation = fleet.simulation
    fleet.changes(5, "m1")
    address = fleet.at(position)
    end_fault = _stop_until_left_out(fleet, address)
    other = next(name for name in simulation.machines if name != address)
    receiver = None if kind in (SuccessorStatus, CommitNotification) else address
    for number in (1, 2):
        fault = simulation.message_fault = ChainFault(kind, receiver, number, delays)
        end_fault()
        for _ in range(4):
            simulation.run(0.3)
            fleet.change(other)
        assert fleet.has_caught_up_in_time(address)
        assert fault.count >= 1
        simulation.message_fault = None
        end_fault = _stop_until_left_out(fleet, address)
    end_fault()
    assert fleet.has_caught_up_in_time(address)
    fleet.check_end()


@pytest.mark.parametrize("power", [False, True], ids=["killed", "without power"])
@pytest.mark.parametrize("number", range(1, 7))
def test_a_returning_member_is_stopped_in_each_store(fleet: Fleet, number: int, power: bool) -> None:
    simulation = fleet.simulation
    fleet.changes(5, "m1")
    address = fleet.at("middle")
    end_fault = _stop_until_left_out(fleet, address)
    _stop_in_store(simulation, address, number, power)
    end_fault()
    simulation.run(0.3)
    fleet.changes(3, next(name for name in simulation.machines if name != address))
    assert fleet.has_caught_up_in_time(address)
    fleet.check_end()


def _stop_in_store(simulation: StorageSimulation, address: str, number: int, power: bool) -> None:
    """Stop a member at its n-th store from now on."""
    seen: set[int] = set()

    def inject_fault(_: int) -> None:
        waiting: list[StoreRecords] = simulation.machines[address].disk.waiting
        seen.update(store.token for store in waiting)
        if len(seen) == number:
            simulation.on_store = None
            stop = simulation.lose_power if power else simulation.kill
            simulation.at(simulation.now, lambda: stop(address, 0.2))

    simulation.on_store = inject_fault


def test_a_change_is_committed_while_a_snapshot_is_installed(fleet: Fleet) -> None:
    simulation = fleet.simulation
    fleet.changes(5, "m1")
    address = fleet.at("tail")
    end_fault = _stop_until_left_out(fleet, address)
    end_fault()
    assert simulation.run_until(
        lambda: simulation.replica(address)._register.installing_snapshot, CATCH_UP_S, 0.001
    )
    simulation.set_disk(address, DiskMode.STALLS)
    other = fleet.at("head")
    simulation.put(other, fleet.generation, fleet.generation + 1, b"meanwhile")
    simulation.run(0.3)
    simulation.set_disk(address, DiskMode.WORKS)
    fleet.change(other, b"meanwhile")
    assert fleet.has_caught_up_in_time(address)
    fleet.check_end()


@pytest.mark.parametrize("mode", [DiskMode.STALLS, DiskMode.FULL, DiskMode.FAILS])
@pytest.mark.parametrize("number", range(1, 6))
def test_the_disk_fails_at_each_store_of_a_returning_member(
    fleet: Fleet, number: int, mode: DiskMode
) -> None:
    simulation = fleet.simulation
    fleet.changes(5, "m1")
    address = fleet.at("head")
    end_fault = _stop_until_left_out(fleet, address)
    seen: set[int] = set()

    def inject_fault(_: int) -> None:
        seen.update(store.token for store in simulation.machines[address].disk.waiting)
        if len(seen) >= number:
            simulation.machines[address].disk.mode = mode

    simulation.on_store = inject_fault
    end_fault()
    simulation.run(1.5)
    fleet.changes(3, next(name for name in simulation.machines if name != address))
    simulation.on_store = None
    simulation.set_disk(address, DiskMode.WORKS)
    assert fleet.has_caught_up_in_time(address)
    fleet.check_end()


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize(("bytes_per_s", "limit"), [(20e6, 1.5), (3e6, 2.5), (1e6, 6.0)])
def test_a_large_snapshot_is_sent_over_a_slow_link(
    fleet: Fleet, position: str, bytes_per_s: float, limit: float
) -> None:
    """Also if the document takes longer than the failure time-out, no further change of view happens."""
    simulation = fleet.simulation
    fleet.change("m1", b"x" * 4_000_000)
    address = fleet.at(position)
    end_fault = _stop_until_left_out(fleet, address, changes=0)
    fleet.change(fleet.at("head"), b"y" * 4_000_000)
    view = simulation.newest_view()
    simulation.link_bytes_per_s = bytes_per_s
    end_fault()
    assert simulation.run_until(lambda: fleet.has_newest_change(address), limit)
    newest = simulation.newest_view()
    assert view is not None
    assert newest is not None
    assert newest.number == view.number + 1


def test_a_snapshot_is_not_sent_repeatedly_over_a_slow_link(fleet: Fleet) -> None:
    simulation = fleet.simulation
    fleet.change("m1", b"x" * 4_000_000)
    address = fleet.at("tail")
    end_fault = _stop_until_left_out(fleet, address, changes=0)
    simulation.link_bytes_per_s = 0.2e6
    count = simulation.message_fault = ChainFault(InstallSnapshot, address, 0, [])
    end_fault()
    assert simulation.run_until(lambda: fleet.has_newest_change(address), 25.0)
    assert count.count <= 5


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize(("bytes_per_s", "limit"), [(40e6, 1.5), (12e6, 2.0), (8e6, 2.5)])
def test_a_large_snapshot_is_installed_on_a_slow_disk(
    fleet: Fleet, position: str, bytes_per_s: float, limit: float
) -> None:
    """A disk that is writing is not taken for a stalled one, and no further change of view happens."""
    simulation = fleet.simulation
    fleet.change("m1", b"x" * 4_000_000)
    address = fleet.at(position)
    end_fault = _stop_until_left_out(fleet, address, changes=0)
    fleet.change(fleet.at("head"), b"y" * 4_000_000)
    view = simulation.newest_view()
    simulation.disk_bytes_per_s = {address: bytes_per_s}
    end_fault()
    assert simulation.run_until(lambda: fleet.has_newest_change(address), limit)
    newest = simulation.newest_view()
    assert view is not None
    assert newest is not None
    assert newest.number == view.number + 1
