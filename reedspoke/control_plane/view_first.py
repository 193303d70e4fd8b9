"""The first view of a system that starts for the first time."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.control_plane.events import ChainLink, View
from reedspoke.control_plane.replica_messages import Ping
from reedspoke.control_plane.view_acceptor import FIRST_VIEW


def first_view(seeds: tuple[str, ...], pings: Iterable[Ping], least: int) -> View | None:
    """The seeds by address, as voters and as chain; None until the folders of at least so many are known."""
    starting = {ping.member.address: ping.member for ping in pings if ping.bootstrap}
    members = tuple(starting[seed] for seed in sorted(set(seeds)) if seed in starting)
    if not members or len(members) < least:
        return None
    chain = tuple(ChainLink(member, FIRST_VIEW) for member in members)
    return View(FIRST_VIEW, members, chain)
