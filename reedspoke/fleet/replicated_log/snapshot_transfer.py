"""The transfer of snapshots in chunks: the message for one chunk, and the receiver that joins them."""

from __future__ import annotations

from enum import Enum, auto
from zlib import crc32

from reedspoke.fleet.replicated_log.log_state import LogState
from reedspoke.fleet.replicated_log.messages import InstallSnapshot

SNAPSHOT_CHUNK_BYTES = 120


def snapshot_message(state: LogState, term: int, offset: int) -> InstallSnapshot:
    """Return the message with the chunk of the snapshot that starts at that byte."""
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
    """The state of a transfer after a chunk was received."""

    INCOMPLETE = auto()
    INSTALLED = auto()
    CORRUPT = auto()


class SnapshotReceiver:
    """Collects the chunks of one snapshot; a chunk of another one discards the previous chunks."""

    def __init__(self) -> None:
        self._received = bytearray()
        self._transfer = (0, 0, 0)  # term, last included index, checksum

    @property
    def offset(self) -> int:
        """Number of bytes received so far, which is the offset of the next chunk."""
        return len(self._received)

    def receive(self, chunk: InstallSnapshot, state: LogState) -> TransferResult:
        """Add a chunk, and install the snapshot once it is complete and its checksum is correct."""
        transfer = (chunk.term, chunk.last_included_index, chunk.checksum)
        if self._transfer != transfer:
            self._transfer, self._received = transfer, bytearray()
        if chunk.offset == len(self._received):  # otherwise a duplicate, or an earlier chunk was lost
            self._received += chunk.data
        if len(self._received) < chunk.size:
            return TransferResult.INCOMPLETE
        snapshot = bytes(self._received)
        self._received, self._transfer = bytearray(), (0, 0, 0)
        if crc32(snapshot) != chunk.checksum:
            return TransferResult.CORRUPT
        state.install_snapshot(chunk.last_included_index, chunk.last_included_term, snapshot)
        return TransferResult.INSTALLED
