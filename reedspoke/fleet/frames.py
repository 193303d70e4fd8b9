"""What schedulers say to each other, as bytes: one frame, a datagram, holds several matters.

    version  sender  incarnation  sequence   matters
    4        12      12           12 bits    a msgpack array

A matter is an array that begins with its kind; holdings, by far the most frequent, are bare bytes. `MOST`
bytes are the platform's bound for a datagram; a frame holds `ROOM`, so that it fits as base 85 text too,
which the simulator's wire carries. Numbers have bounds: what breaks one is no frame. A process that does not
know a kind drops the whole frame and counts it; VERSION rises with every change. No I/O.
"""

from __future__ import annotations

import struct
from base64 import b85decode, b85encode
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

from reedspoke.errors import ReedspokeError
from reedspoke.fleet.replicated_log.messages import CommandReply, CommandRequest, LogEnvelope

MOST = 256  # bytes of a datagram; a longer one is the platform's fault line
ROOM = MOST * 4 // 5  # bytes of a frame
VERSION = 3
STEP = 20_000  # us of work in one unit
PART = struct.Struct("!HBB")  # a worker's mark, slots, work

Number = Annotated[int, Meta(ge=0, le=0xFFFF)]  # of a member, a life, a sequence, a duty's mark
Whole = Annotated[int, Meta(ge=0, le=0xFFFF_FFFF)]
Ballot = Annotated[int, Meta(ge=0)]


class FrameError(ReedspokeError, ValueError):
    """What came is no frame of ours; the text says why."""

    code = "frame-malformed"
    remedy = "see who sends to the fleet's address, and that all members run one version"


# ---- matters ----


Holdings = bytes  # what the sender holds at some workers; `PART` for each


class Ping(Struct, frozen=True, array_like=True, tag=1):
    """Asks for an `Ack` of that number."""

    number: Number


class Ack(Struct, frozen=True, array_like=True, tag=2):
    number: Number


class Ask(Struct, frozen=True, array_like=True, tag=3):
    """Asks to ping `target` and to pass its answer on."""

    number: Number
    target: Number


class News(Struct, frozen=True, array_like=True, tag=4):
    """Of one member's life: `rank` rises each time the member itself refutes what is said of it."""

    member: Number
    life: Number
    rank: Number
    state: Annotated[int, Meta(ge=0, le=2)]


class Prepare(Struct, frozen=True, array_like=True, tag=0):
    ballot: Ballot


class Promise(Struct, frozen=True, array_like=True, tag=1):
    ballot: Ballot
    held: Ballot  # of the lease that the granter knows to run still, 0: none


class Propose(Struct, frozen=True, array_like=True, tag=2):
    ballot: Ballot


class Accept(Struct, frozen=True, array_like=True, tag=3):
    ballot: Ballot


class Refuse(Struct, frozen=True, array_like=True, tag=4):
    ballot: Ballot
    highest: Ballot  # that the granter has promised to heed


class Release(Struct, frozen=True, array_like=True, tag=5):
    ballot: Ballot
    heir: Annotated[int, Meta(ge=-1, le=0xFFFF)] = -1  # the member that shall ask first


Message = Prepare | Promise | Propose | Accept | Refuse | Release


class Leased(Struct, frozen=True, array_like=True, tag=5):
    """A word on the lease of one duty. `term`: ms, as its sender has it."""

    duty: Number
    term: Whole
    message: Message


class Holder(Struct, frozen=True, array_like=True, tag=6):
    """The sender holds that duty for `span` ms from when it said so, at the longest."""

    duty: Number
    token: Ballot
    span: Whole


class Creed(Struct, frozen=True, array_like=True, tag=7):
    """A digest of what all members must have alike before any of them may hold or grant."""

    digest: Whole


MOST_HELD = 6  # duties that an entry names, and things that it lacks


class Entry(Struct, frozen=True, array_like=True, tag=8):
    """A member's word on itself, which all carry. `born`: s of Unix time at the start of its life; `version`
    rises with each change of the rest; `zone`, `holds` and `lacks` are marks of names (`mark`)."""

    number: Number
    born: Whole
    version: Number
    zone: Number
    phase: Annotated[int, Meta(ge=0, le=7)] = 0
    holds: Annotated[tuple[Number, ...], Meta(max_length=MOST_HELD)] = ()
    lacks: Annotated[tuple[Number, ...], Meta(max_length=MOST_HELD)] = ()


