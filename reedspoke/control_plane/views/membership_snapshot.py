"""What the replica that chooses the next view knows about the members: the input of that choice."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct

from reedspoke.control_plane.replication.view import Member


class MemberCondition(Struct, frozen=True):
    """State of a reachable member, as observed by the replica that chooses the view."""

    member: Member
    healthy: bool  # Its disk stores entries in time, and has lost none.
    complete: bool  # It is in the chain and holds all entries since it was appended.
    steady: bool  # It knows the present view, and has been reachable for long enough to be appended.
    established: bool  # It has been reachable for long enough to vote besides a sufficient number of voters.
    # It is in the chain and will store no snapshot for its present link, so that it has to be appended again.
    refuses_snapshot: bool = False
    committed_sequence: int = 0  # sequence of the newest entry that it knows to be committed


class MembershipSnapshot(Struct, frozen=True):
    """What the choosing replica knows about members, each named by the id of its data folder.

    `conditions` has the reachable members. The functions may be called for any member.
    """

    conditions: dict[str, MemberCondition]
    is_connected: Callable[[str, str], bool]  # Whether two members receive each other's heartbeats.
    is_lost: Callable[[str], bool]  # Whether the heartbeats of a voter have reached no replica for too long.
    is_draining: Callable[[str], bool]  # Whether a member is about to shut down.
    chain_minimum: int  # A chain with fewer members acknowledges no change.
    voters_target: int  # While there are no more voters than this, none is removed without a replacement.
