"""Search for a copy with everything that was committed, when the chain has no complete member in reach.

Such a copy may be outside the present chain. Every replica that answers tells for which of its links its copy
is complete, and which transfers to it are closed (`replication.pending_transfers`). A closed transfer of a
link in some chain proves that nothing was committed since the view that appended the link. So everything is
held by the complete members of the chain before that view; if none of them answers, one of them may have a
closed transfer itself, and the search goes on with the chain before that.

The chains of the search become older with each step, but the copies that it finds do not: whatever is
skipped is proven to have committed nothing.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from reedspoke.control_plane.replication.messages import ClosedTransfer, CopyStatus
from reedspoke.control_plane.replication.view import ChainLink

Statuses = Mapping[str, CopyStatus]


def find_whole_copy(
    chain: Sequence[ChainLink], statuses: Statuses, committed_sequence: int
) -> ChainLink | None:
    """The replica with everything that was committed, with the link for which its copy is complete.

    `statuses` are the answers by folder id. A copy that ends before `committed_sequence`, the newest sequence
    that anybody knows to be committed, has lost entries and is passed over. Of several copies the one with
    the newest entry is returned, as only a lost entry can make them differ by more than an uncommitted one.
    """
    while True:
        found = _newest_complete(chain, statuses, committed_sequence)
        if found is not None:
            return ChainLink(found.member, found.complete_for)
        transfer = _earliest_closed(chain, statuses)
        if transfer is None:
            return None
        chain = transfer.sources


def _newest_complete(
    chain: Sequence[ChainLink], statuses: Statuses, committed_sequence: int
) -> CopyStatus | None:
    complete = [
        status
        for link in chain
        if (status := statuses.get(link.member.folder_id)) is not None
        and status.complete_for >= link.joined_view
        and status.sequence >= committed_sequence
    ]
    return max(complete, key=lambda status: status.sequence, default=None)


def _earliest_closed(chain: Sequence[ChainLink], statuses: Statuses) -> ClosedTransfer | None:
    """The closed transfer of a link of this chain whose view is the oldest; its sources are older still."""
    closed = [
        transfer
        for link in chain
        if (status := statuses.get(link.member.folder_id)) is not None
        for transfer in status.closed_transfers
        if transfer.joined_view == link.joined_view
    ]
    return min(closed, key=lambda transfer: transfer.joined_view, default=None)
