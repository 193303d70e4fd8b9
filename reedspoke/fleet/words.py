"""One message between schedulers: which slots and how much work its sender holds at some workers.

    version  sender  incarnation  sequence  (worker  slots  work)*
    1        2       2            2          2       1      1        bytes, big-endian

A worker stands by 16 bits of its id's hash, work in steps of STEP us. All of it travels as base 85 text, as
the simulator's wire carries text: `MOST` bytes hold 49 workers. No I/O.
"""

from __future__ import annotations

import struct
from base64 import b85decode, b85encode
from dataclasses import dataclass
from zlib import crc32

MOST = 256  # bytes of a datagram; a longer one is the platform's fault line
VERSION = 1
STEP = 20_000  # us of work in one unit
HEAD, PART = struct.Struct("!BHHH"), struct.Struct("!HBB")
PARTS = (MOST * 4 // 5 - HEAD.size) // PART.size  # that a message holds


class WordsError(ValueError):
    """What came is no message of ours; the text says why."""


@dataclass(slots=True, frozen=True)
class Held:
    """At the worker with that mark: slots, and work in us."""

    mark: int
    slots: int
    work: float


@dataclass(slots=True, frozen=True)
class Word:
    """`incarnation` tells a sender that has started anew from the one before; `sequence` goes round."""

    sender: int
    incarnation: int
    sequence: int
    held: tuple[Held, ...]


def mark(worker: str) -> int:
    return crc32(worker.encode()) & 0xFFFF


def encode(word: Word) -> str:
    """At most PARTS entries. Raises ValueError for more."""
    if len(word.held) > PARTS:
        raise ValueError(f"{len(word.held)} workers in one message")
    data = HEAD.pack(VERSION, word.sender & 0xFFFF, word.incarnation & 0xFFFF, word.sequence & 0xFFFF)
    for one in word.held:
        steps = min(255, max(0, round(one.work / STEP)))
        data += PART.pack(one.mark, min(255, max(0, one.slots)), steps)
    return b85encode(data).decode()


def decode(text: bytes | str) -> Word:
    """Raises WordsError."""
    if len(text) > MOST:
        raise WordsError("too long")
    try:
        data = b85decode(text)
    except ValueError:
        raise WordsError("not base 85") from None
    if len(data) < HEAD.size or (len(data) - HEAD.size) % PART.size:
        raise WordsError("half a message")
    version, sender, incarnation, sequence = HEAD.unpack_from(data)
    if version != VERSION:
        raise WordsError(f"version {version}")
    parts = PART.iter_unpack(data[HEAD.size :])
    held = tuple(Held(which, slots, float(work * STEP)) for which, slots, work in parts)
    return Word(sender, incarnation, sequence, held)


def newer(sequence: int, than: int) -> bool:
    """In numbers that go round: at most half of the way ahead."""
    return 0 < (sequence - than) & 0xFFFF < 0x8000
