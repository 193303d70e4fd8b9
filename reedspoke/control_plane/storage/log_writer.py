"""Appends to the log and rewrites it.

The log is in one of two files, its slots. The first batch of a slot holds the folder id, the number of the
rewrite, and all records that the log had at that time. A rewrite writes the other slot, syncs its content and
its name, and then removes the slot that was in use. Nothing is appended before that removal is synced. So no
file is ever replaced by a rename, and of two slots with a valid first batch the one with the higher number
holds everything that was synced: after a crash between the two steps, the older slot is not used.
"""

from __future__ import annotations

import os
from collections.abc import Iterable
from pathlib import Path

from reedspoke.control_plane.storage.log_format import encode_batch
from reedspoke.control_plane.storage.log_slots import other_slot, slot_content
from reedspoke.control_plane.storage.synced_files import create_file, remove_file, storage_error, write_at


class LogWriter:
    """Appends and rewrites; both return only after the data is synced. Used by one thread at a time.

    After an error, the next call first removes what the failed call left, and fails if it cannot.
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
        """The path of the slot in use."""
        return self._path

    @property
    def length(self) -> int:
        """The number of bytes of the file that are known to be valid."""
        return self._length

    def append(self, records: Iterable[bytes]) -> None:
        """Append a batch and sync it.

        Raises FleetError STORAGE_FULL or STORAGE_FAILED; the log then holds the same records as before.
        """
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
        """Replace the log by one that holds only these records. Raises the same errors as `append`."""
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
            return  # the next call retries the clean-up first and fails if it fails again
