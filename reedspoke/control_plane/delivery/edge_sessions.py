"""Sessions with data plane nodes, which are called edges in names.

A source is one kind of published state, such as the configuration or the list of workers. A `WatchRequest` is
answered when a source has a new version, a `FetchRequest` immediately. While this control plane node has no
contact with a majority of voters, both are answered with `UnconfirmedResponse`. The majority is checked again
for each message, in the same event loop step that writes the message to the connection, because a process
that was suspended in between may have lost its majority.
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

MAX_SESSIONS = 2048
# Unsent bytes of a session beyond which the next fetch closes it, as the data plane node does not read.
MAX_BACKLOG_BYTES = 12 * 1024 * 1024
NO_REQUEST = 0  # request id of an `UnconfirmedResponse` that does not answer a `WatchRequest`


QuotaRequestHandler = Callable[[Channel, QuotaRequest], None]


class EdgeSession(Struct, eq=False):
    """The session of one connection of a data plane node."""

    channel: Channel
    pending_watch: WatchRequest | None = None  # the request that has no response yet
    watch_received_at: float = 0.0
    heartbeat: asyncio.TimerHandle | None = None  # answers the pending watch if no update comes first
    last_watch: WatchRequest | None = None  # the newest request, whether answered or not
    sent_versions: dict[str, Version] = field(default_factory=dict)  # versions in the last `WatchResponse`
    sent_unconfirmed: bool = False  # An `UnconfirmedResponse` was sent, and no `WatchResponse` since.


class EdgeSessions:
    """Owns all sessions with data plane nodes.

    `on_membership_change` is called when a data plane node joins or leaves, `on_quota_request` for each quota
    request. `heartbeat_s` is the longest time for which a watch stays unanswered.
    """

    def __init__(
        self,
        node_name: str,
        state: PublishedState,
        heartbeat_s: float,
        on_membership_change: Callable[[], None],
        on_quota_request: QuotaRequestHandler = lambda channel, request: None,
    ) -> None:
        self._node_name = node_name
        self._state = state
        self._heartbeat_s = heartbeat_s
        self._on_membership_change = on_membership_change
        self._on_quota_request = on_quota_request
        self._loop = asyncio.get_running_loop()
        self._sessions: dict[Channel, EdgeSession] = {}
        self._confirmed = False  # whether there was a majority at the last `check_majority`

    @property
    def count(self) -> int:
        """The number of connections from data plane nodes."""
        return len(self._sessions)

    def message_received(self, channel: Channel, message: EdgeMessage) -> None:
        """Handle a message from a data plane node. The first message opens the session."""
        session = self._sessions.get(channel)
        if session is None:
            if len(self._sessions) >= MAX_SESSIONS:
                channel.close()
                return
            session = self._sessions[channel] = EdgeSession(channel)
        match message:
            case WatchRequest():
                self._handle_watch(session, message)
            case FetchRequest():
                self._handle_fetch(session, message)
            case QuotaRequest():
                self._on_quota_request(channel, message)

    def connection_closed(self, channel: Channel) -> None:
        """Remove a session. A data plane node that was not draining stays a member until it expires."""
        session = self._sessions.pop(channel, None)
        if session is None:
            return
        if session.heartbeat is not None:
            session.heartbeat.cancel()
        last = session.last_watch
        if last is not None and last.draining:
            self._state.membership.remove_edge(last.node_name, last.incarnation)
            self._on_membership_change()

    def notify_update(self) -> None:
        """Answer all pending watches for which any source has a new version."""
        for session in list(self._sessions.values()):
            if session.pending_watch is not None and self._has_update(session, session.pending_watch):
                self._answer(session)

    def check_majority(self) -> None:
        """Answer all pending watches if the majority has been lost or regained since the last check."""
        confirmed = self._state.confirmed_ago_s(self._loop.time()) is not None
        if confirmed == self._confirmed:
            return
        self._confirmed = confirmed
        log(INFO, "majority reached" if confirmed else "majority lost", sessions=len(self._sessions))
        for session in list(self._sessions.values()):
            self._answer(session)

    def close(self) -> None:
        """Close all sessions."""
        for session in list(self._sessions.values()):
            session.channel.close()

    # ---- watches ----

    def _handle_watch(self, session: EdgeSession, watch: WatchRequest) -> None:
        session.last_watch = session.pending_watch = watch
        session.watch_received_at = self._loop.time()
        if WORKERS in watch.versions:
            self._state.workers.observe_version(watch.versions[WORKERS])
        if self._state.membership.update_edge(watch, self._loop.time()):
            log(INFO, "data plane scheduler", node=watch.node_name, zone=watch.zone)
            self._on_membership_change()
        if session.pending_watch is None:
            return  # The membership change was an update, and this watch has been answered with it.
        if self._has_update(session, watch):
            self._answer(session)
        elif session.heartbeat is None:
            session.heartbeat = self._loop.call_later(self._heartbeat_s, self._send_heartbeat, session)

    def _has_update(self, session: EdgeSession, watch: WatchRequest) -> bool:
        """Return whether the watch is to be answered before its heartbeat.

        The same set of versions is sent immediately only once. Otherwise two sides whose versions differ
        permanently would exchange watches and responses in a tight loop.
        """
        if self._state.confirmed_ago_s(self._loop.time()) is None:
            return not session.sent_unconfirmed
        if session.sent_unconfirmed:
            return True
        return self._state.has_update_for(watch.versions) and self._state.versions() != session.sent_versions

    def _send_heartbeat(self, session: EdgeSession) -> None:
        session.heartbeat = None
        if session.pending_watch is not None:
            self._answer(session)

    def _answer(self, session: EdgeSession) -> None:
        watch = session.pending_watch
        if watch is None:
            return
        session.pending_watch = None
        if session.heartbeat is not None:
            session.heartbeat.cancel()
            session.heartbeat = None
        now = self._loop.time()
        confirmed_ago_s = self._state.confirmed_ago_s(now)
        if confirmed_ago_s is None:
            self._send_unconfirmed(session, watch.request_id)
            return
        session.sent_versions = self._state.versions()
        session.sent_unconfirmed = False
        load = self._state.membership.load
        session.channel.send(
            WatchResponse(
                request_id=watch.request_id,
                node_name=self._node_name,
                versions=session.sent_versions,
                running=load.running_except(watch.node_name),
                wait_s=now - session.watch_received_at,
                confirmed_ago_s=confirmed_ago_s,
                suspects=load.suspects_except(watch.node_name),
            )
        )

    def _send_unconfirmed(self, session: EdgeSession, request_id: int) -> None:
        session.sent_unconfirmed = True
        peers = self._state.membership.known_peers()
        response = UnconfirmedResponse(request_id, self._node_name, peers, self._state.versions())
        session.channel.send(response)

    # ---- fetches ----

    def _handle_fetch(self, session: EdgeSession, fetch: FetchRequest) -> None:
        if session.channel.write_backlog_bytes() > MAX_BACKLOG_BYTES:
            last = session.last_watch
            log(INFO, "data plane scheduler does not read; session closed", node=last and last.node_name)
            session.channel.close()
            return
        confirmed = self._state.confirmed_ago_s(self._loop.time()) is not None
        if not confirmed and not fetch.allow_unconfirmed:
            self._send_unconfirmed(session, NO_REQUEST)
            return
        payload = self._state.encoded_update(fetch.source, fetch.known_version, self._loop.time())
        if payload is not None:
            session.channel.send_encoded(payload)
