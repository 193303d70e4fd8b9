"""HTTP/1.1 of the emulated parties: asyncio streams around the program's own parsers."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncIterator

from msgspec import Struct

from reedspoke.net.http import Buffer, Head, RequestParser, ResponseEnd, ResponseParser

CHUNK = 1 << 16
NO_LINGER = struct.pack("ii", 1, 0)

API_KEY = "Reedspoke-Key"
TENANT_NAME = "Reedspoke-Tenant-Name"
ATTEMPT_ID = "Reedspoke-Attempt-Id"
DEADLINE_MS = "Reedspoke-Deadline-Ms"
INSTANCE_ID = "Reedspoke-Instance-Id"
LAST_EVENT_ID = "Last-Event-Id"
MODEL_NAME = "Reedspoke-Model-Name"
NOT_EXECUTED = "Reedspoke-Not-Executed"
PROMPT_PREFIX = "Reedspoke-Prompt-Prefix"
PRIORITY = "Priority"
RESPONSE_SEAL = "Reedspoke-Response-Seal"
RETRY_AFTER = "Retry-After"
TARGET_INSTANCE = "Reedspoke-Target-Instance"
TOKEN_COUNT = "Reedspoke-Token-Count"
CONNECTION = "Connection"
CONTENT_LENGTH = "Content-Length"
CONTENT_TYPE = "Content-Type"
KEEP_ALIVE = "Keep-Alive"
TRANSFER_ENCODING = "Transfer-Encoding"
LAST_CHUNK = b"0\r\n\r\n"

Fields = dict[str, str]


class Request(Struct, frozen=True):
    """A request as it was read; names of fields are in small letters."""

    method: str
    target: str
    fields: Fields
    body: bytes

    def get(self, name: str) -> str:
        return self.fields.get(name.lower(), "")


class AnswerHead(Struct, frozen=True):
    """Status and fields of an answer; names of fields are in small letters."""

    status: int
    fields: Fields
    reusable: bool

    def get(self, name: str) -> str:
        return self.fields.get(name.lower(), "")


class AnswerEnd(Struct, frozen=True):
    """The answer is whole."""


def field_texts(head: Head) -> Fields:
    """The fields as text; of one that stands more than once, the last."""
    return {name.decode(): bytes(value).decode("latin-1") for name, value in head.fields}


def render_request(method: str, target: str, fields: Fields, body: bytes = b"") -> bytes:
    """Bytes of a request with a length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"{CONTENT_LENGTH}: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def render_head(status: int, fields: Fields) -> bytes:
    """Bytes of an answer up to its body."""
    lines = [f"HTTP/1.1 {status} Emulated", *(f"{name}: {value}" for name, value in fields.items())]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


def render_answer(status: int, fields: Fields, body: bytes = b"") -> bytes:
    """Bytes of an answer with a length."""
    return render_head(status, {**fields, CONTENT_LENGTH: str(len(body))}) + body


def render_chunk(data: bytes) -> bytes:
    """One chunk of a body in chunks."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class HttpConnection:
    """One connection of either side."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self._buffer = Buffer()
        self._requests = RequestParser(self._buffer)

    async def fill(self) -> bool:
        """Read more; False at the end of the connection."""
        data = await self.reader.read(CHUNK)
        room = self._buffer.room(len(data))
        room[: len(data)] = data
        self._buffer.filled(len(data))
        return bool(data)

    async def read_request(self) -> Request | None:
        """The next request; None where the connection ends first. Raises MalformedError."""
        while (head := self._requests.head()) is None:
            if not await self.fill():
                return None
        method, target, fields = head.method.decode(), bytes(head.target).decode(), field_texts(head)
        self._requests.expect(head.length() or 0)
        while (body := self._requests.body()) is None:
            if not await self.fill():
                return None
        return Request(method, target, fields, bytes(body))

    async def read_answer(self) -> AsyncIterator[AnswerHead | bytes | AnswerEnd]:
        """The parts of the next answer; no `AnswerEnd` comes where the connection ends before it is whole."""
        answers = ResponseParser(self._buffer)
        while True:
            for part in answers.feed():
                if isinstance(part, ResponseEnd):
                    yield AnswerEnd()
                    return
                if isinstance(part, Head):
                    yield AnswerHead(part.status, field_texts(part), part.keeps_alive())
                else:
                    yield bytes(part)
            if not await self.fill():
                return

    @property
    def has_unread(self) -> bool:
        """Whether bytes have come that belong to nothing asked."""
        return len(self._buffer) > 0

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    def close(self) -> None:
        self.writer.close()

    def reset(self) -> None:
        """End the connection with a reset."""
        raw = self.writer.get_extra_info("socket")
        if raw is not None:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.writer.transport.abort()


async def open_connection(address: str, timeout_s: float) -> HttpConnection:
    """Connect to `ip:port`. Raises OSError or TimeoutError."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
    return HttpConnection(reader, writer)
