"""The state received over all sessions with the control plane: only newer versions replace older ones.

So the state in force never goes back to an older version, whichever control plane node sent it.
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
    EvacuationOrders,
    MemberList,
    Version,
    WatchResponse,
    WorkerList,
)
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.evacuations import Evacuations

FETCH_TIMEOUT_S = 0.5  # after this time without a response, any session may fetch again
UNCONFIRMED_FALLBACK_S = 4.0  # after this time without a confirmed report, unconfirmed state is accepted


class FleetState(Struct):
    """The newest state of each source, received over any session; `workers` as received."""

    versions: dict[str, Version] = field(default_factory=dict)
    configuration: Configuration | None = None
    workers: WorkerList | None = None
    members: MemberList | None = None


class PendingFetch(Struct, frozen=True):
    """A fetch in flight on some session."""

    version: Version
    started_at: float


class StateListener(Struct):
    """Callbacks for newer state; load and suspects are those of the other data plane nodes.

    Lists of workers are marked by the newest orders on zones; `on_evacuations` gets the list in force again,
    with its warm-up times as received, after these orders have changed.
    """

    on_configuration: Callable[[Configuration, Version], None]
    on_workers: Callable[[WorkerList], None]
    on_members: Callable[[MemberList], None]
    on_peer_load: Callable[[dict[str, tuple[int, int]]], None]
    on_peer_suspects: Callable[[dict[str, int]], None]
    on_evacuations: Callable[[WorkerList], None]


class Subscription:
    """Applies the messages of all sessions; only newer state replaces older."""

    def __init__(self, listener: StateListener, confirmation: Confirmation) -> None:
        self.state = FleetState()
        self.confirmation = confirmation
        self._evacuations = Evacuations()
        self._listener = listener
        self._pending: dict[str, PendingFetch] = {}

    def version(self, source: str) -> Version:
        """The version of the source that is in force."""
        return self.state.versions.get(source, NO_VERSION)

    def expected_version(self, source: str, now: float) -> Version:
        """The version in force, or a newer one that some session is fetching."""
        pending = self._pending.get(source)
        current = self.version(source)
        if pending is None or now - pending.started_at > FETCH_TIMEOUT_S:
            return current
        return max(current, pending.version)

    def sources_to_fetch(self, versions: dict[str, Version], now: float) -> list[str]:
        """The sources that have a newer version in `versions` than in force or being fetched."""
        return [
            source
            for source in (CONFIGURATION, WORKERS)
            if versions.get(source, NO_VERSION) > self.expected_version(source, now)
        ]

    def may_fetch_unconfirmed(self, source: str, now: float) -> bool:
        """Whether this source may be fetched from a control plane node without a majority.

        This is a fallback after the start: no confirmed report has arrived for a while, and there is no state
        of the source yet, or the configuration in force has never been confirmed either.
        """
        if now - self.confirmation.last_report_at() <= UNCONFIRMED_FALLBACK_S:
            return False
        return self.version(source) == NO_VERSION or self.confirmation.as_of() is None

    def begin_fetch(self, source: str, version: Version, now: float) -> None:
        """Some session has sent a fetch for this version."""
        self._pending[source] = PendingFetch(version, now)

    def end_fetch(self, source: str, version: Version) -> None:
        """The fetch of this version gets no response any more; another session may fetch it."""
        pending = self._pending.get(source)
        if pending is not None and pending.version == version:
            del self._pending[source]

    def apply(self, message: ControlMessage) -> bool:
        """Apply a message; False if its state was not used, being older or a delta of another base."""
        match message:
            case ConfigurationSnapshot():
                return self._apply_snapshot(message)
            case ConfigurationDelta():
                return self._apply_delta(message)
            case WorkerList():
                return self._apply_workers(message)
            case EvacuationOrders():
                self._apply_evacuations(message)
            case MemberList():
                self.state.members = message
                self._listener.on_members(message)
            case WatchResponse():
                self._listener.on_peer_load(message.running)
                self._listener.on_peer_suspects(message.suspects)
        return True

    def _apply_snapshot(self, message: ConfigurationSnapshot) -> bool:
        if message.version <= self.version(CONFIGURATION):
            return False
        self._set_configuration(parse_validated(message.document), message.version)
        return True

    def _apply_delta(self, message: ConfigurationDelta) -> bool:
        current = self.state.configuration
        version = self.version(CONFIGURATION)
        if current is None or message.base != version or message.version <= version:
            return False
        self._set_configuration(apply_delta(current, message), message.version)
        return True

    def _set_configuration(self, configuration: Configuration, version: Version) -> None:
        self.state.configuration = configuration
        self.state.versions[CONFIGURATION] = version
        self.confirmation.set_in_force(version)
        self._listener.on_configuration(configuration, version)

    def _apply_workers(self, message: WorkerList) -> bool:
        if message.version <= self.version(WORKERS):
            return False
        self.state.workers = message
        self.state.versions[WORKERS] = message.version
        self._evacuations.merge(message.orders)
        self._listener.on_workers(self._evacuations.apply_to(message))
        return True

    def _apply_evacuations(self, message: EvacuationOrders) -> None:
        workers = self.state.workers
        if self._evacuations.merge(message.orders) and workers is not None:
            self._listener.on_evacuations(self._evacuations.apply_to(workers))
