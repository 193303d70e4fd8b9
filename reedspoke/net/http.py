"""Incremental HTTP/1.1 parsers over a buffer, without sockets. Their results are slices of the buffer."""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import dataclass, field

from reedspoke.errors import ReedspokeError

INITIAL_BUFFER_BYTES = 4096
MIN_READ_BYTES = 1024  # with less free space than this, a buffer moves its data
MAX_HEAD_BYTES = 16 * 1024
MAX_BODY_BYTES = 64 * 1024
MAX_CHUNK_LINE_BYTES = 256

REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/([0-9])\.([0-9])\r\n")
STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [^\r\n]*)?\r\n")
FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\x00-\x08\x0a-\x1f\x7f]*)\r\n")
BLANKS = (32, 9)
CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\x00-\x08\x0a-\x1f\x7f]*)?\r\n")
NEWLINE = re.compile(rb"\n")
NUMBER = re.compile(rb"[0-9]{1,18}")
SINGLE_FIELDS = frozenset((b"host", b"content-length", b"transfer-encoding"))


class MalformedError(ReedspokeError):
    """The bytes are not HTTP that this program supports; `status` is the status code of the response."""

    code = "malformed-http"
    remedy = "check the sender: the message says how it deviates from HTTP/1.1"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


class Buffer:
    """Bytes that were read and not yet consumed. A slice taken from it stays valid until `recycle`."""

    def __init__(self, size: int = INITIAL_BUFFER_BYTES) -> None:
        self.data = bytearray(size)
        self.start = self.end = 0

    def __len__(self) -> int:
        return self.end - self.start

    def room(self, wanted: int = MIN_READ_BYTES) -> memoryview:
        """The free space to read into. If it is too small, the unconsumed bytes move to a new buffer."""
        if len(self.data) - self.end < wanted:
            used = len(self)
            fresh = bytearray(max(INITIAL_BUFFER_BYTES, used + max(used, wanted)))
            fresh[:used] = memoryview(self.data)[self.start : self.end]
            self.data, self.start, self.end = fresh, 0, used
        return memoryview(self.data)[self.end :]

    def filled(self, count: int) -> None:
        """Record that `count` bytes were read into the free space."""
        self.end += count

    def take(self, count: int) -> memoryview:
        """Consume `count` bytes."""
        self.start += count
        return memoryview(self.data)[self.start - count : self.start]

    def recycle(self) -> None:
        """Reuse the space of an empty buffer. The caller ensures that no slice is in use any more."""
        if self.start == self.end:
            if len(self.data) > 4 * INITIAL_BUFFER_BYTES:
                self.data = bytearray(INITIAL_BUFFER_BYTES)
            self.start = self.end = 0


@dataclass(slots=True)
class Head:
    """The first line and the fields of a request or response; field names are in lower case."""

    version: int  # the minor HTTP version
    method: bytes = b""
    target: memoryview = field(default_factory=lambda: memoryview(b""))
    status: int = 0
    fields: list[tuple[bytes, memoryview]] = field(default_factory=list)

    def get(self, name: bytes) -> bytes | None:
        """A copy of the value of a field; repeated fields are joined to a list. None if it is missing."""
        values = [bytes(value) for key, value in self.fields if key == name]
        return b", ".join(values) if values else None

    def tokens(self, name: bytes) -> list[bytes]:
        """The elements of a comma-separated field, in lower case."""
        return [token.strip().lower() for token in (self.get(name) or b"").split(b",") if token.strip()]

    def keeps_alive(self) -> bool:
        """Whether the connection stays open after this message."""
        options = self.tokens(b"connection")
        return b"close" not in options and (self.version == 1 or b"keep-alive" in options)

    def length(self) -> int | None:
        """The length of the body, -1 if it is chunked, None if it is not given. Raises MalformedError."""
        for name in SINGLE_FIELDS:
            if sum(key == name for key, _ in self.fields) > 1:
                raise MalformedError(400, f"field {name.decode()} twice")
        length, coding = self.get(b"content-length"), self.tokens(b"transfer-encoding")
        if coding:
            if length is not None or self.version == 0:
                raise MalformedError(400, "a length and a transfer coding")
            if coding != [b"chunked"]:
                raise MalformedError(501, "unknown transfer coding")
            return -1
        if length is None:
            return None
        if not NUMBER.fullmatch(length):
            raise MalformedError(400, "a length that is no number")
        return int(length)


