"""Choice of the next view: a pure function of the present view and of who is in reach in what condition."""

from __future__ import annotations

from collections.abc import Callable
from itertools import combinations

from msgspec import Struct

from reedspoke.control_plane.events import ChainLink, Member, View


class Condition(Struct, frozen=True):
    """A member in reach, as the chooser sees it."""

    member: Member
    healthy: bool  # its disk works and it is not about to leave
    complete: bool  # it holds everything since it was appended
    steady: bool  # in reach for long enough to be appended


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
    kept = _best_chain(view, around)
    if kept is None:
        return view
    joiner = _joiner(view, kept, around)
    chain = kept
    if joiner is not None:
        chain = (*kept, ChainLink(joiner, view.number + 1))
    if len(chain) < around.chain_minimum and len(chain) < len(view.chain):
        return view  # a shorter chain could not acknowledge anything either, and holds fewer copies
    voters = _next_voters(view, joiner, around)
    if chain == view.chain and voters == view.voters:
        return view
    return View(view.number + 1, voters, chain)


def _best_chain(view: View, around: Surroundings) -> tuple[ChainLink, ...] | None:
    """The largest mutually connected part of the chain that begins with a complete member."""
    usable = [link for link in view.chain if _usable(link, around)]
    for size in range(len(usable), 0, -1):
        candidates = [chain for chain in combinations(usable, size) if _sound(chain, around)]
        if candidates:
            return _preferred(candidates, view.chain[-1])
    return None


def _usable(link: ChainLink, around: Surroundings) -> bool:
    condition = around.conditions.get(link.member.folder_id)
    return condition is not None and condition.healthy


def _sound(chain: tuple[ChainLink, ...], around: Surroundings) -> bool:
    if not around.conditions[chain[0].member.folder_id].complete:
        return False
    folders = [link.member.folder_id for link in chain]
    return all(around.connected(one, other) for one, other in combinations(folders, 2))


def _preferred(candidates: list[tuple[ChainLink, ...]], tail: ChainLink) -> tuple[ChainLink, ...]:
    for chain in candidates:
        if chain[-1] == tail:
            return chain
    return candidates[0]


def _joiner(view: View, kept: tuple[ChainLink, ...], around: Surroundings) -> Member | None:
    """The first by address that may be appended; one at a time, once all before it are complete."""
    if not all(around.conditions[link.member.folder_id].complete for link in kept):
        return None
    placed = {link.member.folder_id for link in view.chain}
    waiting = [
        condition.member
        for folder_id, condition in around.conditions.items()
        if folder_id not in placed and condition.healthy and condition.steady
    ]
    for member in sorted(waiting, key=lambda waiter: (waiter.address, waiter.folder_id)):
        if all(around.connected(member.folder_id, link.member.folder_id) for link in kept):
            return member
    return None


def _next_voters(view: View, joiner: Member | None, around: Surroundings) -> tuple[Member, ...]:
    """At most one change."""
    voting = {voter.folder_id for voter in view.voters}
    if joiner is not None and joiner.folder_id not in voting:
        return _with_joiner(view.voters, joiner, around)
    if len(view.voters) > around.voters_target:
        for voter in view.voters:
            if around.leaving(voter.folder_id) or around.gone(voter.folder_id):
                return tuple(other for other in view.voters if other != voter)
    return view.voters


def _with_joiner(voters: tuple[Member, ...], joiner: Member, around: Surroundings) -> tuple[Member, ...]:
    replaced = _replaced_voter(voters, joiner, around)
    remaining = (voter for voter in voters if voter != replaced)
    return (*remaining, joiner)


def _replaced_voter(voters: tuple[Member, ...], joiner: Member, around: Surroundings) -> Member | None:
    for voter in voters:
        if voter.address == joiner.address:
            return voter
    if len(voters) < around.voters_target:
        return None
    for voter in voters:
        if around.gone(voter.folder_id):
            return voter
    return None
