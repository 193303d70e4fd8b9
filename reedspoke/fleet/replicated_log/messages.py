"""Messages of the replicated log, in their wire format.

Tags and the order and bounds of the fields define the wire format; the decoder rejects a message with a field
out of bounds. `term` is the term of the leader that sends or receives the message.
"""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

MAX_ENTRY_BYTES = 150  # size limit of an entry's data, because a message has to fit a datagram

Unsigned16 = Annotated[int, Meta(ge=0, le=0xFFFF)]
Unsigned32 = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
Term = Annotated[int, Meta(ge=0)]  # the term of a leader is the fencing token of its lease
EntryData = Annotated[bytes, Meta(max_length=MAX_ENTRY_BYTES)]


class LogStateRequest(Struct, frozen=True, array_like=True, tag=0):
    """A new leader asks for the end of a voter's log; the voter rejects lower terms from now on."""

    term: Term


class LogStateReply(Struct, frozen=True, array_like=True, tag=1):
    """The end of this voter's log. If `recovering`, it has lost its state and counts for no quorum."""

    term: Term
    incarnation: Unsigned32
    recovering: bool
    last_term: int
    last_index: Unsigned32


class FetchRequest(Struct, frozen=True, array_like=True, tag=2):
    """A new leader asks for the entries from `index`, or for the snapshot from `snapshot_offset` (bytes)."""

    term: Term
    index: Unsigned32
    snapshot_offset: Unsigned32


class Append(Struct, frozen=True, array_like=True, tag=3):
    """One entry, which follows an entry of `previous_term`.

    If `entry_term` is 0, the message has no entry and only reports the commit index.
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
    """The voter's log equals the leader's up to `match_limit` at most, or there is a later leader.

    A `term` above the leader's own is that of the later leader. `snapshot_offset` is the number of snapshot
    bytes received.
    """

    term: Term
    match_limit: Unsigned32
    incarnation: Unsigned32
    recovering: bool
    snapshot_offset: Unsigned32 = 0


class InstallSnapshot(Struct, frozen=True, array_like=True, tag=6):
    """A chunk of the snapshot that replaces all entries up to `last_included_index`.

    `size` and `checksum` (CRC-32) describe the complete snapshot, `offset` is the start of this chunk.
    """

    term: Term
    last_included_index: Unsigned32
    last_included_term: Term
    offset: Unsigned32
    size: Unsigned32
    checksum: Unsigned32
    data: EntryData


class RecoverEmpty(Struct, frozen=True, array_like=True, tag=7):
    """All voters have answered and less than a majority has state: the incarnation continues without."""

    term: Term
    incarnation: Unsigned32


class RecoveryRequest(Struct, frozen=True, array_like=True, tag=8):
    """A restarted voter without state asks the others for the state that it needs to vote again."""

    incarnation: Unsigned32


class RecoveryReply(Struct, frozen=True, array_like=True, tag=9):
    """The answer to one incarnation; `leader_term` is the sender's term if it leads, else 0."""

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
    """A message of one replicated log, which is identified by the hash of its name."""

    log_name_hash: Unsigned16
    message: LogMessage


class CommandRequest(Struct, frozen=True, array_like=True, tag=13):
    """Asks the leader to append a command. `number` is chosen by the sender and repeated in the reply."""

    number: Unsigned32
    command: EntryData


class CommandReply(Struct, frozen=True, array_like=True, tag=14):
    """The outcome of the command with that number."""

    number: Unsigned32
    outcome: EntryData


class Outgoing(NamedTuple):
    """A message of the log and the voter to which it is sent."""

    recipient: int
    message: LogMessage


Outbox = list[Outgoing]
