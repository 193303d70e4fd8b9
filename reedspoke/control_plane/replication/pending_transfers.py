"""State transfers to this replica that have not completed: after each of them nothing was committed.

A view that appends a replica starts a state transfer to it: its predecessor sends it a snapshot. Until the
transfer completes, the chain commits nothing, as an entry is committed only once every member has it. So
everything that has been committed is held by the members of the chain of the view before, the *sources* of
the transfer, as in the previous configurations of Vertical Paxos (Lamport, Malkhi, Zhou, 2009).

A transfer is *closed* once it cannot complete any more: the replica was appended again, or is not in the
chain, or it has refused any further snapshot, which is on its disk before anybody learns of it. A closed
transfer proves for good that the views whose chain contains its link have committed nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence

from msgspec import Struct

from reedspoke.control_plane.replication.view import ChainLink, View

# A replica that is appended again and again without completing a transfer forgets the oldest ones. Without
# them a copy may not be found, but none is taken for complete that is not.
MAX_PENDING_TRANSFERS = 32


class PendingTransfer(Struct, frozen=True):
    """The transfer that began when `view` appended this replica; `previous` is the view before it."""

    previous: View
    view: View

    @property
    def joined_view(self) -> int:
        """The `joined_view` of this replica's link."""
        return self.view.number

    @property
    def sources(self) -> tuple[ChainLink, ...]:
        """The members that together hold all that was committed before `view`."""
        return self.previous.chain


def transfer_started(folder_id: str, previous: View | None, view: View) -> PendingTransfer | None:
    """The transfer that starts as this replica, which has acted in `previous`, enters `view`.

    None if the view does not append the replica, or if the view directly before it is not known.
    """
    if previous is None or previous.number != view.number - 1:
        return None
    is_appended = any(
        link.member.folder_id == folder_id and link.joined_view == view.number for link in view.chain
    )
    return PendingTransfer(previous, view) if is_appended else None


class PendingTransfers:
    """Owns the transfers to this replica that have not completed, oldest first, and which of them it closed.

    `store_closed` stores that a transfer is closed, and calls back with whether that is on disk.
    """

    def __init__(
        self,
        folder_id: str,
        restored: Sequence[PendingTransfer],
        closed: Sequence[int],
        view: View | None,
        store_closed: Callable[[int, Callable[[bool], None]], None],
    ) -> None:
        self._folder_id = folder_id
        self._transfers = list(restored)
        self._refused = set(closed)  # by `joined_view`; no snapshot is stored for these
        self._closed = set(closed)  # those whose refusal is on disk
        self._view = view
        self._store_closed = store_closed

    def enter_view(self, view: View) -> None:
        """Record the transfer that starts with this view, if it appends this replica."""
        started = transfer_started(self._folder_id, self._view, view)
        if started is not None:
            self._transfers = [*self._transfers, started][-MAX_PENDING_TRANSFERS:]
        self._view = view

    def completed(self) -> None:
        """Forget all transfers, as a snapshot has been stored: this copy is complete again."""
        self._transfers.clear()

    @property
    def present(self) -> PendingTransfer | None:
        """The transfer for the link in the present chain; None if it has completed or there is no link."""
        for transfer in self._transfers:
            if transfer.joined_view == self._own_joined_view():
                return transfer
        return None

    def refuses(self, joined_view: int) -> bool:
        """Whether no snapshot may be stored for the link of this view any more."""
        return joined_view in self._refused

    def is_closed(self, joined_view: int) -> bool:
        """Whether the refusal of snapshots for the link of this view is on disk."""
        return joined_view in self._closed

    def close(self, transfer: PendingTransfer) -> None:
        """Refuse all snapshots of this transfer from now on; it is closed once that is on disk."""
        joined_view = transfer.joined_view
        if joined_view in self._refused:
            return
        self._refused.add(joined_view)

        def on_stored(stored: bool) -> None:
            if stored:
                self._closed.add(joined_view)
            else:
                self._refused.discard(joined_view)

        self._store_closed(joined_view, on_stored)

    def closed(self) -> list[PendingTransfer]:
        """The transfers that cannot complete any more."""
        present = self._own_joined_view()
        return [
            transfer
            for transfer in self._transfers
            if transfer.joined_view != present or self.is_closed(transfer.joined_view)
        ]

    def views(self) -> list[View]:
        """The views from which the transfers can be restored, in order, for a rewritten log."""
        views = {view.number: view for each in self._transfers for view in (each.previous, each.view)}
        return [views[number] for number in sorted(views)]

    def refused_links(self) -> list[int]:
        """The `joined_view` of each refused transfer, for a rewritten log."""
        return sorted(self._refused & {transfer.joined_view for transfer in self._transfers})

    def _own_joined_view(self) -> int | None:
        """The `joined_view` of this replica's link in the present chain; None outside the chain."""
        if self._view is None:
            return None
        for link in self._view.chain:
            if link.member.folder_id == self._folder_id:
                return link.joined_view
        return None