def parse_head(buffer: Buffer, *, answer: bool = False, max_bytes: int = MAX_HEAD_BYTES) -> Head | None:
    """Consume the head at the front of the buffer. Returns None until it is complete."""
    data = buffer.data
    while not answer and data.startswith(b"\r\n", buffer.start, buffer.end):
        buffer.take(2)  # a blank line before a request is skipped
    start = buffer.start
    end = data.find(b"\r\n\r\n", start, buffer.end)
    if end < 0 or end - start > max_bytes:
        if len(buffer) > max_bytes:
            raise MalformedError(431, "the head is too large")
        if not answer and data.find(b"\n", start, min(buffer.end, start + max_bytes)) >= 0:
            check_first_line(data, start, buffer.end)
        return None
    end += 2
    first = (STATUS_LINE if answer else REQUEST_LINE).match(data, start, end)
    if first is None:
        raise MalformedError(400, "the first line is malformed")
    if answer:
        head = Head(int(first[1]), status=int(first[2]))
    else:
        if first[3] != b"1":
            raise MalformedError(505, "not HTTP/1")
        head = Head(min(1, int(first[4])), first[1], memoryview(data)[first.start(2) : first.end(2)])
    at, view = first.end(), memoryview(data)
    while at < end:
        found = FIELD.match(data, at, end)
        if found is None:
            raise MalformedError(400, "a header field is malformed")
        first_byte, last_byte = found.span(2)
        while first_byte < last_byte and data[first_byte] in BLANKS:
            first_byte += 1
        while first_byte < last_byte and data[last_byte - 1] in BLANKS:
            last_byte -= 1
        head.fields.append((found[1].lower(), view[first_byte:last_byte]))
        at = found.end()
    buffer.take(end + 2 - start)
    return head


def check_first_line(data: bytearray, start: int, end: int) -> None:
    """Reject a malformed first line at once, because the sender may never complete the head."""
    if REQUEST_LINE.match(data, start, end) is None:
        raise MalformedError(400, "the first line is malformed")


class ChunkedDecoder:
    """Decodes a chunked body."""

    def __init__(self) -> None:
        self.left = -1  # bytes left of the chunk; -1: a size line is next, -2: the line end after a chunk
        self.trailer = 0  # bytes of the trailer so far; at least 1 after the last chunk
        self.done = False

    def feed(self, buffer: Buffer) -> Iterator[memoryview]:
        """Yield the decoded parts that have arrived."""
        while not self.done and len(buffer):
            if self.left > 0:
                part = buffer.take(min(self.left, len(buffer)))
                self.left -= len(part)
                if not self.left:
                    self.left = -2
                yield part
            elif self.left == -2:
                if len(buffer) < 2:
                    return
                if bytes(buffer.take(2)) != b"\r\n":
                    raise MalformedError(400, "a chunk has no end")
                self.left = -1
            else:
                end = buffer.data.find(b"\r\n", buffer.start, buffer.end)
                if end < 0:
                    if len(buffer) > (MAX_HEAD_BYTES if self.trailer else MAX_CHUNK_LINE_BYTES):
                        raise MalformedError(400, "a chunk's line is too long")
                    return
                self._line(buffer, end + 2)

    def _line(self, buffer: Buffer, end: int) -> None:
        line = CHUNK_LINE.fullmatch(buffer.data, buffer.start, end)
        size = end - buffer.start
        buffer.take(size)
        if self.trailer:
            self.trailer += size
            self.done = size == 2
            if self.trailer > MAX_HEAD_BYTES:
                raise MalformedError(431, "the trailer is too large")
        elif line is None:
            raise MalformedError(400, "a chunk's size is malformed")
        else:
            self.left = int(line[1], 16) or -1
            self.trailer = int(self.left == -1)


