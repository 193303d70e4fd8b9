"""When a certificate is to be renewed, and when someone should worry. Pure; times are us of Unix time."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

SECOND = 1_000_000
NEAR = 0.5  # of the margin left: another authority is better than patience
NEAR_DOWN = 0.75  # the same, where the one in use has not answered anybody for a while
DOWN = 3  # calls without an answer
ALARM_LATE = 0.25  # of the margin gone: renewal should have come long since
ALARM_BAD = 0.5


def chance(*about: object) -> float:
    """A number in [0, 1) that is the same for the same words: jitter that needs no memory and no
    generator."""
    told = "\x1f".join(str(word) for word in about).encode()
    return int.from_bytes(sha256(told).digest()[:7], "big") / (1 << 56)


@dataclass(slots=True, frozen=True)
class Life:
    """A certificate in force, and the window that its authority has named for its renewal, (0, 0): none."""

    begins: int
    ends: int
    serial: str
    window: tuple[int, int] = (0, 0)
    floor: int = 0  # the window counts from then on


@dataclass(slots=True, frozen=True)
class Policy:
    renew_at: float  # share of the lifetime left at which renewal begins at the latest
    spread: float  # jitter, as a share of the time before that

    def margin(self, life: Life) -> int:
        """The time in which a renewal must succeed."""
        return int((life.ends - life.begins) * self.renew_at)

    def due(self, name: str, life: Life) -> int:
        """When renewal begins. Names that were issued together are spread over the time before the margin;
        the authority's own window goes first, but half of the margin is kept whatever it says."""
        latest = life.ends - self.margin(life)
        if life.window[1] > life.window[0] > 0:
            begins, ends = life.window
            at = begins + int((ends - begins) * chance("window", name, life.serial))
            return min(max(at, life.floor), life.ends - self.margin(life) // 2)
        early = int((latest - life.begins) * self.spread * chance("spread", name, life.serial))
        return latest - early

    def near(self, life: Life | None, now: int, down: int) -> bool:
        """Expiry is so near that another authority is better than patience; without a certificate it always
        is. `down`: failures in a row of the authority in use."""
        share = NEAR_DOWN if down >= DOWN else NEAR
        return life is None or now >= life.ends - int(self.margin(life) * share)

    def alarm(self, life: Life | None, now: int) -> int:
        """0: as planned, 1: renewal is late, 2: half of the time for it is gone, 3: none in force."""
        if life is None or now >= life.ends:
            return 3
        gone = now - (life.ends - self.margin(life))
        if gone < ALARM_LATE * self.margin(life):
            return 0
        return 2 if gone >= ALARM_BAD * self.margin(life) else 1
