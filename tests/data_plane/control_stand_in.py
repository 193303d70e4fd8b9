"""Control schedulers as the sessions of a data plane scheduler meet them in virtual time."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import pytest
from msgspec import Struct

from reedspoke.common.messages import (
    ControlMember,
    FetchRequest,
    UnconfirmedResponse,
    Version,
    WatchRequest,
    WatchResponse,
)
from reedspoke.data_plane import control_session
from reedspoke.data_plane.control_session import DEFAULT_TIMEOUTS, ControlSessions
from reedspoke.data_plane.watch_session import NodeState, SessionTimeouts
from tests.data_plane.test_subscription import make_subscription
from tests.data_plane.virtual_loop import VirtualLoop

SILENCE_S = SessionTimeouts().idle_timeout_s
ANSWER_S = 0.1  # a new session's first `WatchRequest` is answered at once, as its list of members is lacking
NODE_STATE = NodeState("edge-1", "ab12", "za", False, {"i-1": (2, 30)})


class ChannelStandIn:
    """A session whose other end is the test."""

    def __init__(self, loop: VirtualLoop, address: str) -> None:
        self.loop = loop
        self.address = address
        self.sent: list[Struct] = []
        self.closed = False
        self.idle_timeout_s: float | None = None
        self._incoming: asyncio.Queue[Struct | Exception] = asyncio.Queue()

    def send(self, message: Struct) -> None:
        self.sent.append(message)

    async def receive(self, expected: Any) -> Struct:
        async with asyncio.timeout(self.idle_timeout_s):
            found = await self._incoming.get()
        if isinstance(found, Exception):
            raise found
        return found

    def close(self) -> None:
        self.closed = True

    def say(self, *messages: Struct | Exception) -> None:
        """The control scheduler sends these."""
        for message in messages:
            self._incoming.put_nowait(message)
        self.loop.settle()

    def watch(self) -> WatchRequest:
        """The latest message, a watch."""
        found = self.sent[-1]
        assert isinstance(found, WatchRequest)
        return found

    def offer(self, **versions: Version) -> None:
        """Answer the watch that is out."""
        self.say(WatchResponse(self.watch().request_id, self.address, versions))

    def refuse(self, *control: ControlMember, **versions: Version) -> None:
        """Answer the watch that is out: no majority stands behind this control scheduler."""
        self.say(UnconfirmedResponse(self.watch().request_id, self.address, control, versions))

    def fetches(self) -> list[FetchRequest]:
        return [message for message in self.sent if isinstance(message, FetchRequest)]


class Control:
    """The control plane as sessions meet it."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        timeouts: SessionTimeouts = DEFAULT_TIMEOUTS,
        apply_s: float = 2.0,
    ) -> None:
        self.loop = VirtualLoop()
        self.made, self.heard = make_subscription(apply_s)
        self.channels: list[ChannelStandIn] = []
        self.dark: set[str] = set()  # addresses from which nothing comes
        self.refusing: set[str] = set()
        self.seeds: tuple[str, ...] = ("c1:1", "c2:1", "c3:1")
        self.tried: list[str] = []
        self.sessions = ControlSessions(
            self.made, lambda: NODE_STATE, lambda: self.seeds, Random(7), timeouts
        )
        monkeypatch.setattr(control_session, "open_channel", self.open)
        self.running = self.loop.create_task(self.sessions.run())
        self.loop.settle()

    async def open(self, address: str) -> ChannelStandIn:
        self.tried.append(address)
        if address in self.dark:
            await asyncio.sleep(0.7)
            raise TimeoutError
        if address in self.refusing:
            raise ConnectionRefusedError
        self.channels.append(ChannelStandIn(self.loop, address))
        return self.channels[-1]

    def live(self) -> list[ChannelStandIn]:
        return [channel for channel in self.channels if not channel.closed]

    def keep_alive(self, seconds: float) -> None:
        """All live sessions answer each watch for so long."""
        for _ in range(round(seconds / ANSWER_S)):
            for channel in self.live():
                if isinstance(channel.sent[-1], WatchRequest):
                    channel.offer()
            self.loop.run_for(ANSWER_S)

    def close(self) -> None:
        self.running.cancel()
        self.loop.settle()
        self.loop.close()
