"""Names of header fields, and the header fields that are forwarded between clients and workers."""

from __future__ import annotations

from http import HTTPStatus

from reedspoke.net.http import Head

ATTEMPT_ID = b"reedspoke-attempt-id"
DEADLINE_MS = b"reedspoke-deadline-ms"
PROMPT_PREFIX = b"reedspoke-prompt-prefix"
TOKEN_COUNT = b"reedspoke-token-count"
MODEL_NAME = b"reedspoke-model-name"
TARGET_INSTANCE = b"reedspoke-target-instance"
INSTANCE_ID = b"reedspoke-instance-id"
RESPONSE_SEAL = b"reedspoke-response-seal"
NOT_EXECUTED = b"reedspoke-not-executed"
API_KEY = b"reedspoke-key"
TENANT_NAME = b"reedspoke-tenant-name"
LAST_EVENT_ID = b"last-event-id"
EXPECT_VERSION = b"expect-version"
PRIORITY = b"priority"

# Fields of a single connection (RFC 9110, section 7.6.1), and those that the scheduler generates itself.
HOP_BY_HOP = frozenset(
    (
        b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization",
        b"te", b"trailer", b"transfer-encoding", b"upgrade", b"content-length", b"expect",
    )
)  # fmt: skip
REPLACED = frozenset((DEADLINE_MS, TARGET_INSTANCE, LAST_EVENT_ID, PRIORITY, TENANT_NAME))
WITHHELD = frozenset((API_KEY,))  # Workers never receive the key.


def forwarded_request_fields(head: Head) -> bytes:
    """The header lines of a client's request to forward to the worker, each with its line end."""
    dropped = HOP_BY_HOP | REPLACED | WITHHELD | frozenset(head.tokens(b"connection"))
    lines = [b"%b: %b\r\n" % (name, bytes(value)) for name, value in head.fields if name not in dropped]
    return b"".join(lines)


def forwarded_answer_fields(head: Head) -> bytes:
    """The header lines of a worker's answer to forward to the client, each with its line end."""
    dropped = HOP_BY_HOP | frozenset(head.tokens(b"connection"))
    lines = [b"%b: %b\r\n" % (name, bytes(value)) for name, value in head.fields if name not in dropped]
    return b"".join(lines)


def status_line(status: int) -> bytes:
    """The status line of an answer, with its line end."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Unknown"
    return f"HTTP/1.1 {status} {phrase}\r\n".encode()


def field_text(head: Head, name: bytes) -> str:
    """The value of a field as text; empty if the field is missing."""
    value = head.get(name)
    return "" if value is None else value.decode("latin-1")


def field_number(head: Head, name: bytes) -> float | None:
    """The value of a field as a number; None if the field is missing or not a number."""
    text = field_text(head, name)
    try:
        return float(text) if text else None
    except ValueError:
        return None
