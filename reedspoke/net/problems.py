"""What a refusal or an error of the acquirer side says of itself (RFC 9457): a short body with a stable type.

The types are part of the interface: clients may tell by them what to do, so none is renamed or given
another meaning. Nothing of what the client sent is repeated, and nothing of what runs here is named.
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
    """`name`: one of TITLES; `detail`: a constant text, for people."""
    told: dict[str, str | int] = {"type": PREFIX + name, "title": TITLES[name], "status": status}
    if detail:
        told["detail"] = detail
    return json.dumps(told, separators=(",", ":")).encode()


def body_for_status(status: int, detail: str = "") -> bytes:
    return body(status, BY_STATUS.get(status, "malformed"), detail)


# Of final answers: made once, as many of them are given at the worst time.
BODY_BY_VERDICT = {
    fx.Verdict.DECLINED: body(503, "refused"),
    fx.Verdict.FAILED: body(502, "failed"),
    fx.Verdict.LATE: body(504, "late"),
    fx.Verdict.INVALID: body(400, "invalid"),
    fx.Verdict.WITHDRAWN: body(401, "unauthenticated"),
}
