"""Bounded history of the ids of accepted changes, oldest first, in the packed form used on disk and wire.

Generations rise from change to change, so the packed rows are sorted and can be searched without unpacking.
"""

from __future__ import annotations

import struct
from bisect import bisect_left

from reedspoke.control_plane.replication.entry import ChangeId
from reedspoke.control_plane.replication.settings import MAX_HISTORY_CHANGES

ROW = struct.Struct(">q32s")  # generation, SHA-256 of the document


class ChangeHistory:
    """The newest MAX_HISTORY_CHANGES accepted changes; older ones are evicted."""

    def __init__(self, packed: bytes = b"") -> None:
        """Load packed rows. Raises ValueError if `packed` is not a whole number of rows."""
        check_packed(packed)
        self._rows = bytearray(packed[-MAX_HISTORY_CHANGES * ROW.size :])

    def __len__(self) -> int:
        return len(self._rows) // ROW.size

    def __contains__(self, change: ChangeId) -> bool:
        index = bisect_left(range(len(self)), change.generation, key=self._generation)
        return index < len(self) and self._change(index) == change

    def __eq__(self, other: object) -> bool:
        return isinstance(other, ChangeHistory) and self._rows == other._rows

    __hash__ = None  # type: ignore[assignment]  # mutable

    @property
    def oldest_generation(self) -> int:
        """Generation of the oldest change in the history; 0 if the history is empty."""
        return self._generation(0) if self._rows else 0

    @property
    def newest(self) -> ChangeId | None:
        """The change that was added last; None if the history is empty."""
        return self._change(len(self) - 1) if self._rows else None

    def add(self, change: ChangeId) -> None:
        """Add a change with a generation above all others; a full history evicts the oldest change."""
        self._rows += ROW.pack(change.generation, change.digest)
        if len(self) > MAX_HISTORY_CHANGES:
            del self._rows[: ROW.size]

    def remove_newest(self) -> None:
        """Remove the change that was added last."""
        del self._rows[-ROW.size :]

    def packed(self) -> bytes:
        """All rows in packed form, as the constructor takes them."""
        return bytes(self._rows)

    def _generation(self, index: int) -> int:
        return self._change(index).generation

    def _change(self, index: int) -> ChangeId:
        return ChangeId(*ROW.unpack_from(self._rows, index * ROW.size))


def check_packed(packed: bytes) -> None:
    """Raises ValueError if `packed` is not a whole number of rows."""
    if len(packed) % ROW.size:
        raise ValueError(f"packed history of {len(packed)} bytes is not a multiple of {ROW.size} bytes")
