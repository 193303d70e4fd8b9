"""Choice of the next view's chain: which members stay, and which are appended.

Members that are unhealthy or unreachable are removed. Members that can replace them are appended, usually one
in each view. `docs/control-safety.md` describes which losses the result has to tolerate.
"""

from __future__ import annotations

from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.largest_chain import Links, largest_connected_chain
from reedspoke.control_plane.views.membership_snapshot import MemberCondition, MembershipSnapshot


def retained_chain(view: View, snapshot: MembershipSnapshot) -> Links:
    """The members to keep.

    A draining member is kept while fewer than `chain_minimum` others are complete.
    """
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
    """The largest part of the links whose members all reach each other, with a complete member as head.

    The present tail is preferred as tail, as voters accept no view with another tail while its read lease
    lasts.
    """
    return largest_connected_chain(
        links,
        is_connected=lambda one, other: snapshot.is_connected(one.member.folder_id, other.member.folder_id),
        may_be_head=lambda link: _is_complete(link, snapshot),
        preferred_tail=view.chain[-1],
    )


def _is_usable(link: ChainLink, snapshot: MembershipSnapshot) -> bool:
    condition = snapshot.conditions.get(link.member.folder_id)
    return condition is not None and condition.healthy and not condition.refuses_snapshot


def _is_complete(link: ChainLink, snapshot: MembershipSnapshot) -> bool:
    return snapshot.conditions[link.member.folder_id].complete


def joiners_of(view: View, retained: Links, snapshot: MembershipSnapshot) -> list[Member]:
    """The members to append: the first candidates by address.

    Each view appends one, or as many as the chain lacks to have `chain_minimum` members. While a retained
    member is incomplete, none is appended beyond that number. Up to it they are: if the predecessor of the
    incomplete member is lost, no other view than a longer one can give the member another predecessor.
    """
    lacking = max(0, snapshot.chain_minimum - len(retained))
    all_complete = all(_is_complete(link, snapshot) for link in retained)
    limit = max(1, lacking) if all_complete else lacking
    in_chain = {link.member.folder_id for link in view.chain if not _refuses_snapshot(link, snapshot)}
    return connected_joiners(retained, in_chain, limit, snapshot)


def _refuses_snapshot(link: ChainLink, snapshot: MembershipSnapshot) -> bool:
    condition = snapshot.conditions.get(link.member.folder_id)
    return condition is not None and condition.refuses_snapshot


def connected_joiners(
    retained: Links, excluded: set[str], limit: int, snapshot: MembershipSnapshot
) -> list[Member]:
    """Up to `limit` candidates that all retained members and all other joiners reach."""
    connected_to = [link.member.folder_id for link in retained]
    joiners: list[Member] = []
    for candidate in _join_candidates(excluded, snapshot):
        is_connected = all(snapshot.is_connected(candidate.folder_id, other) for other in connected_to)
        if len(joiners) < limit and is_connected:
            joiners.append(candidate)
            connected_to.append(candidate.folder_id)
    return joiners


def _join_candidates(excluded: set[str], snapshot: MembershipSnapshot) -> list[Member]:
    """Members that may be appended, but for those with an excluded folder id, ordered by address."""
    candidates = [
        condition.member
        for folder_id, condition in snapshot.conditions.items()
        if folder_id not in excluded and _may_join(condition, snapshot)
    ]
    return sorted(candidates, key=lambda member: (member.address, member.folder_id))


def _may_join(condition: MemberCondition, snapshot: MembershipSnapshot) -> bool:
    return condition.healthy and condition.steady and not snapshot.is_draining(condition.member.folder_id)
