"""Splits a stream of server-sent events, so that only complete events are forwarded to clients."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError

SEPARATOR = b"\n\n"
ID_FIELD = b"id:"
MAX_EVENT_BYTES = 1024 * 1024


class EventTooLargeError(FleetError):
    """An event of a stream is longer than MAX_EVENT_BYTES."""

    def __init__(self) -> None:
        super().__init__(ErrorCode.EVENT_TOO_LARGE, f"an event is longer than {MAX_EVENT_BYTES} bytes")


class Events(Struct, frozen=True):
    """Complete events: their bytes, their number, and the last event id among them; empty if none has one."""

    data: bytes
    count: int
    last_id: str


class EventSplitter:
    """Collects the pieces of a body and returns the events that they complete."""

    def __init__(self) -> None:
        self._pending = bytearray()

    def feed(self, piece: bytes | memoryview) -> Events | None:
        """Adds a piece; returns the newly complete events, or None without one.

        Raises EventTooLargeError if an incomplete event is too long.
        """
        self._pending += piece
        end = self._pending.rfind(SEPARATOR)
        if end < 0:
            if len(self._pending) > MAX_EVENT_BYTES:
                raise EventTooLargeError
            return None
        complete = bytes(self._pending[: end + len(SEPARATOR)])
        del self._pending[: end + len(SEPARATOR)]
        return Events(complete, complete.count(SEPARATOR), last_event_id(complete))

    def pending_bytes(self) -> int:
        """The number of bytes of the incomplete event."""
        return len(self._pending)

    def remainder(self) -> bytes:
        """The bytes after the last complete event."""
        return bytes(self._pending)


def first_event_id(events: bytes) -> str:
    """The id of the first event that has one; empty without one."""
    for line in events.split(b"\n"):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode("latin-1")
    return ""


def last_event_id(events: bytes) -> str:
    """The id of the last event that has one; empty without one."""
    newline_at = events.rfind(b"\n" + ID_FIELD)
    start = newline_at + 1 if newline_at >= 0 else (0 if events.startswith(ID_FIELD) else -1)
    if start < 0:
        return ""
    end = events.find(b"\n", start)
    stop = len(events) if end < 0 else end
    return events[start + len(ID_FIELD) : stop].strip().decode("latin-1")
