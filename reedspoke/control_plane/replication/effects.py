"""What the replica's state machine asks its driver to do, in order: the result of `Replica.handle`."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.view import View


class SendMessage(Struct, frozen=True):
    """Send to another replica.

    The message may be lost, and may come twice after a new connection; one connection never reorders.
    """

    address: str
    message: Struct


class StoreRecords(Struct, frozen=True):
    """Append records to the log and sync, in the order of tokens; answered by `StoreCompleted`.

    With `replace` the log is rewritten to hold these records alone.
    """

    token: int
    records: tuple[bytes, ...]
    replace: bool = False


class PutCompleted(Struct, frozen=True):
    """Final answer to a `PutSubmitted`: `error` None means acknowledged."""

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
    """This is committed and newer than what was delivered before: the data plane may have it."""

    committed: CommittedConfiguration


class ViewChanged(Struct, frozen=True):
    """The replica acts in this newer view from now on."""

    view: View


class LogEvent(Struct, frozen=True):
    """Something for the operator's log."""

    level: int  # of the logging module
    text: str
    fields: dict[str, object]


Effect = (
    SendMessage | StoreRecords | PutCompleted | GetCompleted | DeliverConfiguration | ViewChanged | LogEvent
)
