"""Deterministic simulation of several replicas: virtual clock, network, disks and processes.

Everything random comes from one seeded generator. Faults are switched on and off by the test, or by a hook
at a numbered point: before the n-th message is sent, or when the n-th store is asked for.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

from msgspec import Struct

from reedspoke.cluster.errors import ErrorCode
from reedspoke.cluster.messages import decode, encode
from reedspoke.control_plane.events import (
    Deliver,
    Effect,
    Event,
    Get,
    GetAnswer,
    Leave,
    Put,
    PutAnswer,
    Received,
    SeedsChanged,
    SendTo,
    Store,
    Stored,
    Tick,
    View,
)
from reedspoke.control_plane.replica import TICK_S, Replica, ReplicaSettings
from reedspoke.control_plane.replica_messages import LeaseGrant, Ping, ReplicaMessage
from tests.control_plane.judge import Judge
from tests.control_plane.simulated_parts import STORE_ERRORS, Disk, DiskMode, Machine, Network, VirtualTime

LINK_DELAY_S = (0.001, 0.006)
DISK_DELAY_S = (0.001, 0.008)
START_SPREAD_S = 0.3
HELD_RETRY_S = 0.2
MOST_CLOCK_SKEW_S = 1000.0

Hook = Callable[[int], None]


class Simulation(VirtualTime):
    """A core of machines. Addresses are `m1`, `m2`, …; the first `seeds` of them are the seeds."""

    def __init__(self, seed: int = 0, machines: int = 3, tolerated: int = 1, seeds: int = 3) -> None:
        super().__init__()
        self.random = random.Random(seed)
        self.network = Network()
        self.judge = Judge()
        self.machines: dict[str, Machine] = {}
        self.message_count = 0
        self.store_count = 0
        self.on_message: Hook | None = None
        self.on_store: Hook | None = None
        self.spy: Callable[[SendTo], None] | None = None
        self.lost_messages: set[int] = set()
        self.doubled_messages: set[int] = set()
        self.late_messages: set[int] = set()
        self._tolerated = tolerated
        self._folders = itertools.count(1)
        self._requests = itertools.count(1)
        self._link_free: dict[tuple[str, str], float] = {}
        self._disk_free: dict[str, float] = {}
        names = [f"m{number}" for number in range(1, machines + 1)]
        self.seeds = tuple(names[:seeds])
        for name in names:
            self.machines[name] = self._new_machine(name, bootstrap=True)
            self.at(self.now + self.random.uniform(0, START_SPREAD_S), self._starter(name))

    # ---- operator ----

    def put(self, address: str, match: int, generation: int, document: bytes) -> int:
        """Hand a change to a machine; the judge gets the answer under the returned id."""
        request_id = next(self._requests)
        if self.machines[address].replica is not None:
            self.judge.asked_put(address, request_id, match, generation, document)
            self._handle(address, Put(request_id, match, generation, document))
        return request_id

    def get(self, address: str) -> int:
        """Ask a machine for the newest configuration."""
        request_id = next(self._requests)
        self.judge.asked_get(request_id)
        self._handle(address, Get(request_id))
        return request_id

    def put_and_wait(self, address: str, match: int, generation: int, document: bytes) -> ErrorCode | None:
        """A change and its answer; WRITE_UNCLEAR where none came."""
        request_id = self.put(address, match, generation, document)
        self.run_until(lambda: request_id in self.judge.put_answers, 2.0)
        answer = self.judge.put_answers.get(request_id)
        return answer.error if answer else ErrorCode.WRITE_UNCLEAR

    def get_and_wait(self, address: str) -> GetAnswer | None:
        """A read and its answer."""
        request_id = self.get(address)
        self.run_until(lambda: request_id in self.judge.get_answers, 2.0)
        return self.judge.get_answers.get(request_id)

    def inject(self, address: str, event: Event) -> None:
        """Hand any event to a machine."""
        self._handle(address, event)

    # ---- what the tests look at ----

    def replica(self, address: str) -> Replica:
        """The running replica of a machine."""
        replica = self.machines[address].replica
        assert replica is not None
        return replica

    def running(self) -> list[Machine]:
        """Machines whose process runs and is not frozen."""
        return [machine for machine in self.machines.values() if machine.replica and not machine.frozen]

    def newest_view(self) -> View | None:
        """The newest view that a running replica acts in."""
        views = [machine.replica.view for machine in self.machines.values() if machine.replica]
        return max((view for view in views if view), key=lambda view: view.number, default=None)

    def chain(self) -> list[str]:
        """Addresses of the newest chain, from head to tail."""
        view = self.newest_view()
        return [link.member.address for link in view.chain] if view else []

    def whole(self) -> bool:
        """Whether every running machine is in the newest chain and acts in that view."""
        running = self.running()
        views = {m.replica.view.number if m.replica and m.replica.view else 0 for m in running}
        return len(views) == 1 and all(m.replica is not None and m.replica.in_chain for m in running)

    def settle(self, limit: float = 6.0) -> None:
        """Let the core become whole."""
        assert self.run_until(self.whole, limit), f"not whole, the chain is {self.chain()}"

    # ---- faults of processes ----

    def kill(self, address: str, restart_after: float | None = 0.3) -> None:
        """The process dies; what it had written stays or not, what it had synced stays."""
        self._stop(address, keep_unsynced=self.random.random() < 0.5)
        self._restart_later(address, restart_after)

    def lose_power(self, address: str, restart_after: float | None = 0.5) -> None:
        """Power is lost: none or some of the stores under way are on the disk."""
        self._stop(address, keep_unsynced=self.random.random() < 0.3)
        self._restart_later(address, restart_after)

    def lose_disk(self, address: str, restart_after: float | None = 0.5) -> None:
        """The disk is lost with everything on it."""
        self._stop(address, keep_unsynced=False)
        machine = self.machines[address]
        machine.disk = self._new_disk()
        machine.bootstrap = False
        self._restart_later(address, restart_after)

    def freeze(self, address: str) -> None:
        """The process is stopped; its clock goes on."""
        self.machines[address].frozen = True

    def thaw(self, address: str) -> None:
        """The process goes on, and finds what came meanwhile."""
        machine = self.machines[address]
        machine.frozen = False
        missed, machine.missed = machine.missed, []
        for event in missed:
            self._handle(address, event)

    def leave(self, address: str, gone_after: float = 0.5) -> None:
        """SIGTERM: the process says so, and ends for good a little later."""
        self._handle(address, Leave())
        self.at(self.now + gone_after, lambda: self._stop(address, keep_unsynced=True))

    def add_machine(self, address: str) -> None:
        """A new machine with an empty disk."""
        self.machines[address] = self._new_machine(address, bootstrap=False)
        self._start(address)

    def change_seeds(self, seeds: tuple[str, ...]) -> None:
        """The settings of all machines name other seeds from now on."""
        self.seeds = seeds
        for machine in self.running():
            self._handle(machine.address, SeedsChanged(seeds))

    # ---- faults of disks and links ----

    def set_disk(self, address: str, mode: DiskMode) -> None:
        """The disk gets into or out of trouble; what hung is carried out."""
        disk = self.machines[address].disk
        disk.mode = mode
        waiting, disk.waiting = disk.waiting, []
        for store in waiting:
            self._start_store(address, store)

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """The link carries nothing from one to the other."""
        self.network.cut.add((one, other))
        if both:
            self.network.cut.add((other, one))

    def isolate(self, address: str) -> None:
        """All links of a machine are cut."""
        for other in self.machines:
            if other != address:
                self.cut(address, other)

    def heal(self) -> None:
        """All links carry again, all disks work, all processes run."""
        self.network.cut.clear()
        self.network.loss = self.network.doubled = self.network.late = 0.0
        for machine in list(self.machines.values()):
            self.set_disk(machine.address, DiskMode.WORKS)
            if machine.frozen:
                self.thaw(machine.address)

    # ---- machinery ----

    def _new_disk(self) -> Disk:
        return Disk(folder_id=f"{next(self._folders):04x}")

    def _new_machine(self, address: str, bootstrap: bool) -> Machine:
        skew = self.random.uniform(0.0, MOST_CLOCK_SKEW_S)
        return Machine(address, f"zone-{address}", self._new_disk(), bootstrap, clock_skew=skew)

    def start(self, address: str) -> None:
        """Start the process of a machine."""
        self._start(address)

    def _starter(self, address: str) -> Callable[[], None]:
        return lambda: self._start(address)

    def _start(self, address: str) -> None:
        machine = self.machines[address]
        if machine.replica is not None:
            return
        machine.life += 1
        machine.frozen = False
        machine.missed = []
        self.judge.started(address)
        settings = ReplicaSettings(
            folder_id=machine.disk.folder_id,
            address=address,
            zone=machine.zone,
            seeds=self.seeds,
            bootstrap=machine.bootstrap,
            machines_tolerated=self._tolerated,
        )
        machine.replica = Replica(
            settings, list(machine.disk.records), self.now + machine.clock_skew, str(machine.life)
        )
        self._tick(address, machine.life)

    def _stop(self, address: str, keep_unsynced: bool) -> None:
        machine = self.machines[address]
        if machine.replica is None:
            return
        machine.replica = None
        machine.life += 1
        self.judge.stopped(address)
        waiting, machine.disk.waiting = machine.disk.waiting, []
        if keep_unsynced and machine.disk.mode is not DiskMode.FULL:
            for store in waiting[: self.random.randint(0, len(waiting))]:
                self._write(machine.disk, store)

    def _restart_later(self, address: str, after: float | None) -> None:
        if after is not None:
            self.at(self.now + after, self._starter(address))

    def _tick(self, address: str, life: int) -> None:
        machine = self.machines[address]
        if machine.life != life:
            return
        if not machine.frozen:
            self._handle(address, Tick())
        self.at(self.now + TICK_S, lambda: self._tick(address, life))

    def _handle(self, address: str, event: Event) -> None:
        machine = self.machines[address]
        if machine.replica is None:
            return
        if machine.frozen:
            machine.missed.append(event)
            return
        life = machine.life
        for effect in machine.replica.handle(self.now + machine.clock_skew, event):
            if machine.life != life:
                return  # a fault at a numbered point has ended this process
            self._carry_out(address, effect)

    def _carry_out(self, address: str, effect: Effect) -> None:
        match effect:
            case SendTo():
                self._send(address, effect)
            case Store():
                self._count_store(address, effect)
            case PutAnswer():
                self.judge.answered_put(effect)
            case GetAnswer():
                self.judge.answered_get(effect)
            case Deliver(committed=committed):
                self.judge.delivered(address, committed)
            case _:
                pass

    def _send(self, sender: str, effect: SendTo) -> None:
        number = self._message_number(effect.message)
        if self.spy is not None:
            self.spy(effect)
        if number in self.lost_messages or self.random.random() < self.network.loss:
            return
        message = effect.message
        if self.network.check_encoding:
            message = decode(encode(message), ReplicaMessage)
            assert message == effect.message
        copies = 1
        if number in self.doubled_messages or self.random.random() < self.network.doubled:
            copies = 2
        late = number in self.late_messages or self.random.random() < self.network.late
        for copy in range(copies):
            self._transmit(sender, effect.address, message, 0.4 if late or copy else 0.0)

    def _message_number(self, message: Struct) -> int:
        """Numbers what happens once; signs of life, which are repeated all the time, get none."""
        if isinstance(message, Ping | LeaseGrant):
            return 0
        self.message_count += 1
        if self.on_message is not None:
            self.on_message(self.message_count)
        return self.message_count

    def _transmit(self, sender: str, receiver: str, message: Struct, extra: float) -> None:
        """Deliver after the link's delay, in order unless `extra` sets the message apart."""
        arrival = self.now + self.random.uniform(*LINK_DELAY_S) + extra
        if not extra:
            arrival = max(arrival, self._link_free.get((sender, receiver), 0.0))
            self._link_free[(sender, receiver)] = arrival

        def arrive() -> None:
            if (sender, receiver) not in self.network.cut:
                self._receive(receiver, Received(sender, message))
            elif self.network.holds:
                self.at(self.now + HELD_RETRY_S, arrive)

        self.at(arrival, arrive)

    def _receive(self, receiver: str, event: Received) -> None:
        if receiver in self.machines:
            self._handle(receiver, event)

    def _count_store(self, address: str, store: Store) -> None:
        self.store_count += 1
        self.machines[address].disk.waiting.append(store)
        if self.on_store is not None:
            self.on_store(self.store_count)
        if store in self.machines[address].disk.waiting:
            self.machines[address].disk.waiting.remove(store)
            self._start_store(address, store)

    def _start_store(self, address: str, store: Store) -> None:
        """Stores end in their order; while the disk hangs they wait."""
        machine = self.machines[address]
        life = machine.life
        machine.disk.waiting.append(store)
        if machine.disk.mode is DiskMode.STALLS:
            return
        end = max(self.now, self._disk_free.get(address, 0.0)) + self.random.uniform(*DISK_DELAY_S)
        self._disk_free[address] = end

        def finish() -> None:
            same_life = machine.life == life and store in machine.disk.waiting
            if same_life and machine.disk.mode is not DiskMode.STALLS:
                self._finish_store(machine, store)

        self.at(end, finish)

    def _finish_store(self, machine: Machine, store: Store) -> None:
        machine.disk.waiting.remove(store)
        error = STORE_ERRORS.get(machine.disk.mode)
        if error is None or (error is ErrorCode.STORAGE_FAILED and self.random.random() < 0.5):
            self._write(machine.disk, store)
        self._handle(machine.address, Stored(store.token, error))

    @staticmethod
    def _write(disk: Disk, store: Store) -> None:
        if store.replace:
            disk.records = list(store.records)
        else:
            disk.records.extend(store.records)
