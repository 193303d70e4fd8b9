"""Reloads the settings file when it changes and on SIGHUP."""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

from msgspec import Struct

from reedspoke.common.errors import FleetError
from reedspoke.common.json_log import WARNING, log
from reedspoke.common.node_settings import NodeSettings, load_settings

CHECK_INTERVAL_S = 2.0


class FileStamp(Struct, frozen=True):
    """File metadata whose change indicates that the file has been modified."""

    modified_ns: int
    size: int
    inode: int


class SettingsWatcher:
    """Owns the settings in force. `on_reload` is called with the previous settings and the new ones."""

    def __init__(
        self, path: Path, settings: NodeSettings, on_reload: Callable[[NodeSettings, NodeSettings], None]
    ) -> None:
        self.settings = settings
        self._path = path
        self._on_reload = on_reload
        self._stamp = read_file_stamp(path)
        self._next_check_at = 0.0

    def check(self, now: float) -> None:
        """Reload the file if it has changed since the last check; checks every CHECK_INTERVAL_S."""
        if now < self._next_check_at:
            return
        self._next_check_at = now + CHECK_INTERVAL_S
        if self._stamp != read_file_stamp(self._path):
            self.reload()

    def reload(self) -> None:
        """Reload the file. Invalid settings are logged, and the previous ones stay in force."""
        self._stamp = read_file_stamp(self._path)
        try:
            settings = load_settings(self._path)
        except FleetError as error:
            log(WARNING, "settings rejected", code=int(error.code), message=error.message)
            return
        previous, self.settings = self.settings, settings
        self._on_reload(previous, settings)


def read_file_stamp(path: Path) -> FileStamp | None:
    """Return the metadata of a file, or None if it does not exist."""
    try:
        status = path.stat()
    except OSError:
        return None
    return FileStamp(status.st_mtime_ns, status.st_size, status.st_ino)
