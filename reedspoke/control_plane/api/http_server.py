"""A small asyncio HTTP/1.1 server. It owns the listening socket and the set of open connections."""

from __future__ import annotations

import asyncio
from typing import Protocol

from reedspoke.common.node_settings import split_address
from reedspoke.control_plane.api.http_connection import ErrorBody, Handler, HttpConnection

MAX_CONNECTIONS = 256
SWEEP_INTERVAL_S = 2.0  # interval between checks for connections that have timed out


class RefusalObserver(Protocol):
    """Observes connections and requests that are refused before they reach the handler."""

    def connection_refused(self, open_connections: int) -> None:
        """Record that a connection beyond the limit was closed unread."""

    def request_malformed(self, status: int, message: str) -> None:
        """Record that a malformed HTTP request was answered with this status."""


class HttpServer:
    """Listens for connections and passes complete requests to the handler.

    `error_body` builds the response body for a malformed HTTP request.
    """

    def __init__(
        self, handler: Handler, error_body: ErrorBody, observer: RefusalObserver | None = None
    ) -> None:
        self.handler = handler
        self.error_body = error_body
        self.observer = observer
        self.closing = False  # while set, each connection is closed after its next response
        self._connections: set[HttpConnection] = set()
        self._server: asyncio.Server | None = None
        self._loop = asyncio.get_running_loop()
        self._next_sweep: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Listen at `ip:port`. Raises OSError if the port is already in use."""
        host, port = split_address(address)
        self._server = await self._loop.create_server(lambda: HttpConnection(self), host, port)
        self._sweep()

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        if self._server is not None:
            self._server.close()
        if self._next_sweep is not None:
            self._next_sweep.cancel()
        for connection in list(self._connections):
            connection.abort()

    def connection_opened(self, connection: HttpConnection) -> bool:
        """Register a connection. Returns False if too many are open."""
        if len(self._connections) >= MAX_CONNECTIONS:
            if self.observer is not None:
                self.observer.connection_refused(len(self._connections))
            return False
        self._connections.add(connection)
        return True

    def request_malformed(self, status: int, message: str) -> None:
        """Report a malformed HTTP request to the observer."""
        if self.observer is not None:
            self.observer.request_malformed(status, message)

    def connection_closed(self, connection: HttpConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def _sweep(self) -> None:
        self._next_sweep = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._loop.time()
        for connection in list(self._connections):
            if connection.is_overdue(now):
                connection.abort()
