"""Answers that this program gives itself: JSON with a result code."""

from __future__ import annotations

import math

import msgspec
from msgspec import Struct

from reedspoke.cluster.errors import ErrorCode
from reedspoke.data_plane.headers import status_line


class WholeAnswer(Struct, frozen=True):
    """An answer with its whole body; `fields` are header lines, each with its line end."""

    status_line: bytes
    fields: bytes
    body: bytes


def own_answer(status: int, code: ErrorCode, message: str, retry_after: float | None = None) -> WholeAnswer:
    """An answer of this program. `retry_after` is in seconds."""
    body = msgspec.json.encode({"error": {"code": int(code), "name": code.name.lower(), "message": message}})
    fields = b"Content-Type: application/json\r\n"
    if retry_after is not None:
        fields += b"Retry-After: %b\r\n" % format_seconds(retry_after)
    return WholeAnswer(status_line(status), fields, body)


def format_seconds(seconds: float) -> bytes:
    """Seconds rounded up to hundredths."""
    return f"{math.ceil(seconds * 100) / 100:.2f}".encode()
