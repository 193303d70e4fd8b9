"""The interface of optional subsystems, which the platform's program does without.

A subsystem brings concerns of the reducer, parts with sockets or threads, calls of the operator API and
metrics. It defines its own events and effects (`FurtherEvent`, `FurtherEffect`) and its own section of the
operator file; this package depends on none of them.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from reedspoke.net import effects as fx
from reedspoke.net.core import Component

NAME = b"*"  # a segment of a call's path that the caller chooses


class Extension(Protocol):
    """A part with sockets or threads of its own: opened, reloaded and closed with the scheduler."""

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """The handlers of the effects that this part executes."""
        ...

    def open(self) -> None:
        """Start to serve, within the running event loop."""
        ...

    def reload(self) -> None:
        """Read the configuration again, after SIGHUP."""
        ...

    def close(self) -> None:
        """Release all resources, at the end of the process."""
        ...


@dataclass(slots=True, frozen=True)
class Call:
    """A call of the operator API; `path` has the segments after /v1.

    `answer` returns the reply, or None if an effect brings it later.
    """

    method: bytes
    path: tuple[bytes, ...]
    answer: Callable[[fx.OperatorCall], fx.ReplyToOperator | None]
    max_body_bytes: int = 0

    @property
    def which(self) -> str:
        """The method and the path, which identify the call."""
        return (self.method + b" /" + b"/".join(self.path)).decode()

    def names(self, parts: tuple[bytes, ...]) -> tuple[bytes, ...] | None:
        """The segments that the caller chose, None if the path is not that of this call."""
        if len(parts) != len(self.path):
            return None
        pairs = list(zip(self.path, parts, strict=True))
        if any(not part or wanted not in (NAME, part) for wanted, part in pairs):
            return None
        return tuple(part for wanted, part in pairs if wanted == NAME)


@dataclass(slots=True)
class Subsystem:
    """Everything that a subsystem brings; `figures` returns Prometheus text for the operator API."""

    name: str
    components: tuple[Component, ...] = ()
    extensions: tuple[Extension, ...] = ()
    calls: tuple[Call, ...] = ()
    figures: Callable[[], str] | None = None
