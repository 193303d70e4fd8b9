"""Events of the replica's state machine: `Replica.handle(now, event) -> list[Effect]`.

Times are seconds of a steady clock that keeps running while the process is stopped.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode


class MessageReceived(Struct, frozen=True):
    """A message of another replica, one of `replication.messages`, has arrived."""

    sender: str  # internal address of the sender
    message: Struct


class StoreCompleted(Struct, frozen=True):
    """A `StoreRecords` effect has ended; `error` is None if all records are synced."""

    token: int
    error: ErrorCode | None = None


class Tick(Struct, frozen=True):
    """A periodic event, due every `TICK_INTERVAL_S`."""


class PutSubmitted(Struct, frozen=True):
    """An operator submits a change, validated as far as possible without the current configuration.

    `match` is the generation of the configuration that the change builds on.
    """

    request_id: int
    match: int
    generation: int
    document: bytes


class GetSubmitted(Struct, frozen=True):
    """An operator requests the newest configuration."""

    request_id: int


class ShutdownStarted(Struct, frozen=True):
    """The process is about to end, so that a repair should remove this member from the chain."""


class SeedsChanged(Struct, frozen=True):
    """The settings file names other seeds."""

    seeds: tuple[str, ...]


Event = MessageReceived | StoreCompleted | Tick | PutSubmitted | GetSubmitted | ShutdownStarted | SeedsChanged
