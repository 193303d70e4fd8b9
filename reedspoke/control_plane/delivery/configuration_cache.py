"""Encodes the committed configuration for data plane nodes, complete or as a delta."""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_delta import make_delta
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.messages import NO_VERSION, ConfigurationSnapshot, Version, encode
from reedspoke.control_plane.replication.entry import CommittedConfiguration

MAX_CACHED_CONFIGURATIONS = 8
MAX_CACHED_BYTES = 8 * 1024 * 1024  # sum of document sizes; the newest document is always cached


class ParsedDocument(Struct, frozen=True):
    """A document and the configuration parsed from it."""

    document: bytes
    configuration: Configuration


class CachedConfiguration(Struct, frozen=True):
    """A configuration that data plane nodes may still have. `size` is the size of its document in bytes."""

    version: Version
    configuration: Configuration
    size: int


class PreparedConfiguration(Struct, frozen=True):
    """A committed and parsed configuration, with the encoded message for nodes that have `base`."""

    committed: CommittedConfiguration
    configuration: Configuration
    base: Version
    payload: bytes


class ConfigurationCache:
    """Owns the newest committed configuration, and earlier ones as bases of deltas.

    `parse` and `prepare` take long for a large document, so they run on another thread, one call at a time.
    All other methods are called on the event loop.
    """

    def __init__(self) -> None:
        self._committed: CommittedConfiguration | None = None
        self._cached: OrderedDict[Version, CachedConfiguration] = OrderedDict()
        self._payloads: dict[Version, bytes] = {}  # updates to the newest version, by base version
        self._parsed: ParsedDocument | None = None

    @property
    def version(self) -> Version:
        """The version of the newest committed configuration, or NO_VERSION before the first."""
        return NO_VERSION if self._committed is None else _version(self._committed)

    @property
    def committed(self) -> CommittedConfiguration | None:
        """The newest committed configuration, or None before the first."""
        return self._committed

    def parse(self, document: bytes) -> Configuration:
        """Parse and validate a document.

        The last result is cached, because that document is likely to be committed next. Raises FleetError in
        the same cases as `parse_configuration`.
        """
        parsed = self._parsed
        if parsed is None or parsed.document != document:
            parsed = self._parsed = ParsedDocument(document, parse_configuration(document))
        return parsed.configuration

    def prepare(self, committed: CommittedConfiguration) -> PreparedConfiguration:
        """Parse a committed configuration and encode its delta. Raises FleetError if it is invalid."""
        configuration = self.parse(committed.document)
        self._parsed = None
        newest = self._cached.get(self.version)
        if newest is None or newest.version >= _version(committed):
            return PreparedConfiguration(committed, configuration, NO_VERSION, _encode_snapshot(committed))
        payload = _encode_delta(newest, configuration, committed)
        return PreparedConfiguration(committed, configuration, newest.version, payload)

    def install(self, prepared: PreparedConfiguration) -> bool:
        """Make a prepared configuration the newest. Returns False if it is not newer than the current one."""
        committed = prepared.committed
        version = _version(committed)
        if version <= self.version:
            return False
        self._cached[version] = CachedConfiguration(version, prepared.configuration, len(committed.document))
        self._payloads = {prepared.base: prepared.payload}
        self._committed = committed
        self._evict_oldest()
        return True

    def encoded_update(self, known_version: Version) -> bytes | None:
        """Return the message that updates a node from `known_version`, or None if nothing is newer."""
        committed = self._committed
        if committed is None or known_version >= self.version:
            return None
        base = known_version if known_version in self._cached else NO_VERSION
        if base not in self._payloads:
            self._payloads[base] = self._encode(committed, base)
        return self._payloads[base]

    def _encode(self, committed: CommittedConfiguration, base: Version) -> bytes:
        if base == NO_VERSION:
            return _encode_snapshot(committed)
        return _encode_delta(self._cached[base], self._cached[self.version].configuration, committed)

    def _evict_oldest(self) -> None:
        size = sum(cached.size for cached in self._cached.values())
        while len(self._cached) > 1 and (
            len(self._cached) > MAX_CACHED_CONFIGURATIONS or size > MAX_CACHED_BYTES
        ):
            _, evicted = self._cached.popitem(last=False)
            size -= evicted.size


def _version(committed: CommittedConfiguration) -> Version:
    return (committed.view, committed.sequence)


def _encode_snapshot(committed: CommittedConfiguration) -> bytes:
    return encode(ConfigurationSnapshot(_version(committed), committed.document))


def _encode_delta(
    old: CachedConfiguration, configuration: Configuration, committed: CommittedConfiguration
) -> bytes:
    """Return the encoded delta, or the complete document if that is not larger."""
    delta = encode(make_delta(old.configuration, configuration, old.version, _version(committed)))
    return delta if len(delta) < len(committed.document) else _encode_snapshot(committed)