class Root(Struct, frozen=True, array_like=True, tag=9):
    """The digest of all that the sender believes, and who is known to have told the same one: a bit for each
    member, the first one lowest; empty where the sender is settled."""

    digest: Annotated[int, Meta(ge=0)]
    agree: Annotated[bytes, Meta(max_length=128)] = b""


class Branch(Struct, frozen=True, array_like=True, tag=10):
    """Digests of equal parts of the members from `low` to before `high`, 8 bytes each."""

    low: Number
    high: Number
    digests: Annotated[bytes, Meta(max_length=128)]


class Want(Struct, frozen=True, array_like=True, tag=11):
    """Asks for the entries of these members."""

    low: Number
    high: Number


Matter = (
    Holdings | Ping | Ack | Ask | News | Leased | Holder | Creed | Entry | Root | Branch | Want |
    LogEnvelope | CommandRequest | CommandReply
)  # fmt: skip


@dataclass(slots=True, frozen=True)
class Frame:
    """`incarnation` tells a sender that has started anew from the one before; `sequence` goes round."""

    sender: int
    incarnation: int
    sequence: int
    matters: list[Matter]


ENCODE = msgspec.msgpack.Encoder().encode
DECODE = msgspec.msgpack.Decoder(list[Matter]).decode
HEADER = 5  # bytes before the matters
TWELVE = 0xFFF  # senders, incarnations and sequences have that many bits
HEAD = HEADER + 3  # bytes, with the count of matters at its largest
PARTS = (ROOM - HEAD - 2) // PART.size  # workers that one frame holds


# ---- frames ----


def frames(sender: int, incarnation: int, sequence: int, matters: Iterable[Matter]) -> list[bytes]:
    """As few as hold them, in order; `sequence` is the first one's. Raises ValueError where one matter alone
    is too large."""
    found: list[bytes] = []
    held: list[msgspec.Raw] = []
    used = HEAD

    def close() -> None:
        at = sequence + len(found) & TWELVE
        head = VERSION << 36 | (sender & TWELVE) << 24 | (incarnation & TWELVE) << 12 | at
        found.append(head.to_bytes(HEADER) + ENCODE(held))
        held.clear()

    for matter in matters:
        data = ENCODE(matter)
        if HEAD + len(data) > ROOM:
            raise ValueError(f"{type(matter).__name__} of {len(data)} bytes")
        if used + len(data) > ROOM:
            close()
            used = HEAD
        held.append(msgspec.Raw(data))
        used += len(data)
    if held:
        close()
    return found


def read(body: bytes) -> Frame:
    """Raises FrameError."""
    if not HEADER < len(body) <= MOST:
        raise FrameError(f"{len(body)} bytes")
    head = int.from_bytes(body[:HEADER])
    if head >> 36 != VERSION:
        raise FrameError(f"version {head >> 36}")
    try:
        matters = DECODE(body[HEADER:])
    except (msgspec.DecodeError, ValueError) as error:  # also text that is no text
        raise FrameError(f"no frame: {error}") from None
    return Frame(head >> 24 & TWELVE, head >> 12 & TWELVE, head & TWELVE, matters)


def as_text(body: bytes) -> str:
    return b85encode(body).decode()


def of_text(text: str) -> bytes:
    """Raises FrameError."""
    try:
        return b85decode(text)
    except ValueError:
        raise FrameError("not base 85") from None


# ---- holdings ----


@dataclass(slots=True, frozen=True)
class Held:
    """At the worker with that mark: slots, and work in us."""

    mark: int
    slots: int
    work: float


def mark(name: str) -> int:
    """16 bits of a name's hash: of a worker, of a duty."""
    return crc32(name.encode()) & 0xFFFF


def holdings(held: Iterable[Held]) -> Iterator[Holdings]:
    """As few matters as hold them."""
    parts = [
        PART.pack(one.mark, min(255, max(0, one.slots)), min(255, max(0, round(one.work / STEP))))
        for one in held
    ]
    for at in range(0, len(parts), PARTS):
        yield b"".join(parts[at : at + PARTS])


def held_in(matter: Holdings) -> list[Held]:
    """Raises FrameError."""
    if len(matter) % PART.size:
        raise FrameError("half a worker")
    return [Held(which, slots, float(work * STEP)) for which, slots, work in PART.iter_unpack(matter)]


def newer(sequence: int, than: int) -> bool:
    """In numbers that go round: at most half of the way ahead."""
    return 0 < (sequence - than) & TWELVE <= TWELVE // 2
