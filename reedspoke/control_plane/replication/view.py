"""The agreed view: the order of the chain, and the voters on the next view.

In van Renesse and Schneider's chain replication (OSDI 2004) a master service configures the chain. Here each
view is decided by the voters of the view before it, with single-decree Paxos (`control_plane.views`).
"""

from __future__ import annotations

from msgspec import Struct


class Member(Struct, array_like=True, frozen=True):
    """A control plane node: the id of its data folder, created with the folder, and its internal address.

    A node that loses its data folder returns as another member at the same address.
    """

    folder_id: str
    address: str
    zone: str = ""


class ChainLink(Struct, array_like=True, frozen=True):
    """A member of the chain; `joined_view` is the number of the view that appended it."""

    member: Member
    joined_view: int


class View(Struct, array_like=True, frozen=True):
    """The voters on the next view, and the members of the chain from head to tail."""

    number: int
    voters: tuple[Member, ...]
    chain: tuple[ChainLink, ...]
