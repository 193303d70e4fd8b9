"""One session with a control plane node: a long poll by versions, and fetches of newer state.

One `WatchRequest` is in flight at a time; `FetchRequest` gets each source of which the node has newer state.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.messages import (
    CONFIGURATION,
    EVACUATIONS,
    MEMBERS,
    NO_VERSION,
    WORKERS,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlMember,
    ControlMessage,
    EvacuationOrders,
    FetchRequest,
    MemberList,
    QuotaRequest,
    QuotaResponse,
    UnconfirmedResponse,
    Version,
    WatchRequest,
    WatchResponse,
    WorkerList,
)
from reedspoke.common.transport import Channel
from reedspoke.data_plane.confirmation import confirmed_as_of
from reedspoke.data_plane.session_choice import SessionChoice
from reedspoke.data_plane.subscription import FETCH_TIMEOUT_S, Subscription

IDLE_TIMEOUT_MARGIN_S = 0.8  # added to the time within which a `WatchRequest` gets its response
STALE_MARGIN_S = 0.4  # added to the same time; smaller, so that a replacement connects before the time-out

OnQuotaResponse = Callable[[QuotaResponse], None]


class SessionTimeouts(Struct, frozen=True):
    """Time limits of a session; a `WatchRequest` gets its response within `max_watch_wait_s`."""

    max_watch_wait_s: float = 0.4

    @property
    def idle_timeout_s(self) -> float:
        """The session is closed after this time without any bytes from the control plane node."""
        return self.max_watch_wait_s + IDLE_TIMEOUT_MARGIN_S

    @property
    def stale_after_s(self) -> float:
        """After this time without a response the session does not count, and another one is opened."""
        return self.max_watch_wait_s + STALE_MARGIN_S


class NodeState(Struct, frozen=True):
    """What this data plane node reports about itself in each `WatchRequest`."""

    node_name: str
    incarnation: str
    zone: str
    draining: bool
    running: dict[str, tuple[int, int]]  # requests and prompt tokens in flight, by worker instance id
    suspects: tuple[str, ...] = ()  # workers that recently failed requests of this node


class WatchSession:
    """The session with the control plane node at `address`; reports to `choice` whether it is confirmed.

    `on_change` is called when the session becomes confirmed or unconfirmed. `on_quota` gets each
    `QuotaResponse`.
    """

    def __init__(
        self,
        channel: Channel,
        address: str,
        subscription: Subscription,
        node_state: Callable[[], NodeState],
        choice: SessionChoice,
        timeouts: SessionTimeouts,
        on_change: Callable[[], None],
        on_quota: OnQuotaResponse = lambda response: None,
    ) -> None:
        self._channel = channel
        channel.idle_timeout_s = timeouts.idle_timeout_s
        self._address = address
        self._subscription = subscription
        self._node_state = node_state
        self._choice = choice
        self._on_change = on_change
        self._on_quota = on_quota
        self._loop = asyncio.get_running_loop()
        self._request_id = 0
        self._watch_sent_at: float | None = None  # None: no `WatchRequest` is in flight
        # Versions that are compared with those of this session's control plane node for equality only.
        self._members_version: Version = NO_VERSION
        self._evacuations_version: Version = NO_VERSION
        self._fetching: dict[str, Version] = {}
        self._last_fetch_at = 0.0
        self._last_unconfirmed: UnconfirmedResponse | None = None  # None after a `WatchResponse`
        self._was_confirmed: bool | None = None  # None before the first response

    async def run(self) -> None:
        """Run until the connection ends or its idle time-out expires."""
        self._send_watch()
        try:
            while True:
                self._handle(await self._channel.receive(ControlMessage))
        finally:
            self._abandon_fetches()

    def _handle(self, message: ControlMessage) -> None:
        match message:
            case WatchResponse():
                self._handle_watch_response(message)
            case UnconfirmedResponse():
                self._handle_unconfirmed(message)
            case QuotaResponse():
                self._on_quota(message)
            case _:
                self._handle_state(message)

    def request_quota(self, request: QuotaRequest) -> None:
        """Send a quota request; the response goes to `on_quota`."""
        self._channel.send(request)

    def poll(self) -> None:
        """Periodic check.

        After `UnconfirmedResponse` the next `WatchRequest` is sent from here, about every tenth of a second.
        So is a `WatchRequest` after a fetch that got no response in time, to learn whether the majority was
        lost.
        """
        now = self._loop.time()
        if self._last_unconfirmed is not None:
            self._fetch_unconfirmed(self._last_unconfirmed, now)
        fetch_is_overdue = now - self._last_fetch_at > FETCH_TIMEOUT_S
        if self._watch_sent_at is None and (fetch_is_overdue or not self._fetching):
            self._send_watch()

    # ---- WatchRequest ----

    def _send_watch(self) -> None:
        self._request_id += 1
        own = self._node_state()
        now = self._loop.time()
        versions = {
            source: self._subscription.expected_version(source, now) for source in (CONFIGURATION, WORKERS)
        }
        versions[MEMBERS] = self._members_version
        versions[EVACUATIONS] = self._evacuations_version
        self._watch_sent_at = now
        self._channel.send(
            WatchRequest(
                self._request_id,
                own.node_name,
                own.incarnation,
                own.zone,
                versions,
                own.running,
                own.draining,
                own.suspects,
            )
        )

    def _handle_watch_response(self, message: WatchResponse) -> None:
        now = self._loop.time()
        self._last_unconfirmed = None
        self._record_confirmation(message, now)
        self._on_response(message.request_id)
        self._subscription.apply(message)
        self._fetch_evacuations(message)
        for source in self._subscription.sources_to_fetch(message.versions, now):
            self._subscription.begin_fetch(source, message.versions[source], now)
            self._fetch(source, message.versions[source], self._subscription.version(source))
        offered = message.versions.get(MEMBERS, NO_VERSION)
        if offered != self._members_version:
            self._fetch(MEMBERS, offered, self._members_version)
        self._watch_if_idle()

    def _fetch_evacuations(self, message: WatchResponse) -> None:
        """Fetch the orders on zones before the list of workers, to which they apply."""
        offered = message.versions.get(EVACUATIONS, self._evacuations_version)
        if offered != self._evacuations_version:
            self._fetch(EVACUATIONS, offered, self._evacuations_version)

    def _record_confirmation(self, message: WatchResponse, now: float) -> None:
        """Record the time as of which this response confirms its configuration version.

        A response that was delayed, as when either process was suspended, confirms only a time in the past.
        """
        if self._watch_sent_at is None or message.request_id != self._request_id:
            return
        confirmation = self._subscription.confirmation
        as_of = confirmed_as_of(self._watch_sent_at, message.wait_s, message.confirmed_ago_s, now)
        confirmation.record_report(message.versions.get(CONFIGURATION, NO_VERSION), as_of)
        self._report(confirmation.is_fresh(as_of, now), (), now)

    def _report(self, is_confirmed: bool, control: tuple[ControlMember, ...], now: float) -> None:
        if is_confirmed:
            self._choice.record_confirmed(self._address, now)
        else:
            self._choice.record_unconfirmed(self._address, control, now)
        if is_confirmed is not self._was_confirmed:
            self._was_confirmed = is_confirmed
            self._on_change()

    def _handle_unconfirmed(self, message: UnconfirmedResponse) -> None:
        """The control plane node has no majority: use the members that it lists, but not its state."""
        now = self._loop.time()
        self._last_unconfirmed = message
        self._on_response(message.request_id)
        self._report(False, message.control, now)
        self._fetch_unconfirmed(message, now)

    def _on_response(self, request_id: int) -> None:
        """Abandon fetches: responses keep their order, so earlier fetches get no response any more.

        `UnconfirmedResponse` is also a response to `FetchRequest`, and then it has the id of no request; a
        `WatchRequest` may still be in flight.
        """
        self._abandon_fetches()
        if request_id == self._request_id:
            self._watch_sent_at = None

    def _watch_if_idle(self) -> None:
        if not self._fetching and self._watch_sent_at is None:
            self._send_watch()

    # ---- FetchRequest ----

    def _fetch(self, source: str, wanted: Version, known: Version) -> None:
        self._fetching[source] = wanted
        self._last_fetch_at = self._loop.time()
        self._channel.send(FetchRequest(source, known, allow_unconfirmed=self._last_unconfirmed is not None))

    def _abandon_fetches(self) -> None:
        for source, version in self._fetching.items():
            self._subscription.end_fetch(source, version)
        self._fetching.clear()

    def _fetch_unconfirmed(self, offer: UnconfirmedResponse, now: float) -> None:
        for source in self._subscription.sources_to_fetch(offer.versions, now):
            if source not in self._fetching and self._subscription.may_fetch_unconfirmed(source, now):
                self._subscription.begin_fetch(source, offer.versions[source], now)
                self._fetch(source, offer.versions[source], self._subscription.version(source))

    def _handle_state(self, message: ControlMessage) -> None:
        source = source_of(message)
        requested = self._fetching.pop(source, None) is not None
        if isinstance(message, MemberList):
            self._members_version = message.version
            self._choice.add_members(message.control, self._loop.time())
        if isinstance(message, EvacuationOrders):
            self._evacuations_version = message.version
        if self._last_unconfirmed is None or requested:
            useful = self._subscription.apply(message)
            if not useful and isinstance(message, ConfigurationDelta):
                self._fetch_snapshot(message)
        self._watch_if_idle()

    def _fetch_snapshot(self, delta: ConfigurationDelta) -> None:
        """Fetch the complete configuration instead of a delta whose base is not the version in force.

        Another session may have delivered a newer version in the meantime, or there is no configuration yet.
        """
        if delta.version > self._subscription.version(CONFIGURATION):
            self._fetch(CONFIGURATION, delta.version, NO_VERSION)


def source_of(message: ControlMessage) -> str:
    """The source whose state a message carries."""
    match message:
        case ConfigurationSnapshot() | ConfigurationDelta():
            return CONFIGURATION
        case WorkerList():
            return WORKERS
        case MemberList():
            return MEMBERS
        case EvacuationOrders():
            return EVACUATIONS
    return ""
