"""The platform's words for an authorisation, a leg's answer and a load report."""

from __future__ import annotations

import math
import re
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.http import Head, MalformedError

IDEMPOTENCY_KEY = b"idempotency-key"  # of a job whose repeats hosts drop by it
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
CONNECTION_FIELDS = frozenset(  # fields of one connection, and those that a leg writes itself
    (b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade", b"expect", b"host")
    + (b"content-length", b"proxy-connection", b"x-deadline")
)
DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")
MAX_DEADLINE_S = 86_400.0  # s


@dataclass(slots=True)
class Message:
    """An authorisation as it came: slices of the buffer that it was read into."""

    head: Head
    cls: str
    name: str
    span: int
    hint: int
    slots: int
    memory: float
    tenant: str
    key: str
    body: memoryview = field(default_factory=lambda: memoryview(b""))
    hidden: frozenset[bytes] = frozenset()  # further fields that do not go on to issuer hosts

    def to_event(self, client: int) -> fx.Arrived:
        return fx.Arrived(
            client, self.name, self, self.cls, self.span, self.hint, self.slots, self.memory,
            self.tenant, self.key,
        )  # fmt: skip

    def request_head(self, endpoint: tuple[str, int], wait: int) -> bytes:
        """The head of a leg: what came, but for the fields of the connection that it came on."""
        own = CONNECTION_FIELDS.union(self.head.tokens(b"connection"), self.hidden)
        first_line = b" ".join((self.head.method, self.head.target, b"HTTP/1.1"))
        lines = [first_line, b"Host: " + authority(endpoint)]
        lines += [b": ".join((name, value)) for name, value in self.head.fields if name not in own]
        lines.append(b"X-Deadline: %.6f" % (max(0, wait) / 1_000_000))
        lines.append(b"Content-Length: %d\r\n\r\n" % len(self.body))
        return b"\r\n".join(lines)


def authority(endpoint: tuple[str, int]) -> bytes:
    host, port = endpoint
    return (f"[{host}]:{port}" if ":" in host else f"{host}:{port}").encode()


def field_text(head: Head, name: bytes) -> str:
    return (head.get(name) or b"").decode("utf-8", "replace")


def parse_decimal(head: Head, name: bytes) -> float | None:
    told = field_text(head, name)
    if not told:
        return None
    if not DECIMAL.fullmatch(told):
        raise MalformedError(400, f"{name.decode()} is no decimal")
    return float(told)


def parse_extras(told: str) -> dict[str, float]:
    """`name=value,name=value`; what is no figure is passed over."""
    figures = {}
    for part in told.split(","):
        name, _, value = part.partition("=")
        try:
            figures[name.strip().lower()] = float(value)
        except ValueError:
            continue
    return {name: value for name, value in figures.items() if math.isfinite(value)}


def request_path(head: Head) -> bytes:
    """The target's path, also where it came in absolute form."""
    target = bytes(head.target)
    if target[:7].lower() == b"http://":
        target = b"/" + target[7:].partition(b"/")[2]
    if not target.startswith(b"/") and target != b"*":
        raise MalformedError(400, "the target is no path")
    return target.partition(b"?")[0]


def class_of_path(named: bytes) -> str:
    """The first part of a path."""
    return named.lstrip(b"/").partition(b"/")[0].decode("ascii")


def parse_authorisation(head: Head, classes: Mapping[str, api.ClassSettings]) -> Message:
    """Reads the head of an authorisation; one of a known class, by POST.

    Raises MalformedError. A field that decides what a host does stands there once: of two, one host might go
    by the first and another by the last. A job of a keyed class without its key could not be told from its
    own repeat, so it is none."""
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


# ---- what comes back ----

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
    """One object of the stream that a host answers with."""

    state: str
    id: str = ""
    share: float = 0.0
    result: msgspec.Raw = msgspec.Raw(b"")
    load: dict[str, float] = {}


LINE = msgspec.json.Decoder(Line).decode


def parse_line(raw: memoryview | bytes) -> Line:
    try:
        return LINE(raw)
    except ValueError as error:
        raise MalformedError(400, f"a line of an answer: {error}") from None


def result_body(raw: msgspec.Raw) -> bytes:
    """The body for the client: a text's own bytes, anything else as it stands."""
    told = bytes(raw)
    return msgspec.json.decode(told, type=str).encode() if told[:1] == b'"' else told


def ordered_report(load: dict[str, float], fields: tuple[str, ...]) -> tuple[float, ...]:
    """A load report in the order of the settings; empty where a value is missing."""
    meant = {REPORT_FIELD_NAMES.get(name, name): value for name, value in load.items()}
    return tuple(meant[name] for name in fields) if fields and all(name in meant for name in fields) else ()


def parse_load_header(told: bytes | None) -> dict[str, float]:
    """`TEXT inflight=7, queue=2`."""
    kind, _, rest = (told or b"").decode("utf-8", "replace").strip().partition(" ")
    return parse_extras(rest) if kind == "TEXT" else {}


# A host's word that an authorisation is unusable.
INVALID_REQUEST_STATUSES = frozenset((400, 404, 405, 411, 413, 414, 431))


def reason_for_status(status: int, never_ran: bool) -> api.Reason:
    """What an answer means that is no stream: a 503 that does not say so may have run."""
    return api.Reason.FULL if status in (503, 504) and never_ran else api.Reason.ERROR
