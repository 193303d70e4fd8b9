"""Messages of the replicated log, as they stand on the wire.

Tags, order and bounds of the fields are the wire format: a message that breaks a bound is rejected by the
decoder. `term` is always the term of the leader that the message comes from or goes to.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

MAX_ENTRY_BYTES = 150  # of one entry's data: a message has to fit a datagram

Unsigned16 = Annotated[int, Meta(ge=0, le=0xFFFF)]
Unsigned32 = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
Term = Annotated[int, Meta(ge=0)]  # of a leader: the fencing token of its lease
EntryData = Annotated[bytes, Meta(max_length=MAX_ENTRY_BYTES)]


class LogStateRequest(Struct, frozen=True, array_like=True, tag=0):
    """A new leader asks how far a voter's log goes; the voter accepts no lower term from now on."""

    term: Term


class LogStateReply(Struct, frozen=True, array_like=True, tag=1):
    """Where the log of this voter ends. `recovering`: it has lost its state, so this counts for nothing."""

    term: Term
    incarnation: Unsigned32
    recovering: bool
    last_term: int
    last_index: Unsigned32


class FetchRequest(Struct, frozen=True, array_like=True, tag=2):
    """A new leader asks for the entries from `index` on, or the snapshot from byte `snapshot_offset` on."""

    term: Term
    index: Unsigned32
    snapshot_offset: Unsigned32


class Append(Struct, frozen=True, array_like=True, tag=3):
    """One entry, to go behind an entry of `previous_term`.

    Without an `entry_term` it carries no entry: it tells that all up to `commit_index` is committed.
    """

    term: Term
    index: Unsigned32
    previous_term: int
    entry_term: Term
    commit_index: Unsigned32
    data: EntryData


class AppendAccepted(Struct, frozen=True, array_like=True, tag=4):
    """The voter's log equals the leader's up to `match_index`."""

    term: Term
    match_index: Unsigned32
    incarnation: Unsigned32


class AppendRejected(Struct, frozen=True, array_like=True, tag=5):
    """The voter's log equals the leader's up to `match_limit` at most, or the leader is deposed.

    A `term` above the leader's own names the later leader. `snapshot_offset`: bytes of the snapshot received.
    """

    term: Term
    match_limit: Unsigned32
    incarnation: Unsigned32
    recovering: bool
    snapshot_offset: Unsigned32 = 0


class InstallSnapshot(Struct, frozen=True, array_like=True, tag=6):
    """A chunk of the snapshot that replaces all entries up to `last_included_index`.

    `size` and `checksum` (CRC-32) are of the complete snapshot, `offset` is where this chunk begins in it.
    """

    term: Term
    last_included_index: Unsigned32
    last_included_term: Term
    offset: Unsigned32
    size: Unsigned32
    checksum: Unsigned32
    data: EntryData


class RecoverEmpty(Struct, frozen=True, array_like=True, tag=7):
    """All voters have answered and too few have state: that incarnation goes on without any."""

    term: Term
    incarnation: Unsigned32


class RecoveryRequest(Struct, frozen=True, array_like=True, tag=8):
    """A restarted voter without state asks the others for what it needs to know before it may vote again."""

    incarnation: Unsigned32


class RecoveryReply(Struct, frozen=True, array_like=True, tag=9):
    """The answer to one incarnation. `leader_term`: the sender's own where it leads, else 0."""

    incarnation: Unsigned32
    current_term: Term
    leader_term: Term
    last_index: Unsigned32


LogMessage = (
    LogStateRequest
    | LogStateReply
    | FetchRequest
    | Append
    | AppendAccepted
    | AppendRejected
    | InstallSnapshot
    | RecoverEmpty
    | RecoveryRequest
    | RecoveryReply
)


class LogEnvelope(Struct, frozen=True, array_like=True, tag=12):
    """A message of one replicated log, which is named by the hash of its name."""

    log_name_hash: Unsigned16
    message: LogMessage


class CommandRequest(Struct, frozen=True, array_like=True, tag=13):
    """Asks the leader to put a command into the log. `number`: the sender's own, repeated in the reply."""

    number: Unsigned32
    command: EntryData


class CommandReply(Struct, frozen=True, array_like=True, tag=14):
    """What became of the command of that number."""

    number: Unsigned32
    outcome: EntryData


class Outgoing(NamedTuple):
    """A message of the log and the voter that it is sent to."""

    recipient: int
    message: LogMessage


Outbox = list[Outgoing]
