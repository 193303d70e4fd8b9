"""Choice of the next view: a pure function of the present view and of which members are reachable, in what
state.

The chain loses members that are unhealthy or out of reach and gains, one at a time, members that can replace
them. At most one voter comes and at most one goes from view to view. `docs/control-safety.md` tells which
losses the result has to bear.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.largest_chain import Links, largest_connected_chain


class MemberCondition(Struct, frozen=True):
    """A reachable member, as the replica that chooses sees it."""

    member: Member
    healthy: bool  # its disk works
    complete: bool  # it holds everything since it was appended
    steady: bool  # reachable for long enough to be appended
    established: bool  # reachable for long enough to vote beside as many voters as are needed


class MembershipSnapshot(Struct, frozen=True):
    """What the choosing replica knows of members, by folder id; `conditions` has the reachable ones."""

    conditions: dict[str, MemberCondition]
    is_connected: Callable[[str, str], bool]  # whether two members reach each other
    is_lost: Callable[[str], bool]
    is_draining: Callable[[str], bool]  # it is about to shut down
    chain_minimum: int  # members that a chain needs to acknowledge anything
    voters_target: int  # voters are not reduced below this


def choose_next_view(view: View, snapshot: MembershipSnapshot) -> View:
    """The view that should follow; the present one where no better one is in sight."""
    retained = _retained_chain(view, snapshot)
    if not retained:
        return view
    joined_view = view.number + 1
    chain = (*retained, *(ChainLink(joiner, joined_view) for joiner in _joiners(view, retained, snapshot)))
    if len(chain) < snapshot.chain_minimum and len(chain) < len(view.chain):
        return view  # a shorter chain could not acknowledge anything either, and holds fewer replicas
    voters = _next_voters(view, chain, snapshot)
    if chain == view.chain and voters == view.voters:
        return view
    return View(view.number + 1, voters, chain)


# ---- the chain ----


def _retained_chain(view: View, snapshot: MembershipSnapshot) -> Links:
    """The members that go on; one that drains is retained while too few besides it are complete."""
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
    return largest_connected_chain(
        links,
        is_connected=lambda one, other: snapshot.is_connected(one.member.folder_id, other.member.folder_id),
        may_be_head=lambda link: _is_complete(link, snapshot),
        preferred_tail=view.chain[-1],
    )


def _is_usable(link: ChainLink, snapshot: MembershipSnapshot) -> bool:
    condition = snapshot.conditions.get(link.member.folder_id)
    return condition is not None and condition.healthy


def _is_complete(link: ChainLink, snapshot: MembershipSnapshot) -> bool:
    return snapshot.conditions[link.member.folder_id].complete


def _joiners(view: View, retained: Links, snapshot: MembershipSnapshot) -> list[Member]:
    """The first by address that may be appended, once all before are complete.

    One at a time; several only where the chain would be too short with one.
    """
    if not all(_is_complete(link, snapshot) for link in retained):
        return []
    limit = max(1, snapshot.chain_minimum - len(retained))
    connected_to = [link.member.folder_id for link in retained]
    joiners: list[Member] = []
    for candidate in _join_candidates(view, snapshot):
        is_connected = all(snapshot.is_connected(candidate.folder_id, other) for other in connected_to)
        if len(joiners) < limit and is_connected:
            joiners.append(candidate)
            connected_to.append(candidate.folder_id)
    return joiners


def _join_candidates(view: View, snapshot: MembershipSnapshot) -> list[Member]:
    """Members outside the present chain that may be appended, in the order of their addresses."""
    in_chain = {link.member.folder_id for link in view.chain}
    candidates = [
        condition.member
        for folder_id, condition in snapshot.conditions.items()
        if folder_id not in in_chain and _may_join(condition, snapshot)
    ]
    return sorted(candidates, key=lambda member: (member.address, member.folder_id))


def _may_join(condition: MemberCondition, snapshot: MembershipSnapshot) -> bool:
    return condition.healthy and condition.steady and not snapshot.is_draining(condition.member.folder_id)


# ---- the voters ----


def _next_voters(view: View, chain: Links, snapshot: MembershipSnapshot) -> tuple[Member, ...]:
    """At most one voter comes and at most one goes."""
    newcomers = _newcomers(view, chain, snapshot)
    for newcomer in newcomers:
        replaced = _replaced_voter(view.voters, newcomer, snapshot)
        if replaced is not None:
            return (*(voter for voter in view.voters if voter != replaced), newcomer)
    added = _added_voter(view.voters, newcomers, snapshot)
    if added is not None:
        return (*view.voters, added)
    if len(view.voters) <= snapshot.voters_target:
        return view.voters
    surplus = _surplus_voter(view.voters, chain, snapshot)
    return tuple(voter for voter in view.voters if voter != surplus)


def _newcomers(view: View, chain: Links, snapshot: MembershipSnapshot) -> list[Member]:
    """The members of the chain that have no vote yet and do not drain."""
    voting = {voter.folder_id for voter in view.voters}
    voteless = [link.member for link in chain if link.member.folder_id not in voting]
    return [member for member in voteless if not snapshot.is_draining(member.folder_id)]


def _surplus_voter(voters: tuple[Member, ...], chain: Links, snapshot: MembershipSnapshot) -> Member | None:
    """A voter that is lost, else one that drains and that the chain does not need any more."""
    in_chain = {link.member.folder_id for link in chain}
    for voter in voters:
        if snapshot.is_lost(voter.folder_id):
            return voter
    for voter in voters:
        if snapshot.is_draining(voter.folder_id) and voter.folder_id not in in_chain:
            return voter
    return None


def _added_voter(
    voters: tuple[Member, ...], newcomers: list[Member], snapshot: MembershipSnapshot
) -> Member | None:
    """The newcomer that votes besides the others; None where that would not be safe now, or of no use.

    As long as voters are too few, any. Beyond that a machine and the one that is to replace it would both
    vote, and count as one loss together: so only those that have been there for a while, and an odd number
    of voters in the end, as an even one bears no more losses than the odd one below it. None besides one
    that may be dead: the newcomer would be a second loss until it has caught up.
    """
    if len(voters) < snapshot.voters_target:
        return newcomers[0] if newcomers else None
    established = [member for member in newcomers if snapshot.conditions[member.folder_id].established]
    needed = 1 if len(voters) % 2 == 0 else 2
    if len(established) < needed or not _all_healthy(voters, snapshot):
        return None
    return established[0]


def _all_healthy(voters: tuple[Member, ...], snapshot: MembershipSnapshot) -> bool:
    conditions = [snapshot.conditions.get(voter.folder_id) for voter in voters]
    return all(condition is not None and condition.healthy for condition in conditions)


def _replaced_voter(
    voters: tuple[Member, ...], newcomer: Member, snapshot: MembershipSnapshot
) -> Member | None:
    """The voter at the same address, else one that is lost, else one that drains."""
    for voter in voters:
        if voter.address == newcomer.address:
            return voter
    if len(voters) < snapshot.voters_target:
        return None
    for may_be_replaced in (snapshot.is_lost, snapshot.is_draining):
        for voter in voters:
            if may_be_replaced(voter.folder_id):
                return voter
    return None
