"""Framed messages over TCP: four bytes of length, then one encoded message."""

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
MOST_FRAME = 16 * 1024 * 1024  # bytes; a larger one is no message of ours
USER_TIMEOUT_MS = 1500  # unacknowledged bytes end a connection after this
CONNECT_TIMEOUT_S = 0.7


class FramingError(FleetError, ConnectionError):
    """What came is no framed message."""

    def __init__(self, message: str) -> None:
        super().__init__(ErrorCode.FRAME_MALFORMED, message)


class Channel:
    """One connection that carries messages both ways."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.silence_s: float | None = None  # with no byte for so long the other side is taken to be gone
        self._reader = reader
        self._writer = writer
        tune(writer)

    def send(self, message: msgspec.Struct) -> None:
        """Queue a message; bytes leave as the connection takes them."""
        self.send_encoded(encode(message))

    def send_encoded(self, payload: bytes) -> None:
        """Queue a message that `encode` has made bytes of; one that many get is encoded once.

        A connection that is over takes nothing more; its reader is told of the end.
        """
        if self._writer.is_closing():
            return
        self._writer.write(LENGTH.pack(len(payload)) + payload)

    def waiting(self) -> int:
        """Bytes that are queued and not yet taken by the system."""
        return self._writer.transport.get_write_buffer_size()

    async def receive(self, expected: Any) -> Any:
        """The next message. Raises ConnectionError or IncompleteReadError when the connection is over, and
        TimeoutError when no byte has come for `silence_s`."""
        (length,) = LENGTH.unpack(await self._exactly(LENGTH.size))
        if length > MOST_FRAME:
            raise FramingError(f"a frame of {length} bytes")
        try:
            return decode(await self._exactly(length), expected)
        except (msgspec.ValidationError, ormsgpack.MsgpackDecodeError) as error:
            raise FramingError(str(error)) from error

    async def _exactly(self, count: int) -> bytes:
        if self.silence_s is None:
            return await self._reader.readexactly(count)
        data = bytearray()
        while len(data) < count:
            async with asyncio.timeout(self.silence_s):  # wait_for swallows a cancellation as bytes arrive
                piece = await self._reader.read(count - len(data))
            if not piece:
                raise asyncio.IncompleteReadError(bytes(data), count)
            data += piece
        return bytes(data)

    def close(self) -> None:
        self._writer.transport.abort()


CONNECTION_ENDED = (ConnectionError, asyncio.IncompleteReadError, OSError, TimeoutError)


def tune(writer: asyncio.StreamWriter) -> None:
    """No delay for small messages; a silent peer ends the connection."""
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
