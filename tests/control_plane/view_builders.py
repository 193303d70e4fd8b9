"""Builders of views and membership snapshots whose members are named by single letters."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.membership_snapshot import MemberCondition, MembershipSnapshot


def member_named(name: str, address: str = "") -> Member:
    """A member whose folder id is its name."""
    return Member(folder_id=name, address=address or f"at-{name}")


def links_of(names: Iterable[str]) -> tuple[ChainLink, ...]:
    """Chain links of members that were appended in the first view."""
    return tuple(ChainLink(member_named(name), 1) for name in names)


def view_of(chain: str, voters: str = "", number: int = 5) -> View:
    """A view with this chain; its members are the voters unless `voters` are given."""
    return View(number, tuple(member_named(name) for name in voters or chain), links_of(chain))


def snapshot_of(
    reachable: str,
    *,
    incomplete: str = "",
    apart: Iterable[str] = (),
    lost: str = "",
    draining: str = "",
    tolerated: int = 1,
    joiners: Iterable[Member] = (),
    recent: str = "",
) -> MembershipSnapshot:
    """Reachable members and joiners are healthy; `apart` are pairs of names, `recent` are not established."""
    members = [*(member_named(name) for name in reachable), *joiners]
    conditions = {
        member.folder_id: MemberCondition(
            member,
            healthy=True,
            complete=member.folder_id not in incomplete,
            steady=True,
            established=member.folder_id not in recent,
        )
        for member in members
    }
    pairs = {frozenset(pair) for pair in apart}
    return MembershipSnapshot(
        conditions,
        is_connected=lambda one, other: frozenset((one, other)) not in pairs,
        is_lost=lambda folder_id: folder_id in lost,
        is_draining=lambda folder_id: folder_id in draining,
        chain_minimum=tolerated + 1,
        voters_target=2 * tolerated + 1,
    )


def chain_names(view: View) -> str:
    """Names of the chain's members, from head to tail."""
    return "".join(link.member.folder_id for link in view.chain)


def voter_names(view: View) -> str:
    """Names of the voters, in their order."""
    return "".join(voter.folder_id for voter in view.voters)
