"""What the fleet's concern is told (events) and what it asks for (effects)."""

from __future__ import annotations

from reedspoke.fleet.replicated_log.log_state import LogChange
from reedspoke.net.effects import FurtherEffect, FurtherEvent

# ---- events ----


class Joining(FurtherEvent):
    """Messages between schedulers can come from now on."""


class Came(FurtherEvent):
    """A message from another scheduler; it may be anything."""

    body: bytes
    sender: int = -1  # by its address


class Acted(FurtherEvent):
    """An act of a duty is over. `status`: of its answer, 0: none; `token`: the later one that it named, 0."""

    duty: str
    status: int
    token: int = 0


class Kept(FurtherEvent):
    """What had to be on disk is: now that may go out which follows from it."""

    then: tuple[Spread, ...]


class Unkept(FurtherEvent):
    """It is not, and never will be taken to be."""


# ---- effects ----


class Spread(FurtherEffect):
    """Send messages to one scheduler, or to every other one; they may be lost."""

    bodies: tuple[bytes, ...]
    to: int = -1


class Act(FurtherEffect):
    """Carry out an act of a duty, if that is before `until` still; its token goes with it."""

    duty: str
    token: int
    until: int


class Enter(FurtherEffect):
    """A duty is this scheduler's until then, by its clock; told again whenever that is later."""

    duty: str
    token: int
    until: int


class Leave(FurtherEffect):
    """It is not any more."""

    duty: str


class Keep(FurtherEffect):
    """Bring that to disk, and answer by `Kept` or `Unkept`."""

    changes: tuple[LogChange, ...]
    then: tuple[Spread, ...]
