"""Frames out and in: who speaks, in which life, and what is passed over. Pure, one for each scheduler.

A life (incarnation) that a member has left for another one is remembered: its last frames may come behind
its successor's, and nothing in them is heeded.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from reedspoke.fleet.frames import TWELVE, Frame, FrameError, Matter, frames, read
from reedspoke.fleet.seal import Keys

FORMER = 8  # lives remembered for each member


class Mail:
    """`counted`: what was passed over (`unsealed`, `malformed`, `strangers`, `stale`) and what was used
    (`heard`). `keys`: frames are sealed, and only sealed ones are heeded."""

    def __init__(self, me: int, members: int, incarnation: int, keys: Keys | None = None) -> None:
        self.keys = keys
        self.me, self.members, self.incarnation = me, members, incarnation & TWELVE
        self.counted: Counter[str] = Counter()
        self.lives: dict[int, int] = {}  # each member's, as heard from itself
        self._former: dict[int, list[int]] = {}
        self._sequence = 0

    def pack(self, matters: Iterable[Matter]) -> list[bytes]:
        found = frames(self.me, self.incarnation, self._sequence + 1, matters)
        self._sequence = self._sequence + len(found) & TWELVE
        return [self.keys.seal(body) for body in found] if self.keys is not None else found

    def take(self, body: bytes, sender: int = -1) -> Frame | None:
        """None: nothing in it is to be heeded. `sender`: by its address, where that tells."""
        if self.keys is not None:
            opened = self.keys.open(body)
            if opened is None:
                self.counted["unsealed"] += 1
                return None
            body = opened
        try:
            frame = read(body)
        except FrameError:
            self.counted["malformed"] += 1
            return None
        if frame.sender == self.me or frame.sender >= self.members or sender not in (-1, frame.sender):
            self.counted["strangers"] += 1
            return None
        former = self._former.setdefault(frame.sender, [])
        if frame.incarnation in former:
            self.counted["stale"] += 1
            return None
        before = self.lives.get(frame.sender)
        if before is not None and before != frame.incarnation:
            former.append(before)
            del former[:-FORMER]
        self.lives[frame.sender] = frame.incarnation
        self.counted["heard"] += 1
        return frame
