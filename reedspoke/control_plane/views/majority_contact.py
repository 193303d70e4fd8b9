"""Contact with a majority of voters: as of which time a replica's view is known to be the newest.

Each heartbeat asks for a `ViewConfirmation`. A confirmation says that the voter, when the heartbeat reached
it, acted in the same view as the sender and had accepted no next view. A next view is decided only once a
majority of the same voters has accepted it, and any two majorities share a voter. So where a majority has
confirmed what was sent at the time `t` or later, no newer view had been decided at `t`.

Unlike a lease, a confirmation is a statement about the past and promises nothing, so no chain repair waits
for it to expire. With an expiry of `MAJORITY_CONTACT_TTL_S` it serves as a lease for whatever has to stop
soon after a partition. All times are those at which this replica sent its heartbeats, in seconds of its own
steady clock.
"""

from __future__ import annotations

from enum import Enum

from reedspoke.control_plane.replication.settings import MAJORITY_CONTACT_TTL_S
from reedspoke.control_plane.replication.view import Member
from reedspoke.control_plane.views.quorum import NEVER, majority_time


class ContactState(Enum):
    """Contact of a replica with the voters of its view."""

    NONE = "none"  # no majority is reachable
    REACHABLE = "reachable"  # a majority is reachable, but its confirmations have expired or not come yet
    CONFIRMED = "confirmed"  # a majority's confirmations have not expired


class MajorityContact:
    """Confirmations by the voters of the present view, and the times proved by all confirmations so far."""

    def __init__(self, started_at: float) -> None:
        self._started_at = started_at
        self._confirmed: dict[str, float] = {}  # send time of the confirmed heartbeat, by voter's folder id
        self._majority_as_of = NEVER
        self._confirmed_as_of = NEVER

    @property
    def majority_as_of(self) -> float | None:
        """The latest time as of which the view that this replica acted in was certainly the newest."""
        return None if self._majority_as_of == NEVER else self._majority_as_of

    @property
    def confirmed_as_of(self) -> float | None:
        """The latest time as of which the configuration committed here was certainly the newest."""
        return None if self._confirmed_as_of == NEVER else self._confirmed_as_of

    def is_valid(self, now: float) -> bool:
        """Whether the confirmations of a majority have not expired."""
        return now - self._majority_as_of < MAJORITY_CONTACT_TTL_S

    def has_confirmed(self, folder_id: str) -> bool:
        """Whether this voter has confirmed anything in the present view."""
        return folder_id in self._confirmed

    def enter_view(self) -> None:
        """Drop the confirmations of the former view; the times that they proved remain valid."""
        self._confirmed.clear()

    def record_confirmation(self, folder_id: str, requested_at: float, now: float) -> None:
        """Record that a voter of the present view has confirmed the heartbeat sent at `requested_at`.

        A time before this object was created, or in the future, is from an earlier incarnation of this
        process and is ignored.
        """
        if self._started_at <= requested_at <= now:
            self._confirmed[folder_id] = max(requested_at, self._confirmed.get(folder_id, NEVER))

    def update(self, voters: tuple[Member, ...], committed_until: float | None) -> None:
        """Derive `majority_as_of` and `confirmed_as_of` from the confirmations.

        `committed_until` is a time up to which no configuration newer than the one known here has been
        committed in the present view; None if no such time is known.
        """
        as_of = majority_time(self._confirmed, voters)
        self._majority_as_of = max(self._majority_as_of, as_of)
        if committed_until is not None:
            self._confirmed_as_of = max(self._confirmed_as_of, min(as_of, committed_until))
