"""Choice of the next view, as a pure function of the present view and a snapshot of the members.

Members that are unhealthy or unreachable are removed from the chain. Members that can replace them are
appended, usually one in each view. Each view adds at most one voter and removes at most one.
`docs/control-safety.md` describes which losses the result has to tolerate.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from msgspec import Struct

from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.largest_chain import Links, largest_connected_chain


class MemberCondition(Struct, frozen=True):
    """State of a reachable member, as observed by the replica that chooses the view."""

    member: Member
    healthy: bool  # Its disk stores entries in time, and has lost none.
    complete: bool  # It is in the chain and holds all entries since it was appended.
    steady: bool  # It knows the present view, and has been reachable for long enough to be appended.
    established: bool  # It has been reachable for long enough to vote besides a sufficient number of voters.
    # It is in the chain and will store no snapshot for its present link, so that it has to be appended again.
    refuses_snapshot: bool = False
    committed_sequence: int = 0  # sequence of the newest entry that it knows to be committed


class MembershipSnapshot(Struct, frozen=True):
    """What the choosing replica knows about members, each named by the id of its data folder.

    `conditions` has the reachable members. The functions may be called for any member.
    """

    conditions: dict[str, MemberCondition]
    is_connected: Callable[[str, str], bool]  # Whether two members receive each other's heartbeats.
    is_lost: Callable[[str], bool]  # Whether the heartbeats of a voter have reached no replica for too long.
    is_draining: Callable[[str], bool]  # Whether a member is about to shut down.
    chain_minimum: int  # A chain with fewer members acknowledges no change.
    voters_target: int  # While there are no more voters than this, none is removed without a replacement.


class RepairBlock(Enum):
    """Why a chain that lacks members cannot be repaired at present; the value is written to the log."""

    NO_COMPLETE_MEMBER = "no_complete_member"
    TOO_FEW_MEMBERS = "too_few_members"


def has_complete_member(view: View, snapshot: MembershipSnapshot) -> bool:
    """Whether a complete member of the chain is reachable, so that the next view can keep it as the head."""
    return bool(_retained_chain(view, snapshot))


def choose_view_from_copy(view: View, head: ChainLink, snapshot: MembershipSnapshot) -> View | None:
    """The next view if the chain has no complete member but `head` has everything that was committed.

    All others are appended after it and get its entries in a snapshot. None while the chain would be shorter
    than `chain_minimum`: what is lost meanwhile could take the only copy with it.
    """
    joiners = _connected_joiners((head,), {head.member.folder_id}, snapshot.chain_minimum - 1, snapshot)
    chain = (head, *(ChainLink(joiner, view.number + 1) for joiner in joiners))
    if len(chain) < snapshot.chain_minimum:
        return None
    return View(view.number + 1, _next_voters(view, chain, snapshot), chain)


def choose_next_view(view: View, snapshot: MembershipSnapshot) -> View:
    """The view that should follow; the present one if no better view is possible."""
    retained = _retained_chain(view, snapshot)
    if not retained:
        return view
    joined_view = view.number + 1
    chain = (*retained, *(ChainLink(joiner, joined_view) for joiner in _joiners(view, retained, snapshot)))
    if len(chain) < snapshot.chain_minimum and len(chain) < len(view.chain):
        # Neither chain can acknowledge changes, and the present one has more copies of the entries.
        return view
    voters = _next_voters(view, chain, snapshot)
    if chain == view.chain and voters == view.voters:
        return view
    return View(view.number + 1, voters, chain)


def find_repair_block(view: View, snapshot: MembershipSnapshot) -> RepairBlock | None:
    """What prevents the repair of this view's chain; None if it needs no repair, or can be repaired."""
    retained = _retained_chain(view, snapshot)
    if len(retained) == len(view.chain):
        return None
    if not retained:
        return RepairBlock.NO_COMPLETE_MEMBER
    possible = len(retained) + len(_joiners(view, retained, snapshot))
    is_too_short = possible < snapshot.chain_minimum and possible < len(view.chain)
    return RepairBlock.TOO_FEW_MEMBERS if is_too_short else None


# ---- the chain ----


def _retained_chain(view: View, snapshot: MembershipSnapshot) -> Links:
    """The members to keep.

    A draining member is kept while fewer than `chain_minimum` others are complete.
    """
    usable = [link for link in view.chain if _is_usable(link, snapshot)]
    staying = [link for link in usable if not snapshot.is_draining(link.member.folder_id)]
    retained = _connected_chain(staying, view, snapshot)
    still_needed = [link for link in usable if link not in staying and _is_complete(link, snapshot)]
    while still_needed and sum(_is_complete(link, snapshot) for link in retained) < snapshot.chain_minimum:
        staying.append(still_needed.pop(0))
        in_order = [link for link in usable if link in staying]
        retained = _connected_chain(in_order, view, snapshot)
    return retained


def _connected_chain(links: list[ChainLink], view: View, snapshot: MembershipSnapshot) -> Links:
    """The largest part of the links whose members all reach each other, with a complete member as head.

    The present tail is preferred as tail, as voters accept no view with another tail while its read lease
    lasts.
    """
    return largest_connected_chain(
        links,
        is_connected=lambda one, other: snapshot.is_connected(one.member.folder_id, other.member.folder_id),
        may_be_head=lambda link: _is_complete(link, snapshot),
        preferred_tail=view.chain[-1],
    )


def _is_usable(link: ChainLink, snapshot: MembershipSnapshot) -> bool:
    condition = snapshot.conditions.get(link.member.folder_id)
    return condition is not None and condition.healthy and not condition.refuses_snapshot


def _is_complete(link: ChainLink, snapshot: MembershipSnapshot) -> bool:
    return snapshot.conditions[link.member.folder_id].complete


