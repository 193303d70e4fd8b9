"""Connections between control plane nodes, and the port to which they and data plane nodes connect.

Each node sends over connections that it opened itself, and reads from those that others opened: one to each
peer for small messages, one, opened when it is needed, for large ones, so that a document on a slow link does
not delay heartbeats, and one for tallies, which nodes of an earlier version refuse by its first message and
lose nothing else. Messages may be lost; on one connection they keep their order.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from msgspec import Struct

from reedspoke.common.messages import EdgeMessage, FetchRequest, WatchRequest, encode
from reedspoke.common.node_settings import split_address
from reedspoke.common.transport import CONNECTION_ENDED, Channel
from reedspoke.control_plane.peers.link import PeerLink
from reedspoke.control_plane.peers.messages import PeerHello, PeerMessage
from reedspoke.control_plane.tallies.messages import TallyHello, TallyMessage

MAX_LINKS = 128
LARGE_BYTES = 64 * 1024  # a message of more goes over the connection for large ones
# An attempt that a partition has swallowed is given up soon, so that its healing is noticed; slow links have
# the last one.
TALLY_CONNECT_TIMEOUTS_S = (0.25, 0.25, 0.9)
MAX_INCOMING = 2048  # connections that others opened
HANDSHAKE_TIMEOUT_S = 2.0  # for the first message of a connection
LINK_IDLE_TIMEOUT_S = 30.0  # an outgoing connection that is not used for so long is closed
PEER_IDLE_TIMEOUT_S = 10.0  # an incoming connection that brings nothing for so long is closed

FirstMessage = PeerHello | TallyHello | WatchRequest | FetchRequest

PeerMessageHandler = Callable[[str, PeerMessage], None]  # with the sender's address
TallyMessageHandler = Callable[[str, TallyMessage], None]  # as well


class SessionHandler(Protocol):
    """Takes the messages of data plane nodes."""

    def message_received(self, channel: Channel, message: EdgeMessage) -> None:
        """A message on a session."""

    def connection_closed(self, channel: Channel) -> None:
        """The connection is over; called for those of control plane nodes too."""


class LinkKind(Enum):
    """What a connection to a peer is for."""

    SMALL = "small"
    LARGE = "large"
    TALLIES = "tallies"


class LinkKey(Struct, frozen=True):
    """Which of the connections to a peer."""

    address: str
    kind: LinkKind


class IncomingConnection(Struct):
    """A connection that another node opened, and when its last message came."""

    channel: Channel
    received_at: float


class PeerTransport:
    """Owns all connections to and from other control plane nodes, and those from data plane nodes."""

    def __init__(
        self,
        own_address: str,
        zone: str,
        on_peer_message: PeerMessageHandler,
        on_tally_message: TallyMessageHandler,
        sessions: SessionHandler,
    ) -> None:
        self._own_address = own_address
        self._hello = PeerHello(own_address, zone)
        self._tally_hello = TallyHello(own_address, zone)
        self._on_peer_message = on_peer_message
        self._on_tally_message = on_tally_message
        self._sessions = sessions
        self._links: dict[LinkKey, PeerLink] = {}
        self._incoming: dict[asyncio.Task[None], IncomingConnection] = {}
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen for other nodes. Raises OSError where the port is taken."""
        host, port = split_address(self._own_address)
        self._server = await asyncio.start_server(self._accept, host, port, backlog=MAX_INCOMING)

    def send(self, address: str, message: Struct) -> None:
        """Send to another control plane node; the message may be lost."""
        self.send_encoded(address, encode(message))

    def send_encoded(self, address: str, payload: bytes) -> None:
        """Send a message that `encode` has encoded."""
        kind = LinkKind.LARGE if len(payload) > LARGE_BYTES else LinkKind.SMALL
        self._send(LinkKey(address, kind), payload)

    def send_tally(self, address: str, message: Struct) -> None:
        """Send a message about tallies; it may be lost."""
        self._send(LinkKey(address, LinkKind.TALLIES), encode(message))

    def _send(self, key: LinkKey, payload: bytes) -> None:
        link = self._links.get(key)
        if link is None:
            if key.address == self._own_address or len(self._links) >= MAX_LINKS:
                return
            link = self._links[key] = self._make_link(key)
        link.send(payload)

    def _make_link(self, key: LinkKey) -> PeerLink:
        if key.kind is LinkKind.TALLIES:
            return PeerLink(key.address, self._tally_hello, TALLY_CONNECT_TIMEOUTS_S)
        return PeerLink(key.address, self._hello)

    def close_idle(self) -> None:
        """Close outgoing connections that nobody uses, and incoming ones that bring nothing."""
        now = self._loop.time()
        for key, link in list(self._links.items()):
            if link.used_at < now - LINK_IDLE_TIMEOUT_S:
                link.close()
                del self._links[key]
        for connection in self._incoming.values():
            if connection.received_at < now - PEER_IDLE_TIMEOUT_S:
                connection.channel.close()

    def close(self) -> None:
        """End all connections."""
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            link.close()
        for task in self._incoming:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        task = asyncio.current_task()
        if task is None or len(self._incoming) >= MAX_INCOMING:
            channel.close()
            return
        connection = self._incoming[task] = IncomingConnection(channel, self._loop.time())
        try:
            await self._receive(connection)
        except CONNECTION_ENDED:
            pass
        except asyncio.CancelledError:
            pass  # the process ends
        finally:
            del self._incoming[task]
            channel.close()
            self._sessions.connection_closed(channel)

    async def _receive(self, connection: IncomingConnection) -> None:
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            first = await connection.channel.receive(FirstMessage)
        match first:
            case PeerHello():
                await self._receive_from_peer(connection, first.address)
            case TallyHello():
                await self._receive_tallies(connection, first.address)
            case _:
                await self._receive_session(connection, first)

    async def _receive_from_peer(self, connection: IncomingConnection, sender: str) -> None:
        while True:
            self._on_peer_message(sender, await connection.channel.receive(PeerMessage))
            connection.received_at = self._loop.time()

    async def _receive_tallies(self, connection: IncomingConnection, sender: str) -> None:
        while True:
            self._on_tally_message(sender, await connection.channel.receive(TallyMessage))
            connection.received_at = self._loop.time()

    async def _receive_session(self, connection: IncomingConnection, first: EdgeMessage) -> None:
        message = first
        while True:
            self._sessions.message_received(connection.channel, message)
            message = await connection.channel.receive(EdgeMessage)
            connection.received_at = self._loop.time()
