"""What both sides need of Tornado's streams."""

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
    """A stream that is still to be connected."""
    family = socket.AF_INET6 if ":" in endpoint[0] else socket.AF_INET
    return stream(socket.socket(family, socket.SOCK_STREAM))


def stream(raw: socket.socket) -> IOStream:
    raw.setblocking(False)
    raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return IOStream(raw, max_buffer_size=MAX_BUFFERED_BYTES, max_write_buffer_size=MAX_BUFFERED_BYTES)


def listen(address: tuple[str, int], backlog: int) -> socket.socket:
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
    """Begin to read into the buffer. Tornado takes any writable place, though it names one type."""
    place = cast(Any, buffer.room(room))
    return cast("asyncio.Future[int]", source.read_into(place, partial=True))


async def read(source: IOStream, buffer: Buffer, room: int = MIN_READ_BYTES) -> None:
    buffer.filled(await start_read(source, buffer, room))


async def discard_input(source: IOStream, max_bytes: int) -> None:
    """Read and forget what still comes, up to `most` bytes: what is far more is cut off. The stream's end is
    no error here: one that passed through a timed wait would keep the frames it came through."""
    sink = Buffer(max_bytes // 4)
    with suppress(StreamClosedError):
        while max_bytes > 0:
            sink.start = sink.end = 0
            await read(source, sink)
            max_bytes -= sink.end


def has_unread_bytes(source: IOStream) -> bool:
    """Guards a client against a reset: bytes that it has sent wait to be read, and get their answer. Over TLS
    these may be a whole message or a part of one; the socket's own call is asked, as TLS has none for
    this."""
    raw = source.socket
    if isinstance(raw, ssl.SSLSocket) and raw.pending():
        return True
    try:
        return bool(socket.socket.recv(raw, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


def peer_has_closed(source: IOStream) -> bool:
    """Whether the other end has closed or reset, seen without reading: its end may wait unread while others
    are served, or stand behind bytes that nobody reads ahead. One that has only ended its sending is taken
    for gone as well: nothing on the wire tells the two apart."""
    if source.closed():
        return True
    try:
        if not socket.socket.recv(source.socket, 1, socket.MSG_PEEK | socket.MSG_DONTWAIT):
            return True
        poll = select.poll()  # bytes come before the end
        poll.register(source.socket, select.POLLRDHUP)
        return bool(poll.poll(0))
    except BlockingIOError:
        return False
    except OSError:
        return True


def nothing_to_read(source: IOStream) -> bool:
    """Whether nothing has come, no byte and no end, that is still unread. A stream that has closed, as at a
    reset whose end has not been told yet, has no socket left."""
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
    """Say that nothing more comes. Over TLS that is said first in its own words, or the other end would
    have to take what it has read for cut off; from then on what it sends is read as it is, and forgotten."""
    raw = source.socket
    if isinstance(raw, ssl.SSLSocket):
        with suppress(OSError, ValueError):  # it wants to read the other's word, which nobody waits for
            raw.unwrap()
    with suppress(OSError):
        raw.shutdown(socket.SHUT_WR)