class RequestParser:
    """Parses consecutive requests: call `head` until it returns one, then `expect`, then `body` likewise."""

    def __init__(self, buffer: Buffer, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self.buffer = buffer
        self.max_body_bytes = max_body_bytes
        self.max_head_bytes = MAX_HEAD_BYTES
        self._length = 0
        self._chunks: ChunkedDecoder | None = None
        self._joined = bytearray()

    def head(self) -> Head | None:
        """The head of the next request, None until it is complete."""
        return parse_head(self.buffer, max_bytes=self.max_head_bytes)

    def expect(self, length: int) -> None:
        """Announce a body of this length, or a chunked one with -1."""
        if length > self.max_body_bytes:
            raise MalformedError(413, "the body is too large")
        self._length = length
        self._chunks, self._joined = (ChunkedDecoder() if length < 0 else None), bytearray()

    def wanted(self) -> int:
        """The free space to reserve for the next read, so that a body is contiguous."""
        return max(MIN_READ_BYTES, self._length - len(self.buffer))

    def body(self) -> memoryview | None:
        """The body, None until it is complete."""
        if self._chunks is None:
            return self.buffer.take(self._length) if len(self.buffer) >= self._length else None
        for part in self._chunks.feed(self.buffer):  # copied, because the chunks are not contiguous
            if len(self._joined) + len(part) > self.max_body_bytes:
                raise MalformedError(413, "the body is too large")
            self._joined += part
        return memoryview(self._joined) if self._chunks.done else None


@dataclass(slots=True)
class ResponseEnd:
    """The end of a response; `reusable` says whether the connection can carry another request."""

    reusable: bool


class ResponseParser:
    """Parses the responses on one connection: yields the head, slices of the body, then ResponseEnd."""

    def __init__(self, buffer: Buffer) -> None:
        self.buffer = buffer
        self.head_only = False  # responses to HEAD have no body, whatever their fields say
        self._head: Head | None = None
        self._left: int | None = None  # bytes left of the body; None: until the connection ends
        self._chunks: ChunkedDecoder | None = None

    def feed(self) -> Iterator[Head | memoryview | ResponseEnd]:
        """Yield the parts that have arrived. A slice is valid until the next step of the iterator."""
        while len(self.buffer) or self._head is not None:
            if self._head is None:
                head = parse_head(self.buffer, answer=True)
                if head is None:
                    return
                if 100 <= head.status < 200:
                    continue
                self._head, length = head, head.length()
                if head.status in (204, 304) or self.head_only:
                    length = 0
                self._chunks = ChunkedDecoder() if length == -1 else None
                self._left = length if length != -1 else None
                yield head
            if self._chunks is not None:
                yield from self._chunks.feed(self.buffer)
                if not self._chunks.done:
                    return
            else:
                count = len(self.buffer) if self._left is None else min(self._left, len(self.buffer))
                if count:
                    yield self.buffer.take(count)
                if self._left is None:
                    return
                self._left -= count
                if self._left:
                    return
            reusable, self._head = self._head.keeps_alive(), None
            yield ResponseEnd(reusable)


class LineSplitter:
    """Splits slices of a stream into lines; only a line that extends over two slices is copied."""

    def __init__(self, max_bytes: int = 256 * 1024) -> None:
        self._max_bytes = max_bytes
        self._partial_line = bytearray()

    def feed(self, part: memoryview) -> Iterator[memoryview | bytes]:
        """Yield the complete lines, without their line ends. Raises MalformedError for one too long."""
        at = 0
        for end in [found.start() for found in NEWLINE.finditer(part)]:
            if self._partial_line:
                self._partial_line += part[at:end]
                yield bytes(self._partial_line)
                self._partial_line.clear()
            else:
                yield part[at:end]
            at = end + 1
        if len(self._partial_line) + len(part) - at > self._max_bytes:
            raise MalformedError(400, "a line is too long")
        self._partial_line += part[at:]
