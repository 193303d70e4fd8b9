"""Choice of the next view's voters: at most one is added and at most one removed."""

from __future__ import annotations

from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.largest_chain import Links
from reedspoke.control_plane.views.membership_snapshot import MembershipSnapshot


def next_voters(view: View, chain: Links, snapshot: MembershipSnapshot) -> tuple[Member, ...]:
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
