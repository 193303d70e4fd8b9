"""Serves the figures of a process over HTTP/1.1 at one path."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from reedspoke.telemetry.metrics import CONTENT_TYPE

END_OF_HEAD = b"\r\n\r\n"
MOST_HEAD = 8 * 1024
MOST_CONNECTIONS = 4
IDLE_S = 15.0  # the figures are asked for each few seconds
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
FOUND = b"HTTP/1.1 200 OK\r\nContent-Type: %b\r\nContent-Length: %d\r\n\r\n%b"


class MetricsServer:
    """Listens at `ip:port`, for few callers at a time. `text` makes the body of each answer."""

    def __init__(self, path: str, text: Callable[[], str]) -> None:
        self.path = path.encode()
        self.text = text
        self.connections: set[MetricsConnection] = set()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Open the port. Raises OSError where it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: MetricsConnection(self, loop), host, port)

    def close(self) -> None:
        """End the server and its connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close()


class MetricsConnection(asyncio.Protocol):
    """One connection of whoever reads the figures."""

    def __init__(self, server: MetricsServer, loop: asyncio.AbstractEventLoop) -> None:
        self._server = server
        self._loop = loop
        self._pending = b""
        self._transport: asyncio.Transport | None = None
        self._idle: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if len(self._server.connections) >= MOST_CONNECTIONS:
            transport.abort()
            return
        self._server.connections.add(self)
        self._wait()

    def connection_lost(self, exc: Exception | None) -> None:
        self._server.connections.discard(self)
        if self._idle is not None:
            self._idle.cancel()

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        self._wait()
        self._pending += data
        while END_OF_HEAD in self._pending:
            head, _, self._pending = self._pending.partition(END_OF_HEAD)
            self._transport.write(self._answer(head))
        if len(self._pending) > MOST_HEAD:
            self._transport.abort()

    def close(self) -> None:
        """End the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _wait(self) -> None:
        if self._idle is not None:
            self._idle.cancel()
        self._idle = self._loop.call_later(IDLE_S, self.close)

    def _answer(self, head: bytes) -> bytes:
        words = head.split(b"\r\n", 1)[0].split(b" ")
        if len(words) != 3 or words[0] != b"GET" or words[1].partition(b"?")[0] != self._server.path:
            return NOT_FOUND
        body = self._server.text().encode()
        return FOUND % (CONTENT_TYPE, len(body), body)
