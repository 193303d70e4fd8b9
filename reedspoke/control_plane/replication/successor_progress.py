"""Progress of the successor in the chain, and the next message for it.

A message is resent with exponential backoff. Otherwise, on a slow link, repeated snapshots would fill the
link before the first copy has arrived.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.messages import AppendRequest, InstallSnapshot, SuccessorStatus
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import (
    MAX_RESEND_INTERVAL_S,
    RESEND_BACKOFF_FACTOR,
    RESEND_BYTES_PER_S,
    RESEND_INTERVAL_S,
)
from reedspoke.control_plane.replication.view import ChainLink


class ForwardAttempt(Struct, frozen=True):
    """The last message to the successor: entries up to `sequence`, sent `attempts` times so far."""

    sequence: int
    sent_at: float
    attempts: int


class SuccessorProgress:
    """Owns the successor's last status, and the last attempt to send it missing state."""

    def __init__(self, outbox: Outbox, register: ConfigurationRegister) -> None:
        self._outbox = outbox
        self._register = register
        self._status: SuccessorStatus | None = None
        self._last_attempt: ForwardAttempt | None = None

    @property
    def is_known(self) -> bool:
        """Whether the successor has reported its status in this view."""
        return self._status is not None

    def enter_view(self) -> None:
        """Forget the status, as the successor in a newer view has not reported yet."""
        self._status = None
        self._last_attempt = None

    def record_status(self, status: SuccessorStatus) -> None:
        """Record a status report of the successor."""
        if self._status is None or self._status.complete != status.complete:
            self._last_attempt = None  # it needs another message than the one sent last
        self._status = status

    def send_missing(self, view_number: int, successor: ChainLink) -> None:
        """Send the successor the entry or snapshot that it lacks, unless a resend is not due yet."""
        message = self._missing(view_number, successor)
        if message is not None and self._is_due(message):
            self._last_attempt = self._next_attempt()
            self._outbox.send(successor.member.address, message)

    def _missing(self, view_number: int, successor: ChainLink) -> AppendRequest | InstallSnapshot | None:
        status, entry = self._status, self._register.entry
        if status is None:
            return None
        lag = self._register.sequence - status.sequence
        if not status.complete or lag > 1:
            history = self._register.packed_history
            return InstallSnapshot(view_number, successor.joined_view, entry, history)
        if lag == 1 and entry is not None:
            return AppendRequest(view_number, entry)
        return None

    def _is_due(self, message: AppendRequest | InstallSnapshot) -> bool:
        last = self._last_attempt
        if last is None or last.sequence != self._register.sequence:
            return True
        interval_s = RESEND_INTERVAL_S + _size(message) / RESEND_BYTES_PER_S
        for _ in range(last.attempts - 1):
            interval_s = min(interval_s * RESEND_BACKOFF_FACTOR, MAX_RESEND_INTERVAL_S)
        return self._outbox.now - last.sent_at >= interval_s

    def _next_attempt(self) -> ForwardAttempt:
        last, sequence = self._last_attempt, self._register.sequence
        same = last is not None and last.sequence == sequence
        return ForwardAttempt(sequence, self._outbox.now, last.attempts + 1 if last and same else 1)


def _size(message: AppendRequest | InstallSnapshot) -> int:
    """Size in bytes of the document and history in the message."""
    document = len(message.entry.document) if message.entry else 0
    return document + (len(message.history) if isinstance(message, InstallSnapshot) else 0)
