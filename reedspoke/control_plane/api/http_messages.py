"""Requests and responses of the HTTP server, and their encoding."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct, field

from reedspoke.net.http import Head

REASON_PHRASES = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    412: "Precondition Failed",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}


def _stays_connected() -> bool:
    return False


class Request(Struct):
    """A complete request. Header names are in lower case, and the path excludes the query string.

    `is_abandoned` returns whether its client has closed the connection, or its side of it, since.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    is_abandoned: Callable[[], bool] = _stays_connected


class Response(Struct):
    """A response. Content-Length is added when the response is encoded."""

    status: int
    body: bytes
    headers: dict[str, str] = field(default_factory=lambda: {"Content-Type": "application/json"})


def build_request(head: Head, body: bytes, is_abandoned: Callable[[], bool]) -> Request:
    """Build a request. The parser has checked that `head` is ASCII except for its field values."""
    path, _, _ = bytes(head.target).decode("ascii").partition("?")
    headers = {name.decode("ascii"): bytes(value).decode("latin-1") for name, value in head.fields}
    return Request(head.method.decode("ascii"), path, headers, body, is_abandoned)


def encode_response(response: Response, keep_alive: bool) -> bytes:
    """Return the bytes of a response, head and body."""
    lines = [f"HTTP/1.1 {response.status} {REASON_PHRASES.get(response.status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines.append(f"Content-Length: {len(response.body)}")
    if not keep_alive:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + response.body
