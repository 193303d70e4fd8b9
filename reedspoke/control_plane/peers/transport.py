"""Connections between control schedulers, and the port at which they and data plane schedulers arrive.

Each control scheduler sends over connections that it opened itself, and reads from those that others opened:
one to each peer for small messages, and one, opened when it is needed, for large ones, so that a document on
a slow link does not hold up the signs of life. Messages may be lost; on one connection they keep their order.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from msgspec import Struct

from reedspoke.common.background import keep_running
from reedspoke.common.json_log import DEBUG, INFO, log
from reedspoke.common.messages import EdgeMessage, FetchRequest, WatchRequest, WorkerList, encode
from reedspoke.common.node_settings import split_address
from reedspoke.common.transport import CONNECTION_ENDED, Channel, open_channel
from reedspoke.control_plane.peers.messages import (
    DiscoveryLeaseRelease,
    DiscoveryLeaseRequest,
    DiscoveryLeaseResponse,
    Hello,
    QuotaLoan,
    QuotaLoanRequest,
    SessionTable,
)
from reedspoke.control_plane.replication.messages import ReplicaMessage

REDIAL_PAUSE_S = 0.15
MOST_WAITING = 8 * 1024 * 1024  # bytes for a peer that does not read them
MOST_QUEUED = 64  # messages for a peer whose connection is not up yet
QUEUE_LIFE_S = 1.0  # older messages are of no use to it
MOST_LINKS = 128
LARGE_BYTES = 64 * 1024  # a message of more goes over the connection for large ones
MOST_ARRIVED = 2048  # connections that others opened
FIRST_MESSAGE_S = 2.0
IDLE_LINK_S = 30.0
SILENT_PEER_S = 10.0  # a connection that brings nothing for so long is over

PeerMessage = (
    ReplicaMessage
    | SessionTable
    | DiscoveryLeaseRequest
    | DiscoveryLeaseResponse
    | DiscoveryLeaseRelease
    | QuotaLoanRequest
    | QuotaLoan
    | WorkerList
)
FirstMessage = Hello | WatchRequest | FetchRequest

PeerHandler = Callable[[str, PeerMessage], None]


class EdgeSide(Protocol):
    """Takes the messages of data plane schedulers."""

    def received(self, channel: Channel, message: EdgeMessage) -> None:
        """A message on a session."""

    def ended(self, channel: Channel) -> None:
        """The session is over."""


class Queued(Struct):
    """An encoded message that waits for the connection to come up."""

    payload: bytes
    at: float


class Arrived(Struct):
    """A connection that another scheduler opened."""

    channel: Channel
    heard_at: float


class PeerLink:
    """The connection that we open to one other control scheduler, opened again whenever it ends."""

    def __init__(self, address: str, hello: Hello) -> None:
        self.address = address
        self._hello = hello
        self._channel: Channel | None = None
        self._queue: deque[Queued] = deque(maxlen=MOST_QUEUED)
        self._loop = asyncio.get_running_loop()
        self.used_at = self._loop.time()
        self._task = self._loop.create_task(keep_running("a link to a peer", self._run))

    def send(self, payload: bytes) -> None:
        """Send or queue an encoded message, or drop it where the peer does not take any."""
        self.used_at = self._loop.time()
        if self._channel is None:
            self._enqueue(payload)
        elif self._channel.write_backlog_bytes() > MOST_WAITING:
            log(INFO, "peer does not read", peer=self.address)
            self._channel.close()
            self._channel = None
        else:
            self._channel.send_encoded(payload)

    def close(self) -> None:
        """End the connection for good."""
        self._task.cancel()
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    def _enqueue(self, payload: bytes) -> None:
        waiting = sum(len(queued.payload) for queued in self._queue)
        if waiting + len(payload) <= MOST_WAITING:
            self._queue.append(Queued(payload, self._loop.time()))

    async def _run(self) -> None:
        while True:
            try:
                channel = await open_channel(self.address)
            except CONNECTION_ENDED:
                self._queue.clear()
                await asyncio.sleep(REDIAL_PAUSE_S)
                continue
            self._opened(channel)
            try:
                await channel.receive(Hello)  # nothing comes: this returns when the connection ends
            except CONNECTION_ENDED:
                pass
            finally:
                channel.close()
                self._channel = None
            log(DEBUG, "peer connection ended", peer=self.address)
            await asyncio.sleep(REDIAL_PAUSE_S)

    def _opened(self, channel: Channel) -> None:
        channel.send(self._hello)
        oldest = self._loop.time() - QUEUE_LIFE_S
        for queued in self._queue:
            if queued.at >= oldest:
                channel.send_encoded(queued.payload)
        self._queue.clear()
        self._channel = channel


class PeerTransport:
    """All connections to and from other control schedulers."""

    def __init__(self, own_address: str, zone: str, on_peer: PeerHandler, edges: EdgeSide) -> None:
        self._own_address = own_address
        self._hello = Hello(own_address, zone)
        self._on_peer = on_peer
        self._edges = edges
        self._links: dict[tuple[str, bool], PeerLink] = {}  # by address, and whether it is for large messages
        self._arrived: dict[asyncio.Task[None], Arrived] = {}
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Open the port for other schedulers."""
        host, port = split_address(self._own_address)
        self._server = await asyncio.start_server(self._connection, host, port, backlog=MOST_ARRIVED)

    def send(self, address: str, message: Struct) -> None:
        """Send to another control scheduler; the message may be lost."""
        self.send_encoded(address, encode(message))

    def send_encoded(self, address: str, payload: bytes) -> None:
        """Send a message that `encode` has made bytes of."""
        key = (address, len(payload) > LARGE_BYTES)
        link = self._links.get(key)
        if link is None:
            if address == self._own_address or len(self._links) >= MOST_LINKS:
                return
            link = self._links[key] = PeerLink(address, self._hello)
        link.send(payload)

    def close_idle(self) -> None:
        """End the connections to whom nothing has been sent, or from whom nothing has come, for long."""
        now = self._loop.time()
        for key, link in list(self._links.items()):
            if link.used_at < now - IDLE_LINK_S:
                link.close()
                del self._links[key]
        for arrived in self._arrived.values():
            if arrived.heard_at < now - SILENT_PEER_S:
                arrived.channel.close()

    def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            link.close()
        for task in self._arrived:
            task.cancel()

    async def _connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        task = asyncio.current_task()
        if task is None or len(self._arrived) >= MOST_ARRIVED:
            channel.close()
            return
        arrived = self._arrived[task] = Arrived(channel, self._loop.time())
        try:
            await self._converse(arrived)
        except CONNECTION_ENDED:
            pass
        except asyncio.CancelledError:
            pass  # the process ends
        finally:
            del self._arrived[task]
            channel.close()
            self._edges.ended(channel)

    async def _converse(self, arrived: Arrived) -> None:
        channel = arrived.channel
        async with asyncio.timeout(FIRST_MESSAGE_S):
            first = await channel.receive(FirstMessage)
        if isinstance(first, Hello):
            while True:
                self._on_peer(first.address, await channel.receive(PeerMessage))
                arrived.heard_at = self._loop.time()
        message = first
        while True:
            self._edges.received(channel, message)
            message = await channel.receive(EdgeMessage)
            arrived.heard_at = self._loop.time()
