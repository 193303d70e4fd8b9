"""What a replicated log is applied to."""

from __future__ import annotations

from typing import Protocol


class StateMachine(Protocol):
    """Deterministic: the same commands give the same state everywhere, so no clock and no random choice."""

    def apply(self, index: int, command: bytes) -> None:
        """Carry out a committed command; called once for each, in the order of the log."""

    def snapshot(self) -> bytes:
        """Return the complete state, as `restore` takes it."""

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of a snapshot."""
