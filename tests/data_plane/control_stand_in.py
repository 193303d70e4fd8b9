"""A fake control plane for the sessions of a data plane node, in virtual time; tests send its messages."""

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

IDLE_TIMEOUT_S = SessionTimeouts().idle_timeout_s
# Between rounds of responses. A new session's first `WatchRequest` gets its response at once, as it has no
# member list yet.
RESPONSE_INTERVAL_S = 0.1
NODE_STATE = NodeState("edge-1", "ab12", "za", False, {"i-1": (2, 30)})


class FakeChannel:
    """The data plane's end of a session; the test controls the other end."""

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

    def deliver(self, *messages: Struct | Exception) -> None:
        """The control plane node sends these messages, or the connection fails with an exception."""
        for message in messages:
            self._incoming.put_nowait(message)
        self.loop.settle()

    def last_watch(self) -> WatchRequest:
        """The last message sent, which must be a `WatchRequest`."""
        found = self.sent[-1]
        assert isinstance(found, WatchRequest)
        return found

    def respond(self, **versions: Version) -> None:
        """Respond to the `WatchRequest` in flight."""
        self.deliver(WatchResponse(self.last_watch().request_id, self.address, versions))

    def respond_unconfirmed(self, *control: ControlMember, **versions: Version) -> None:
        """Respond to the `WatchRequest` in flight: this control plane node has no majority."""
        self.deliver(UnconfirmedResponse(self.last_watch().request_id, self.address, control, versions))

    def fetches(self) -> list[FetchRequest]:
        return [message for message in self.sent if isinstance(message, FetchRequest)]


class FakeControlPlane:
    """All control plane nodes, as sessions see them."""

    def __init__(
        self,
        monkeypatch: pytest.MonkeyPatch,
        timeouts: SessionTimeouts = DEFAULT_TIMEOUTS,
        apply_s: float = 2.0,
    ) -> None:
        self.loop = VirtualLoop()
        self.subscription, self.updates = make_subscription(apply_s)
        self.channels: list[FakeChannel] = []
        self.unreachable: set[str] = set()  # connections to these addresses time out
        self.refusing: set[str] = set()
        self.seeds: tuple[str, ...] = ("c1:1", "c2:1", "c3:1")
        self.connect_attempts: list[str] = []
        self.sessions = ControlSessions(
            self.subscription, lambda: NODE_STATE, lambda: self.seeds, Random(7), timeouts
        )
        monkeypatch.setattr(control_session, "open_channel", self.open)
        self.running = self.loop.create_task(self.sessions.run())
        self.loop.settle()

    async def open(self, address: str) -> FakeChannel:
        self.connect_attempts.append(address)
        if address in self.unreachable:
            await asyncio.sleep(0.7)
            raise TimeoutError
        if address in self.refusing:
            raise ConnectionRefusedError
        self.channels.append(FakeChannel(self.loop, address))
        return self.channels[-1]

    def open_channels(self) -> list[FakeChannel]:
        return [channel for channel in self.channels if not channel.closed]

    def respond_for(self, seconds: float) -> None:
        """Respond to each `WatchRequest` on all open sessions for this time."""
        for _ in range(round(seconds / RESPONSE_INTERVAL_S)):
            for channel in self.open_channels():
                if isinstance(channel.sent[-1], WatchRequest):
                    channel.respond()
            self.loop.run_for(RESPONSE_INTERVAL_S)

    def close(self) -> None:
        self.running.cancel()
        self.loop.settle()
        self.loop.close()
