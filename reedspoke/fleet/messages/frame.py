"""Frames: the encoding of several messages as one datagram between schedulers.

    version  sender  incarnation  sequence   messages
    4        12      12           12 bits    a msgpack array

A message is an array that starts with its tag; load reports are plain bytes. A frame has at most
MAX_FRAME_BYTES, so that it also fits a datagram as base 85 text, which the simulator carries. A receiver
that does not know a tag drops and counts the whole frame; PROTOCOL_VERSION increases with every change. This
module performs no I/O.
"""

from __future__ import annotations

from base64 import b85decode, b85encode
from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from reedspoke.fleet.messages.anti_entropy import EntriesRequest, MemberEntry, RangeDigests, RootDigest
from reedspoke.fleet.messages.errors import FrameError
from reedspoke.fleet.messages.failure_detector import Ack, MemberUpdate, Ping, PingRequest
from reedspoke.fleet.messages.lease import ConfigurationDigest, LeaseHeld, LeaseMessage
from reedspoke.fleet.messages.sizes import (
    HEADER_BYTES,
    MAX_DATAGRAM_BYTES,
    MAX_FRAME_BYTES,
    MAX_HEADER_BYTES,
)
from reedspoke.fleet.messages.worker_load import LoadReport
from reedspoke.fleet.replicated_log.messages import CommandReply, CommandRequest, LogEnvelope

PROTOCOL_VERSION = 3
EVERY_PEER = -1  # recipient of a message to all peers
FIELD_BITS = 12  # width of the sender, the incarnation and the sequence number
FIELD_MASK = (1 << FIELD_BITS) - 1
VERSION_SHIFT = 3 * FIELD_BITS

Message = (
    LoadReport | Ping | Ack | PingRequest | MemberUpdate | LeaseMessage | LeaseHeld | ConfigurationDigest |
    MemberEntry | RootDigest | RangeDigests | EntriesRequest | LogEnvelope | CommandRequest | CommandReply
)  # fmt: skip

encode_message = msgspec.msgpack.Encoder().encode
decode_messages = msgspec.msgpack.Decoder(list[Message]).decode


@dataclass(slots=True, frozen=True)
class Frame:
    """A decoded frame. `incarnation` identifies a process of the sender; `sequence` wraps around."""

    sender: int
    incarnation: int
    sequence: int
    messages: list[Message]


class OutgoingMessage(NamedTuple):
    """A message and its recipient, a member or EVERY_PEER."""

    recipient: int
    message: Message


def encode_frames(sender: int, incarnation: int, sequence: int, messages: Iterable[Message]) -> list[bytes]:
    """Packs the messages, in order, into as few frames as possible; `sequence` is that of the first frame.

    Raises ValueError if a single message is too large for a frame.
    """
    bodies: list[bytes] = []
    pending: list[msgspec.Raw] = []
    used_bytes = MAX_HEADER_BYTES

    def close_frame() -> None:
        header = _encode_header(sender, incarnation, sequence + len(bodies))
        bodies.append(header + encode_message(pending))
        pending.clear()

    for message in messages:
        encoded = encode_message(message)
        if MAX_HEADER_BYTES + len(encoded) > MAX_FRAME_BYTES:
            raise ValueError(f"{type(message).__name__} message of {len(encoded)} bytes does not fit a frame")
        if used_bytes + len(encoded) > MAX_FRAME_BYTES:
            close_frame()
            used_bytes = MAX_HEADER_BYTES
        pending.append(msgspec.Raw(encoded))
        used_bytes += len(encoded)
    if pending:
        close_frame()
    return bodies


def _encode_header(sender: int, incarnation: int, sequence: int) -> bytes:
    header = PROTOCOL_VERSION
    for field in (sender, incarnation, sequence):
        header = header << FIELD_BITS | field & FIELD_MASK
    return header.to_bytes(HEADER_BYTES)


def decode_frame(body: bytes) -> Frame:
    """Decodes a datagram. Raises FrameError."""
    if not HEADER_BYTES < len(body) <= MAX_DATAGRAM_BYTES:
        raise FrameError(f"frame has a size of {len(body)} bytes, which is out of range")
    header = int.from_bytes(body[:HEADER_BYTES])
    version = header >> VERSION_SHIFT
    if version != PROTOCOL_VERSION:
        raise FrameError(f"frame has protocol version {version}, not {PROTOCOL_VERSION}")
    try:
        messages = decode_messages(body[HEADER_BYTES:])
    except (msgspec.DecodeError, ValueError) as error:  # ValueError: a string that is not UTF-8
        raise FrameError(f"messages of the frame cannot be decoded: {error}") from error
    return Frame(
        sender=header >> 2 * FIELD_BITS & FIELD_MASK,
        incarnation=header >> FIELD_BITS & FIELD_MASK,
        sequence=header & FIELD_MASK,
        messages=messages,
    )


def is_newer_sequence(sequence: int, than: int) -> bool:
    """Returns whether a sequence number that wraps around is newer: at most half of the range ahead."""
    return 0 < (sequence - than) & FIELD_MASK <= FIELD_MASK // 2


def frame_to_text(body: bytes) -> str:
    """Encodes a frame as base 85 text, for the simulator."""
    return b85encode(body).decode()


def frame_from_text(text: str) -> bytes:
    """Decodes a frame that was sent as base 85 text. Raises FrameError."""
    try:
        return b85decode(text)
    except ValueError as error:
        raise FrameError("frame text is not valid base 85") from error
