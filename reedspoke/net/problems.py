"""Bodies of error responses to clients (RFC 9457): short, each with a stable type.

The types are part of the interface, because clients may decide by them what to do: none is renamed or given
another meaning. A body repeats nothing that the client sent and reveals nothing about the scheduler.
"""

from __future__ import annotations

import json

from reedspoke.net import effects as fx

PREFIX = "urn:reedspoke:problem:"
FIELD = b"Content-Type: application/problem+json\r\n"
TITLES = {
    "malformed": "What was sent is no authorisation",
    "too-slow": "The bytes came too slowly",
    "too-large": "It is larger than what is taken",
    "unknown-class": "There is no such class",
    "method": "Another method is needed",
    "unsupported": "It asks for what is not spoken here",
    "refused": "Not done; trying again is harmless",
    "failed": "It failed; it may have run",
    "late": "No result in time; it may have run or may yet",
    "invalid": "The authorisation cannot be used",
    "defect": "A defect here",
    "unauthenticated": "Who calls is not known, or is not believed",
    "forbidden": "The caller may not do this",
    "too-many": "The caller has more jobs than it may",
}
BY_STATUS = {
    400: "malformed", 401: "unauthenticated", 403: "forbidden", 429: "too-many", 404: "unknown-class", 405:
    "method", 408: "too-slow", 411: "malformed", 413: "too-large", 417: "unsupported", 431: "too-large",
    500: "defect", 501: "unsupported", 505: "unsupported",
}  # fmt: skip


def body(status: int, name: str, detail: str = "") -> bytes:
    """Encode a body; `name` is a key of TITLES, `detail` a constant text for people."""
    problem: dict[str, str | int] = {"type": PREFIX + name, "title": TITLES[name], "status": status}
    if detail:
        problem["detail"] = detail
    return json.dumps(problem, separators=(",", ":")).encode()


def body_for_status(status: int, detail: str = "") -> bytes:
    """The body for a status code."""
    return body(status, BY_STATUS.get(status, "malformed"), detail)


# Encoded once, because most of these responses are needed under overload.
BODY_BY_OUTCOME = {
    fx.Outcome.REJECTED: body(503, "refused"),
    fx.Outcome.FAILED: body(502, "failed"),
    fx.Outcome.TIMED_OUT: body(504, "late"),
    fx.Outcome.INVALID: body(400, "invalid"),
    fx.Outcome.REVOKED: body(401, "unauthenticated"),
}
