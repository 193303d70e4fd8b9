"""JSON objects out of a stream that is cut anywhere; no sockets. White space lies between them as it likes.

Weighed: a streaming reader of the registry (ijson) builds every value in Python to tell where one ends, and
the list is then decoded once more by its type; finding the ends alone leaves the decoding to msgspec as
before.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from reedspoke.net.http import MalformedError

NON_SPACE = re.compile(rb"[^ \t\r\n]")  # what is no white space
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.DOTALL)  # a lone quote opens an unfinished text
MAX_STRING_BYTES = 64 * 1024  # bytes of an unfinished text, which is read again with each slice


class JsonObjectSplitter:
    """Joins slices to objects; only one that lies across two slices is copied."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes  # bytes of one object
        self._pending = bytearray()  # of an object whose end has not come
        self._scanned = 0  # bytes of it that were looked at
        self._depth = 0  # brackets of it that are open

    def feed(self, part: memoryview) -> Iterator[memoryview | bytes | None]:
        """The objects that are whole by now, and None for each run of white space with a line end in it that
        is in none: a beat. A slice holds until the next step. Raises MalformedError for what is no object:
        what follows could not be told from what was meant."""
        data: memoryview | bytearray = part
        at = begin = 0
        if self._pending:
            self._pending += part
            data, at = self._pending, self._scanned
        while True:
            if not self._depth:
                found = NON_SPACE.search(data, at)
                begin = found.start() if found else len(data)
                if b"\n" in bytes(data[at:begin]):
                    yield None
                if found is None:
                    self._pending, self._scanned = bytearray(), 0
                    return
                if found[0] != b"{":
                    raise MalformedError(400, f"no JSON object: {bytes(data[begin : begin + 40])!r}")
                at = begin
            at, whole = self._scan(data, at)
            if not whole:
                break
            yield data[begin:at] if data is part else bytes(data[begin:at])
        if len(data) - begin > self._max_bytes:
            raise MalformedError(400, "a value is too long")
        self._pending, self._scanned = (
            bytearray(data[begin:]) if data is part or begin else self._pending,
            at - begin,
        )

    def _scan(self, data: memoryview | bytearray, at: int) -> tuple[int, bool]:
        """How far its brackets and texts are known, and whether it ends there."""
        for found in TOKEN.finditer(data, at):
            at, token = found.end(), found[0]
            if token in (b"{", b"["):
                self._depth += 1
            elif token in (b"}", b"]"):
                self._depth -= 1
                if not self._depth:
                    return at, True
            elif token == b'"':
                if len(data) - found.start() > MAX_STRING_BYTES:
                    raise MalformedError(400, "a text is too long")
                return found.start(), False
        return len(data), False
