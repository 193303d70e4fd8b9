"""Simulated core: processes of control schedulers, their disks, and the network between them.

All random choices come from generators derived from one seed. A fault can be injected at a numbered point:
before the n-th message is sent, or when the n-th store is requested.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable
from typing import get_args

from msgspec import Struct, structs

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import decode, encode
from reedspoke.control_plane.replication.effects import (
    DeliverConfiguration,
    Effect,
    GetCompleted,
    LogEvent,
    PutCompleted,
    SendMessage,
    StoreRecords,
    ViewChanged,
)
from reedspoke.control_plane.replication.events import Event, MessageReceived, StoreCompleted, Tick
from reedspoke.control_plane.replication.messages import (
    Heartbeat,
    ReadLeaseGrant,
    ReplicaMessage,
    ViewConfirmation,
)
from reedspoke.control_plane.replication.replica import TICK_INTERVAL_S, Replica, ReplicaSettings
from tests.control_plane.disturbances import Disturbances
from tests.control_plane.judge import Judge
from tests.control_plane.simulated_parts import (
    STORE_ERRORS,
    Component,
    Disk,
    DiskMode,
    Machine,
    Network,
    VirtualTime,
)

LINK_DELAY_S = (0.001, 0.006)
DISK_DELAY_S = (0.001, 0.008)
START_SPREAD_S = 0.3
HELD_RETRY_S = 0.2
HELD_S = 1.5  # a connection over a cut link ends after this
MAX_CLOCK_SKEW_S = 1000.0
MAX_CLOCK_DRIFT = 1e-3

REPLICA_MESSAGES = get_args(ReplicaMessage)

Hook = Callable[[int], None]


class SimulatedCore(VirtualTime):
    """Runs the machines of a core. Addresses are `m1`, `m2`, …; the first `seeds` of them are the seeds."""

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
        self.on_send: Callable[[SendMessage], None] | None = None
        self.on_log: Callable[[str, LogEvent], None] | None = None
        self.lost_messages: set[int] = set()
        self.duplicated_messages: set[int] = set()
        self.late_messages: set[int] = set()
        self.tolerated = tolerated
        self.disturbances = Disturbances()
        self.components: list[Component] = []
        self.on_put_answer: Callable[[PutCompleted], None] | None = None
        self._seed = seed
        self._link_random: dict[tuple[str, str], random.Random] = {}
        self._clocks = random.Random(f"clocks {seed}")
        self._folders = itertools.count(1)
        self._requests = itertools.count(1)
        self._link_free: dict[tuple[str, str], float] = {}
        self._disk_free: dict[str, float] = {}
        names = [f"m{number}" for number in range(1, machines + 1)]
        self.seeds = tuple(names[:seeds])
        for name in names:
            self.machines[name] = self._new_machine(name, bootstrap=True)
            self.at(self.now + self.random.uniform(0, START_SPREAD_S), self._starter(name))

    def _new_disk(self) -> Disk:
        return Disk(folder_id=f"{next(self._folders):04x}", made_at=self.now)

    def _new_machine(self, address: str, bootstrap: bool) -> Machine:
        skew = self.random.uniform(0.0, MAX_CLOCK_SKEW_S)
        rate = 1.0 + self._clocks.uniform(-MAX_CLOCK_DRIFT, MAX_CLOCK_DRIFT)
        return Machine(address, f"zone-{address}", self._new_disk(), bootstrap, skew, rate)

    def start(self, address: str) -> None:
        """Start the process of a machine."""
        self._start(address)

    def _starter(self, address: str) -> Callable[[], None]:
        return lambda: self._start(address)

    def _start(self, address: str) -> None:
        machine = self.machines.get(address)
        if machine is None or machine.removed or machine.replica is not None:
            return
        machine.incarnation += 1
        machine.frozen = False
        machine.shutting_down = False
        machine.missed = []
        machine.tick_is_due = False
        machine.calls = {}
        self.disturbances.record(self.now, address)
        self.judge.started(address)
        settings = ReplicaSettings(
            folder_id=machine.disk.folder_id,
            address=address,
            zone=machine.zone,
            seeds=self.seeds,
            bootstrap=machine.bootstrap,
            machines_tolerated=self.tolerated,
        )
        records = list(machine.disk.records)
        machine.replica = Replica(
            settings, records, machine.clock(self.now), f"incarnation-{machine.incarnation}"
        )
        for component in self.components:
            component.started(machine)
        self._tick(address, machine.incarnation)

    def _stop(self, address: str, keep_unsynced: bool) -> None:
        machine = self.machines[address]
        if machine.replica is None:
            return
        machine.replica = None
        machine.incarnation += 1
        self.disturbances.record(self.now, address)
        self.judge.stopped(address)
        for component in self.components:
            component.stopped(machine)
        waiting, machine.disk.waiting = machine.disk.waiting, []
        if keep_unsynced and machine.disk.mode is not DiskMode.FULL:
            for store in waiting[: self.random.randint(0, len(waiting))]:
                self._write(machine.disk, store)

    def _restart_later(self, address: str, after: float | None) -> None:
        if after is not None:
            self.at(self.now + after, self._starter(address))

    def _tick(self, address: str, incarnation: int) -> None:
        machine = self.machines.get(address)
        if machine is None or machine.incarnation != incarnation:
            return
        if machine.frozen:
            machine.tick_is_due = True
        else:
            self._ticked(machine)
        self.at(self.now + TICK_INTERVAL_S, lambda: self._tick(address, incarnation))

    def _ticked(self, machine: Machine) -> None:
        machine.tick_is_due = False
        self._handle(machine.address, Tick())
        for component in self.components:
            component.ticked(machine)

    def _handle(self, address: str, event: Event) -> None:
        machine = self.machines[address]
        if machine.replica is None:
            return
        if machine.frozen:
            machine.missed.append(event)
            return
        if isinstance(event, MessageReceived):
            for component in self.components:
                component.received(machine, event.sender, event.message)
            if not isinstance(event.message, REPLICA_MESSAGES):
                return
        incarnation = machine.incarnation
        for effect in machine.replica.handle(machine.clock(self.now), event):
            if machine.incarnation != incarnation:
                return  # a fault injected at a numbered point has ended this process
            self._carry_out(address, effect)

    def _carry_out(self, address: str, effect: Effect) -> None:
        match effect:
            case SendMessage():
                self.send(address, effect)
            case StoreRecords():
                self._count_store(address, effect)
            case PutCompleted():
                self._answered_put(address, effect)
            case GetCompleted(request_id=request_id):
                self.judge.get_answered(
                    structs.replace(effect, request_id=self._call_of(address, request_id))
                )
            case DeliverConfiguration(committed=committed):
                self.judge.delivered(address, committed)
                for component in self.components:
                    component.delivered(self.machines[address], committed)
            case ViewChanged(view=view):
                for component in self.components:
                    component.view_changed(self.machines[address], view)
            case LogEvent():
                if self.on_log is not None:
                    self.on_log(address, effect)

    def _answered_put(self, address: str, effect: PutCompleted) -> None:
        answer = structs.replace(effect, request_id=self._call_of(address, effect.request_id))
        self.judge.put_answered(answer)
        if self.on_put_answer is not None:
            self.on_put_answer(answer)

    def _new_call(self, address: str) -> tuple[int, int]:
        """Number of a new call in the simulation, and its number in the process that gets it."""
        machine = self.machines[address]
        call = next(self._requests)
        in_process = len(machine.calls) + 1
        machine.calls[in_process] = call
        return call, in_process

    def _call_of(self, address: str, request_id: int) -> int:
        """The number in the simulation of a call that a process answers."""
        calls = self.machines[address].calls
        assert request_id in calls, f"{address} answered a call that it never got"
        return calls[request_id]

    def send(self, sender: str, effect: SendMessage) -> None:
        """Send a message from one control scheduler to another."""
        number = self._message_number(effect.message)
        if self.on_send is not None:
            self.on_send(effect)
        numbers = self._random_for(sender, effect.address, effect.message)
        if number in self.lost_messages or numbers.random() < self.network.loss:
            return
        message = effect.message
        if self.network.check_encoding and isinstance(message, REPLICA_MESSAGES):
            message = decode(encode(message), ReplicaMessage)
            assert message == effect.message
        copies = 1
        if number in self.duplicated_messages or numbers.random() < self.network.duplicated:
            copies = 2
        late = number in self.late_messages or numbers.random() < self.network.late
        for copy in range(copies):
            self._transmit(sender, effect.address, message, 0.4 if late or copy else 0.0)

    def _random_for(self, sender: str, receiver: str, message: Struct) -> random.Random:
        """Generator for a message. Messages other than those between replicas have no fixed order, so each of
        their links has a generator of its own.
        """
        if isinstance(message, REPLICA_MESSAGES):
            return self.random
        link = (sender, receiver)
        if link not in self._link_random:
            self._link_random[link] = random.Random(f"{link} {self._seed}")
        return self._link_random[link]

    def _message_number(self, message: Struct) -> int:
        """Number a message; 0 for heartbeats and grants, which are repeated all the time."""
        if isinstance(message, Heartbeat | ReadLeaseGrant | ViewConfirmation):
            return 0
        self.message_count += 1
        if self.on_message is not None:
            self.on_message(self.message_count)
        return self.message_count

    def _transmit(self, sender: str, receiver: str, message: Struct, extra: float) -> None:
        """Deliver after the link's delay; in order, unless there is an `extra` delay."""
        numbers = self._random_for(sender, receiver, message)
        arrival = self.now + numbers.uniform(*LINK_DELAY_S) + extra
        if not extra:
            arrival = max(arrival, self._link_free.get((sender, receiver), 0.0))
            self._link_free[(sender, receiver)] = arrival

        given_up_at = arrival + HELD_S
        forever = isinstance(message, REPLICA_MESSAGES)  # the replication protocol tolerates any delay

        def arrive() -> None:
            if (sender, receiver) not in self.network.cut:
                self._receive(receiver, MessageReceived(sender, message))
            elif self.network.holds and (forever or self.now < given_up_at):
                self.at(self.now + HELD_RETRY_S, arrive)

        self.at(arrival, arrive)

    def _receive(self, receiver: str, event: MessageReceived) -> None:
        if receiver in self.machines:
            self._handle(receiver, event)

    def _count_store(self, address: str, store: StoreRecords) -> None:
        self.store_count += 1
        self.machines[address].disk.waiting.append(store)
        if self.on_store is not None:
            self.on_store(self.store_count)
        if store in self.machines[address].disk.waiting:
            self.machines[address].disk.waiting.remove(store)
            self._start_store(address, store)

    def _start_store(self, address: str, store: StoreRecords) -> None:
        """Start a store; stores end in order, and wait while the disk stalls."""
        machine = self.machines[address]
        incarnation = machine.incarnation
        machine.disk.waiting.append(store)
        if machine.disk.mode is DiskMode.STALLS:
            return
        end = max(self.now, self._disk_free.get(address, 0.0)) + self.random.uniform(*DISK_DELAY_S)
        self._disk_free[address] = end

        def finish() -> None:
            same_incarnation = machine.incarnation == incarnation and store in machine.disk.waiting
            if same_incarnation and machine.disk.mode is not DiskMode.STALLS:
                self._finish_store(machine, store)

        self.at(end, finish)

    def _finish_store(self, machine: Machine, store: StoreRecords) -> None:
        machine.disk.waiting.remove(store)
        error = STORE_ERRORS.get(machine.disk.mode)
        if error is None or (error is ErrorCode.STORAGE_FAILED and self.random.random() < 0.5):
            self._write(machine.disk, store)
        self._handle(machine.address, StoreCompleted(store.token, error))

    @staticmethod
    def _write(disk: Disk, store: StoreRecords) -> None:
        if store.replace:
            disk.records = list(store.records)
        else:
            disk.records.extend(store.records)
