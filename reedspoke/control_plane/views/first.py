"""The first view of a system that starts for the first time."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.control_plane.replication.events import ChainLink, View
from reedspoke.control_plane.replication.messages import Ping
from reedspoke.control_plane.views.acceptor import FIRST_VIEW


def first_view(seeds: tuple[str, ...], pings: Iterable[Ping], least: int, wanted: int) -> View | None:
    """The seeds by address, as voters and as chain; None until the folders of at least `least` are known.

    Others that start for the first time are taken in up to `wanted` members: with fewer voters than the
    deployment needs, losses within its bounds could leave no majority. Their number is odd.
    """
    known = list(pings)
    founders = {ping.member.address: ping.member for ping in known if ping.bootstrap}
    found = [founders[seed] for seed in sorted(set(seeds)) if seed in founders]
    if not found or len(found) < least:
        return None
    newcomers = {ping.member.address: ping.member for ping in known if ping.starts_new}
    others = [newcomers[address] for address in sorted(set(newcomers) - set(seeds))]
    members = tuple(found + others[: _room(len(found), len(others), wanted)])
    chain = tuple(ChainLink(member, FIRST_VIEW) for member in members)
    return View(FIRST_VIEW, members, chain)


def _room(seeds: int, others: int, wanted: int) -> int:
    """How many others are taken in beside so many seeds."""
    taken = max(0, min(others, wanted - seeds))
    is_even = (seeds + taken) % 2 == 0
    return taken - 1 if taken and is_even else taken
