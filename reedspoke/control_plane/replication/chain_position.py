"""The immutable position of a replica in the chain of one view."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.replication.view import ChainLink, Member, View

HEAD_INDEX = 0


class ChainPosition(Struct, frozen=True):
    """Member number `index` of the chain of `view`, counted from the head."""

    view: View
    index: int

    @property
    def is_head(self) -> bool:
        """Whether this is the head, where changes enter the chain."""
        return self.index == HEAD_INDEX

    @property
    def is_tail(self) -> bool:
        """Whether this is the tail, where entries are committed."""
        return self.index == len(self.view.chain) - 1

    @property
    def own_link(self) -> ChainLink:
        """The chain link of this replica."""
        return self.view.chain[self.index]

    @property
    def predecessor(self) -> Member | None:
        """The member that forwards entries to this one; None at the head."""
        return None if self.is_head else self.view.chain[self.index - 1].member

    @property
    def successor(self) -> ChainLink | None:
        """The member to which this one forwards entries; None at the tail."""
        return None if self.is_tail else self.view.chain[self.index + 1]


def position_of(member: Member, view: View) -> ChainPosition | None:
    """The position of this member in the view's chain; None if it is not in the chain."""
    folder_ids = [link.member.folder_id for link in view.chain]
    if member.folder_id not in folder_ids:
        return None
    return ChainPosition(view, folder_ids.index(member.folder_id))
