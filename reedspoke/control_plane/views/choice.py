"""Choice of the next view: a pure function of the present view and of who is in reach in what condition."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.control_plane.replication.events import ChainLink, Member, View
from reedspoke.control_plane.views.largest_chain import Links, largest_chain


class Condition(Struct, frozen=True):
    """A member in reach, as the chooser sees it."""

    member: Member
    healthy: bool  # its disk works
    complete: bool  # it holds everything since it was appended
    steady: bool  # in reach for long enough to be appended
    established: bool  # in reach for long enough to vote beside as many voters as are needed


class Surroundings(Struct, frozen=True):
    """Whom the chooser can reach. `connected` tells whether two of them reach each other."""

    conditions: dict[str, Condition]
    connected: Callable[[str, str], bool]
    gone: Callable[[str], bool]
    leaving: Callable[[str], bool]
    chain_minimum: int
    voters_target: int


def choose_view(view: View, around: Surroundings) -> View:
    """The view that should follow; the present one where nothing better is in sight."""
    kept = _kept_chain(view, around)
    if not kept:
        return view
    joined = view.number + 1
    chain = (*kept, *(ChainLink(joiner, joined) for joiner in _joiners(view, kept, around)))
    if len(chain) < around.chain_minimum and len(chain) < len(view.chain):
        return view  # a shorter chain could not acknowledge anything either, and holds fewer copies
    voters = _next_voters(view, chain, around)
    if chain == view.chain and voters == view.voters:
        return view
    return View(view.number + 1, voters, chain)


def _kept_chain(view: View, around: Surroundings) -> Links:
    """The members that go on; one that leaves is kept while too few besides it are complete."""
    usable = [link for link in view.chain if _usable(link, around)]
    staying = [link for link in usable if not around.leaving(link.member.folder_id)]
    kept = _connected_chain(staying, view, around)
    needed = [link for link in usable if link not in staying and _complete(link, around)]
    while needed and sum(_complete(link, around) for link in kept) < around.chain_minimum:
        staying.append(needed.pop(0))
        in_order = [link for link in usable if link in staying]
        kept = _connected_chain(in_order, view, around)
    return kept


def _connected_chain(links: list[ChainLink], view: View, around: Surroundings) -> Links:
    return largest_chain(
        links,
        connected=lambda one, other: around.connected(one.member.folder_id, other.member.folder_id),
        may_be_head=lambda link: _complete(link, around),
        preferred_tail=view.chain[-1],
    )


def _usable(link: ChainLink, around: Surroundings) -> bool:
    condition = around.conditions.get(link.member.folder_id)
    return condition is not None and condition.healthy


def _complete(link: ChainLink, around: Surroundings) -> bool:
    return around.conditions[link.member.folder_id].complete


def _joiners(view: View, kept: Links, around: Surroundings) -> list[Member]:
    """The first by address that may be appended, once all before are complete.

    One at a time; several only where the chain would be too short with one.
    """
    if not all(_complete(link, around) for link in kept):
        return []
    placed = {link.member.folder_id for link in view.chain}
    waiting = [
        condition.member
        for folder_id, condition in around.conditions.items()
        if folder_id not in placed and _may_join(condition, around)
    ]
    most = max(1, around.chain_minimum - len(kept))
    connected_to = [link.member.folder_id for link in kept]
    joiners: list[Member] = []
    for member in sorted(waiting, key=lambda waiter: (waiter.address, waiter.folder_id)):
        if len(joiners) < most and all(around.connected(member.folder_id, other) for other in connected_to):
            joiners.append(member)
            connected_to.append(member.folder_id)
    return joiners


def _may_join(condition: Condition, around: Surroundings) -> bool:
    return condition.healthy and condition.steady and not around.leaving(condition.member.folder_id)


def _next_voters(view: View, chain: Links, around: Surroundings) -> tuple[Member, ...]:
    """At most one voter comes and at most one goes."""
    newcomers = _newcomers(view, chain, around)
    for newcomer in newcomers:
        replaced = _replaced_voter(view.voters, newcomer, around)
        if replaced is not None:
            return (*(voter for voter in view.voters if voter != replaced), newcomer)
    added = _added_voter(view.voters, newcomers, around)
    if added is not None:
        return (*view.voters, added)
    if len(view.voters) <= around.voters_target:
        return view.voters
    spare = _spare_voter(view.voters, chain, around)
    return tuple(voter for voter in view.voters if voter != spare)


def _newcomers(view: View, chain: Links, around: Surroundings) -> list[Member]:
    """The members of the chain that have no vote yet and are not about to leave."""
    voting = {voter.folder_id for voter in view.voters}
    voteless = [link.member for link in chain if link.member.folder_id not in voting]
    return [member for member in voteless if not around.leaving(member.folder_id)]


def _spare_voter(voters: tuple[Member, ...], chain: Links, around: Surroundings) -> Member | None:
    """A voter that has gone, else one that leaves and that the chain does not need any more."""
    placed = {link.member.folder_id for link in chain}
    for voter in voters:
        if around.gone(voter.folder_id):
            return voter
    for voter in voters:
        if around.leaving(voter.folder_id) and voter.folder_id not in placed:
            return voter
    return None


def _added_voter(voters: tuple[Member, ...], newcomers: list[Member], around: Surroundings) -> Member | None:
    """The newcomer that votes besides the others; None where that would not be safe now, or of no use.

    As long as voters are too few, any. Beyond that a machine and the one that is to replace it would both
    vote, and count as one loss together: so only those that have been there for a while, and an odd number
    of voters in the end, as an even one bears no more losses than the odd one below it. None besides one
    that may be dead: the newcomer would be a second loss until it has caught up.
    """
    if len(voters) < around.voters_target:
        return newcomers[0] if newcomers else None
    established = [member for member in newcomers if around.conditions[member.folder_id].established]
    needed = 1 if len(voters) % 2 == 0 else 2
    if len(established) < needed or not _all_healthy(voters, around):
        return None
    return established[0]


def _all_healthy(voters: tuple[Member, ...], around: Surroundings) -> bool:
    conditions = [around.conditions.get(voter.folder_id) for voter in voters]
    return all(condition is not None and condition.healthy for condition in conditions)


def _replaced_voter(voters: tuple[Member, ...], newcomer: Member, around: Surroundings) -> Member | None:
    """The voter at the same address, else one that is gone, else one that leaves."""
    for voter in voters:
        if voter.address == newcomer.address:
            return voter
    if len(voters) < around.voters_target:
        return None
    for is_going in (around.gone, around.leaving):
        for voter in voters:
            if is_going(voter.folder_id):
                return voter
    return None
