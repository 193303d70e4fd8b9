"""Stand-ins for connections: transports whose other end is the test, and readers of what went over them."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from tests.data_plane.virtual_loop import VirtualLoop

HIGH_WATER = 64 * 1024  # bytes that wait to be sent, beyond which a writer is asked to pause


class SocketStandIn:
    """What connections ask of a socket: options, and a file that shows whether something is unread."""

    def __init__(self) -> None:
        self.options: list[tuple[int, int, int]] = []
        self._file = os.eventfd(0)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        self.options.append((level, option, value))

    def fileno(self) -> int:
        return self._file

    def has_unread(self) -> None:
        """From now on a poll finds something to read."""
        os.eventfd_write(self._file, 1)

    def close(self) -> None:
        os.close(self._file)


class TransportStandIn(asyncio.Transport):
    """The program's end of a connection. What the program writes is in `written`.

    `aborted` and `closed` tell how the program ended it: an abort is seen by the other end as a reset, and
    `ended_writing` that it writes no more, while it may still read.
    """

    def __init__(self, loop: VirtualLoop, protocol: asyncio.BufferedProtocol) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.written = bytearray()
        self.aborted = False
        self.closed = False
        self.eof_written = False
        self.reads_paused = False
        self.socket = SocketStandIn()
        self.on_write: Callable[[], None] = lambda: None
        self._taken = True  # whether the other end takes what is written
        self._waiting = 0
        self._writer_paused = False
        self._unread: list[bytes] = []
        self._lost = False
        protocol.connection_made(self)

    # ---- what the program calls ----

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.socket if name == "socket" else default

    def is_closing(self) -> bool:
        return self.aborted or self.closed or self._lost

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.is_closing():
            return
        assert not self.eof_written, "written behind the end"
        self.written += data
        if not self._taken:
            self._waiting += len(data)
            if self._waiting > HIGH_WATER and not self._writer_paused:
                self._writer_paused = True
                self.protocol.pause_writing()
        self.on_write()

    def get_write_buffer_size(self) -> int:
        return 0 if self._taken else self._waiting

    def pause_reading(self) -> None:
        self.reads_paused = True

    def resume_reading(self) -> None:
        self.reads_paused = False
        pending, self._unread = self._unread, []
        for piece in pending:
            self.loop.call_soon(self._deliver, piece)

    def write_eof(self) -> None:
        self.eof_written = True

    def close(self) -> None:
        if not self.is_closing():
            self.closed = True
            self._lose(None)

    def abort(self) -> None:
        if not self.is_closing():
            self.aborted = True
            self._lose(None)

    # ---- what the other end does ----

    def arrive(self, data: bytes) -> None:
        """Bytes come from the other end."""
        self.loop.call_soon(self._deliver, data)

    def arrive_end(self) -> None:
        """The other end writes no more."""
        self.loop.call_soon(self._end)

    def arrive_reset(self) -> None:
        """The other end resets the connection."""
        self.loop.call_soon(self._reset)

    def arrive_timeout(self) -> None:
        """The system gives the connection up, as nothing that was sent is acknowledged."""
        self.loop.call_soon(self._lose, TimeoutError())

    def stop_peer_reading(self) -> None:
        """The other end reads no more."""
        self._taken = False

    def resume_peer_reading(self) -> None:
        """The other end reads all that waits for it, and goes on reading."""
        self._taken = True
        self._waiting = 0
        if self._writer_paused:
            self._writer_paused = False
            self.protocol.resume_writing()

    def _deliver(self, data: bytes) -> None:
        if self.is_closing():
            return
        if self.reads_paused:
            self._unread.append(data)
            return
        try:
            self._fill(data)
        except Exception as error:  # as asyncio does: the connection ends, the handler of the loop is told
            self.loop.call_exception_handler({"message": "buffer_updated raised", "exception": error})
            self._lose(error)

    def _fill(self, data: bytes) -> None:
        left = memoryview(data)
        while left and not self.is_closing():
            room = memoryview(self.protocol.get_buffer(-1))
            count = min(len(room), len(left))
            assert count, "no room to read to"
            room[:count] = left[:count]
            self.protocol.buffer_updated(count)
            left = left[count:]

    def _end(self) -> None:
        if not self.is_closing() and not self.protocol.eof_received():
            self.close()

    def _reset(self) -> None:
        if not self.is_closing():
            self._lose(ConnectionResetError())

    def _lose(self, error: Exception | None) -> None:
        if not self._lost:
            self._lost = True
            self.loop.call_soon(self.protocol.connection_lost, error)


class SeenRequest(Struct, frozen=True):
    """A request as a worker reads it."""

    method: str
    target: str
    fields: list[tuple[str, str]]
    body: bytes

    def get(self, name: str) -> str | None:
        values = [value for key, value in self.fields if key == name.lower()]
        assert len(values) <= 1, f"{name} stands there {len(values)} times"
        return values[0] if values else None


class SeenAnswer(Struct, frozen=True):
    """An answer as a client reads it; `whole` tells whether all of its body has come."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes
    is_complete: bool

    def get(self, name: str) -> str | None:
        values = [value for key, value in self.fields if key == name.lower()]
        assert len(values) <= 1, f"{name} stands there {len(values)} times"
        return values[0] if values else None


