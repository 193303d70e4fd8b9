"""Deterministic simulation of control schedulers: operator calls, and faults that tests start and end."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import GetCompleted
from reedspoke.control_plane.replication.events import (
    Event,
    GetSubmitted,
    PutSubmitted,
    SeedsChanged,
    ShutdownStarted,
)
from reedspoke.control_plane.replication.replica import Replica
from reedspoke.control_plane.replication.view import View
from tests.control_plane.simulated_core import SimulatedCore
from tests.control_plane.simulated_parts import Direction, DiskMode, Machine


class Simulation(SimulatedCore):
    """A core of machines, with operator calls, state queries and fault injection for tests."""

    # ---- operator calls ----

    def put(
        self,
        address: str,
        match: int,
        generation: int,
        document: bytes,
        on_call: Callable[[int], None] | None = None,
    ) -> int:
        """Submit a change to a machine; the judge records the answer under the returned id.

        `on_call` is called with the id before the machine gets the change, which it may answer at once.
        """
        call, request_id = self._new_call(address)
        if on_call is not None:
            on_call(call)
        if self.machines[address].replica is not None:
            self.judge.put_submitted(address, call, match, generation, document)
            self._handle(address, PutSubmitted(request_id, match, generation, document))
        return call

    def get(self, address: str) -> int:
        """Submit a read of the newest configuration to a machine."""
        call, request_id = self._new_call(address)
        self.judge.get_submitted(call)
        self._handle(address, GetSubmitted(request_id))
        return call

    def put_and_wait(self, address: str, match: int, generation: int, document: bytes) -> ErrorCode | None:
        """Submit a change and return its answer; WRITE_UNCLEAR if none came."""
        request_id = self.put(address, match, generation, document)
        self.run_until(lambda: request_id in self.judge.put_answers, 2.0)
        answer = self.judge.put_answers.get(request_id)
        return answer.error if answer else ErrorCode.WRITE_UNCLEAR

    def get_and_wait(self, address: str) -> GetCompleted | None:
        """Submit a read and return its answer; None if none came."""
        request_id = self.get(address)
        self.run_until(lambda: request_id in self.judge.get_answers, 2.0)
        return self.judge.get_answers.get(request_id)

    def inject(self, address: str, event: Event) -> None:
        """Pass an event to a machine."""
        self._handle(address, event)

    # ---- state of the core ----

    def replica(self, address: str) -> Replica:
        """The running replica of a machine."""
        replica = self.machines[address].replica
        assert replica is not None
        return replica

    def running(self) -> list[Machine]:
        """Machines whose process is running and not frozen."""
        return [machine for machine in self.machines.values() if machine.replica and not machine.frozen]

    def newest_view(self) -> View | None:
        """The newest view that a running replica acts in."""
        views = [machine.replica.view for machine in self.machines.values() if machine.replica]
        return max((view for view in views if view), key=lambda view: view.number, default=None)

    def chain(self) -> list[str]:
        """Addresses of the newest chain, from head to tail."""
        view = self.newest_view()
        return [link.member.address for link in view.chain] if view else []

    def all_in_chain(self) -> bool:
        """Whether every running machine is in the newest chain and acts in that view."""
        running = self.running()
        views = {m.replica.view.number if m.replica and m.replica.view else 0 for m in running}
        return len(views) == 1 and all(m.replica is not None and m.replica.in_chain for m in running)

    def machines_with_bad_links(self) -> set[str]:
        """All machines if any message may be lost, duplicated or late, else the ends of the cut links.

        A link to a machine that is isolated as a whole does not count against its other end.
        """
        if self.network.has_message_faults:
            return set(self.machines)
        off = self.network.cut_off
        links = (link for link in self.network.cut if not off.intersection(link))
        return off.union(*links)

    def impaired_machines(self) -> set[str]:
        """Machines that are down, frozen, cut off or have a failing disk now."""
        bad = {
            machine.address
            for machine in self.machines.values()
            if machine.replica is None or machine.frozen or machine.disk.mode is not DiskMode.WORKS
        }
        return bad | self.machines_with_bad_links()

    def settled_since(self) -> float:
        """Time of the last disturbance of the core; infinity while too many machines are lost."""
        if self.network.is_impaired or len(self.impaired_machines()) > self.tolerated:
            return float("inf")
        return self.disturbances.last_event

    def settle(self, limit: float = 6.0) -> None:
        """Let time pass until all running machines are in the chain."""
        assert self.run_until(self.all_in_chain, limit), (
            f"not all running machines are in the chain {self.chain()}"
        )

    # ---- faults of processes ----

    def kill(self, address: str, restart_after: float | None = 0.3) -> None:
        """The process is killed; synced data remains on the disk, unsynced data may."""
        self._stop(address, keep_unsynced=self.random.random() < 0.5)
        self._restart_later(address, restart_after)

    def lose_power(self, address: str, restart_after: float | None = 0.5) -> None:
        """Power is lost; none or some of the stores in progress are on the disk."""
        self._stop(address, keep_unsynced=self.random.random() < 0.3)
        self._restart_later(address, restart_after)

    def lose_disk(self, address: str, restart_after: float | None = 0.5) -> None:
        """The disk is lost with all its data."""
        self._stop(address, keep_unsynced=False)
        machine = self.machines[address]
        machine.disk = self._new_disk()
        machine.bootstrap = False
        self._restart_later(address, restart_after)

    def freeze(self, address: str) -> None:
        """The process is stopped, while its clock keeps running; counts as a disturbance of the machine."""
        self.disturbances.record(self.now, address)
        self.suspend(address)

    def thaw(self, address: str) -> None:
        """The process continues, and handles the events that arrived meanwhile."""
        self.disturbances.record(self.now, address)
        self.resume(address)

    def suspend(self, address: str) -> None:
        """The process gets no processor time for now, which does not count as a fault of its machine."""
        machine = self.machines[address]
        machine.frozen = True
        for component in self.components:
            component.frozen(machine)

    def resume(self, address: str) -> None:
        """The process gets processor time again, and handles the events that arrived meanwhile."""
        machine = self.machines[address]
        machine.frozen = False
        for component in self.components:
            component.thawed(machine)
        missed, machine.missed = machine.missed, []
        for event in missed:
            self._handle(address, event)
        if machine.tick_is_due and not machine.frozen:
            self._ticked(machine)

    def shut_down(self, address: str, gone_after: float = 0.5) -> None:
        """The process gets SIGTERM, announces its shutdown, and ends a little later without a restart."""
        machine = self.machines[address]
        machine.shutting_down = True
        self.disturbances.record(self.now, address)
        incarnation = machine.incarnation
        self._handle(address, ShutdownStarted())
        for component in self.components:
            component.shutting_down(machine)

        def end() -> None:
            if machine.incarnation == incarnation and address in self.machines:
                self._stop(address, keep_unsynced=True)

        self.at(self.now + gone_after, end)

    def add_machine(self, address: str) -> None:
        """Add a machine with an empty disk, and start it."""
        self.machines[address] = self._new_machine(address, bootstrap=False)
        self._start(address)

    def remove_machine(self, address: str) -> None:
        """Remove a machine with its disk."""
        self.machines[address].removed = True
        self._stop(address, keep_unsynced=False)
        del self.machines[address]

    def change_seeds(self, seeds: tuple[str, ...]) -> None:
        """Change the seeds in the settings of all machines."""
        self.disturbances.record(self.now)
        self.seeds = seeds
        for machine in self.running():
            self._handle(machine.address, SeedsChanged(seeds))

    # ---- faults of disks and links ----

    def set_disk(self, address: str, mode: DiskMode) -> None:
        """Change the mode of a disk, and start the stores that were waiting."""
        disk = self.machines[address].disk
        if disk.mode is not mode:
            self.disturbances.record_disk_change(self.now, address)
        disk.mode = mode
        waiting, disk.waiting = disk.waiting, []
        for store in waiting:
            self._start_store(address, store)

    def cut(self, one: str, other: str, both: bool = True) -> None:
        """Cut the link from one machine to the other, and back if `both`."""
        self.disturbances.record(self.now, one, other)
        self.network.cut.add((one, other))
        if both:
            self.network.cut.add((other, one))

    def isolate(self, address: str) -> None:
        """Cut all links of a machine."""
        self.cut_off([address])

    def cut_off(self, addresses: Iterable[str], direction: Direction = Direction.BOTH) -> None:
        """Cut off machines from all others; they still reach each other."""
        inside = set(addresses)
        self.disturbances.record(self.now, *inside)
        self.network.cut_off |= inside
        for one in inside:
            for other in set(self.machines) - inside:
                if direction is not Direction.TO_THEM:
                    self.network.cut.add((one, other))
                if direction is not Direction.FROM_THEM:
                    self.network.cut.add((other, one))

    def restore_links(self) -> None:
        """Restore all cut links."""
        if self.network.cut:
            self.disturbances.record(self.now, *self.machines_with_bad_links())
        self.network.cut.clear()
        self.network.cut_off.clear()

    def end_message_faults(self) -> None:
        """Stop the loss, duplication and delay of messages."""
        if self.network.has_message_faults:
            self.disturbances.record(self.now, *self.machines)
        self.network.loss = self.network.duplicated = self.network.late = 0.0

    def heal(self) -> None:
        """End all faults: restore links and disks, and continue frozen processes."""
        self.restore_links()
        self.end_message_faults()
        for machine in list(self.machines.values()):
            self.set_disk(machine.address, DiskMode.WORKS)
            if machine.frozen:
                self.thaw(machine.address)
