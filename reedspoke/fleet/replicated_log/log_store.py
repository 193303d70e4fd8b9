"""A replicated log on disk: what a replica has acknowledged outlives its process.

Two files for each log, in a directory that `LogStore` owns:

    NAME.whole   the complete state as of some moment: sealed (kind, format number, digest), zstandard
    NAME.log     the changes since: length, checksum and body of each; the first item names the
                 generation of the state that they follow

Changes are on disk before any message that follows from them leaves. The log is read up to its first torn
item: nothing behind it was acknowledged. A state file that is torn, foreign or of another format is
reported, and the replica starts without state, as one that has to recover. A write or fsync that fails
ends the replica's part until a restart: what was not stored must not be acknowledged, and a second fsync
could only seem to succeed.
"""

from __future__ import annotations

import errno
import os
from dataclasses import dataclass
from pathlib import Path
from zlib import crc32

import msgspec
import zstandard

from reedspoke.errors import ReedspokeError
from reedspoke.fleet.replicated_log.log_state import ChangeKind, LogChange, LogEntry, PersistentState
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from reedspoke.sealed import CorruptFileError, seal, unseal

STATE_KIND, STATE_FORMAT = b"reedspoke-record", 1  # in the first line of the state file
ITEM_HEADER_BYTES = 8  # length and checksum
MAX_ITEM_BYTES = 4096
MAX_LOG_BYTES = 1 << 20  # of changes; then the complete state is written anew
ZSTANDARD_LEVEL = 3


class LogStoreError(ReedspokeError):
    """The directory cannot be used as configured; the text names it."""

    code = "record-not-kept"
    remedy = (
        "mend the folder (owner, mode 0700, space) and restart: until then this scheduler confirms nothing"
    )


class StoredState(msgspec.Struct, array_like=True):
    """Body of the state file; the order of the fields is its format."""

    generation: int
    snapshot_index: int
    snapshot_term: int
    snapshot: bytes
    current_term: int
    entries: list[LogEntry]


class StoredChange(msgspec.Struct, frozen=True, array_like=True):
    """An item of the log file; the order of the fields is its format. `kind`: a value of `ChangeKind`."""

    kind: str
    number: int
    data: bytes


@dataclass(slots=True)
class Replay:
    """The state file with the changes of the log file applied."""

    stored: StoredState
    change_count: int = 0

    def apply(self, change: StoredChange) -> None:
        """Repeat what `LogState` did."""
        stored = self.stored
        self.change_count += 1
        match ChangeKind(change.kind):
            case ChangeKind.TERM:
                stored.current_term = max(stored.current_term, change.number)
            case ChangeKind.APPEND:
                stored.entries.append(LogEntry(change.number, change.data))
            case ChangeKind.TRUNCATE:
                del stored.entries[change.number - stored.snapshot_index :]
            case ChangeKind.REWRITE:
                pass  # it was written as the state file

    def state(self) -> PersistentState:
        """Return what the replica is to go on with."""
        stored = self.stored
        return PersistentState(
            stored.snapshot_index,
            stored.snapshot_term,
            stored.snapshot,
            stored.current_term,
            tuple(stored.entries),
        )


def encode_item(body: object) -> bytes:
    """Return an item of the log file."""
    data = msgspec.msgpack.encode(body)
    return len(data).to_bytes(4) + crc32(data).to_bytes(4) + data


def decode_items(raw: bytes) -> list[bytes]:
    """Return the items up to the first one that is torn."""
    bodies: list[bytes] = []
    offset = 0
    while offset + ITEM_HEADER_BYTES <= len(raw):
        body_offset = offset + ITEM_HEADER_BYTES
        size = int.from_bytes(raw[offset : offset + 4])
        checksum = int.from_bytes(raw[offset + 4 : body_offset])
        body = raw[body_offset : body_offset + size]
        if size > MAX_ITEM_BYTES or len(body) < size or crc32(body) != checksum:
            break
        bodies.append(body)
        offset = body_offset + size
    return bodies


