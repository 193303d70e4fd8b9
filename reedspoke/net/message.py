"""Formats of the platform: authorisation, response to a leg and load report.

An authorisation is a request of a client; a leg is an attempt of it at an issuer host.
"""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.http import Head, MalformedError

IDEMPOTENCY_KEY = b"idempotency-key"  # a host drops a repeated job with the same key
SINGLE_FIELDS = (
    b"x-request-id",
    b"x-deadline",
    b"x-class",
    b"x-tenant",
    b"x-key",
    b"x-cost-hint",
    b"x-extras",
    IDEMPOTENCY_KEY,
)
CONNECTION_FIELDS = frozenset(  # hop-by-hop fields, and those that each leg sets itself
    (b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade", b"expect", b"host")
    + (b"content-length", b"proxy-connection", b"x-deadline")
)
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")
MAX_DEADLINE_S = 86_400.0


@dataclass(slots=True)
class Message:
    """An authorisation as received; its fields are slices of the read buffer."""

    head: Head
    cls: str
    name: str  # the x-request-id
    span: int  # us that the client waits
    hint: int  # expected cost, 0 if unknown
    slots: int
    memory: float
    tenant: str
    key: str
    body: memoryview = field(default_factory=lambda: memoryview(b""))
    hidden: frozenset[bytes] = frozenset()  # further fields that are not forwarded to issuer hosts

    def to_event(self, client: int) -> fx.RequestReceived:
        """The event for the reducer."""
        return fx.RequestReceived(
            client, self.name, self, self.cls, self.span, self.hint, self.slots, self.memory,
            self.tenant, self.key,
        )  # fmt: skip

    def request_head(self, endpoint: tuple[str, int], wait: int) -> bytes:
        """The request head of a leg: the received fields without those of the client's connection."""
        own = CONNECTION_FIELDS.union(self.head.tokens(b"connection"), self.hidden)
        first_line = b" ".join((self.head.method, self.head.target, b"HTTP/1.1"))
        lines = [first_line, b"Host: " + authority(endpoint)]
        lines += [b": ".join((name, value)) for name, value in self.head.fields if name not in own]
        lines.append(b"X-Deadline: %.6f" % (max(0, wait) / 1_000_000))
        lines.append(b"Content-Length: %d\r\n\r\n" % len(self.body))
        return b"\r\n".join(lines)


def authority(endpoint: tuple[str, int]) -> bytes:
    """The value of a Host field."""
    host, port = endpoint
    return (f"[{host}]:{port}" if ":" in host else f"{host}:{port}").encode()


def field_text(head: Head, name: bytes) -> str:
    """A field as text, empty if it is missing."""
    return (head.get(name) or b"").decode("utf-8", "replace")


def parse_decimal(head: Head, name: bytes) -> float | None:
    """A field as a decimal number, None if it is missing. Raises MalformedError."""
    value = field_text(head, name)
    if not value:
        return None
    if not DECIMAL.fullmatch(value):
        raise MalformedError(400, f"{name.decode()} is no decimal")
    return float(value)


def parse_extras(text: str) -> dict[str, float]:
    """Parse `name=value,name=value`; values that are not finite numbers are skipped."""
    figures = {}
    for part in text.split(","):
        name, _, value = part.partition("=")
        try:
            figures[name.strip().lower()] = float(value)
        except ValueError:
            continue
    return {name: value for name, value in figures.items() if math.isfinite(value)}


def request_path(head: Head) -> bytes:
    """The path of the request target, which may be in absolute form. Raises MalformedError."""
    target = bytes(head.target)
    if target[:7].lower() == b"http://":
        target = b"/" + target[7:].partition(b"/")[2]
    if not target.startswith(b"/") and target != b"*":
        raise MalformedError(400, "the target is no path")
    return target.partition(b"?")[0]


def class_of_path(named: bytes) -> str:
    """The class of an authorisation: the first segment of its path."""
    return named.lstrip(b"/").partition(b"/")[0].decode("ascii")


def parse_authorisation(head: Head, classes: Mapping[str, api.ClassSettings]) -> Message:
    """Parse the head of an authorisation of a known class, sent by POST. Raises MalformedError.

    A field that decides what a host does may occur only once: of two, one host might use the first and
    another the last. A job of a keyed class needs its key, because without it a repeat of the job could not
    be recognised.
    """
    if head.version == 1 and head.get(b"host") is None:
        raise MalformedError(400, "no host")
    for once in SINGLE_FIELDS:
        if sum(key == once for key, _ in head.fields) > 1:
            raise MalformedError(400, f"{once.decode()} twice")
    cls = class_of_path(request_path(head))
    if field_text(head, b"x-class") not in ("", cls):
        raise MalformedError(400, "the class of the path is not that of x-class")
    name = field_text(head, b"x-request-id")
    if not name:
        raise MalformedError(400, "no x-request-id")
    if classes[cls].idempotency is api.Idempotency.KEYED and not head.get(IDEMPOTENCY_KEY):
        raise MalformedError(400, f"no {IDEMPOTENCY_KEY.decode()} in a keyed class")
    span = parse_decimal(head, b"x-deadline")
    longest = classes[cls].deadline / 1_000_000
    figures = parse_extras(field_text(head, b"x-extras"))
    hint = parse_decimal(head, b"x-cost-hint")
    return Message(
        head=head,
        cls=cls,
        name=name,
        span=int(1_000_000 * min(longest if span is None else span, MAX_DEADLINE_S)),
        hint=int(hint or 0),
        slots=max(1, math.ceil(figures.get("slots", 1))),
        memory=max(0.0, figures.get("memory", 0.0)),
        tenant=field_text(head, b"x-tenant"),
        key=field_text(head, b"x-key"),
    )


# ---- responses of hosts ----

REPORT_FIELD_NAMES = {
    "concurrent": "inflight",
    "depth": "queue",
    "load_share": "util",
    "mean_ms": "latency_ms",
}
REASONS = {
    "done": api.Reason.OK,
    "failed": api.Reason.ERROR,
    "returned": api.Reason.FULL,
    "lost": api.Reason.RESET,
}
NOTES = {"started": api.UpdateKind.STARTED, "running": api.UpdateKind.PROGRESS}


class Line(msgspec.Struct):
    """One JSON object of the response stream of a host."""

    state: str
    id: str = ""
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"")
    load: dict[str, float] = {}


