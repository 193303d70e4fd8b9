"""What sessions with the control plane bring: a source's state is taken only where it is newer.

So what is in force never goes back, whichever control scheduler tells it.
"""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_delta import apply_delta
from reedspoke.common.configuration_parsing import parse_validated
from reedspoke.common.messages import (
    CONFIGURATION,
    NO_VERSION,
    WORKERS,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlMessage,
    MemberList,
    Version,
    WatchResponse,
    WorkerList,
)
from reedspoke.data_plane.confirmation import Confirmation

FETCH_S = 0.5  # a fetch that has not been answered for so long is begun anew, by whichever session
UNCONFIRMED_AFTER_S = 4.0  # without any confirmed source for so long, one that is not will do to begin with


class FleetState(Struct):
    """The newest state of each source that any session has brought."""

    versions: dict[str, Version] = field(default_factory=dict)
    configuration: Configuration | None = None
    workers: WorkerList | None = None
    members: MemberList | None = None


class PendingFetch(Struct, frozen=True):
    """A fetch that some session has begun."""

    version: Version
    since: float


class StateListener(Struct):
    """Who is told when a source has newer state."""

    on_configuration: Callable[[Configuration, Version], None]
    on_workers: Callable[[WorkerList], None]
    on_members: Callable[[MemberList], None]
    on_running: Callable[[dict[str, tuple[int, int]]], None]
    on_suspects: Callable[[dict[str, int]], None]


class Subscription:
    """Takes what sessions bring; only newer state replaces older."""

    def __init__(self, listener: StateListener, confirmation: Confirmation) -> None:
        self.state = FleetState()
        self.confirmation = confirmation
        self._listener = listener
        self._pending: dict[str, PendingFetch] = {}

    def version(self, source: str) -> Version:
        return self.state.versions.get(source, NO_VERSION)

    def expected_version(self, source: str, now: float) -> Version:
        """The version that is held, or that some session has lately asked for."""
        pending = self._pending.get(source)
        held = self.version(source)
        if pending is None or now - pending.since > FETCH_S:
            return held
        return max(held, pending.version)

    def lacks(self, versions: dict[str, Version], now: float) -> list[str]:
        """The sources of which the other side has newer state that nobody has asked for yet."""
        return [
            source
            for source in (CONFIGURATION, WORKERS)
            if versions.get(source, NO_VERSION) > self.expected_version(source, now)
        ]

    def may_take_unconfirmed(self, source: str, now: float) -> bool:
        """Whether this source may be fetched where no majority stands behind the control scheduler.

        Only to begin with: when no confirmed one has been found for a while, and what is held of the source
        is nothing, or has never been confirmed either.
        """
        if now - self.confirmation.last_report_at() <= UNCONFIRMED_AFTER_S:
            return False
        return self.version(source) == NO_VERSION or self.confirmation.as_of() is None

    def begin_fetch(self, source: str, version: Version, now: float) -> None:
        """Some session asks for this version."""
        self._pending[source] = PendingFetch(version, now)

    def end_fetch(self, source: str, version: Version) -> None:
        """The session that asked for this version will not bring it: another one may."""
        pending = self._pending.get(source)
        if pending is not None and pending.version == version:
            del self._pending[source]

    def apply(self, message: ControlMessage) -> bool:
        """Take a source's state; False where it was of no use (older, or its base is another one)."""
        match message:
            case ConfigurationSnapshot():
                return self._take_snapshot(message)
            case ConfigurationDelta():
                return self._take_delta(message)
            case WorkerList():
                return self._take_workers(message)
            case MemberList():
                self.state.members = message
                self._listener.on_members(message)
            case WatchResponse():
                self._listener.on_running(message.running)
                self._listener.on_suspects(message.suspects)
        return True

    def _take_snapshot(self, message: ConfigurationSnapshot) -> bool:
        if message.version <= self.version(CONFIGURATION):
            return False
        self._set_configuration(parse_validated(message.document), message.version)
        return True

    def _take_delta(self, message: ConfigurationDelta) -> bool:
        held = self.state.configuration
        version = self.version(CONFIGURATION)
        if held is None or message.base != version or message.version <= version:
            return False
        self._set_configuration(apply_delta(held, message), message.version)
        return True

    def _set_configuration(self, configuration: Configuration, version: Version) -> None:
        self.state.configuration = configuration
        self.state.versions[CONFIGURATION] = version
        self.confirmation.set_in_force(version)
        self._listener.on_configuration(configuration, version)

    def _take_workers(self, message: WorkerList) -> bool:
        if message.version <= self.version(WORKERS):
            return False
        self.state.workers = message
        self.state.versions[WORKERS] = message.version
        self._listener.on_workers(message)
        return True
