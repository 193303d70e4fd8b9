"""HTTP readiness check: 200 if this node accepts requests, else 503, whatever path is requested."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

END_OF_HEAD = b"\r\n\r\n"
MAX_HEAD_BYTES = 8 * 1024
READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class ReadinessConnection(asyncio.Protocol):
    """One connection of the platform's readiness probe."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready
        self._pending = b""
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        assert self._transport is not None
        self._pending += data
        while END_OF_HEAD in self._pending:
            _, _, self._pending = self._pending.partition(END_OF_HEAD)
            self._transport.write(READY if self._is_ready() else NOT_READY)
        if len(self._pending) > MAX_HEAD_BYTES:
            self._transport.abort()
