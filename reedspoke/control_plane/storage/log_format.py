"""Format of the log file: a header, then batches, each of which stands twice, one copy right after the other.

A copy is length (4 bytes), CRC-32 (4 bytes) and body; a body is records, each after its length. Both copies
are written by one write before one sync. So a changed byte in a synced batch leaves a good copy, and a batch
without any good copy at the end of the file was never synced, unless both copies were changed.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError

HEADER = b"RSCTLOG2"
SINGLE_COPY_HEADER = b"RSCTLOG1"  # of files made before batches were doubled
BATCH_COPIES = 2
MAX_BATCH_BYTES = 64 * 1024 * 1024
_COPY_PREFIX = struct.Struct(">II")
_RECORD_PREFIX = struct.Struct(">I")
# Where a copy may begin: a length above 0 and another, both below MAX_BATCH_BYTES, with a checksum between.
_LIKELY_COPY = re.compile(rb"(?=(?!\x00{4})[\x00-\x03].{7}[\x00-\x03])", re.DOTALL)


class LogContent(Struct):
    """What a file holds.

    `good_length` is where its good part ends, `last_start` where its last batch begins, 0 where there is no
    other one. `damaged` tells that the header is bad, or that a batch does not stand twice; with
    `single_copies` none does.
    """

    batches: list[list[bytes]]
    good_length: int
    damaged: bool = False
    single_copies: bool = False
    last_start: int = 0


class _Copy(Struct):
    """A good copy of a batch in a file."""

    start: int
    end: int

    @property
    def size(self) -> int:
        return self.end - self.start


def encode_batch(records: Iterable[bytes]) -> bytes:
    """Both copies of a batch."""
    chunks: list[bytes] = []
    checksum = length = 0
    for record in records:
        for chunk in (_RECORD_PREFIX.pack(len(record)), record):
            chunks.append(chunk)
            checksum = zlib.crc32(chunk, checksum)
            length += len(chunk)
    return b"".join(BATCH_COPIES * [_COPY_PREFIX.pack(length, checksum), *chunks])


def encoded_size(records: Iterable[bytes]) -> int:
    """Bytes that a batch of these records takes in the file."""
    return BATCH_COPIES * (_COPY_PREFIX.size + sum(_RECORD_PREFIX.size + len(record) for record in records))


def read_content(content: bytes) -> LogContent:
    """Read a file's content; a batch without any good copy ends it.

    Raises FleetError STORAGE_CORRUPT where something good follows such a batch: that one had been synced.
    """
    if content.startswith(SINGLE_COPY_HEADER):
        return _read_single_copies(content)
    return _read_doubled(content)


def _read_doubled(content: bytes) -> LogContent:
    read = LogContent([], len(HEADER), damaged=not content.startswith(HEADER))
    while read.good_length < len(content):
        first = _copy_at(content, read.good_length)
        found = first or _second_copy(content, read.good_length)
        if found is None:
            return read
        read.last_start = read.good_length if read.batches else 0
        read.batches.append(_records_of(content, found))
        read.damaged |= found is not first or not _followed_by_equal(content, found)
        end = found.end if first is None else found.end + found.size
        read.good_length = min(end, len(content))
    return read


def _second_copy(content: bytes, start: int) -> _Copy | None:
    """The second copy of the batch at `start`, whose first one is bad; None where neither is good.

    Raises FleetError STORAGE_CORRUPT where the next good copy belongs to a later batch.
    """
    found = _first_copy_after(content, start)
    if found is None:
        return None
    if found.start - start != found.size or _equal_copies(content, found) % BATCH_COPIES == 0:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "A bad batch is followed by good ones.")
    return found


def _read_single_copies(content: bytes) -> LogContent:
    read = LogContent([], len(SINGLE_COPY_HEADER), damaged=True, single_copies=True)
    while (copy := _copy_at(content, read.good_length)) is not None:
        read.batches.append(_records_of(content, copy))
        read.good_length = copy.end
    if _first_copy_after(content, read.good_length) is not None:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "A bad batch is followed by good ones.")
    return read


def _first_copy_after(content: bytes, start: int) -> _Copy | None:
    for match in _LIKELY_COPY.finditer(content, start + 1):
        copy = _copy_at(content, match.start())
        if copy is not None:
            return copy
    return None


def _copy_at(content: bytes, start: int) -> _Copy | None:
    body = start + _COPY_PREFIX.size
    if body > len(content):
        return None
    length, checksum = _COPY_PREFIX.unpack_from(content, start)
    copy = _Copy(start, body + length)
    if length == 0 or length > MAX_BATCH_BYTES or copy.end > len(content):
        return None
    if not _holds_records(content, copy) or zlib.crc32(memoryview(content)[body : copy.end]) != checksum:
        return None
    return copy


def _holds_records(content: bytes, copy: _Copy) -> bool:
    """Whether the lengths of the records add up; this is cheaper than the checksum."""
    position = copy.start + _COPY_PREFIX.size
    while position <= copy.end - _RECORD_PREFIX.size:
        (length,) = _RECORD_PREFIX.unpack_from(content, position)
        position += _RECORD_PREFIX.size + length
    return position == copy.end


def _followed_by_equal(content: bytes, copy: _Copy) -> bool:
    view = memoryview(content)
    return view[copy.start : copy.end] == view[copy.end : copy.end + copy.size]


def _equal_copies(content: bytes, copy: _Copy) -> int:
    """How many copies of this batch stand here in a row; the same batch may have been appended again."""
    count = 1
    while _followed_by_equal(content, copy):
        count += 1
        copy = _Copy(copy.end, copy.end + copy.size)
    return count


def _records_of(content: bytes, copy: _Copy) -> list[bytes]:
    records = []
    position = copy.start + _COPY_PREFIX.size
    while position < copy.end:
        (length,) = _RECORD_PREFIX.unpack_from(content, position)
        position += _RECORD_PREFIX.size
        records.append(content[position : position + length])
        position += length
    return records
