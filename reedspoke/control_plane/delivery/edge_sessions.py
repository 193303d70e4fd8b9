"""Sessions with data plane schedulers: `WatchRequest` is answered when something is new, `FetchRequest` at
once.

While no majority of voters stands behind this control scheduler, both are answered with
`UnconfirmedResponse`. That is decided anew for each message, in the same step in which the message is handed
to the connection.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from reedspoke.common.json_log import INFO, log
from reedspoke.common.messages import (
    WORKERS,
    EdgeMessage,
    FetchRequest,
    QuotaRequest,
    UnconfirmedResponse,
    Version,
    WatchRequest,
    WatchResponse,
)
from reedspoke.common.transport import Channel
from reedspoke.control_plane.delivery.published_state import PublishedState

MOST_SESSIONS = 2048
MOST_WAITING = 12 * 1024 * 1024  # bytes for a data plane scheduler that does not read them
NO_REQUEST = 0  # in an answer that belongs to no `WatchRequest`


OnQuotaAsk = Callable[[Channel, QuotaRequest], None]


class Session(Struct, eq=False):
    """One connection of a data plane scheduler."""

    channel: Channel
    watch: WatchRequest | None = None  # not answered yet
    watched_at: float = 0.0
    timer: asyncio.TimerHandle | None = None
    last: WatchRequest | None = None
    told: dict[str, Version] = field(default_factory=dict)  # in our last answer
    told_unconfirmed: bool = False  # and nothing else since


class EdgeSessions:
    """All sessions with data plane schedulers.

    `on_arrival` is called when a data plane scheduler is new or leaves, `on_quota` when one asks for quota.
    """

    def __init__(
        self,
        node_name: str,
        state: PublishedState,
        heartbeat_s: float,
        on_arrival: Callable[[], None],
        on_quota: OnQuotaAsk = lambda channel, ask: None,
    ) -> None:
        self._node_name = node_name
        self._state = state
        self._heartbeat_s = heartbeat_s
        self._on_arrival = on_arrival
        self._on_quota = on_quota
        self._loop = asyncio.get_running_loop()
        self._sessions: dict[Channel, Session] = {}
        self._confirmed = False

    @property
    def count(self) -> int:
        """Connections of data plane schedulers."""
        return len(self._sessions)

    def received(self, channel: Channel, message: EdgeMessage) -> None:
        """A message of a data plane scheduler."""
        session = self._sessions.get(channel)
        if session is None:
            if len(self._sessions) >= MOST_SESSIONS:
                channel.close()
                return
            session = self._sessions[channel] = Session(channel)
        match message:
            case WatchRequest():
                self._watched(session, message)
            case FetchRequest():
                self._fetched(session, message)
            case QuotaRequest():
                self._on_quota(channel, message)

    def ended(self, channel: Channel) -> None:
        """The connection is over. Who did not say that it would leave is a member for a while still."""
        session = self._sessions.pop(channel, None)
        if session is None:
            return
        if session.timer is not None:
            session.timer.cancel()
        if session.last is not None and session.last.draining:
            self._state.membership.left(session.last.node_name, session.last.incarnation)
            self._on_arrival()

    def changed(self) -> None:
        """Something has a new version: answer whoever waits for it."""
        for session in list(self._sessions.values()):
            if session.watch is not None and self._has_news(session, session.watch):
                self._answer(session)

    def look(self) -> None:
        """Time has passed: where a majority has come or gone, all that wait are told at once."""
        confirmed = self._state.confirmed_ago(self._loop.time()) is not None
        if confirmed == self._confirmed:
            return
        self._confirmed = confirmed
        log(INFO, "majority reached" if confirmed else "majority lost", sessions=len(self._sessions))
        for session in list(self._sessions.values()):
            self._answer(session)

    def close(self) -> None:
        """End all sessions."""
        for session in list(self._sessions.values()):
            session.channel.close()

    def _watched(self, session: Session, watch: WatchRequest) -> None:
        session.last = session.watch = watch
        session.watched_at = self._loop.time()
        if WORKERS in watch.versions:
            self._state.workers.observe_version(watch.versions[WORKERS])
        if self._state.membership.watched(watch, self._loop.time()):
            log(INFO, "data plane scheduler", node=watch.node_name, zone=watch.zone)
            self._on_arrival()
        if session.watch is None:
            return  # the arrival itself was news
        if self._has_news(session, watch):
            self._answer(session)
        elif session.timer is None:
            session.timer = self._loop.call_later(self._heartbeat_s, self._heartbeat, session)

    def _has_news(self, session: Session, watch: WatchRequest) -> bool:
        """Each set of versions is told at once one time only, or the two sides would do nothing else."""
        if self._state.confirmed_ago(self._loop.time()) is None:
            return not session.told_unconfirmed
        if session.told_unconfirmed:
            return True
        return self._state.differs(watch.versions) and self._state.versions() != session.told

    def _heartbeat(self, session: Session) -> None:
        session.timer = None
        if session.watch is not None:
            self._answer(session)

    def _answer(self, session: Session) -> None:
        watch = session.watch
        if watch is None:
            return
        session.watch = None
        if session.timer is not None:
            session.timer.cancel()
            session.timer = None
        now = self._loop.time()
        confirmed_ago_s = self._state.confirmed_ago(now)
        if confirmed_ago_s is None:
            self._tell_unconfirmed(session, watch.request_id)
            return
        running = self._state.membership.running_except(watch.node_name)
        suspects = self._state.membership.suspects_except(watch.node_name)
        session.told = self._state.versions()
        session.told_unconfirmed = False
        held_s = now - session.watched_at
        session.channel.send(
            WatchResponse(
                watch.request_id, self._node_name, session.told, running, held_s, confirmed_ago_s, suspects
            )
        )

    def _tell_unconfirmed(self, session: Session, request_id: int) -> None:
        session.told_unconfirmed = True
        control = self._state.membership.known_control()
        session.channel.send(
            UnconfirmedResponse(request_id, self._node_name, control, self._state.versions())
        )

    def _fetched(self, session: Session, fetch: FetchRequest) -> None:
        if session.channel.write_backlog_bytes() > MOST_WAITING:
            log(INFO, "data plane scheduler does not read", node=session.last and session.last.node_name)
            session.channel.close()
            return
        confirmed = self._state.confirmed_ago(self._loop.time()) is not None
        if not confirmed and not fetch.allow_unconfirmed:
            self._tell_unconfirmed(session, NO_REQUEST)
            return
        payload = self._state.frame(fetch.source, fetch.known_version, self._loop.time())
        if payload is not None:
            session.channel.send_encoded(payload)
