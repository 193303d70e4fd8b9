"""One session with a control scheduler: a `WatchRequest` is always out, and what is lacking is fetched."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.messages import (
    CONFIGURATION,
    MEMBERS,
    NO_VERSION,
    WORKERS,
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlMember,
    ControlMessage,
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
from reedspoke.data_plane.subscription import FETCH_S, Subscription

SILENCE_MARGIN_S = 0.8  # beyond the time in which a `WatchRequest` is answered
QUIET_MARGIN_S = 0.4


OnQuota = Callable[[QuotaResponse], None]


class SessionTimeouts(Struct, frozen=True):
    """Time limits of a session; `max_watch_wait_s` is when a `WatchRequest` is answered at the latest."""

    max_watch_wait_s: float = 0.4

    @property
    def idle_timeout_s(self) -> float:
        """A control scheduler that says nothing for so long is left."""
        return self.max_watch_wait_s + SILENCE_MARGIN_S

    @property
    def quiet_s(self) -> float:
        """And after this another one is sought besides it."""
        return self.max_watch_wait_s + QUIET_MARGIN_S


class NodeState(Struct, frozen=True):
    """What this scheduler says of itself in each heartbeat."""

    node_name: str
    incarnation: str
    zone: str
    draining: bool
    running: dict[str, tuple[int, int]]
    suspects: tuple[str, ...] = ()  # workers that have lately failed its requests


class WatchSession:
    """Speaks with the control scheduler at `address`, and reports to `choice` what its answers are worth.

    `on_change` is called when they are worth something else than before.
    """

    def __init__(
        self,
        channel: Channel,
        address: str,
        subscription: Subscription,
        node_state: Callable[[], NodeState],
        choice: SessionChoice,
        pace: SessionTimeouts,
        on_change: Callable[[], None],
        on_quota: OnQuota = lambda answer: None,
    ) -> None:
        self._channel = channel
        channel.idle_timeout_s = pace.idle_timeout_s
        self._address = address
        self._subscription = subscription
        self._node_state = node_state
        self._choice = choice
        self._on_change = on_change
        self._on_quota = on_quota
        self._loop = asyncio.get_running_loop()
        self._request_id = 0
        self._watch_sent_at: float | None = None  # None: no `WatchRequest` is out
        self._members_version: Version = NO_VERSION  # is local to the control scheduler of this session
        self._fetching: dict[str, Version] = {}
        self._fetched_at = 0.0
        self._unconfirmed: UnconfirmedResponse | None = None  # the last answer, if it was one
        self._is_sound: bool | None = None  # what the last answer was worth

    async def run(self) -> None:
        """Runs until the connection ends or the other side is silent."""
        self._watch()
        try:
            while True:
                self._take(await self._channel.receive(ControlMessage))
        finally:
            self._give_up_fetches()

    def _take(self, message: ControlMessage) -> None:
        match message:
            case WatchResponse():
                self._take_versions(message)
            case UnconfirmedResponse():
                self._take_unconfirmed(message)
            case QuotaResponse():
                self._on_quota(message)
            case _:
                self._take_state(message)

    def ask_quota(self, ask: QuotaRequest) -> None:
        """Ask for what a request costs of its tenant's quota."""
        self._channel.send(ask)

    def look(self) -> None:
        """Some time has passed. After `UnconfirmedResponse` the next `WatchRequest` is sent from here, which
        is called about each tenth of a second then; so is the one that finds out why a fetch stays
        unanswered.
        """
        now = self._loop.time()
        if self._unconfirmed is not None:
            self._fetch_unconfirmed(self._unconfirmed, now)
        fetch_is_late = now - self._fetched_at > FETCH_S
        if self._watch_sent_at is None and (fetch_is_late or not self._fetching):
            self._watch()

    # ---- WatchRequest ----

    def _watch(self) -> None:
        self._request_id += 1
        own = self._node_state()
        now = self._loop.time()
        versions = {
            source: self._subscription.expected_version(source, now) for source in (CONFIGURATION, WORKERS)
        }
        versions[MEMBERS] = self._members_version
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

    def _take_versions(self, message: WatchResponse) -> None:
        now = self._loop.time()
        self._unconfirmed = None
        self._note_confirmation(message, now)
        self._note_answered(message.request_id)
        self._subscription.apply(message)
        for source in self._subscription.lacks(message.versions, now):
            self._subscription.begin_fetch(source, message.versions[source], now)
            self._fetch(source, message.versions[source], self._subscription.version(source))
        offered = message.versions.get(MEMBERS, NO_VERSION)
        if offered != self._members_version:
            self._fetch(MEMBERS, offered, self._members_version)
        self._watch_if_idle()

    def _note_confirmation(self, message: WatchResponse, now: float) -> None:
        """An answer that was long on its way, as around a stop of either side, vouches for the past only."""
        if self._watch_sent_at is None or message.request_id != self._request_id:
            return
        confirmation = self._subscription.confirmation
        as_of = confirmed_as_of(self._watch_sent_at, message.wait_s, message.confirmed_ago_s, now)
        confirmation.record_report(message.versions.get(CONFIGURATION, NO_VERSION), as_of)
        self._report(confirmation.is_fresh(as_of, now), (), now)

    def _report(self, is_sound: bool, control: tuple[ControlMember, ...], now: float) -> None:
        if is_sound:
            self._choice.confirmed(self._address, now)
        else:
            self._choice.unconfirmed(self._address, control, now)
        if is_sound is not self._is_sound:
            self._is_sound = is_sound
            self._on_change()

    def _take_unconfirmed(self, message: UnconfirmedResponse) -> None:
        """No majority stands behind the control scheduler: its hints are of use, its state is not."""
        now = self._loop.time()
        self._unconfirmed = message
        self._note_answered(message.request_id)
        self._report(False, message.control, now)
        self._fetch_unconfirmed(message, now)

    def _note_answered(self, request_id: int) -> None:
        """Answers keep their order, so what was fetched before will not come any more.

        `UnconfirmedResponse` answers a `FetchRequest` too, without the id of any request; a `WatchRequest`
        may be out then.
        """
        self._give_up_fetches()
        if request_id == self._request_id:
            self._watch_sent_at = None

    def _watch_if_idle(self) -> None:
        if not self._fetching and self._watch_sent_at is None:
            self._watch()

    # ---- FetchRequest ----

    def _fetch(self, source: str, wanted: Version, have: Version) -> None:
        self._fetching[source] = wanted
        self._fetched_at = self._loop.time()
        self._channel.send(FetchRequest(source, have, allow_unconfirmed=self._unconfirmed is not None))

    def _give_up_fetches(self) -> None:
        for source, version in self._fetching.items():
            self._subscription.end_fetch(source, version)
        self._fetching.clear()

    def _fetch_unconfirmed(self, offer: UnconfirmedResponse, now: float) -> None:
        for source in self._subscription.lacks(offer.versions, now):
            if source not in self._fetching and self._subscription.may_take_unconfirmed(source, now):
                self._subscription.begin_fetch(source, offer.versions[source], now)
                self._fetch(source, offer.versions[source], self._subscription.version(source))

    def _take_state(self, message: ControlMessage) -> None:
        source = source_of(message)
        asked = self._fetching.pop(source, None) is not None
        if isinstance(message, MemberList):
            self._members_version = message.version
            self._choice.learnt(message.control, self._loop.time())
        if self._unconfirmed is None or asked:
            useful = self._subscription.apply(message)
            if not useful and isinstance(message, ConfigurationDelta):
                self._fetch_whole(message)
        self._watch_if_idle()

    def _fetch_whole(self, delta: ConfigurationDelta) -> None:
        """The difference's base is not what we hold: another session has been faster, or we hold nothing."""
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
    return ""
