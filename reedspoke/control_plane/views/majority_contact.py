"""Contact with a majority of voters: what they have granted to this replica, and as of when that counts.

A grant says that the voter, when the ping reached it, acted in the same view as the replica that asked and
had accepted no next view. A next view is decided only once a majority of the same voters has accepted it, and
any two majorities share a voter. So where a majority has granted what was sent at the time `t` or later, no
newer view had been decided at `t`.

A grant is a statement on the past: nothing is promised, so no repair waits for it. Times are those at which
this replica sent its pings, on its own steady clock.
"""

from __future__ import annotations

from enum import Enum

from reedspoke.control_plane.replication.events import Member
from reedspoke.control_plane.replication.settings import CONTACT_S
from reedspoke.control_plane.views.lease import majority

NEVER = float("-inf")


class Contact(Enum):
    """How a replica stands with the voters of its view."""

    NONE = "none"  # no majority is heard
    HEARD = "heard"  # a majority is heard, and has not granted anything lately
    GRANTED = "granted"  # a majority's grants have not run out


class MajorityContact:
    """Grants of the voters of the present view, and what followed from them in this and in earlier views."""

    def __init__(self, started: float) -> None:
        self._started = started
        self._granted: dict[str, float] = {}
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

    def holds(self, now: float) -> bool:
        """Whether a majority's grant has not run out."""
        return now - self._majority_as_of < CONTACT_S

    def has_granted(self, folder_id: str) -> bool:
        """Whether this voter has granted anything in the present view."""
        return folder_id in self._granted

    def enter(self) -> None:
        """A newer view: its voters grant anew. What was certain about the past stays so."""
        self._granted.clear()

    def granted(self, folder_id: str, sent: float, now: float) -> None:
        """A voter of the present view has granted what was sent at `sent`.

        A time before the start, or one that has not come yet, belongs to an earlier life of this process.
        """
        if self._started <= sent <= now:
            self._granted[folder_id] = max(sent, self._granted.get(folder_id, NEVER))

    def update(self, voters: tuple[Member, ...], committed_until: float | None) -> None:
        """Draw the conclusions from the grants.

        `committed_until`: the configuration known to be committed is the newest, unless another one has been
        committed after this time; None where nothing can be said.
        """
        sent = sorted((self._granted.get(voter.folder_id, NEVER) for voter in voters), reverse=True)
        as_of = sent[majority(len(voters)) - 1]
        self._majority_as_of = max(self._majority_as_of, as_of)
        if committed_until is not None:
            self._confirmed_as_of = max(self._confirmed_as_of, min(as_of, committed_until))
