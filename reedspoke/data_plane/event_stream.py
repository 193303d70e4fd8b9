"""Cuts a server-sent event stream into whole events: what reaches a client ends between two of them."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"
MOST_PENDING = 1024 * 1024  # bytes of one event


class EventTooLargeError(FleetError):
    """An event is longer than MOST_PENDING."""

    def __init__(self) -> None:
        super().__init__(ErrorCode.EVENT_TOO_LARGE, f"an event of more than {MOST_PENDING} bytes")


class Events(Struct, frozen=True):
    """Whole events, as bytes to pass on, their number and the id of the last one that has an id."""

    data: bytes
    count: int
    last_id: str


class EventSplitter:
    """Takes the pieces of a body as they come."""

    def __init__(self) -> None:
        self._pending = bytearray()

    def feed(self, piece: bytes | memoryview) -> Events | None:
        """The events that are whole by now; None where there is no new one."""
        self._pending += piece
        end = self._pending.rfind(SEPARATOR)
        if end < 0:
            if len(self._pending) > MOST_PENDING:
                raise EventTooLargeError
            return None
        whole = bytes(self._pending[: end + len(SEPARATOR)])
        del self._pending[: end + len(SEPARATOR)]
        return Events(whole, whole.count(SEPARATOR), last_event_id(whole))

    def pending(self) -> int:
        """Bytes of an event that is not whole."""
        return len(self._pending)

    def rest(self) -> bytes:
        """What stands behind the last whole event."""
        return bytes(self._pending)


def first_event_id(events: bytes) -> str:
    """The id of the first event that has one, else an empty text."""
    for line in events.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""


def last_event_id(events: bytes) -> str:
    """The id of the last event that has one, else an empty text."""
    found = events.rfind(b"\n" + ID_FIELD)
    start = found + 1 if found >= 0 else (0 if events.startswith(ID_FIELD) else -1)
    if start < 0:
        return ""
    end = events.find(b"\n", start)
    stop = len(events) if end < 0 else end
    return events[start + len(ID_FIELD) : stop].strip().decode("latin-1")
