"""Load reports between schedulers on the simulator, which carries text messages instead of datagrams.

The simulator does not identify the process that sent a message; the incarnation in the frame does.
"""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.fleet.load_sharing import LoadSharing, reserved_by
from reedspoke.fleet.messages.errors import FrameError
from reedspoke.fleet.messages.frame import frame_from_text, frame_to_text
from reedspoke.fleet.messages.worker_load import LoadReport
from reedspoke.fleet.transport.channel import FrameChannel
from reedspoke.interface import Action, Send
from reedspoke.logic import Dispatcher


class SimulatorTransport:
    """One scheduler's load sharing and channel. Times are microseconds of virtual time."""

    def __init__(self, node_id: int, schedulers: int, incarnation: int) -> None:
        """`incarnation` differs for each process of a scheduler."""
        self.channel = FrameChannel(node_id, schedulers, incarnation)
        self.load_sharing = LoadSharing(schedulers)
        self._attempts = 0

    def count_attempts(self, actions: Iterable[Action]) -> None:
        """Counts the attempts among the actions; each earns credit for load reports."""
        self._attempts += sum(isinstance(action, Send) for action in actions)

    def receive(self, now: int, text: str) -> bool:
        """Handles a message. Returns whether the loads of the others were updated."""
        try:
            frame = self.channel.receive(frame_from_text(text))
            if frame is None:
                return False
            changed = False
            for message in frame.messages:
                if isinstance(message, LoadReport):
                    changed |= self.load_sharing.receive(now, frame, message)
            return changed
        except FrameError:
            self.channel.counters["malformed"] += 1
            return False

    def messages(self, now: int, module: Dispatcher) -> list[str]:
        """Returns the messages to send to every peer."""
        reports = self.load_sharing.due_reports(now, reserved_by(module), self._attempts)
        return [frame_to_text(body) for body in self.channel.encode(reports)]
