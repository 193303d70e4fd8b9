"""A part beyond the platform's program, and all that it brings, in one place: concerns of the reducer, parts
with sockets, calls at the operators' door, figures. Its events and effects are its own (`FurtherEvent`,
`FurtherEffect`), its part of the operator file as well; nothing here knows any of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from reedspoke.net import effects as fx
from reedspoke.net.core import Concern

NAME = b"*"  # in a call's path: a part that the caller chooses


class Extension(Protocol):
    """A part with sockets or threads of its own."""

    def effects(self) -> dict[type, Callable[[Any], None]]: ...

    def open(self) -> None: ...

    def reload(self) -> None: ...

    def close(self) -> None: ...


@dataclass(slots=True, frozen=True)
class Call:
    """At the operators' door. `path`: its parts behind /v1. `answer` returns the reply, or None where an
    effect brings it later. `max_body_bytes`: bytes."""

    method: bytes
    path: tuple[bytes, ...]
    answer: Callable[[fx.Called], fx.Reply | None]
    max_body_bytes: int = 0

    @property
    def which(self) -> str:
        return (self.method + b" /" + b"/".join(self.path)).decode()

    def names(self, parts: tuple[bytes, ...]) -> tuple[bytes, ...] | None:
        """What the caller chose, None: it is another call's path."""
        if len(parts) != len(self.path):
            return None
        pairs = list(zip(self.path, parts, strict=True))
        if any(not part or wanted not in (NAME, part) for wanted, part in pairs):
            return None
        return tuple(part for wanted, part in pairs if wanted == NAME)


@dataclass(slots=True)
class Subsystem:
    """`figures`: Prometheus text, asked for where a door is open."""

    name: str
    concerns: tuple[Concern, ...] = ()
    extensions: tuple[Extension, ...] = ()
    calls: tuple[Call, ...] = ()
    figures: Callable[[], str] | None = None
