"""Helpers for Tornado's streams, for connections to clients and to issuer hosts."""

from __future__ import annotations

import asyncio
import select
import socket
import ssl
from contextlib import suppress
from typing import Any, cast

from tornado.iostream import IOStream, StreamClosedError

from reedspoke.net.http import MIN_READ_BYTES, Buffer

MAX_BUFFERED_BYTES = 512 * 1024


def connect(endpoint: tuple[str, int]) -> IOStream:
    """Create a stream that is not connected yet."""
    family = socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET
    return stream(socket.socket(family, socket.SOCK_STREAM))


def stream(raw: socket.socket) -> IOStream:
    """Wrap a socket in a stream."""
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return IOStream(raw, max_buffer_size=MAX_BUFFERED_BYTES, max_write_buffer_size=MAX_BUFFERED_BYTES)


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
    """Open a listening socket. Raises OSError."""
    family = socket.AF_INET6 if ":" in address[0] else socket.AF_INET
    listener = socket.socket(family, socket.SOCK_STREAM)
    listener.setblocking(False)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        listener.bind(address)
        listener.listen(backlog)
    except OSError:
        listener.close()
        raise
    return listener


def start_read(source: IOStream, buffer: Buffer, room: int = MIN_READ_BYTES) -> asyncio.Future[int]:
    """Start to read into the buffer. Tornado accepts any writable buffer, though it declares bytearray."""
    place = cast(Any, buffer.room(room))
    return cast("asyncio.Future[int]", source.read_into(place, partial=True))


async def read(source: IOStream, buffer: Buffer, room: int = MIN_READ_BYTES) -> None:
    """Read once into the buffer. Raises StreamClosedError."""
    buffer.filled(await start_read(source, buffer, room))


async def discard_input(source: IOStream, max_bytes: int) -> None:
    """Read and discard further bytes until the stream ends, up to about `max_bytes`.

    The end of the stream raises no error: an exception that passed through a timed wait would keep alive the
    stack frames that it came through.
    """
    sink = Buffer(max_bytes // 4)
    with suppress(StreamClosedError):
        while max_bytes > 0:
            sink.start = sink.end = 0
            await read(source, sink)
            max_bytes -= sink.end


def has_unread_bytes(source: IOStream) -> bool:
    """Whether received bytes have not been read. Closing the connection now would reset it for the client.

    Over TLS the bytes may be a complete record or a part of one. The plain socket's recv is used, because TLS
    sockets do not support MSG_PEEK.
    """
    raw = source.socket
    if isinstance(raw, ssl.SSLSocket) and raw.pending():
        return True
    try:
        return bool(socket.socket.recv(raw, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def peer_has_closed(source: IOStream) -> bool:
    """Whether the peer has closed or reset the connection, found without reading from it.

    The end of the stream may not have been read yet, or may follow bytes that nobody reads in advance. A peer
    that has only shut down its sending side counts as closed as well: on the wire the two look the same.
    """
    if source.closed():
        return True
    try:
        if not socket.socket.recv(source.socket, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            return True
        poll = select.poll()  # unread bytes hide the end of the stream from recv
        poll.register(source.socket, select.POLLRDHUP)
        return bool(poll.poll(0))
    except BlockingIOError:
        return False
    except OSError:
        return True


def nothing_to_read(source: IOStream) -> bool:
    """Whether the stream is open and has neither unread bytes nor an unread end.

    A stream that has closed has no socket, for example after a reset that has not been reported yet.
    """
    if source.closed():
        return False
    try:
        socket.socket.recv(source.socket, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False


def end_sending(source: IOStream) -> None:
    """Shut down the sending side of a connection.

    Over TLS a close_notify alert is sent first, without which the peer would have to treat what it has read
    as truncated. After that, bytes of the peer are read without decryption and discarded.
    """
    raw = source.socket
    if isinstance(raw, ssl.SSLSocket):
        with suppress(OSError, ValueError):  # it asks for the peer's close_notify, which is not awaited
            raw.unwrap()
    with suppress(OSError):
        raw.shutdown(socket.SHUT_WR)
