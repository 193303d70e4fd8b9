"""Snapshots in chunks: the sender's message for one chunk, and the receiver that puts them together."""

from __future__ import annotations

from enum import Enum, auto
from zlib import crc32

from reedspoke.fleet.replicated_log.log_state import LogState
from reedspoke.fleet.replicated_log.messages import InstallSnapshot

SNAPSHOT_CHUNK_BYTES = 120


def snapshot_message(state: LogState, term: int, offset: int) -> InstallSnapshot:
    """Return the chunk of our snapshot that begins at that byte."""
    snapshot = state.snapshot
    return InstallSnapshot(
        term,
        state.snapshot_index,
        state.snapshot_term,
        offset,
        len(snapshot),
        crc32(snapshot),
        snapshot[offset : offset + SNAPSHOT_CHUNK_BYTES],
    )


class TransferResult(Enum):
    """What a chunk has led to."""

    INCOMPLETE = auto()
    INSTALLED = auto()
    CORRUPT = auto()


class SnapshotReceiver:
    """Owns the chunks of one snapshot at a time; the first chunk of another one discards them."""

    def __init__(self) -> None:
        self._received = bytearray()
        self._transfer = (0, 0, 0)  # term, last included index, checksum

    @property
    def offset(self) -> int:
        """Bytes received so far: where the next chunk has to begin."""
        return len(self._received)

    def receive(self, chunk: InstallSnapshot, state: LogState) -> TransferResult:
        """Add a chunk, and install the snapshot once it is complete and its checksum is right."""
        transfer = (chunk.term, chunk.last_included_index, chunk.checksum)
        if self._transfer != transfer:
            self._transfer, self._received = transfer, bytearray()
        if chunk.offset == len(self._received):  # else a duplicate, or one before it was lost
            self._received += chunk.data
        if len(self._received) < chunk.size:
            return TransferResult.INCOMPLETE
        snapshot = bytes(self._received)
        self._received, self._transfer = bytearray(), (0, 0, 0)
        if crc32(snapshot) != chunk.checksum:
            return TransferResult.CORRUPT
        state.install_snapshot(chunk.last_included_index, chunk.last_included_term, snapshot)
        return TransferResult.INSTALLED
