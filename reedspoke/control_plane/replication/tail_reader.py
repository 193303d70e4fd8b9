"""Reads at the tail of the chain, which answers them while it holds the read lease."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.control_plane.replication.chain import Chain
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.messages import GetReply, GetRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.view import View


class TailReader:
    """Replies to reads; while the newest entry is not committed, the forwarder has to retry."""

    def __init__(
        self, outbox: Outbox, chain: Chain, register: ConfigurationRegister, holds_lease: Callable[[], bool]
    ) -> None:
        self._outbox = outbox
        self._chain = chain
        self._register = register
        self._holds_lease = holds_lease

    def receive(self, sender: str, request: GetRequest, view: View | None) -> None:
        """Handle a read that this replica or another one has forwarded."""
        number = view.number if view else 0
        ready = number == request.view_number and self._may_answer()
        if not ready:
            self._outbox.send(sender, GetReply(number, request.request_id, ready=False))
            return
        sequence = self._register.sequence
        entry = self._register.entry if sequence > request.known_sequence else None
        self._outbox.send(sender, GetReply(number, request.request_id, True, sequence, entry))

    def _may_answer(self) -> bool:
        chain = self._chain
        newest_committed = self._register.committed_sequence == self._register.sequence
        return chain.is_tail and chain.complete and newest_committed and self._holds_lease()
