"""A small HTTP/1.1 server on asyncio. It owns the listening socket and the set of open connections."""

from __future__ import annotations

import asyncio
from typing import Protocol

from reedspoke.common.node_settings import split_address
from reedspoke.control_plane.api.http_connection import ErrorBody, Handler, HttpConnection

MAX_CONNECTIONS = 256
SWEEP_INTERVAL_S = 2.0  # between two searches for connections that are overdue


class RefusalObserver(Protocol):
    """Is told of what ends before it reaches the handler."""

    def connection_refused(self, open_connections: int) -> None:
        """A connection beyond the limit was closed unread."""

    def request_malformed(self, status: int, message: str) -> None:
        """A request that is no proper HTTP was answered with this status."""


class HttpServer:
    """Listens, and passes complete requests to the handler.

    `error_body` makes the body of the response to a request that is no proper HTTP.
    """

    def __init__(
        self, handler: Handler, error_body: ErrorBody, observer: RefusalObserver | None = None
    ) -> None:
        self.handler = handler
        self.error_body = error_body
        self.observer = observer
        self.closing = False  # every response ends its connection
        self._connections: set[HttpConnection] = set()
        self._server: asyncio.Server | None = None
        self._loop = asyncio.get_running_loop()
        self._next_sweep: asyncio.TimerHandle | None = None

    async def listen(self, address: str) -> None:
        """Listen at `ip:port`. Raises OSError where that port is taken."""
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
        """Register a connection; False where there are too many."""
        if len(self._connections) >= MAX_CONNECTIONS:
            if self.observer is not None:
                self.observer.connection_refused(len(self._connections))
            return False
        self._connections.add(connection)
        return True

    def request_malformed(self, status: int, message: str) -> None:
        """Pass on that a request is no proper HTTP."""
        if self.observer is not None:
            self.observer.request_malformed(status, message)

    def connection_closed(self, connection: HttpConnection) -> None:
        """Remove a connection that is over."""
        self._connections.discard(connection)

    def _sweep(self) -> None:
        self._next_sweep = self._loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        now = self._loop.time()
        for connection in list(self._connections):
            if connection.is_overdue(now):
                connection.abort()
