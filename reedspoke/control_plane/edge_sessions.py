"""Sessions with data plane schedulers: `Watch` is answered when something is new, `Fetch` at once."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct, field

from reedspoke.cluster.json_log import INFO, log
from reedspoke.cluster.messages import WORKERS, EdgeMessage, Fetch, Version, Versions, Watch
from reedspoke.cluster.transport import Channel
from reedspoke.control_plane.published_state import PublishedState

MOST_SESSIONS = 2048
MOST_WAITING = 12 * 1024 * 1024  # bytes for a data plane scheduler that does not read them


class Session(Struct, eq=False):
    """One connection of a data plane scheduler."""

    channel: Channel
    watch: Watch | None = None  # not answered yet
    timer: asyncio.TimerHandle | None = None
    last: Watch | None = None
    told: dict[str, Version] = field(default_factory=dict)  # in our last answer


class EdgeSessions:
    """All sessions with data plane schedulers.

    `on_arrival` is called when a data plane scheduler is new or leaves.
    """

    def __init__(
        self, node_name: str, state: PublishedState, heartbeat_s: float, on_arrival: Callable[[], None]
    ) -> None:
        self._node_name = node_name
        self._state = state
        self._heartbeat_s = heartbeat_s
        self._on_arrival = on_arrival
        self._loop = asyncio.get_running_loop()
        self._sessions: dict[Channel, Session] = {}

    def received(self, channel: Channel, message: EdgeMessage) -> None:
        """A message of a data plane scheduler."""
        session = self._sessions.get(channel)
        if session is None:
            if len(self._sessions) >= MOST_SESSIONS:
                channel.close()
                return
            session = self._sessions[channel] = Session(channel)
        match message:
            case Watch():
                self._watched(session, message)
            case Fetch():
                self._fetched(session, message)

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

    def close(self) -> None:
        """End all sessions."""
        for session in list(self._sessions.values()):
            session.channel.close()

    def _watched(self, session: Session, watch: Watch) -> None:
        session.last = session.watch = watch
        if WORKERS in watch.versions:
            self._state.workers.note_seen(watch.versions[WORKERS])
        if self._state.membership.watched(watch, self._loop.time()):
            log(INFO, "data plane scheduler", node=watch.node_name, zone=watch.zone)
            self._on_arrival()
        if session.watch is None:
            return  # the arrival itself was news
        if self._has_news(session, watch):
            self._answer(session)
        elif session.timer is None:
            session.timer = self._loop.call_later(self._heartbeat_s, self._heartbeat, session)

    def _has_news(self, session: Session, watch: Watch) -> bool:
        """Each set of versions is told at once one time only, or the two sides would do nothing else."""
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
        running = self._state.membership.running_except(watch.node_name)
        session.told = self._state.versions()
        session.channel.send(Versions(watch.request_id, self._node_name, session.told, running))

    def _fetched(self, session: Session, fetch: Fetch) -> None:
        if session.channel.waiting() > MOST_WAITING:
            log(INFO, "data plane scheduler does not read", node=session.last and session.last.node_name)
            session.channel.close()
            return
        payload = self._state.frame(fetch.source, fetch.have, self._loop.time())
        if payload is not None:
            session.channel.send_encoded(payload)