class NotHttpError(AssertionError):
    """What was written is not HTTP/1.1."""


def split_head(raw: bytes) -> tuple[str, list[tuple[str, str]], bytes] | None:
    """First line, fields and what stands behind the head; None until it is whole."""
    head, blank, rest = raw.partition(b"\r\n\r\n")
    if not blank:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    fields = []
    for line in lines:
        name, colon, value = line.partition(":")
        if not colon or not name or name != name.strip():
            raise NotHttpError(line)
        fields.append((name.lower(), value.strip()))
    return first, fields, rest


def read_requests(raw: bytes) -> list[SeenRequest]:
    """The whole requests at the front of `raw`."""
    found = []
    while (parts := split_head(raw)) is not None:
        first, fields, rest = parts
        method, target, version = first.split(" ")
        if version != "HTTP/1.1":
            raise NotHttpError(first)
        length = int(dict(fields).get("content-length", "0"))
        if len(rest) < length:
            break
        found.append(SeenRequest(method, target, fields, rest[:length]))
        raw = rest[length:]
    return found


def read_answers(raw: bytes) -> list[SeenAnswer]:
    """All answers in `raw`; the last one may be incomplete. Interim answers (1xx) are left out."""
    found: list[SeenAnswer] = []
    while raw:
        parts = split_head(raw)
        if parts is None:
            found.append(SeenAnswer(0, [], raw, False))
            break
        first, fields, rest = parts
        version, status = first.split(" ")[:2]
        if version != "HTTP/1.1":
            raise NotHttpError(first)
        body, whole, raw = read_body(fields, rest, int(status))
        if int(status) >= 200:
            found.append(SeenAnswer(int(status), fields, body, whole))
        if not whole:
            break
    return found


def read_body(fields: list[tuple[str, str]], rest: bytes, status: int) -> tuple[bytes, bool, bytes]:
    """The body, whether it is whole, and what stands behind it."""
    if 100 <= status < 200 or status in (204, 304):
        return b"", True, rest
    names = dict(fields)
    if "transfer-encoding" in names:
        if names["transfer-encoding"] != "chunked" or "content-length" in names:
            raise NotHttpError(str(fields))
        return read_chunks(rest)
    if "content-length" not in names:
        raise NotHttpError(f"nothing tells the length of the body: {fields}")
    length = int(names["content-length"])
    return rest[:length], len(rest) >= length, rest[length:]


def read_chunks(rest: bytes) -> tuple[bytes, bool, bytes]:
    body = b""
    while True:
        line, newline, behind = rest.partition(b"\r\n")
        if not newline:
            return body, False, b""
        size = int(line, 16)
        if len(behind) < size + 2:
            return body + behind[:size], False, b""
        if behind[size : size + 2] != b"\r\n":
            raise NotHttpError("a chunk has no end")
        body, rest = body + behind[:size], behind[size + 2 :]
        if size == 0:
            return body, True, rest


def chunked(*pieces: bytes, last: bool = True) -> bytes:
    """Pieces in the chunked transfer coding."""
    coded = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return coded + (b"0\r\n\r\n" if last else b"")


def event(number: int) -> bytes:
    """The event of this id."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def events(first: int, last: int) -> bytes:
    """All events from `first` to `last`."""
    return b"".join(event(number) for number in range(first, last + 1))
