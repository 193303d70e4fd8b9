"""Adds that wait for other nodes until they are on enough disks."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.tallies.events import CallCompleted
from reedspoke.control_plane.tallies.messages import INTERNAL_TALLY_PREFIX, VersionVector
from reedspoke.control_plane.tallies.peer_contacts import PeerContacts
from reedspoke.control_plane.tallies.records import TallyState
from reedspoke.control_plane.tallies.settings import CALL_TIMEOUT_S
from reedspoke.control_plane.tallies.version_vectors import covers
from reedspoke.telemetry.invariants import Invariant, check


class WaitingAdd(Struct, frozen=True):
    """An add that is synced here and waits for other disks, whose vectors must cover `required`."""

    required: VersionVector
    call_ids: tuple[int, ...]
    tally: str
    add_id: int
    since: float


class Acknowledgements:
    """Owns the waiting adds, which are dropped after CALL_TIMEOUT_S without enough copies."""

    def __init__(self, copies: int, state: TallyState, contacts: PeerContacts) -> None:
        self._copies = copies
        self._state = state
        self._contacts = contacts
        self._adds: list[WaitingAdd] = []

    @property
    def waiting_adds(self) -> int:
        """The number of waiting adds."""
        return len(self._adds)

    def wait_for_disks(self, waiting: WaitingAdd) -> None:
        """Register an add, to be acknowledged once it is on enough disks."""
        self._adds.append(waiting)

    def completed(self, now: float) -> list[CallCompleted]:
        """The calls whose adds are on enough disks now; they no longer wait."""
        needed = self._contacts.copies_needed(self._copies, now)
        completed: list[CallCompleted] = []
        remaining: list[WaitingAdd] = []
        for waiting in self._adds:
            copies = 1 + self._contacts.copies_covering(waiting.required)
            # The quorum that is asked for the next order could miss an order that is on fewer disks.
            is_order = waiting.tally.startswith(INTERNAL_TALLY_PREFIX)
            if copies >= (self._copies if is_order else needed):
                completed += self._acknowledge(waiting, copies, needed)
            elif now - waiting.since < CALL_TIMEOUT_S:
                remaining.append(waiting)
        self._adds = remaining
        return completed

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

    def covers_quorum(self, since: float) -> bool:
        """Whether this node has all that a quorum of other, recovered nodes had at the time `since`.

        At least one node of a quorum has each add that is on as many disks as an order requires.
        """
        vector = self._state.log.vector
        answered = self._contacts.recovered_since(since)
        current = sum(covers(vector, peer.vector) for peer in answered)
        return current >= self._contacts.quorum(self._copies)
