"""Effects that a replica collects while it handles an event, and its messages to itself."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.replication.effects import Effect, LogEvent, SendMessage


class EffectBuffer:
    """Owns the effects of the event that is being handled, and the time `now` of that event."""

    def __init__(self, address: str, now: float) -> None:
        self.now = now
        self._address = address
        self._effects: list[Effect] = []
        self._own_messages: list[Struct] = []

    def take_effects(self) -> list[Effect]:
        """Remove and return the effects collected so far."""
        effects, self._effects = self._effects, []
        return effects

    def take_own_messages(self) -> list[Struct]:
        """Remove and return the messages of this replica to itself, which are not sent over the network."""
        messages, self._own_messages = self._own_messages, []
        return messages

    def emit(self, effect: Effect) -> None:
        """Add an effect."""
        self._effects.append(effect)

    def send(self, address: str, message: Struct) -> None:
        """Send a message to a replica, which may be this one."""
        if address == self._address:
            self._own_messages.append(message)
        else:
            self._effects.append(SendMessage(address, message))

    def log(self, level: int, text: str, **fields: object) -> None:
        """Write a line to the log."""
        self._effects.append(LogEvent(level, text, fields))
