"""Format of the log file: a header, then batches, each stored twice, one copy right after the other.

A copy is a length (4 bytes), a CRC-32 (4 bytes) and a body. The body is a sequence of records, each preceded
by its length. One write holds both copies, and one sync follows it. So a changed byte in a synced batch
leaves one valid copy, and a batch without a valid copy at the end of the file was never synced, unless both
copies were damaged later.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterable

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError

HEADER = b"RSCTLOG2"
SINGLE_COPY_HEADER = b"RSCTLOG1"  # the older format, with one copy of each batch
BATCH_COPIES = 2
MAX_BATCH_BYTES = 64 * 1024 * 1024
_COPY_PREFIX = struct.Struct(">II")
_RECORD_PREFIX = struct.Struct(">I")
# Matches where a copy may begin: the batch length (above 0), the checksum, the length of the first record.
# Both lengths are below MAX_BATCH_BYTES, so their first byte is at most 3.
_COPY_PREFIX_PATTERN = re.compile(rb"(?=(?!\x00{4})[\x00-\x03].{7}[\x00-\x03])", re.DOTALL)


class LogContent(Struct):
    """The content of a log file.

    `good_length` is the length of the readable beginning of the file. `last_batch_start` is the offset of the
    last batch, or 0 if there is only one. `damaged` is set if the header is wrong or a batch lacks one of its
    copies. `single_copies` is set for a file of the older format, which holds one copy of each batch.
    """

    batches: list[list[bytes]]
    good_length: int
    damaged: bool = False
    single_copies: bool = False
    last_batch_start: int = 0


class _Copy(Struct):
    """The position of a valid copy of a batch in a file."""

    start: int
    end: int

    @property
    def size(self) -> int:
        """The number of bytes of the copy."""
        return self.end - self.start


def encode_batch(records: Iterable[bytes]) -> bytes:
    """Encode a batch of records, in two copies."""
    chunks: list[bytes] = []
    checksum = length = 0
    for record in records:
        for chunk in (_RECORD_PREFIX.pack(len(record)), record):
            chunks.append(chunk)
            checksum = zlib.crc32(chunk, checksum)
            length += len(chunk)
    return b"".join(BATCH_COPIES * [_COPY_PREFIX.pack(length, checksum), *chunks])


def encoded_size(records: Iterable[bytes]) -> int:
    """The number of bytes that a batch of these records takes in the file."""
    return BATCH_COPIES * (_COPY_PREFIX.size + sum(_RECORD_PREFIX.size + len(record) for record in records))


def read_content(content: bytes) -> LogContent:
    """Parse the content of a file up to its end or to a batch without a valid copy.

    Raises FleetError STORAGE_CORRUPT if a valid copy follows such a batch: the batch had been synced.
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
        read.last_batch_start = read.good_length if read.batches else 0
        read.batches.append(_records_of(content, found))
        read.damaged |= found is not first or not _is_repeated(content, found)
        end = found.end if first is None else found.end + found.size
        read.good_length = min(end, len(content))
    return read


def _second_copy(content: bytes, start: int) -> _Copy | None:
    """The second copy of the batch at `start`, whose first copy is invalid; None if neither copy is valid.

    Raises FleetError STORAGE_CORRUPT if the next valid copy belongs to a later batch.
    """
    found = _first_copy_after(content, start)
    if found is None:
        return None
    if found.start - start != found.size or _count_equal_copies(content, found) % BATCH_COPIES == 0:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "A corrupt batch is followed by valid ones.")
    return found


def _read_single_copies(content: bytes) -> LogContent:
    read = LogContent([], len(SINGLE_COPY_HEADER), damaged=True, single_copies=True)
    while (copy := _copy_at(content, read.good_length)) is not None:
        read.batches.append(_records_of(content, copy))
        read.good_length = copy.end
    if _first_copy_after(content, read.good_length) is not None:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, "A corrupt batch is followed by valid ones.")
    return read


def _first_copy_after(content: bytes, start: int) -> _Copy | None:
    for match in _COPY_PREFIX_PATTERN.finditer(content, start + 1):
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
    if not _lengths_add_up(content, copy) or zlib.crc32(memoryview(content)[body : copy.end]) != checksum:
        return None
    return copy


def _lengths_add_up(content: bytes, copy: _Copy) -> bool:
    """Whether the record lengths add up to the size of the body; cheaper to check than the checksum."""
    position = copy.start + _COPY_PREFIX.size
    while position <= copy.end - _RECORD_PREFIX.size:
        (length,) = _RECORD_PREFIX.unpack_from(content, position)
        position += _RECORD_PREFIX.size + length
    return position == copy.end


def _is_repeated(content: bytes, copy: _Copy) -> bool:
    view = memoryview(content)
    return view[copy.start : copy.end] == view[copy.end : copy.end + copy.size]


def _count_equal_copies(content: bytes, copy: _Copy) -> int:
    """How many equal copies follow each other here; the same batch may have been appended repeatedly."""
    count = 1
    while _is_repeated(content, copy):
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
