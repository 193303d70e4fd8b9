"""The storage of a replicated log on disk, so that acknowledged entries survive a restart.

Two files for each log, in a directory that `LogStore` owns:

    NAME.whole   the complete state at one time: header (kind, format number, digest), compressed body
    NAME.log     the changes since then: length, checksum and body of each; the first item is the
                 generation of the state file that they follow

Changes are on disk before any message that depends on them is sent. The log is read up to its first
incomplete item, because nothing after it was acknowledged. A state file that is incomplete, of another kind
or of another format is reported, and the replica starts without state and has to recover. After a failed
write or fsync the replica does not take part until a restart: changes that were not stored must not be
acknowledged, and a second fsync could report success although the data is lost.
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
MAX_LOG_BYTES = 1 << 20  # size of the changes after which the complete state is written again
ZSTANDARD_LEVEL = 3


class LogStoreError(ReedspokeError):
    """The directory of the log cannot be used; the text names it and the reason."""

    code = "record-not-kept"
    remedy = (
        "correct the directory's owner, mode (0700) or free space and restart: until then this scheduler "
        "acknowledges no entries"
    )


class StoredState(msgspec.Struct, array_like=True):
    """The body of the state file; the order of the fields defines the format."""

    generation: int
    snapshot_index: int
    snapshot_term: int
    snapshot: bytes
    current_term: int
    entries: list[LogEntry]


class StoredChange(msgspec.Struct, frozen=True, array_like=True):
    """An item of the log file; the order of the fields defines the format. `kind` is a `ChangeKind` value."""

    kind: str
    number: int
    data: bytes


@dataclass(slots=True)
class Replay:
    """The state file with the changes of the log file applied."""

    stored: StoredState
    change_count: int = 0

    def apply(self, change: StoredChange) -> None:
        """Apply a stored change in the same way as `LogState` did."""
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
                pass  # the state file already includes it

    def state(self) -> PersistentState:
        """Return the state with all changes applied."""
        stored = self.stored
        return PersistentState(
            stored.snapshot_index,
            stored.snapshot_term,
            stored.snapshot,
            stored.current_term,
            tuple(stored.entries),
        )


def encode_item(body: object) -> bytes:
    """Encode an item of the log file."""
    data = msgspec.msgpack.encode(body)
    return len(data).to_bytes(4) + crc32(data).to_bytes(4) + data


def decode_items(raw: bytes) -> list[bytes]:
    """Decode the items up to the first one that is incomplete or corrupt."""
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
    """The two files of one log, and the open descriptor of the log file.

    Raises LogStoreError if the directory cannot be created or other users can write to it.
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
                raise LogStoreError(f"{directory}: other users can write to the directory")
        except OSError as error:
            raise LogStoreError(f"{directory}: {error.strerror}") from error

    def load(self, replicated_log: ReplicatedLog) -> str:
        """Restore the stored state, if there is one. Returns a line to log, or "" without stored state."""
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
        return f"replicated log: {self._state_path.name} cannot be read: {reason}; starting without state"

    def _read_changes(self, generation: int) -> list[StoredChange]:
        """Read the changes that follow that generation; after a crash the log may follow an earlier one."""
        try:
            bodies = decode_items(self._log_path.read_bytes())
        except OSError:
            return []
        if not bodies or msgspec.msgpack.decode(bodies[0]) != generation:
            return []
        return [msgspec.msgpack.decode(body, type=StoredChange) for body in bodies[1:]]

    def save(self, changes: list[LogChange], replicated_log: ReplicatedLog) -> None:
        """Write changes to disk. After a LogStoreError no message that depends on them may be sent."""
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
        """Write the complete state and an empty log that follows it.

        The old files are valid until the rename.
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
        """Sync the directory, because a rename is durable only after that."""
        descriptor = os.open(self.directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close the log file; the next `save` writes the complete state again."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


def _write_all(descriptor: int, data: bytes) -> None:
    """Write all data, or raise OSError: a short write means that the disk is full."""
    if os.write(descriptor, data) != len(data):
        raise OSError(errno.ENOSPC, "short write")
