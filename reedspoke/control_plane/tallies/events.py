"""What happens to a tally replica, and what it asks to be done."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.tallies.messages import TallyAdd, TallyHello, TallyMessage


class AddSubmitted(Struct, frozen=True):
    """An application adds to a tally; answered by `CallCompleted` with the same call id."""

    call_id: int
    add: TallyAdd


class SyncSubmitted(Struct, frozen=True):
    """Learn what was acknowledged anywhere until now; answered by `CallCompleted` with the same call id."""

    call_id: int


class StoreCompleted(Struct, frozen=True):
    """The end of a `StoreRecords`: the records are synced, or the disk refused."""

    token: int
    error: ErrorCode | None = None


class MessageReceived(Struct, frozen=True):
    """A message of the node with this address."""

    sender: str
    message: TallyMessage


class Tick(Struct, frozen=True):
    """A little time has passed; `peers` are the addresses of the other control plane nodes."""

    peers: frozenset[str]


Event = AddSubmitted | SyncSubmitted | StoreCompleted | MessageReceived | Tick


class SendMessage(Struct, frozen=True):
    """Send to another node; the message may be lost."""

    address: str
    message: TallyMessage | TallyHello


class StoreRecords(Struct, frozen=True):
    """Append records to the log and sync; with `replace` the log holds these alone. One runs at a time."""

    token: int
    records: tuple[bytes, ...]
    replace: bool = False


class CallCompleted(Struct, frozen=True):
    """The outcome of a call: an add is acknowledged where `error` is None."""

    call_id: int
    error: ErrorCode | None
    message: str = ""


class LogEvent(Struct, frozen=True):
    """Something for the operator's log."""

    level: int  # of the logging module
    text: str
    fields: dict[str, object]


Effect = SendMessage | StoreRecords | CallCompleted | LogEvent
