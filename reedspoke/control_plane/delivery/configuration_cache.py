"""The committed configuration for data plane schedulers: whole, or as the difference from what they hold."""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_delta import make_delta
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.messages import NO_VERSION, ConfigurationSnapshot, Version, encode
from reedspoke.control_plane.replication.entry import CommittedConfiguration

MOST_KEPT = 8  # parsed configurations
MOST_KEPT_BYTES = 8 * 1024 * 1024  # of documents; the newest one is kept whatever its size


class Checked(Struct, frozen=True):
    """A document and what it says."""

    document: bytes
    configuration: Configuration


class Kept(Struct, frozen=True):
    """A configuration that data plane schedulers may still hold."""

    version: Version
    configuration: Configuration
    size: int  # of its document


class Prepared(Struct, frozen=True):
    """A committed configuration, parsed, with the encoded difference from the one before."""

    committed: CommittedConfiguration
    configuration: Configuration
    base: Version
    frame: bytes


class ConfigurationCache:
    """The newest committed configuration, and those before it for differences.

    `check` and `prepare` take long for a large document: they run on another thread, one at a time.
    """

    def __init__(self) -> None:
        self._committed: CommittedConfiguration | None = None
        self._kept: OrderedDict[Version, Kept] = OrderedDict()
        self._frames: dict[Version, bytes] = {}
        self._checked: Checked | None = None

    @property
    def version(self) -> Version:
        """Of the newest committed configuration; NO_VERSION before the first."""
        return NO_VERSION if self._committed is None else _version(self._committed)

    @property
    def committed(self) -> CommittedConfiguration | None:
        """The newest committed configuration."""
        return self._committed

    def check(self, document: bytes) -> Configuration:
        """A checked configuration; the last one is remembered, as it is likely to be committed next.

        Raises FleetError as `parse_configuration` does.
        """
        checked = self._checked
        if checked is None or checked.document != document:
            checked = self._checked = Checked(document, parse_configuration(document))
        return checked.configuration

    def prepare(self, committed: CommittedConfiguration) -> Prepared:
        """Parse a committed configuration and encode what is new. Raises FleetError as `check` does."""
        configuration = self.check(committed.document)
        self._checked = None
        before = self._kept.get(self.version)
        if before is None or before.version >= _version(committed):
            return Prepared(committed, configuration, NO_VERSION, _snapshot(committed))
        frame = _difference(before, configuration, committed)
        return Prepared(committed, configuration, before.version, frame)

    def install(self, prepared: Prepared) -> bool:
        """Offer a prepared configuration; False where it is not newer."""
        committed = prepared.committed
        version = _version(committed)
        if version <= self.version:
            return False
        self._kept[version] = Kept(version, prepared.configuration, len(committed.document))
        self._frames = {prepared.base: prepared.frame}
        self._committed = committed
        self._drop_oldest()
        return True

    def frame(self, have: Version) -> bytes | None:
        """The encoded message that brings a holder of `have` up to date; None where nothing is newer."""
        committed = self._committed
        if committed is None or have >= self.version:
            return None
        base = have if have in self._kept else NO_VERSION
        if base not in self._frames:
            self._frames[base] = self._encode(committed, base)
        return self._frames[base]

    def _encode(self, committed: CommittedConfiguration, base: Version) -> bytes:
        if base == NO_VERSION:
            return _snapshot(committed)
        return _difference(self._kept[base], self._kept[self.version].configuration, committed)

    def _drop_oldest(self) -> None:
        size = sum(kept.size for kept in self._kept.values())
        while len(self._kept) > 1 and (len(self._kept) > MOST_KEPT or size > MOST_KEPT_BYTES):
            _, dropped = self._kept.popitem(last=False)
            size -= dropped.size


def _version(committed: CommittedConfiguration) -> Version:
    return (committed.view, committed.sequence)


def _snapshot(committed: CommittedConfiguration) -> bytes:
    return encode(ConfigurationSnapshot(_version(committed), committed.document))


def _difference(old: Kept, configuration: Configuration, committed: CommittedConfiguration) -> bytes:
    """The difference, or the whole document where that is not larger."""
    delta = encode(make_delta(old.configuration, configuration, old.version, _version(committed)))
    return delta if len(delta) < len(committed.document) else _snapshot(committed)
