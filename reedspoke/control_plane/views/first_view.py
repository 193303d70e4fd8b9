"""The first view of a system that starts for the first time, as a pure function of heartbeats."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.control_plane.replication.messages import Heartbeat
from reedspoke.control_plane.replication.view import ChainLink, View

FIRST_VIEW_NUMBER = 1


def form_first_view(
    seeds: tuple[str, ...], heartbeats: Iterable[Heartbeat], min_seeds: int, target_members: int
) -> View | None:
    """A view with the seeds, by address, as voters and as chain.

    Returns None until heartbeats from at least `min_seeds` seeds of the first start are known. Other replicas
    that start for the first time are added up to `target_members`: with fewer voters than the deployment
    needs, tolerated losses could leave no majority. The last one is omitted if it would make the number of
    voters even.
    """
    known = list(heartbeats)
    starting = {heartbeat.member.address: heartbeat.member for heartbeat in known if heartbeat.bootstrap_seed}
    seed_members = [starting[seed] for seed in sorted(set(seeds)) if seed in starting]
    if not seed_members or len(seed_members) < min_seeds:
        return None
    joiners = {
        heartbeat.member.address: heartbeat.member for heartbeat in known if heartbeat.bootstrap_joiner
    }
    others = [joiners[address] for address in sorted(set(joiners) - set(seeds))]
    extra_count = _extra_member_count(len(seed_members), len(others), target_members)
    members = tuple(seed_members + others[:extra_count])
    chain = tuple(ChainLink(member, FIRST_VIEW_NUMBER) for member in members)
    return View(FIRST_VIEW_NUMBER, members, chain)


def _extra_member_count(seed_count: int, other_count: int, target_members: int) -> int:
    """How many other replicas are added to this number of seeds."""
    extra = max(0, min(other_count, target_members - seed_count))
    is_even = (seed_count + extra) % 2 == 0
    return extra - 1 if extra and is_even else extra
