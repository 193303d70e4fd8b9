"""The first view of a system that starts for the first time; pure."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.control_plane.replication.messages import Heartbeat
from reedspoke.control_plane.replication.view import ChainLink, View

FIRST_VIEW_NUMBER = 1


def form_first_view(
    seeds: tuple[str, ...], heartbeats: Iterable[Heartbeat], min_seeds: int, target_members: int
) -> View | None:
    """The seeds by address, as voters and as chain; None until the folders of at least `min_seeds` are known.

    Others that start for the first time are taken in up to `target_members`: with fewer voters than the
    deployment needs, losses within its bounds could leave no majority. Their number is odd.
    """
    known = list(heartbeats)
    founders = {heartbeat.member.address: heartbeat.member for heartbeat in known if heartbeat.bootstrap_seed}
    founding_seeds = [founders[seed] for seed in sorted(set(seeds)) if seed in founders]
    if not founding_seeds or len(founding_seeds) < min_seeds:
        return None
    newcomers = {
        heartbeat.member.address: heartbeat.member for heartbeat in known if heartbeat.bootstrap_joiner
    }
    others = [newcomers[address] for address in sorted(set(newcomers) - set(seeds))]
    extra_count = _extra_member_count(len(founding_seeds), len(others), target_members)
    members = tuple(founding_seeds + others[:extra_count])
    chain = tuple(ChainLink(member, FIRST_VIEW_NUMBER) for member in members)
    return View(FIRST_VIEW_NUMBER, members, chain)


def _extra_member_count(seed_count: int, other_count: int, target_members: int) -> int:
    """How many others are taken in beside so many seeds."""
    extra = max(0, min(other_count, target_members - seed_count))
    is_even = (seed_count + extra) % 2 == 0
    return extra - 1 if extra and is_even else extra
