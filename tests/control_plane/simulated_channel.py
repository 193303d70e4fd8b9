"""Connections between simulated processes: the interface of `Channel`, over links that may be cut."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from msgspec import Struct

from reedspoke.common.messages import decode, encode
from tests.control_plane.process_loop import ProcessLoop
from tests.control_plane.simulated_parts import VirtualTime

DELAY_S = (0.001, 0.006)
RESEND_S = 0.2  # a message on a cut link is resent after this
USER_TIMEOUT_S = 1.5  # a cut link ends the connection after this


class Links(Protocol):
    """The links between machines."""

    def carries(self, sender: str, receiver: str) -> bool:
        """Whether the link from sender to receiver is up."""


@dataclass
class Outgoing:
    """A message, or the end of the connection, in transit to the other end."""

    deliver: Callable[[SimulatedChannel], None]
    sent_at: float
    due: float


class SimulatedChannel:
    """One end of a connection, in a process of the machine `own`."""

    def __init__(
        self, own: str, other: str, loop: ProcessLoop, virtual_time: VirtualTime, links: Links, random: Random
    ) -> None:
        self.idle_timeout_s: float | None = None
        self.on_message: Callable[[bytes], None] | None = None  # in place of `receive`
        self.on_end: Callable[[], None] | None = None
        self.peer: SimulatedChannel | None = None
        self._own = own
        self._other = other
        self._loop = loop
        self._virtual_time = virtual_time
        self._links = links
        self._random = random
        self._outgoing: deque[Outgoing] = deque()
        self._arrived: deque[bytes] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._ended = False

    # ---- the interface of a Channel ----

    def send(self, message: Struct) -> None:
        """Send a message."""
        self.send_encoded(encode(message))

    def send_encoded(self, payload: bytes) -> None:
        """Send an encoded message."""
        if not self._ended and not self._loop.ended:
            self._transmit(lambda peer: peer.arrive(payload))

    def write_backlog_bytes(self) -> int:
        """0, as nothing is buffered for writing."""
        return 0

    async def receive(self, expected: Any) -> Any:
        """As `Channel.receive`."""
        while not self._arrived:
            if self._ended:
                raise ConnectionResetError("the connection has ended")
            self._waiter = self._loop.create_future()
            await asyncio.wait_for(self._waiter, self.idle_timeout_s)
        return decode(self._arrived.popleft(), expected)

    def close(self) -> None:
        """End the connection; the other end is notified if the link is up.

        Does nothing in a process that has ended, whose objects Python may finalize at any time.
        """
        if not self._ended and not self._loop.ended:
            self._transmit(lambda peer: peer.end())
            self._ended = True

    # ---- events ----

    def arrive(self, payload: bytes) -> None:
        """A message has arrived."""
        if self._ended:
            return
        if self.on_message is not None:
            self._loop.run(self.on_message, payload)
            return
        self._arrived.append(payload)
        self._wake()

    def end(self) -> None:
        """The connection has ended."""
        if self._ended:
            return
        self._ended = True
        if self.on_end is not None:
            self._loop.run(self.on_end)
        self._wake()

    def _wake(self) -> None:
        waiter, self._waiter = self._waiter, None
        if waiter is not None and not waiter.done():
            self._loop.run(_settle, waiter)

    def _transmit(self, deliver: Callable[[SimulatedChannel], None]) -> None:
        now = self._virtual_time.now
        due = now + self._random.uniform(*DELAY_S)
        self._outgoing.append(Outgoing(deliver, now, due))
        if len(self._outgoing) == 1:
            self._virtual_time.at(due, self._pass_on)

    def _pass_on(self) -> None:
        """Deliver the messages that are due, in order."""
        now = self._virtual_time.now
        while self._outgoing and self.peer is not None:
            first = self._outgoing[0]
            if first.due > now:
                self._virtual_time.at(first.due, self._pass_on)
                return
            if not self._links.carries(self._own, self._other):
                self._hold_up(first, now)
                return
            self._outgoing.popleft()
            first.deliver(self.peer)

    def _hold_up(self, first: Outgoing, now: float) -> None:
        if now >= first.sent_at + USER_TIMEOUT_S:
            self._outgoing.clear()
            self.end()
        else:
            self._virtual_time.at(now + RESEND_S, self._pass_on)


def _settle(waiter: asyncio.Future[None]) -> None:
    if not waiter.done():
        waiter.set_result(None)


def join_channels(one: SimulatedChannel, other: SimulatedChannel) -> None:
    """Connect the two ends of one connection."""
    one.peer, other.peer = other, one
