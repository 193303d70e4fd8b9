"""Maintains the sessions with the control plane: opens and closes them as `SessionChoice` decides."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from contextlib import suppress
from random import Random

from msgspec import Struct

from reedspoke.common.background import keep_running
from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.messages import QuotaRequest, QuotaResponse
from reedspoke.common.transport import CONNECTION_ENDED, Channel, open_channel
from reedspoke.data_plane.session_choice import SessionChoice
from reedspoke.data_plane.subscription import Subscription
from reedspoke.data_plane.watch_session import NodeState, OnQuotaResponse, SessionTimeouts, WatchSession

DEFAULT_TIMEOUTS = SessionTimeouts()


def ignore_quota_response(response: QuotaResponse) -> None:
    """Handler for sessions over which no quota is requested."""


class OpenSession(Struct, eq=False):
    """A session that is connected or connecting; `watch_session` is None until it is connected."""

    task: asyncio.Task[None]
    watch_session: WatchSession | None = None


class ControlSessions:
    """All sessions of this data plane node; each runs in its own task."""

    def __init__(
        self,
        subscription: Subscription,
        node_state: Callable[[], NodeState],
        seeds: Callable[[], tuple[str, ...]],
        random: Random,
        timeouts: SessionTimeouts = DEFAULT_TIMEOUTS,
        on_quota: OnQuotaResponse = ignore_quota_response,
    ) -> None:
        self._subscription = subscription
        self._node_state = node_state
        self._seeds = seeds
        self._timeouts = timeouts
        self._on_quota = on_quota
        self._choice = SessionChoice(random, timeouts.stale_after_s)
        self._open_sessions: dict[str, OpenSession] = {}
        self._wake = asyncio.Event()
        self._had_majority = False
        self._loop: asyncio.AbstractEventLoop | None = None  # None until `run` starts

    def confirmed_sessions(self) -> int:
        """The number of sessions with control plane nodes that have a majority."""
        return 0 if self._loop is None else len(self._choice.confirmed_addresses(self._loop.time()))

    def request_quota(self, request: QuotaRequest, tried: Collection[str]) -> str | None:
        """Send the request on a session whose address is not in `tried`; return its address, or None.

        Sessions with a majority are preferred, and among them sessions in the own zone.
        """
        candidates = {
            address: session.watch_session
            for address, session in self._open_sessions.items()
            if session.watch_session is not None and address not in tried
        }
        if not candidates or self._loop is None:
            return None
        confirmed = self._choice.confirmed_addresses(self._loop.time())
        address = min(
            candidates, key=lambda other: (other not in confirmed, not self._choice.is_in_own_zone(other))
        )
        candidates[address].request_quota(request)
        return address

    async def run(self) -> None:
        """Maintain the sessions until cancelled."""
        loop = self._loop = asyncio.get_running_loop()
        own_zone = self._node_state().zone

        async def step_forever() -> None:
            while True:
                await self._step(loop.time(), own_zone)

        try:
            await keep_running("control session manager", step_forever)
        finally:
            for session in self._open_sessions.values():
                session.task.cancel()

    async def _step(self, now: float, own_zone: str) -> None:
        """Close and open sessions as `SessionChoice` decides, then wait for an event or the next check."""
        self._wake.clear()
        self._choice.set_seeds(self._seeds())
        self._close_unwanted(now)
        self._open_wanted(now, own_zone)
        self._poll_watch_sessions()
        self._log_change(now)
        with suppress(TimeoutError):  # asyncio.wait_for can lose a cancellation
            async with asyncio.timeout(self._choice.next_check_s(now)):
                await self._wake.wait()

    def _close_unwanted(self, now: float) -> None:
        for address, session in list(self._open_sessions.items()):
            if self._choice.should_close(address, now):
                del self._open_sessions[address]
                self._choice.session_ended(address, now)
                session.task.cancel()

    def _open_wanted(self, now: float, own_zone: str) -> None:
        overdue = self._subscription.confirmation.is_overdue(now)
        while (member := self._choice.next_member(now, own_zone, overdue)) is not None:
            self._choice.session_opened(member.address, now)
            task = asyncio.get_running_loop().create_task(self._run_session(member.address))
            self._open_sessions[member.address] = OpenSession(task)

    def _poll_watch_sessions(self) -> None:
        for session in self._open_sessions.values():
            if session.watch_session is not None:
                session.watch_session.poll()

    def _log_change(self, now: float) -> None:
        confirmed = self._choice.confirmed_addresses(now)
        if bool(confirmed) is not self._had_majority:
            self._had_majority = bool(confirmed)
            text = (
                "connected to a control plane majority"
                if confirmed
                else "no control plane majority reachable"
            )
            log(INFO if confirmed else WARNING, text, sessions=len(self._open_sessions))

    async def _run_session(self, address: str) -> None:
        """Run one session from connecting to its end; no error of it escapes."""
        session = self._open_sessions[address]
        try:
            await self._run_watch_session(address, await self._connect(address), session)
        except CONNECTION_ENDED:
            pass
        except Exception as error:  # an error in one session must not prevent the next one
            log(WARNING, "session given up", address=address, error=repr(error))
        if self._open_sessions.get(address) is session:
            del self._open_sessions[address]
            self._choice.session_ended(address, asyncio.get_running_loop().time())
            self._wake.set()

    async def _connect(self, address: str) -> Channel:
        return await open_channel(address)

    async def _run_watch_session(self, address: str, channel: Channel, session: OpenSession) -> None:
        session.watch_session = WatchSession(
            channel,
            address,
            self._subscription,
            self._node_state,
            self._choice,
            self._timeouts,
            on_change=self._wake.set,
            on_quota=self._on_quota,
        )
        try:
            await session.watch_session.run()
        finally:
            channel.close()
