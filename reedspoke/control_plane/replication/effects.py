"""Effects returned by `Replica.handle`, which the driver carries out in order."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.view import View


class SendMessage(Struct, frozen=True):
    """Send a message to another replica.

    It may be lost, or delivered twice after a reconnect; a single connection never reorders messages.
    """

    address: str
    message: Struct


class StoreRecords(Struct, frozen=True):
    """Append records to the log and sync it, in the order of tokens; answered by `StoreCompleted`.

    With `replace`, the log is rewritten with these records only.
    """

    token: int
    records: tuple[bytes, ...]
    replace: bool = False


class PutCompleted(Struct, frozen=True):
    """Final answer to a `PutSubmitted`; the change is acknowledged if `error` is None."""

    request_id: int
    error: ErrorCode | None
    message: str = ""


class GetCompleted(Struct, frozen=True):
    """Final answer to a `GetSubmitted`."""

    request_id: int
    committed: CommittedConfiguration | None
    error: ErrorCode | None = None
    message: str = ""


class DeliverConfiguration(Struct, frozen=True):
    """Deliver a committed configuration, newer than the previous one, to the data plane."""

    committed: CommittedConfiguration


class ViewChanged(Struct, frozen=True):
    """The replica has entered a newer view."""

    view: View


class LogEvent(Struct, frozen=True):
    """Write a line to the log."""

    level: int  # level of the `logging` module
    text: str
    fields: dict[str, object]


Effect = (
    SendMessage | StoreRecords | PutCompleted | GetCompleted | DeliverConfiguration | ViewChanged | LogEvent
)