LINE = msgspec.json.Decoder(Line).decode


def parse_line(raw: memoryview | bytes) -> Line:
    """Parse one object of a response stream. Raises MalformedError."""
    try:
        return LINE(raw)
    except ValueError as error:
        raise MalformedError(400, f"a line of an answer: {error}") from None


def result_body(raw: msgspec.Raw) -> bytes:
    """The body for the client: the bytes of a JSON string, any other JSON value unchanged."""
    value = bytes(raw)
    return msgspec.json.decode(value, type=str).encode() if value[:1] == b'"' else value


def ordered_report(load: dict[str, float], fields: tuple[str, ...]) -> tuple[float, ...]:
    """The values of a load report in the order of the settings; empty if one is missing."""
    values = {REPORT_FIELD_NAMES.get(name, name): value for name, value in load.items()}
    return tuple(values[name] for name in fields) if fields and all(name in values for name in fields) else ()


def parse_load_header(value: bytes | None) -> dict[str, float]:
    """Parse a load report in the form `TEXT inflight=7, queue=2`."""
    kind, _, rest = (value or b"").decode("utf-8", "replace").strip().partition(" ")
    return parse_extras(rest) if kind == "TEXT" else {}


# With one of these a host says that the authorisation is invalid.
INVALID_REQUEST_STATUSES = frozenset((400, 404, 405, 411, 413, 414, 431))


def reason_for_status(status: int, never_ran: bool) -> api.Reason:
    """The outcome of a response without a stream. A 503 not marked as never run may have run."""
    return api.Reason.FULL if status in (503, 504) and never_ran else api.Reason.ERROR
