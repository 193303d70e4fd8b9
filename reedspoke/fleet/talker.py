"""A scheduler's words on the simulator's wire, which carries text; who spoke is told by the frame."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.fleet.frames import FrameError, Holdings, as_text, of_text
from reedspoke.fleet.mail import Mail
from reedspoke.fleet.sharing import Sharing, held_by
from reedspoke.interface import Action, Send
from reedspoke.logic import Dispatcher


class Talker:
    def __init__(self, me: int, schedulers: int, incarnation: int) -> None:
        self.mail, self.sharing = Mail(me, schedulers, incarnation), Sharing(schedulers)
        self.forget = self.sharing.forget
        self._tries = 0

    def tried(self, actions: Iterable[Action]) -> None:
        self._tries += sum(isinstance(action, Send) for action in actions)

    def hear(self, now: int, text: str) -> bool:
        """Whether the picture of the others has changed by it."""
        try:
            frame = self.mail.take(of_text(text))
            if frame is None:
                return False
            changed = False
            for matter in frame.matters:
                if isinstance(matter, Holdings):
                    changed |= self.sharing.hear(now, frame.sender, frame.incarnation, frame.sequence, matter)
            return changed
        except FrameError:
            self.mail.counted["malformed"] += 1
            return False

    def say(self, now: int, module: Dispatcher) -> list[str]:
        """The messages to send to every peer now."""
        return [as_text(body) for body in self.mail.pack(self.sharing.say(now, held_by(module), self._tries))]
