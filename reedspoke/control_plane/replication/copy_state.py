"""For which membership in the chain a replica's copy of the entries is complete: the number `synced_since`.

A replica is appended to the chain in some view, the `joined_view` of its link, and its copy is complete for
that link once it has stored the snapshot. A copy stays complete for the link after the replica has left the
chain, until the replica stores another snapshot.

`synced_since` is the `joined_view` of the newest link for which the copy is complete; 0 before the first
snapshot. A member of the first view needs no snapshot, as the chain is empty when the view begins.
"""

from __future__ import annotations

from reedspoke.control_plane.views.first_view import FIRST_VIEW_NUMBER

NO_SNAPSHOT = 0
# The disk has lost synced entries, so the copy is complete for no link until the next snapshot.
LOST_COPY = -1


def is_complete_for(synced_since: int, joined_view: int) -> bool:
    """Whether the copy of a present member holds all entries since the member was appended."""
    if joined_view == FIRST_VIEW_NUMBER:
        return synced_since != LOST_COPY
    return synced_since == joined_view


def newest_complete_link(synced_since: int) -> int:
    """The `joined_view` of the newest link for which the copy is complete; `LOST_COPY` if it is for none.

    A replica that has stored no snapshot can be complete for a link of the first view only.
    """
    return FIRST_VIEW_NUMBER if synced_since == NO_SNAPSHOT else synced_since
