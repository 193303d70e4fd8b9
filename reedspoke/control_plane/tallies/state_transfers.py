"""Receives the state of a peer in chunks, which are joined as they are stored."""

from __future__ import annotations

from reedspoke.control_plane.tallies.catch_up import CatchUp, StateTransfer
from reedspoke.control_plane.tallies.events import SendMessage
from reedspoke.control_plane.tallies.messages import TallyCursor, TallyStateChunk, TallyStateRequest
from reedspoke.control_plane.tallies.records import TallyState
from reedspoke.control_plane.tallies.store_queue import ReceivedItems, StoreQueue


class StateTransfers:
    """Passes chunks to the queue of records to be stored, and joins those that are synced.

    `catch_up` owns the transfer in progress.
    """

    def __init__(self, catch_up: CatchUp, state: TallyState, queue: StoreQueue) -> None:
        self._catch_up = catch_up
        self._state = state
        self._queue = queue

    def receive_chunk(self, now: float, sender: str, chunk: TallyStateChunk) -> None:
        """Queue a chunk to be stored, unless it belongs to no transfer in progress."""
        self._catch_up.pull_answered(sender)
        if not self._catch_up.accepts_chunk(sender, chunk, now):
            return
        transfer = self._catch_up.transfer
        assert transfer is not None
        self._queue.put_items(ReceivedItems(transfer, chunk.items, chunk.next))

    def chunk_stored(self, now: float, received: ReceivedItems) -> list[SendMessage]:
        """Join a chunk that is synced, and request the next one or complete the transfer."""
        for items in received.items:
            self._state.counts.join(items)
        if received.next is not None:
            return self._request_chunk(now, received.transfer, received.next)
        self._state.log.advance(received.transfer.vector)
        for origin, number in self._state.log.vector.items():
            self._queue.expected[origin] = max(number, self._queue.expected.get(origin, 0))
        if self._catch_up.transfer is received.transfer:
            self._catch_up.transfer = None
        return []

    def _request_chunk(self, now: float, transfer: StateTransfer, after: TallyCursor) -> list[SendMessage]:
        # Chunks of an earlier transfer do not count for the current one, which has another vector.
        if self._catch_up.transfer is not transfer:
            return []
        transfer.after = after
        transfer.active_at = now
        self._catch_up.pull_sent(transfer.source, now)
        return [SendMessage(transfer.source, TallyStateRequest(after))]
