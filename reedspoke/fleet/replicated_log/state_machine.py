"""The interface of a state machine to which a replicated log is applied."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """Must be deterministic: the same commands lead to the same state, without clocks or random numbers."""

    def apply(self, index: int, command: bytes) -> None:
        """Apply a committed command; called once for each, in the order of the log."""

    def snapshot(self) -> bytes:
        """Return the complete state, as `restore` accepts it."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by the state in a snapshot."""
