"""Connections between control plane nodes, and the port to which they and data plane nodes connect.

Each node sends over connections that it opened itself, and receives on connections that others opened. It
opens up to four connections to each peer, when they are first needed:

* for small messages;
* for large messages, so that a document on a slow link does not delay heartbeats;
* for tallies, and for the numbers of orders: nodes of an earlier version reject the first message, and the
  other connections are unaffected. The numbers do not wait behind the tallies.

Messages may be lost; on one connection they keep their order.
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
from reedspoke.control_plane.tallies.messages import OrderHello, OrderMessage, TallyHello, TallyMessage

MAX_LINKS = 128
LARGE_MESSAGE_BYTES = 64 * 1024  # longer messages go over the connection for large ones
# Attempts to connect have short time-outs, so that the end of a partition is noticed soon. The last value
# allows for slow links.
TALLY_CONNECT_TIMEOUTS_S = (0.25, 0.25, 0.9)
MAX_INCOMING_CONNECTIONS = 2048
HANDSHAKE_TIMEOUT_S = 2.0  # until the first message on an incoming connection
LINK_IDLE_TIMEOUT_S = 30.0  # for outgoing connections
PEER_IDLE_TIMEOUT_S = 10.0  # for incoming connections

FirstMessage = PeerHello | TallyHello | OrderHello | WatchRequest | FetchRequest

# The first argument is the address of the sender.
PeerMessageHandler = Callable[[str, PeerMessage], None]
TallyMessageHandler = Callable[[str, TallyMessage | OrderMessage], None]


class SessionHandler(Protocol):
    """Handles the messages of data plane nodes."""

    def message_received(self, channel: Channel, message: EdgeMessage) -> None:
        """Handle a message on a session."""

    def connection_closed(self, channel: Channel) -> None:
        """Handle the end of a connection; also called for connections of control plane nodes."""


class LinkKind(Enum):
    """The messages that a connection to a peer carries."""

    SMALL = "small"
    LARGE = "large"
    TALLIES = "tallies"
    ORDERS = "orders"


class LinkKey(Struct, frozen=True):
    """Identifies one of the connections to a peer."""

    address: str
    kind: LinkKind


class IncomingConnection(Struct):
    """A connection that another node opened, and the time of its last message."""

    channel: Channel
    last_received_at: float


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
        self._order_hello = OrderHello(own_address, zone)
        self._on_peer_message = on_peer_message
        self._on_tally_message = on_tally_message
        self._sessions = sessions
        self._links: dict[LinkKey, PeerLink] = {}
        self._incoming: dict[asyncio.Task[None], IncomingConnection] = {}
        self._loop = asyncio.get_running_loop()
        self._server: asyncio.Server | None = None

    async def listen(self) -> None:
        """Listen for other nodes. Raises OSError if the port is in use."""
        host, port = split_address(self._own_address)
        self._server = await asyncio.start_server(self._accept, host, port, backlog=MAX_INCOMING_CONNECTIONS)

    def send(self, address: str, message: Struct) -> None:
        """Send to another control plane node; the message may be lost."""
        self.send_encoded(address, encode(message))

    def send_encoded(self, address: str, payload: bytes) -> None:
        """Send a message that `encode` has encoded."""
        kind = LinkKind.LARGE if len(payload) > LARGE_MESSAGE_BYTES else LinkKind.SMALL
        self._send(LinkKey(address, kind), payload)

    def send_tally(self, address: str, message: Struct) -> None:
        """Send a message about tallies; it may be lost."""
        self._send(LinkKey(address, LinkKind.TALLIES), encode(message))

    def send_order_message(self, address: str, message: Struct) -> None:
        """Send a message about the numbers of orders; it may be lost."""
        self._send(LinkKey(address, LinkKind.ORDERS), encode(message))

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
        if key.kind is LinkKind.ORDERS:
            return PeerLink(key.address, self._order_hello, TALLY_CONNECT_TIMEOUTS_S)
        return PeerLink(key.address, self._hello)

    def close_idle(self) -> None:
        """Close the outgoing and incoming connections whose idle time-out has passed."""
        now = self._loop.time()
        for key, link in list(self._links.items()):
            if link.last_used_at < now - LINK_IDLE_TIMEOUT_S:
                link.close()
                del self._links[key]
        for connection in self._incoming.values():
            if connection.last_received_at < now - PEER_IDLE_TIMEOUT_S:
                connection.channel.close()

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for link in self._links.values():
            link.close()
        for task in self._incoming:
            task.cancel()

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        task = asyncio.current_task()
        if task is None or len(self._incoming) >= MAX_INCOMING_CONNECTIONS:
            channel.close()
            return
        connection = self._incoming[task] = IncomingConnection(channel, self._loop.time())
        try:
            await self._receive(connection)
        except CONNECTION_ENDED:
            pass
        except asyncio.CancelledError:
            pass  # `close` has cancelled the task
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
            case OrderHello():
                await self._receive_order_messages(connection, first.address)
            case _:
                await self._receive_session(connection, first)

    async def _receive_from_peer(self, connection: IncomingConnection, sender: str) -> None:
        while True:
            self._on_peer_message(sender, await connection.channel.receive(PeerMessage))
            connection.last_received_at = self._loop.time()

    async def _receive_tallies(self, connection: IncomingConnection, sender: str) -> None:
        while True:
            self._on_tally_message(sender, await connection.channel.receive(TallyMessage))
            connection.last_received_at = self._loop.time()

    async def _receive_order_messages(self, connection: IncomingConnection, sender: str) -> None:
        while True:
            self._on_tally_message(sender, await connection.channel.receive(OrderMessage))
            connection.last_received_at = self._loop.time()

    async def _receive_session(self, connection: IncomingConnection, first: EdgeMessage) -> None:
        message = first
        while True:
            self._sessions.message_received(connection.channel, message)
            message = await connection.channel.receive(EdgeMessage)
            connection.last_received_at = self._loop.time()
