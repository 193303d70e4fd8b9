"""Faults of emulated workers."""

from __future__ import annotations

import random
from enum import Enum

from msgspec import Struct


class AnswerFault(Enum):
    """What goes wrong with one answer."""

    NONE = "none"
    GARBLED = "garbled"  # bytes that are no answer
    SURPLUS = "surplus"  # a second answer after a whole one
    LOST = "lost"  # the request ran, and the connection is reset instead of an answer


class FaultShares(Struct, frozen=True):
    """How often each fault occurs, as a share of the answers."""

    garbled: float = 0.0
    surplus: float = 0.0
    lost: float = 0.0


NO_FAULTS = FaultShares()


class FaultSource:
    """Draws the fault of each answer."""

    def __init__(self, shares: FaultShares, seed: int) -> None:
        self.shares = shares
        self._random = random.Random(seed)

    def draw(self) -> AnswerFault:
        value = self._random.random()
        for fault, share in (
            (AnswerFault.GARBLED, self.shares.garbled),
            (AnswerFault.SURPLUS, self.shares.surplus),
            (AnswerFault.LOST, self.shares.lost),
        ):
            if value < share:
                return fault
            value -= share
        return AnswerFault.NONE
