"""What goes into and comes out of the replica's state machine: `Replica.handle(now, event) -> list[Effect]`.

Times are seconds of a steady clock that goes on while the process is stopped.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode


class Member(Struct, array_like=True, frozen=True):
    """A core machine: the id of its data folder, made with the folder, and its internal address."""

    folder_id: str
    address: str
    zone: str = ""


class ChainLink(Struct, array_like=True, frozen=True):
    """A member of the chain; `joined` is the view that appended it."""

    member: Member
    joined: int


class View(Struct, array_like=True, frozen=True):
    """The agreed view: who votes on the next one, and the order of the chain from head to tail."""

    number: int
    voters: tuple[Member, ...]
    chain: tuple[ChainLink, ...]


class Committed(Struct, array_like=True, frozen=True):
    """A configuration that every member of the chain has on disk."""

    sequence: int
    generation: int
    document: bytes
    view: int = 0  # the view in which the head took it


# ---- events ----


class Received(Struct, frozen=True):
    """A message of another replica (one of `replica_messages`)."""

    sender: str  # its address for other schedulers
    message: Struct


class Stored(Struct, frozen=True):
    """A `Store` effect has ended; `error` is None where all of it is synced."""

    token: int
    error: ErrorCode | None = None


class Tick(Struct, frozen=True):
    """Time has passed; due every TICK_S."""


class Put(Struct, frozen=True):
    """An operator's change, checked as far as it can be without the current configuration."""

    request_id: int
    match: int
    generation: int
    document: bytes


class Get(Struct, frozen=True):
    """An operator asks for the newest configuration."""

    request_id: int


class Leave(Struct, frozen=True):
    """The process is about to end: the chain goes on without this member."""


class SeedsChanged(Struct, frozen=True):
    """The settings file names other seeds."""

    seeds: tuple[str, ...]


Event = Received | Stored | Tick | Put | Get | Leave | SeedsChanged

# ---- effects ----


class SendTo(Struct, frozen=True):
    """Send to another replica; may be lost, may come twice after a new connection, never reordered in one."""

    address: str
    message: Struct


class Store(Struct, frozen=True):
    """Append records to the file and sync, in the order of tokens; answered by `Stored`.

    With `replace` the file is rewritten to hold these records alone.
    """

    token: int
    records: tuple[bytes, ...]
    replace: bool = False


class PutAnswer(Struct, frozen=True):
    """Final answer to a `Put`: `error` None means acknowledged."""

    request_id: int
    error: ErrorCode | None
    message: str = ""


class GetAnswer(Struct, frozen=True):
    """Final answer to a `Get`."""

    request_id: int
    committed: Committed | None
    error: ErrorCode | None = None
    message: str = ""


class Deliver(Struct, frozen=True):
    """This is committed and newer than what was delivered before: the data plane may have it."""

    committed: Committed


class ViewChanged(Struct, frozen=True):
    """A newer view is known."""

    view: View


class LogLine(Struct, frozen=True):
    """Something an operator wants to know."""

    level: int  # of the logging module
    text: str
    fields: dict[str, object]


Effect = SendTo | Store | PutAnswer | GetAnswer | Deliver | ViewChanged | LogLine
