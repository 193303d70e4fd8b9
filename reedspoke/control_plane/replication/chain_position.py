"""The position of a replica in the chain of one view: a value without any state of its own."""

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
        """Whether changes enter here."""
        return self.index == HEAD_INDEX

    @property
    def is_tail(self) -> bool:
        """Whether entries are committed here."""
        return self.index == len(self.view.chain) - 1

    @property
    def own_link(self) -> ChainLink:
        """This replica, with the view that appended it."""
        return self.view.chain[self.index]

    @property
    def predecessor(self) -> Member | None:
        """The member from which entries come; None at the head."""
        return None if self.is_head else self.view.chain[self.index - 1].member

    @property
    def successor(self) -> ChainLink | None:
        """The member to which entries are forwarded; None at the tail."""
        return None if self.is_tail else self.view.chain[self.index + 1]


def position_of(member: Member, view: View) -> ChainPosition | None:
    """The position of this member in the view's chain; None where it has none."""
    folder_ids = [link.member.folder_id for link in view.chain]
    if member.folder_id not in folder_ids:
        return None
    return ChainPosition(view, folder_ids.index(member.folder_id))
