"""Choice of the next view, as a pure function of the present view and a snapshot of the members.

The next view follows from the choice of its chain (`next_chain`) and of its voters (`next_voters`).
"""

from __future__ import annotations

from enum import Enum

from reedspoke.control_plane.replication.view import ChainLink, View
from reedspoke.control_plane.views.membership_snapshot import MembershipSnapshot
from reedspoke.control_plane.views.next_chain import connected_joiners, joiners_of, retained_chain
from reedspoke.control_plane.views.next_voters import next_voters


class RepairBlock(Enum):
    """Why a chain that lacks members cannot be repaired at present; the value is written to the log."""

    NO_COMPLETE_MEMBER = "no_complete_member"
    TOO_FEW_MEMBERS = "too_few_members"


def choose_next_view(view: View, snapshot: MembershipSnapshot) -> View:
    """The view that should follow; the present one if no better view is possible."""
    retained = retained_chain(view, snapshot)
    if not retained:
        return view
    joined_view = view.number + 1
    chain = (*retained, *(ChainLink(joiner, joined_view) for joiner in joiners_of(view, retained, snapshot)))
    if len(chain) < snapshot.chain_minimum and len(chain) < len(view.chain):
        # Neither chain can acknowledge changes, and the present one has more copies of the entries.
        return view
    voters = next_voters(view, chain, snapshot)
    if chain == view.chain and voters == view.voters:
        return view
    return View(view.number + 1, voters, chain)


def has_complete_member(view: View, snapshot: MembershipSnapshot) -> bool:
    """Whether a complete member of the chain is reachable, so that the next view can keep it as the head."""
    return bool(retained_chain(view, snapshot))


def choose_view_from_copy(view: View, head: ChainLink, snapshot: MembershipSnapshot) -> View | None:
    """The next view if the chain has no complete member but `head` has everything that was committed.

    All others are appended after it and get its entries in a snapshot. None while the chain would be shorter
    than `chain_minimum`: what is lost meanwhile could take the only copy with it.
    """
    joiners = connected_joiners((head,), {head.member.folder_id}, snapshot.chain_minimum - 1, snapshot)
    chain = (head, *(ChainLink(joiner, view.number + 1) for joiner in joiners))
    if len(chain) < snapshot.chain_minimum:
        return None
    return View(view.number + 1, next_voters(view, chain, snapshot), chain)


def find_repair_block(view: View, snapshot: MembershipSnapshot) -> RepairBlock | None:
    """What prevents the repair of this view's chain; None if it needs no repair, or can be repaired."""
    retained = retained_chain(view, snapshot)
    if len(retained) == len(view.chain):
        return None
    if not retained:
        return RepairBlock.NO_COMPLETE_MEMBER
    possible = len(retained) + len(joiners_of(view, retained, snapshot))
    is_too_short = possible < snapshot.chain_minimum and possible < len(view.chain)
    return RepairBlock.TOO_FEW_MEMBERS if is_too_short else None
