"""Appends to the log and rewrites it.

The log stands in one of two files, its slots. The first batch of a slot holds the folder id, the number of
the rewrite, and all records that the log then had. A rewrite writes the other slot, syncs it and its name,
and then removes the slot that was in use; nothing is appended before that removal is synced. So no name ever
changes its content by a rename, and of two slots with a good first batch the one with the higher number holds
all that was synced: a crash between the two steps can't bring the older slot back.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

from reedspoke.control_plane.storage.log_format import encode_batch
from reedspoke.control_plane.storage.log_slots import other_slot, slot_content
from reedspoke.control_plane.storage.synced_files import create_file, remove_file, storage_error, write_at


class LogWriter:
    """Appends and rewrites; each returns only when the bytes are synced. Used by one thread at a time.

    After an error the next call first removes what the failed one left, and fails where it cannot.
    """

    def __init__(self, path: Path, folder_id: str, rewrite_number: int, descriptor: int, length: int) -> None:
        self.folder_id = folder_id
        self._path = path
        self._rewrite_number = rewrite_number
        self._descriptor = descriptor
        self._length = length
        self._end_is_dirty = False
        self._stale_slot: Path | None = None

    @property
    def path(self) -> Path:
        """The slot in use."""
        return self._path

    @property
    def length(self) -> int:
        """Bytes of the file that are known to be good."""
        return self._length

    def append(self, records: Iterable[bytes]) -> None:
        """Append and sync. Raises FleetError STORAGE_FULL or STORAGE_FAILED; the file then ends as before."""
        data = encode_batch(records)
        try:
            self._clean_up()
            self._end_is_dirty = True
            write_at(self._descriptor, data, self._length)
            os.fsync(self._descriptor)
        except OSError as error:
            self._try_to_clean_up()
            raise storage_error(error) from error
        self._end_is_dirty = False
        self._length += len(data)

    def rewrite(self, records: Iterable[bytes]) -> None:
        """Replace the log by one that holds these records alone. Raises as `append`; it then is as before."""
        data = slot_content(self.folder_id, self._rewrite_number + 1, records)
        target = other_slot(self._path)
        try:
            self._remove_stale_slot()
            self._stale_slot = target
            descriptor = create_file(target, data)
        except OSError as error:
            self._try_to_clean_up()
            raise storage_error(error) from error
        self._switch(target, descriptor, len(data))
        self._try_to_clean_up()

    def close(self) -> None:
        """Close the file."""
        os.close(self._descriptor)

    def _switch(self, target: Path, descriptor: int, length: int) -> None:
        os.close(self._descriptor)
        self._stale_slot = self._path
        self._path = target
        self._rewrite_number += 1
        self._descriptor = descriptor
        self._length = length
        self._end_is_dirty = False

    def _clean_up(self) -> None:
        self._remove_stale_slot()
        if self._end_is_dirty:
            os.ftruncate(self._descriptor, self._length)
            os.fsync(self._descriptor)
            self._end_is_dirty = False

    def _remove_stale_slot(self) -> None:
        if self._stale_slot is not None:
            remove_file(self._stale_slot)
            self._stale_slot = None

    def _try_to_clean_up(self) -> None:
        try:
            self._clean_up()
        except OSError:
            return  # the next call tries this first, and fails with it
