"""What happens to the replica's state machine: `Replica.handle(now, event) -> list[Effect]`.

Times are seconds of a steady clock that goes on while the process is stopped.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.errors import ErrorCode


class MessageReceived(Struct, frozen=True):
    """A message of another replica (one of `replication.messages`)."""

    sender: str  # its address for other control plane nodes
    message: Struct


class StoreCompleted(Struct, frozen=True):
    """A `StoreRecords` effect has ended; `error` is None where all of it is synced."""

    token: int
    error: ErrorCode | None = None


class Tick(Struct, frozen=True):
    """Time has passed; due every `TICK_INTERVAL_S`."""


class PutSubmitted(Struct, frozen=True):
    """An operator's change, checked as far as it can be without the current configuration.

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
    """The process is about to end: the chain goes on without this member."""


class SeedsChanged(Struct, frozen=True):
    """The settings file names other seeds."""

    seeds: tuple[str, ...]


Event = MessageReceived | StoreCompleted | Tick | PutSubmitted | GetSubmitted | ShutdownStarted | SeedsChanged
