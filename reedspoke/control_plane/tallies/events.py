"""Events that a tally replica handles, and effects that it requests."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.tallies.messages import OrderMessage, TallyAdd, TallyHello, TallyMessage


class AddSubmitted(Struct, frozen=True):
    """A call that adds to a tally; answered by `CallCompleted` with the same call id."""

    call_id: int
    add: TallyAdd


class SyncSubmitted(Struct, frozen=True):
    """A call that gets the numbers of all orders so far.

    It is answered by `SyncCompleted` or, if it is rejected, by `CallCompleted` with the same call id.
    """

    call_id: int


class StoreCompleted(Struct, frozen=True):
    """The result of a `StoreRecords`: the records are synced, or the store failed with `error`."""

    token: int
    error: ErrorCode | None = None


class MessageReceived(Struct, frozen=True):
    """A message from the node with this address."""

    sender: str
    message: TallyMessage | OrderMessage


class Tick(Struct, frozen=True):
    """The periodic timer event; `peers` are the addresses of the other control plane nodes."""

    peers: frozenset[str]


Event = AddSubmitted | SyncSubmitted | StoreCompleted | MessageReceived | Tick


class SendMessage(Struct, frozen=True):
    """Send a message to another node; it may be lost."""

    address: str
    message: TallyMessage | TallyHello


class SendOrderMessage(Struct, frozen=True):
    """Send a message about orders to another node, on a connection of its own; it may be lost."""

    address: str
    message: OrderMessage


class StoreRecords(Struct, frozen=True):
    """Append records to the log, or replace its content by them, and sync. Only one runs at a time."""

    token: int
    records: tuple[bytes, ...]
    replace: bool = False


class CallCompleted(Struct, frozen=True):
    """The result of a call, which succeeded if `error` is None."""

    call_id: int
    error: ErrorCode | None
    message: str = ""


class OrderNumbers(Struct, frozen=True):
    """What this node and those that answered it have in the tallies that hold orders.

    `own` and `others` have the adds of `OrderNumbersReply`: of this node, and of all that answered. `folders`
    are the folders of which all adds are included, also those that are not synced yet.
    """

    own: tuple[TallyAdd, ...]
    others: tuple[TallyAdd, ...]
    folders: frozenset[str]


class SyncCompleted(Struct, frozen=True):
    """The result of a sync: it includes every order acknowledged before the call."""

    call_id: int
    numbers: OrderNumbers


class LogEvent(Struct, frozen=True):
    """An event for the log of the process."""

    level: int  # as in the logging module
    text: str
    fields: dict[str, object]


Effect = SendMessage | SendOrderMessage | StoreRecords | CallCompleted | SyncCompleted | LogEvent
