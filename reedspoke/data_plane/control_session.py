"""Keeps sessions with the control plane up: opens and leaves them as `SessionChoice` decides."""

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
from reedspoke.data_plane.watch_session import NodeState, OnQuota, SessionTimeouts, WatchSession

DEFAULT_TIMEOUTS = SessionTimeouts()


def no_quota(answer: QuotaResponse) -> None:
    """Where nobody has asked for any."""


class OpenSession(Struct, eq=False):
    """A session that is up or coming up."""

    task: asyncio.Task[None]
    conversation: WatchSession | None = None


class ControlSessions:
    """All sessions of this scheduler, each a task of its own."""

    def __init__(
        self,
        subscription: Subscription,
        node_state: Callable[[], NodeState],
        seeds: Callable[[], tuple[str, ...]],
        random: Random,
        pace: SessionTimeouts = DEFAULT_TIMEOUTS,
        on_quota: OnQuota = no_quota,
    ) -> None:
        self._subscription = subscription
        self._node_state = node_state
        self._seeds = seeds
        self._pace = pace
        self._on_quota = on_quota
        self._choice = SessionChoice(random, pace.quiet_s)
        self._open_sessions: dict[str, OpenSession] = {}
        self._news = asyncio.Event()
        self._was_sound = False
        self._loop: asyncio.AbstractEventLoop | None = None  # from the start on

    def sessions(self) -> int:
        """Sessions with control schedulers behind which a majority stands."""
        return 0 if self._loop is None else len(self._choice.sound(self._loop.time()))

    def ask_quota(self, ask: QuotaRequest, tried: Collection[str]) -> str | None:
        """Ask on a session that was not tried yet, one with a majority and in the own zone if there is any.
        Its address; None where there is none left."""
        open_now = {
            address: session.conversation
            for address, session in self._open_sessions.items()
            if session.conversation is not None and address not in tried
        }
        if not open_now or self._loop is None:
            return None
        sound = self._choice.sound(self._loop.time())
        address = min(open_now, key=lambda other: (other not in sound, not self._choice.is_near(other)))
        open_now[address].ask_quota(ask)
        return address

    async def run(self) -> None:
        """Runs until it is cancelled."""
        loop = self._loop = asyncio.get_running_loop()
        own_zone = self._node_state().zone

        async def look_again_and_again() -> None:
            while True:
                await self._look(loop.time(), own_zone)

        try:
            await keep_running("the choice of sessions", look_again_and_again)
        finally:
            for session in self._open_sessions.values():
                session.task.cancel()

    async def _look(self, now: float, own_zone: str) -> None:
        """Do what the choice wants now, then wait until something has happened or some time has passed."""
        self._news.clear()
        self._choice.seeds(self._seeds())
        self._leave_unwanted(now)
        self._open_wanted(now, own_zone)
        self._look_at_conversations()
        self._log_change(now)
        with suppress(TimeoutError):
            async with asyncio.timeout(self._choice.next_look_s(now)):  # wait_for may swallow a cancellation
                await self._news.wait()

    def _leave_unwanted(self, now: float) -> None:
        for address, session in list(self._open_sessions.items()):
            if self._choice.should_leave(address, now):
                del self._open_sessions[address]
                self._choice.ended(address, now)
                session.task.cancel()

    def _open_wanted(self, now: float, own_zone: str) -> None:
        overdue = self._subscription.confirmation.is_overdue(now)
        while (member := self._choice.next_address(now, own_zone, overdue)) is not None:
            self._choice.opened(member.address, now)
            task = asyncio.get_running_loop().create_task(self._keep(member.address))
            self._open_sessions[member.address] = OpenSession(task)

    def _look_at_conversations(self) -> None:
        for session in self._open_sessions.values():
            if session.conversation is not None:
                session.conversation.look()

    def _log_change(self, now: float) -> None:
        sound = self._choice.sound(now)
        if bool(sound) is not self._was_sound:
            self._was_sound = bool(sound)
            text = "control plane found" if sound else "no control scheduler with a majority"
            log(INFO if sound else WARNING, text, sessions=len(self._open_sessions))

    async def _keep(self, address: str) -> None:
        """One session from its opening to its end, whatever it brings."""
        session = self._open_sessions[address]
        try:
            await self._converse(address, await self._connect(address), session)
        except CONNECTION_ENDED:
            pass
        except Exception as error:  # whatever one session brings, the next one is opened
            log(WARNING, "session given up", address=address, error=repr(error))
        if self._open_sessions.get(address) is session:
            del self._open_sessions[address]
            self._choice.ended(address, asyncio.get_running_loop().time())
            self._news.set()

    async def _connect(self, address: str) -> Channel:
        return await open_channel(address)

    async def _converse(self, address: str, channel: Channel, session: OpenSession) -> None:
        session.conversation = WatchSession(
            channel,
            address,
            self._subscription,
            self._node_state,
            self._choice,
            self._pace,
            on_change=self._news.set,
            on_quota=self._on_quota,
        )
        try:
            await session.conversation.run()
        finally:
            channel.close()
