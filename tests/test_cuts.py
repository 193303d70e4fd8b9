"""Messages split at any byte parse like unsplit ones."""

from __future__ import annotations

from collections.abc import Iterable

import pytest

from reedspoke.net.http import (
    Buffer,
    Head,
    LineSplitter,
    MalformedError,
    RequestParser,
    ResponseEnd,
    ResponseParser,
)
from tests.peers import ask

CHUNKED = ask().partition(b"Content-Length")[0] + (
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n5;x=y\r\ndefgh\r\n0\r\nTrailer: t\r\n\r\n"
)
STREAM = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n14\r\n{\"state\":\"started\"}\n\r\n"
    b"b\r\n{\"state\":\"d\r\n6\r\none\"}\n\r\n0\r\n\r\n"
)  # fmt: skip
PLAIN = b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nfull"
BAD = [
    b"GET / HTTP/1.1\nHost: a\r\n\r\n", b"POST /quote HTTP/1.1\r\nHost : a\r\n\r\n",
    b"\x16\x03\x01\x02\r\n\r\n",
    ask().partition(b"Content-Length")[0] + b"Transfer-Encoding: chunked\r\n\r\nxyz\r\n",
]  # fmt: skip


def splits(data: bytes) -> Iterable[list[bytes]]:
    yield [data]
    yield [data[at : at + 1] for at in range(len(data))]
    for at in range(1, len(data)):
        yield [data[:at], data[at:]]


def put(buffer: Buffer, piece: bytes) -> None:
    buffer.room(len(piece))[: len(piece)] = piece
    buffer.filled(len(piece))


def requests(pieces: list[bytes]) -> list[object]:
    """Return the parsed headers and bodies, or the status of a malformed request."""
    buffer, found = Buffer(64), list[object]()
    reader, head = RequestParser(buffer), None
    try:
        for piece in pieces:
            put(buffer, piece)
            while True:
                if head is None:
                    if (head := reader.head()) is None:
                        break
                    found.append((head.method, bytes(head.target), [(k, bytes(v)) for k, v in head.fields]))
                    reader.expect(head.length() or 0)
                if (body := reader.body()) is None:
                    break
                found.append(bytes(body))
                head = None
    except MalformedError as error:
        return [error.status]
    return found


@pytest.mark.parametrize("data", [ask() * 2, CHUNKED + ask("2b"), *BAD], ids=lambda data: repr(data[-24:]))
def test_requests_split_at_every_byte(data: bytes) -> None:
    whole = requests([data])
    assert len(whole) == (1 if data in BAD else 4)
    for pieces in splits(data):
        assert requests(pieces) == whole


def answers(pieces: list[bytes]) -> list[object]:
    buffer, found = Buffer(64), list[object]()
    reader, lines = ResponseParser(buffer), LineSplitter()
    for piece in pieces:
        put(buffer, piece)
        for item in reader.feed():
            if isinstance(item, Head):
                found.append(item.status)
                lines = LineSplitter()
            elif isinstance(item, ResponseEnd):
                found.append(item.reusable)
            else:
                found += [bytes(line) for line in lines.feed(item)]
    return found


@pytest.mark.parametrize("data", [STREAM * 2, PLAIN + STREAM], ids=["streams", "refusal and stream"])
def test_responses_and_lists_split_at_every_byte(data: bytes) -> None:
    """Discovery's lists are read by the same parsers."""
    whole = answers([data])
    assert whole[-4:] == [200, b'{"state":"started"}', b'{"state":"done"}', True]
    for pieces in splits(data):
        assert answers(pieces) == whole