def _joiners(view: View, retained: Links, snapshot: MembershipSnapshot) -> list[Member]:
    """The members to append: the first candidates by address.

    Each view appends one, or as many as the chain lacks to have `chain_minimum` members. While a retained
    member is incomplete, none is appended beyond that number. Up to it they are: if the predecessor of the
    incomplete member is lost, no other view than a longer one can give the member another predecessor.
    """
    lacking = max(0, snapshot.chain_minimum - len(retained))
    all_complete = all(_is_complete(link, snapshot) for link in retained)
    limit = max(1, lacking) if all_complete else lacking
    in_chain = {link.member.folder_id for link in view.chain if not _refuses_snapshot(link, snapshot)}
    return _connected_joiners(retained, in_chain, limit, snapshot)


def _refuses_snapshot(link: ChainLink, snapshot: MembershipSnapshot) -> bool:
    condition = snapshot.conditions.get(link.member.folder_id)
    return condition is not None and condition.refuses_snapshot


def _connected_joiners(
    retained: Links, excluded: set[str], limit: int, snapshot: MembershipSnapshot
) -> list[Member]:
    """Up to `limit` candidates that all retained members and all other joiners reach."""
    connected_to = [link.member.folder_id for link in retained]
    joiners: list[Member] = []
    for candidate in _join_candidates(excluded, snapshot):
        is_connected = all(snapshot.is_connected(candidate.folder_id, other) for other in connected_to)
        if len(joiners) < limit and is_connected:
            joiners.append(candidate)
            connected_to.append(candidate.folder_id)
    return joiners


def _join_candidates(excluded: set[str], snapshot: MembershipSnapshot) -> list[Member]:
    """Members that may be appended, but for those with an excluded folder id, ordered by address."""
    candidates = [
        condition.member
        for folder_id, condition in snapshot.conditions.items()
        if folder_id not in excluded and _may_join(condition, snapshot)
    ]
    return sorted(candidates, key=lambda member: (member.address, member.folder_id))


def _may_join(condition: MemberCondition, snapshot: MembershipSnapshot) -> bool:
    return condition.healthy and condition.steady and not snapshot.is_draining(condition.member.folder_id)


# ---- the voters ----


def _next_voters(view: View, chain: Links, snapshot: MembershipSnapshot) -> tuple[Member, ...]:
    """The voters of the next view: at most one is added and at most one removed."""
    candidates = _voter_candidates(view, chain, snapshot)
    for candidate in candidates:
        replaced = _replaced_voter(view.voters, candidate, snapshot)
        if replaced is not None:
            return (*(voter for voter in view.voters if voter != replaced), candidate)
    added = _added_voter(view.voters, candidates, snapshot)
    if added is not None:
        return (*view.voters, added)
    if len(view.voters) <= snapshot.voters_target:
        return view.voters
    surplus = _surplus_voter(view.voters, chain, snapshot)
    return tuple(voter for voter in view.voters if voter != surplus)


def _voter_candidates(view: View, chain: Links, snapshot: MembershipSnapshot) -> list[Member]:
    """Members of the chain that have no vote yet and are not draining."""
    voting = {voter.folder_id for voter in view.voters}
    voteless = [link.member for link in chain if link.member.folder_id not in voting]
    return [member for member in voteless if not snapshot.is_draining(member.folder_id)]


def _surplus_voter(voters: tuple[Member, ...], chain: Links, snapshot: MembershipSnapshot) -> Member | None:
    """A lost voter, else a draining one that is not in the chain."""
    in_chain = {link.member.folder_id for link in chain}
    for voter in voters:
        if snapshot.is_lost(voter.folder_id):
            return voter
    for voter in voters:
        if snapshot.is_draining(voter.folder_id) and voter.folder_id not in in_chain:
            return voter
    return None


def _added_voter(
    voters: tuple[Member, ...], candidates: list[Member], snapshot: MembershipSnapshot
) -> Member | None:
    """The new voter to add without removing another; None if that would be unsafe or useless now.

    While there are too few voters, any new voter is added. Above the target, a machine and its replacement
    could both vote, and the loss of that one machine would then cost two votes. So only established members
    are added, and only where the number of voters ends up odd, as an even number tolerates no more losses
    than the odd number below it. None is added beside a voter that may be dead: the new voter would count as
    a second loss until it has caught up.
    """
    if len(voters) < snapshot.voters_target:
        return candidates[0] if candidates else None
    established = [member for member in candidates if snapshot.conditions[member.folder_id].established]
    # One view adds one voter, so an odd number needs a second candidate for the view after it.
    needed = 1 if len(voters) % 2 == 0 else 2
    if len(established) < needed or not _all_healthy(voters, snapshot):
        return None
    return established[0]


def _all_healthy(voters: tuple[Member, ...], snapshot: MembershipSnapshot) -> bool:
    conditions = [snapshot.conditions.get(voter.folder_id) for voter in voters]
    return all(condition is not None and condition.healthy for condition in conditions)


def _replaced_voter(
    voters: tuple[Member, ...], candidate: Member, snapshot: MembershipSnapshot
) -> Member | None:
    """The voter that this candidate replaces: the one at its address, else a lost one, else a draining one.

    A node that has lost its data folder returns as another member at the same address. While there are too
    few voters, a candidate replaces no other voter, as it can be added.
    """
    for voter in voters:
        if voter.address == candidate.address:
            return voter
    if len(voters) < snapshot.voters_target:
        return None
    for may_be_replaced in (snapshot.is_lost, snapshot.is_draining):
        for voter in voters:
            if may_be_replaced(voter.folder_id):
                return voter
    return None
