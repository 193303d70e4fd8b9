"""Calls that wait for other nodes: adds for their disks, syncs for their answers."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.tallies.events import CallCompleted
from reedspoke.control_plane.tallies.messages import INTERNAL_PREFIX, Vector
from reedspoke.control_plane.tallies.peer_contacts import PeerContacts
from reedspoke.control_plane.tallies.records import TallyState
from reedspoke.control_plane.tallies.settings import CALL_LIMIT_S
from reedspoke.control_plane.tallies.version_vectors import covers
from reedspoke.telemetry.invariants import Invariant, check


class WaitingAdd(Struct, frozen=True):
    """An add that is synced here and waits for other disks; `required` is what they must have."""

    required: Vector
    call_ids: tuple[int, ...]
    tally: str
    add_id: int
    since: float


class WaitingSync(Struct, frozen=True):
    """A call that waits until this node knows what was acknowledged before `since`."""

    call_id: int
    since: float


class Acknowledgements:
    """Owns the calls that wait. Nobody waits for longer than CALL_LIMIT_S: then the caller has gone."""

    def __init__(self, copies: int, state: TallyState, contacts: PeerContacts) -> None:
        self._copies = copies
        self._state = state
        self._contacts = contacts
        self._adds: list[WaitingAdd] = []
        self._syncs: list[WaitingSync] = []

    @property
    def waiting_adds(self) -> int:
        """How many adds wait."""
        return len(self._adds)

    def wait_for_disks(self, waiting: WaitingAdd) -> None:
        """Acknowledge an add once it is on enough disks."""
        self._adds.append(waiting)

    def wait_for_quorum(self, waiting: WaitingSync) -> None:
        """Complete a sync once a quorum has answered."""
        self._syncs.append(waiting)

    def may_reach_quorum(self, now: float) -> bool:
        """Whether so many nodes are in reach that a sync may complete."""
        return self._contacts.copies_needed(self._copies, now) == self._copies

    def completed(self, now: float) -> list[CallCompleted]:
        """The calls that are done now."""
        return self._completed_adds(now) + self._completed_syncs(now)

    # ---- adds ----

    def _completed_adds(self, now: float) -> list[CallCompleted]:
        needed = self._contacts.copies_needed(self._copies, now)
        done: list[CallCompleted] = []
        still: list[WaitingAdd] = []
        for waiting in self._adds:
            copies = 1 + self._contacts.copies_of(waiting.required)
            # An order that fewer disks have could be missed by the quorum that the next one asks.
            is_order = waiting.tally.startswith(INTERNAL_PREFIX)
            if copies >= (self._copies if is_order else needed):
                done += self._acknowledge(waiting, copies, needed)
            elif now - waiting.since < CALL_LIMIT_S:
                still.append(waiting)
        self._adds = still
        return done

    def _acknowledge(self, waiting: WaitingAdd, copies: int, needed: int) -> list[CallCompleted]:
        counted = self._state.counts.contains(waiting.tally, waiting.add_id)
        synced = covers(self._state.log.vector, waiting.required)
        check(
            Invariant.TALLY_ACKNOWLEDGED_IS_COUNTED,
            counted and synced and copies >= needed,
            tally=waiting.tally,
            copies=copies,
            needed=needed,
        )
        return [CallCompleted(call_id, None) for call_id in waiting.call_ids]

    # ---- syncs ----

    def _completed_syncs(self, now: float) -> list[CallCompleted]:
        done = [waiting for waiting in self._syncs if self._is_synchronized(waiting)]
        self._syncs = [
            waiting for waiting in self._syncs if waiting not in done and now - waiting.since < CALL_LIMIT_S
        ]
        return [CallCompleted(waiting.call_id, None) for waiting in done]

    def _is_synchronized(self, waiting: WaitingSync) -> bool:
        return self._state.recovered and self.has_what_a_quorum_has(waiting.since, own=1)

    def has_what_a_quorum_has(self, since: float, own: int) -> bool:
        """Whether this node has what a quorum of recovered nodes had then; `own` is 1 where it is of them.

        One of a quorum has each add that is on as many disks as an order has to be on.
        """
        vector = self._state.log.vector
        heard = self._contacts.recovered_since(since)
        current = sum(covers(vector, peer.vector) for peer in heard)
        return own + current >= self._contacts.quorum(self._copies)
