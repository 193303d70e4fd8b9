"""The first view of a system that starts for the first time."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.control_plane.events import ChainLink, View
from reedspoke.control_plane.replica_messages import Ping
from reedspoke.control_plane.view_acceptor import FIRST_VIEW


def first_view(seeds: tuple[str, ...], pings: Iterable[Ping]) -> View | None:
    """All seeds by address, as voters and as chain; None until the folder of each is known."""
    starting = {ping.member.address: ping.member for ping in pings if ping.bootstrap}
    if not seeds or not all(seed in starting for seed in seeds):
        return None
    members = tuple(starting[seed] for seed in sorted(set(seeds)))
    chain = tuple(ChainLink(member, FIRST_VIEW) for member in members)
    return View(FIRST_VIEW, members, chain)
