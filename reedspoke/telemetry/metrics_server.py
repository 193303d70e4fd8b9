"""Serves the metrics of a process over HTTP/1.1 at one path."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from reedspoke.telemetry.metrics import CONTENT_TYPE

END_OF_HEAD = b"\r\n\r\n"
REQUEST_LINE_FIELDS = 3  # method, target, version
MAX_HEAD_BYTES = 8 * 1024
MAX_CONNECTIONS = 4
IDLE_TIMEOUT_S = 15.0  # metrics are scraped every few seconds
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
FOUND = b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nContent-Length: %d\r\n\r\n%b"


class MetricsServer:
    """Listens at `ip:port`, for few callers at a time, and owns their connections."""

    def __init__(self, path: str, render: Callable[[], str]) -> None:
        """`render` returns the body of each answer."""
        self.path = path.encode()
        self.render = render
        self.connections: set[MetricsConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Opens the port. Raises OSError where it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: MetricsConnection(self, loop), host, port)

    def close(self) -> None:
        """Closes the port and all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


class MetricsConnection(asyncio.Protocol):
    """One connection of a scraper."""

    def __init__(self, server: MetricsServer, loop: asyncio.AbstractEventLoop) -> None:
        """The server owns the connection from `connection_made` on."""
        self._server = server
        self._loop = loop
        self._pending = b""
        self._transport: asyncio.Transport | None = None
        self._idle_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """A caller has connected; one too many is disconnected."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._server.connections) >= MAX_CONNECTIONS:
            transport.abort()
            return
        self._server.connections.add(self)
        self._restart_idle_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self._server.connections.discard(self)
        if self._idle_timer is not None:
            self._idle_timer.cancel()

    def data_received(self, data: bytes) -> None:
        """Answers each complete request head; a head that is too long ends the connection."""
        assert self._transport is not None
        self._restart_idle_timer()
        self._pending += data
        while END_OF_HEAD in self._pending:
            head, _, self._pending = self._pending.partition(END_OF_HEAD)
            self._transport.write(self._answer(head))
        if len(self._pending) > MAX_HEAD_BYTES:
            self._transport.abort()

    def close(self) -> None:
        """Ends the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _restart_idle_timer(self) -> None:
        if self._idle_timer is not None:
            self._idle_timer.cancel()
        self._idle_timer = self._loop.call_later(IDLE_TIMEOUT_S, self.close)

    def _answer(self, head: bytes) -> bytes:
        request_line = head.split(b"\r\n", 1)[0].split(b" ")
        if len(request_line) != REQUEST_LINE_FIELDS:
            return NOT_FOUND
        method, target, _ = request_line
        if method != b"GET" or target.partition(b"?")[0] != self._server.path:
            return NOT_FOUND
        body = self._server.render().encode()
        return FOUND % (CONTENT_TYPE, len(body), body)
