"""The agreed view: the configuration of the chain, and who votes on the next one.

A view is what van Renesse and Schneider's chain replication (OSDI 2004) leaves to a master service. Here each
view is decided by the voters of the view before it, with single-decree Paxos (`control_plane.views`).
"""

from __future__ import annotations

from msgspec import Struct


class Member(Struct, array_like=True, frozen=True):
    """A control plane node: the id of its data folder, made with the folder, and its internal address.

    A node whose data folder was lost comes back as another member at the same address.
    """

    folder_id: str
    address: str
    zone: str = ""


class ChainLink(Struct, array_like=True, frozen=True):
    """A member of the chain; `joined_view` is the number of the view that appended it."""

    member: Member
    joined_view: int


class View(Struct, array_like=True, frozen=True):
    """The agreed view: who votes on the next one, and the order of the chain from head to tail."""

    number: int
    voters: tuple[Member, ...]
    chain: tuple[ChainLink, ...]
