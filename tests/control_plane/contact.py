"""Which machines are in touch with a stable core, so that the rules with time bounds apply to them."""

from __future__ import annotations

from tests.control_plane.disturbances import CATCH_UP_S, STABLE_AFTER_S
from tests.control_plane.simulation import Simulation

NEVER = float("-inf")


class ContactWatch:
    """Tracks the connectivity of the core; `look` has to be called at least every tenth of a second."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._began = self._majority_since = simulation.now
        self._connected_since: dict[str, float] = {}
        self._lost_until: dict[str, float] = {}
        # The majority of voters was lost while more machines were lost than tolerated.
        self._voters_lost_beyond = False
        self._has_begun = False  # whether more than half of the core has had a view in force

    def look(self, outside: list[str]) -> None:
        """Record the state of the core, and which machines are connected with its majority."""
        now = self._simulation.now
        majority = self.majority_side()
        self._note_lost(now)
        if not majority or self._too_many_lost() or self._cannot_decide(majority):
            self._majority_since = now
        for name in [*outside, *self._simulation.machines]:
            is_connected = bool(majority) and all(self._path(name, other) for other in majority)
            if not is_connected:
                self._connected_since.pop(name, None)
            else:
                self._connected_since.setdefault(name, now)

    def _too_many_lost(self) -> bool:
        simulation = self._simulation
        disturbances = simulation.disturbances
        recently = {
            address
            for address in simulation.machines
            if disturbances.disk_changed_recently(simulation.now, address)
        }
        lost = simulation.impaired_machines() | recently | self._without_a_copy()
        return len(lost) > simulation.tolerated

    def _note_lost(self, now: float) -> None:
        """A machine stays lost for CATCH_UP_S after it is back."""
        for address in self._simulation.impaired_machines():
            self._lost_until[address] = now + CATCH_UP_S

    def _cannot_decide(self, side: set[str]) -> bool:
        return self._seeds_are_missing(side) or self._voters_are_missing(side)

    def _voters_are_missing(self, side: set[str]) -> bool:
        """Whether the voters' majority was lost while more machines were lost than tolerated.

        Service may then stop until they are back. If no more than tolerated were lost, it may not.
        """
        view = self._simulation.newest_view()
        if view is None or 2 * sum(voter.address in side for voter in view.voters) > len(view.voters):
            self._voters_lost_beyond = False
            return False
        now = self._simulation.now
        lost = [address for address, until in self._lost_until.items() if now < until]
        if len(lost) > self._simulation.tolerated:
            self._voters_lost_beyond = True
        return self._voters_lost_beyond

    def _seeds_are_missing(self, side: set[str]) -> bool:
        """Whether the first start has to wait for seeds, which must all be up at that time.

        Processes that reach at most half of the seeds cannot know whether the others start without them.
        """
        replicas = [self._simulation.machines[address].replica for address in side]
        if any(replica is not None and replica.view is not None for replica in replicas):
            self._has_begun = True
        seeds = self._simulation.seeds
        return not self._has_begun and 2 * len(side.intersection(seeds)) <= len(seeds)

    def _without_a_copy(self) -> set[str]:
        """Machines with a new disk that are not complete members of the chain yet."""
        return {
            machine.address
            for machine in self._simulation.machines.values()
            if machine.disk.made_at > self._began
            and (machine.replica is None or not machine.replica.in_chain)
        }

    def majority_side(self) -> set[str]:
        """Running machines of the core that reach, both ways, more than half of it."""
        running = {machine.address for machine in self._simulation.running()}
        total = len(self._simulation.machines)
        return {one for one in running if sum(self._path(one, other) for other in running) > total / 2}

    def stable_for(self) -> float:
        """For how long the core has been stable; it becomes stable STABLE_AFTER_S after a disturbance."""
        if not self.majority_side() or self._simulation.network.has_message_faults:
            return NEVER
        last = max(self._simulation.disturbances.last_event, self._majority_since)
        return self._simulation.now - last - STABLE_AFTER_S

    def majority_for(self) -> float:
        """For how long more than half of the core has run, connected, with no more lost than tolerated."""
        return self._simulation.now - self._majority_since

    def connected_for(self, name: str) -> float:
        """For how long a machine has been connected, both ways, with all machines of the majority side."""
        since = self._connected_since.get(name)
        return NEVER if since is None else self._simulation.now - since

    def undisturbed_for(self, name: str) -> float:
        """For how long a machine itself has not been disturbed."""
        return self._simulation.now - self._simulation.disturbances.last_of(name)

    def in_touch(self, name: str) -> bool:
        """Whether the rules with time bounds apply to a machine now."""
        own = min(self.connected_for(name), self.undisturbed_for(name))
        return own >= STABLE_AFTER_S and self.stable_for() >= 0.0

    def _path(self, one: str, other: str) -> bool:
        network = self._simulation.network
        return one == other or (network.carries(one, other) and network.carries(other, one))
