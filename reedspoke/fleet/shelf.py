"""A record in a folder: what a granter has confirmed outlives its process. Two files for each record:

    NAME.whole   its state as it was once: sealed (kind, form, digest), zstandard
    NAME.log     what has changed since, one item behind another: length, checksum, item; it names the state
    it follows

What has changed is on disk before anything that follows from it leaves (`Keep` carries what may then go). A
log is read up to its first torn item: behind it nothing was confirmed. A file that is torn, foreign or of
another form is told and the granter begins blank, as one that remembers nothing. A failing write or fsync
ends its part in the record: what was not kept must not be confirmed, and a second try could only seem to
succeed.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path
from zlib import crc32

import msgspec
import zstandard

from reedspoke.errors import ReedspokeError
from reedspoke.fleet.record import Change, Kind, Record
from reedspoke.sealed import TornError, seal, unseal

MARK, FORM = b"reedspoke-record", 1
HEAD = 8  # bytes before an item: length and checksum
MOST_ITEM = 4096
MOST_LOG = 1 << 20  # bytes of changes, behind which all is written anew

log = logging.getLogger("reedspoke")


class ShelfError(ReedspokeError):
    """The folder cannot be used as told; the text names it."""

    code = "record-not-kept"
    remedy = (
        "mend the folder (owner, mode 0700, space) and restart: until then this scheduler confirms nothing"
    )


class Whole(msgspec.Struct, array_like=True):
    generation: int
    base: int
    base_token: int
    past: bytes
    promised: int
    entries: list[tuple[int, bytes]]


def item(body: object) -> bytes:
    data = msgspec.msgpack.encode(body)
    return len(data).to_bytes(4) + crc32(data).to_bytes(4) + data


def items(raw: bytes) -> list[bytes]:
    """Up to the first torn one."""
    found, at = [], 0
    while at + HEAD <= len(raw):
        size, check = int.from_bytes(raw[at : at + 4]), int.from_bytes(raw[at + 4 : at + HEAD])
        data = raw[at + HEAD : at + HEAD + size]
        if size > MOST_ITEM or len(data) < size or crc32(data) != check:
            break
        found.append(data)
        at += HEAD + size
    return found


class Shelf:
    """Raises ShelfError where the folder cannot be made, or where others could write it."""

    def __init__(self, folder: str, name: str) -> None:
        self.folder = Path(folder)
        self._whole, self._log = self.folder / f"{name}.whole", self.folder / f"{name}.log"
        self._generation, self._size = 0, 0
        self._file: int = -1
        try:
            self.folder.mkdir(mode=0o700, parents=True, exist_ok=True)
            if self.folder.stat().st_mode & 0o022:
                raise ShelfError(f"{folder}: others may write there")
        except OSError as error:
            raise ShelfError(f"{folder}: {error.strerror}") from None

    def load(self, record: Record) -> str:
        """What became of it, for the log; "" where there was nothing. The record is blank still, or has all
        that it had confirmed."""
        try:
            raw = unseal(MARK, FORM, self._whole.read_bytes())
            told = msgspec.msgpack.decode(zstandard.ZstdDecompressor().decompress(raw), type=Whole)
        except FileNotFoundError:
            return ""
        except OSError as error:
            return f"record: {self._whole.name}: {error.strerror}: it begins as one that remembers nothing"
        except (TornError, msgspec.MsgspecError, zstandard.ZstdError, ValueError) as error:
            return f"record: {self._whole.name}: {error}: it begins as one that remembers nothing"
        promised, entries = told.promised, told.entries
        changes = 0
        try:
            lines = items(self._log.read_bytes())
        except OSError:
            lines = []
        if lines and msgspec.msgpack.decode(lines[0]) == told.generation:
            for line in lines[1:]:
                kind, number, data = msgspec.msgpack.decode(line, type=tuple[str, int, bytes])
                changes += 1
                match Kind(kind):
                    case Kind.PROMISE:
                        promised = max(promised, number)
                    case Kind.APPEND:
                        entries.append((number, data))
                    case Kind.CUT:
                        del entries[number - told.base :]
                    case Kind.WHOLE:
                        pass
        self._generation = told.generation
        record.restore(told.base, told.base_token, told.past, promised, entries)
        return f"record: {len(entries)} entries behind {told.base} from {self._whole.name}, {changes} changes"

    def keep(self, changes: list[Change], record: Record) -> None:
        """Raises ShelfError; then nothing that follows from the changes may be told."""
        try:
            if self._file < 0 or self._size > MOST_LOG or any(one.kind is Kind.WHOLE for one in changes):
                self._write(record)
            else:
                data = b"".join(item((one.kind.value, one.number, one.data)) for one in changes)
                if os.write(self._file, data) != len(data):
                    raise OSError(28, "short write")
                os.fsync(self._file)
                self._size += len(data)
        except OSError as error:
            raise ShelfError(f"{self.folder}: {error.strerror}") from None

    def _write(self, record: Record) -> None:
        """All of it anew, and an empty log that follows it: until the name is there the old ones hold."""
        self._generation += 1
        base, base_token, past, promised, entries = record.whole()
        body = msgspec.msgpack.encode(Whole(self._generation, base, base_token, past, promised, entries))
        fresh = self._whole.with_suffix(".new")
        file = os.open(fresh, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            data = seal(MARK, FORM, zstandard.ZstdCompressor(level=3).compress(body))
            if os.write(file, data) != len(data):
                raise OSError(28, "short write")
            os.fsync(file)
        finally:
            os.close(file)
        self.close()
        os.replace(fresh, self._whole)
        self._file = os.open(self._log, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        head = item(self._generation)
        os.write(self._file, head)
        os.fsync(self._file)
        folder = os.open(self.folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        self._size = len(head)

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
