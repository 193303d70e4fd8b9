"""The committed configuration for data plane schedulers: whole, or as the difference from what they hold."""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

from reedspoke.cluster.configuration import Configuration, difference, parse_configuration
from reedspoke.cluster.messages import NO_VERSION, ConfigurationSnapshot, Version, encode
from reedspoke.control_plane.events import Committed

MOST_KEPT = 8  # parsed configurations
MOST_KEPT_BYTES = 8 * 1024 * 1024  # of documents; the newest one is kept whatever its size


class Kept(Struct, frozen=True):
    """A configuration that data plane schedulers may still hold."""

    configuration: Configuration
    size: int


class ConfigurationCache:
    """The newest committed configuration, and those before it for differences."""

    def __init__(self) -> None:
        self._committed: Committed | None = None
        self._kept: OrderedDict[Version, Kept] = OrderedDict()
        self._frames: dict[Version, bytes] = {}
        self._checked_document = b""
        self._checked: Configuration | None = None

    @property
    def version(self) -> Version:
        """Of the newest committed configuration; NO_VERSION before the first."""
        return NO_VERSION if self._committed is None else (self._committed.sequence, 0)

    @property
    def committed(self) -> Committed | None:
        """The newest committed configuration."""
        return self._committed

    def parse(self, document: bytes) -> Configuration:
        """A checked configuration; the last one is remembered, as it is likely to be committed next.

        Raises FleetError as `parse_configuration` does.
        """
        if self._checked is None or self._checked_document != document:
            self._checked = parse_configuration(document)
            self._checked_document = document
        return self._checked

    def committed_is(self, committed: Committed) -> bool:
        """A newer committed configuration; False where it is not newer."""
        if (committed.sequence, 0) <= self.version:
            return False
        configuration = self.parse(committed.document)
        self._checked, self._checked_document = None, b""
        self._committed = committed
        self._kept[self.version] = Kept(configuration, len(committed.document))
        self._frames.clear()
        self._drop_oldest()
        return True

    def frame(self, have: Version) -> bytes | None:
        """The encoded message that brings a holder of `have` up to date; None where nothing is newer."""
        if self._committed is None or have >= self.version:
            return None
        base = have if have in self._kept else NO_VERSION
        if base not in self._frames:
            self._frames[base] = self._encode(self._committed, base)
        return self._frames[base]

    def _encode(self, committed: Committed, base: Version) -> bytes:
        if base != NO_VERSION:
            old = self._kept[base].configuration
            delta = encode(difference(old, self._kept[self.version].configuration, base, self.version))
            if len(delta) < len(committed.document):
                return delta
        return encode(ConfigurationSnapshot(self.version, committed.document))

    def _drop_oldest(self) -> None:
        size = sum(kept.size for kept in self._kept.values())
        while len(self._kept) > 1 and (len(self._kept) > MOST_KEPT or size > MOST_KEPT_BYTES):
            _, dropped = self._kept.popitem(last=False)
            size -= dropped.size
