"""Splits a stream into JSON objects, separated by any white space, wherever its slices begin and end.

It only finds where each object ends and leaves the decoding to msgspec. A streaming parser such as ijson
would build every value in Python to find the end, and the list would then be decoded a second time.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

from reedspoke.net.http import MalformedError

NON_SPACE = re.compile(rb"[^ \t\r\n]")  # anything but white space
TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|["{}\[\]]', re.DOTALL)  # a lone quote: incomplete string
MAX_STRING_BYTES = 64 * 1024  # limit of an incomplete string; each slice scans it again


class JsonObjectSplitter:
    """Splits slices of a stream into objects; only one that extends over two slices is copied."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes  # limit of one object
        self._pending = bytearray()  # the start of an incomplete object
        self._scanned = 0  # bytes of it that have been scanned
        self._depth = 0  # its open brackets

    def feed(self, part: memoryview) -> Iterator[memoryview | bytes | None]:
        """Yield the complete objects, and None for each heartbeat, white space with a line end
        between two objects.

        A slice is valid until the next step of the iterator. Raises MalformedError for anything but an
        object, because the start of the next one could not be found reliably.
        """
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
        """Scan an object. Returns the position that was reached, and whether the object ends there."""
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
