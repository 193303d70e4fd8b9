"""Stand-ins of connections: transports whose peer is the test, and parsers of what was written to them."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Any

from msgspec import Struct

from tests.data_plane.virtual_loop import VirtualLoop

HIGH_WATER_BYTES = 64 * 1024  # Beyond so many unsent bytes, the writer is asked to pause.


class SocketStandIn:
    """The parts of a socket that connections use: options, and a file whose readiness shows unread data."""

    def __init__(self) -> None:
        self.options: list[tuple[int, int, int]] = []
        self._file = os.eventfd(0)

    def setsockopt(self, level: int, option: int, value: int) -> None:
        self.options.append((level, option, value))

    def fileno(self) -> int:
        return self._file

    def has_unread(self) -> None:
        """Makes a poll report unread data from now on."""
        os.eventfd_write(self._file, 1)

    def close(self) -> None:
        os.close(self._file)


class TransportStandIn(asyncio.Transport):
    """The transport of the code under test. What it writes is in `written`.

    `aborted` and `closed` tell how the code under test ended the connection: the peer sees an abort as a
    reset. `eof_written` tells that only the write side is closed.
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
        self._peer_reads = True  # Whether the peer reads what is written.
        self._unsent_bytes = 0
        self._writer_paused = False
        self._unread: list[bytes] = []
        self._lost = False
        protocol.connection_made(self)

    # ---- calls of the code under test ----

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return self.socket if name == "socket" else default

    def is_closing(self) -> bool:
        return self.aborted or self.closed or self._lost

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.is_closing():
            return
        assert not self.eof_written, "data was written after the end"
        self.written += data
        if not self._peer_reads:
            self._unsent_bytes += len(data)
            if self._unsent_bytes > HIGH_WATER_BYTES and not self._writer_paused:
                self._writer_paused = True
                self.protocol.pause_writing()
        self.on_write()

    def get_write_buffer_size(self) -> int:
        return 0 if self._peer_reads else self._unsent_bytes

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

    # ---- actions of the peer ----

    def arrive(self, data: bytes) -> None:
        """The peer sends data."""
        self.loop.call_soon(self._deliver, data)

    def arrive_end(self) -> None:
        """The peer closes its write side."""
        self.loop.call_soon(self._end)

    def arrive_reset(self) -> None:
        """The peer resets the connection."""
        self.loop.call_soon(self._reset)

    def arrive_timeout(self) -> None:
        """The kernel ends the connection because sent data is not acknowledged."""
        self.loop.call_soon(self._lose, TimeoutError())

    def stop_peer_reading(self) -> None:
        """The peer stops reading."""
        self._peer_reads = False

    def resume_peer_reading(self) -> None:
        """The peer reads all pending data and continues to read."""
        self._peer_reads = True
        self._unsent_bytes = 0
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
        except Exception as error:  # As asyncio does: the loop's exception handler is called.
            self.loop.call_exception_handler({"message": "buffer_updated raised", "exception": error})
            self._lose(error)

    def _fill(self, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining and not self.is_closing():
            room = memoryview(self.protocol.get_buffer(-1))
            count = min(len(room), len(remaining))
            assert count, "the receive buffer has no space"
            room[:count] = remaining[:count]
            self.protocol.buffer_updated(count)
            remaining = remaining[count:]

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
    """A request as a worker receives it."""

    method: str
    target: str
    fields: list[tuple[str, str]]
    body: bytes

    def get(self, name: str) -> str | None:
        values = [value for key, value in self.fields if key == name.lower()]
        assert len(values) <= 1, f"{name} occurs {len(values)} times"
        return values[0] if values else None


class SeenAnswer(Struct, frozen=True):
    """An answer as a client receives it; `is_complete` tells whether its whole body arrived."""

    status: int
    fields: list[tuple[str, str]]
    body: bytes
    is_complete: bool

    def get(self, name: str) -> str | None:
        values = [value for key, value in self.fields if key == name.lower()]
        assert len(values) <= 1, f"{name} occurs {len(values)} times"
        return values[0] if values else None


class NotHttpError(AssertionError):
    """The written bytes are not valid HTTP/1.1."""


def split_head(raw: bytes) -> tuple[str, list[tuple[str, str]], bytes] | None:
    """Start line, fields and the bytes after the head; None if the head is incomplete."""
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
    """The complete requests at the start of `raw`."""
    requests = []
    while (parts := split_head(raw)) is not None:
        first, fields, rest = parts
        method, target, version = first.split(" ")
        if version != "HTTP/1.1":
            raise NotHttpError(first)
        length = int(dict(fields).get("content-length", "0"))
        if len(rest) < length:
            break
        requests.append(SeenRequest(method, target, fields, rest[:length]))
        raw = rest[length:]
    return requests


def read_answers(raw: bytes) -> list[SeenAnswer]:
    """All answers in `raw`; the last one may be incomplete. Interim answers (1xx) are omitted."""
    answers: list[SeenAnswer] = []
    while raw:
        parts = split_head(raw)
        if parts is None:
            answers.append(SeenAnswer(0, [], raw, False))
            break
        first, fields, rest = parts
        version, status = first.split(" ")[:2]
        if version != "HTTP/1.1":
            raise NotHttpError(first)
        body, complete, raw = read_body(fields, rest, int(status))
        if int(status) >= 200:
            answers.append(SeenAnswer(int(status), fields, body, complete))
        if not complete:
            break
    return answers


def read_body(fields: list[tuple[str, str]], rest: bytes, status: int) -> tuple[bytes, bool, bytes]:
    """The body, whether it is complete, and the bytes after it."""
    if 100 <= status < 200 or status in (204, 304):
        return b"", True, rest
    names = dict(fields)
    if "transfer-encoding" in names:
        if names["transfer-encoding"] != "chunked" or "content-length" in names:
            raise NotHttpError(str(fields))
        return read_chunks(rest)
    if "content-length" not in names:
        raise NotHttpError(f"no field delimits the body: {fields}")
    length = int(names["content-length"])
    return rest[:length], len(rest) >= length, rest[length:]


def read_chunks(rest: bytes) -> tuple[bytes, bool, bytes]:
    """A body in chunks, whether it is complete, and the bytes after it."""
    body = b""
    while True:
        line, newline, after = rest.partition(b"\r\n")
        if not newline:
            return body, False, b""
        size = int(line, 16)
        if len(after) < size + 2:
            return body + after[:size], False, b""
        if after[size : size + 2] != b"\r\n":
            raise NotHttpError("a chunk is not followed by CRLF")
        body, rest = body + after[:size], after[size + 2 :]
        if size == 0:
            return body, True, rest


def chunked(*pieces: bytes, last: bool = True) -> bytes:
    """Encodes pieces in the chunked transfer coding."""
    coded = b"".join(b"%x\r\n%b\r\n" % (len(piece), piece) for piece in pieces)
    return coded + (b"0\r\n\r\n" if last else b"")


def event(number: int) -> bytes:
    """The event with this id."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


def events(first: int, last: int) -> bytes:
    """All events from `first` to `last`."""
    return b"".join(event(number) for number in range(first, last + 1))