class LogStore:
    """Owns the two files of one log, and the open descriptor of the log file.

    Raises LogStoreError where the directory cannot be made, or where others could write to it.
    """

    def __init__(self, directory: str, name: str) -> None:
        self.directory = Path(directory)
        self._state_path = self.directory / f"{name}.whole"
        self._log_path = self.directory / f"{name}.log"
        self._generation = 0
        self._log_bytes = 0
        self._descriptor: int | None = None
        try:
            self.directory.mkdir(mode=0o700, parents=True, exist_ok=True)
            if self.directory.stat().st_mode & 0o022:
                raise LogStoreError(f"{directory}: others may write there")
        except OSError as error:
            raise LogStoreError(f"{directory}: {error.strerror}") from error

    def load(self, replicated_log: ReplicatedLog) -> str:
        """Restore the log where there is a state. Returns a line to log, "" where there is nothing."""
        try:
            raw = unseal(STATE_KIND, STATE_FORMAT, self._state_path.read_bytes())
            body = zstandard.ZstdDecompressor().decompress(raw)
            replay = Replay(msgspec.msgpack.decode(body, type=StoredState))
        except FileNotFoundError:
            return ""
        except OSError as error:
            return self._unreadable(error.strerror)
        except (CorruptFileError, msgspec.MsgspecError, zstandard.ZstdError, ValueError) as error:
            return self._unreadable(error)
        self._generation = replay.stored.generation
        for change in self._read_changes(self._generation):
            replay.apply(change)
        state = replay.state()
        replicated_log.restore(state)
        return (
            f"replicated log: restored {len(state.entries)} entries behind {state.snapshot_index} from "
            f"{self._state_path.name}, {replay.change_count} changes"
        )

    def _unreadable(self, reason: object) -> str:
        return f"replicated log: {self._state_path.name}: {reason}: starting without state"

    def _read_changes(self, generation: int) -> list[StoredChange]:
        """Read the changes to the state of that generation: a crash may leave the log of the one before."""
        try:
            bodies = decode_items(self._log_path.read_bytes())
        except OSError:
            return []
        if not bodies or msgspec.msgpack.decode(bodies[0]) != generation:
            return []
        return [msgspec.msgpack.decode(body, type=StoredChange) for body in bodies[1:]]

    def save(self, changes: list[LogChange], replicated_log: ReplicatedLog) -> None:
        """Bring changes to disk. Raises LogStoreError; then nothing that follows from them may be sent."""
        rewrite = any(change.kind is ChangeKind.REWRITE for change in changes)
        try:
            if self._descriptor is None or self._log_bytes > MAX_LOG_BYTES or rewrite:
                self._rewrite(replicated_log.state.persistent_state())
            else:
                self._append_changes(self._descriptor, changes)
        except OSError as error:
            raise LogStoreError(f"{self.directory}: {error.strerror}") from error

    def _append_changes(self, descriptor: int, changes: list[LogChange]) -> None:
        data = b"".join(
            encode_item(StoredChange(change.kind.value, change.number, change.data)) for change in changes
        )
        _write_all(descriptor, data)
        os.fsync(descriptor)
        self._log_bytes += len(data)

    def _rewrite(self, state: PersistentState) -> None:
        """Write the complete state, and an empty log that follows it.

        Until the rename the old files stay valid.
        """
        self._generation += 1
        temporary = self._write_temporary(state)
        self.close()
        os.replace(temporary, self._state_path)
        self._descriptor = os.open(self._log_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
        header = encode_item(self._generation)
        os.write(self._descriptor, header)
        os.fsync(self._descriptor)
        self._sync_directory()
        self._log_bytes = len(header)

    def _write_temporary(self, state: PersistentState) -> Path:
        stored = StoredState(
            self._generation,
            state.snapshot_index,
            state.snapshot_term,
            state.snapshot,
            state.current_term,
            list(state.entries),
        )
        body = zstandard.ZstdCompressor(level=ZSTANDARD_LEVEL).compress(msgspec.msgpack.encode(stored))
        temporary = self._state_path.with_suffix(".new")
        descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(descriptor, seal(STATE_KIND, STATE_FORMAT, body))
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        return temporary

    def _sync_directory(self) -> None:
        """Sync the directory: a rename is on disk only once its directory is."""
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close the log file; the next `save` writes the complete state anew."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all, or raise OSError: the disk is full."""
    if os.write(descriptor, data) != len(data):
        raise OSError(errno.ENOSPC, "short write")
