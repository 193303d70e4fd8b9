"""Framed messages over TCP: four bytes of length (big endian), then one encoded message."""

from __future__ import annotations

import asyncio
import socket
import struct
from typing import Any

import msgspec
import ormsgpack

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.messages import decode, encode
from reedspoke.common.node_settings import split_address

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 16 * 1024 * 1024  # a larger frame is no message of ours
USER_TIMEOUT_MS = 1500  # bytes that are unacknowledged for so long end a connection (RFC 5482)
CONNECT_TIMEOUT_S = 0.7


class FramingError(FleetError, ConnectionError):
    """The bytes received are no framed message."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.FRAME_MALFORMED, message)


class Channel:
    """One connection that carries messages both ways.

    `idle_timeout_s`: with no byte for so long the other side is considered gone; None: never.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.idle_timeout_s: float | None = None
        self._reader = reader
        self._writer = writer
        configure_socket(writer)

    def send(self, message: msgspec.Struct) -> None:
        """Queue a message; bytes leave as the connection takes them."""
        self.send_encoded(encode(message))

    def send_encoded(self, payload: bytes) -> None:
        """Queue a message that `encode` has encoded, so that one for many receivers is encoded once.

        A closed connection drops it; whoever calls `receive` learns of the end.
        """
        if self._writer.is_closing():
            return
        self._writer.write(LENGTH.pack(len(payload)) + payload)

    def write_backlog_bytes(self) -> int:
        """Bytes that are queued and not yet taken by the operating system."""
        return self._writer.transport.get_write_buffer_size()

    async def receive(self, expected: Any) -> Any:
        """The next message, of the type (or union of types) `expected`.

        Raises ConnectionError or IncompleteReadError when the connection is over, its subclass FramingError
        for bytes that are no such message, and TimeoutError when no byte has come for `idle_timeout_s`.
        """
        (length,) = LENGTH.unpack(await self._read_exactly(LENGTH.size))
        if length > MAX_FRAME_BYTES:
            raise FramingError(f"a frame of {length} bytes")
        try:
            return decode(await self._read_exactly(length), expected)
        except (msgspec.ValidationError, ormsgpack.MsgpackDecodeError) as error:
            raise FramingError(str(error)) from error

    async def _read_exactly(self, count: int) -> bytes:
        if self.idle_timeout_s is None:
            return await self._reader.readexactly(count)
        data = bytearray()
        while len(data) < count:
            async with asyncio.timeout(self.idle_timeout_s):  # wait_for can swallow a cancellation
                received = await self._reader.read(count - len(data))
            if not received:
                raise asyncio.IncompleteReadError(bytes(data), count)
            data += received
        return bytes(data)

    def close(self) -> None:
        """Abort the connection; queued messages are dropped."""
        self._writer.transport.abort()


CONNECTION_ENDED = (ConnectionError, asyncio.IncompleteReadError, OSError, TimeoutError)


def configure_socket(writer: asyncio.StreamWriter) -> None:
    """Send small messages without delay, and end the connection of a peer that acknowledges nothing."""
    raw = writer.get_extra_info("socket")
    if raw is None:
        return
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


async def open_channel(address: str, timeout: float = CONNECT_TIMEOUT_S) -> Channel:
    """Connect to `ip:port`. Raises OSError or TimeoutError."""
    host, port = split_address(address)
    async with asyncio.timeout(timeout):
        reader, writer = await asyncio.open_connection(host, port)
    return Channel(reader, writer)
