"""Which certificate a client gets by the name that it asks for. No I/O and no clock of its own."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

T = TypeVar("T")
EDGE = 250_000  # us before its end from which a certificate is not used: the handshake would end behind it


@dataclass(slots=True, frozen=True)
class Held(Generic[T]):
    """A certificate that is in force; `what` serves it. Times in us of Unix time."""

    name: str
    hosts: tuple[str, ...]
    ends: int
    what: T


@dataclass(slots=True, frozen=True)
class Refusal:
    """No handshake: `reason` is one of REASONS."""

    reason: str
    name: str = ""


REASONS = ("no_name", "unknown_name", "no_certificate", "expired")


class Names(Generic[T]):
    """The hosts that the operator file names, and what serves each as yet."""

    def __init__(self) -> None:
        self._wanted: dict[str, str] = {}  # host -> certificate
        self._held: dict[str, Held[T]] = {}

    def want(self, certificates: Iterable[tuple[str, Iterable[str]]]) -> None:
        """From now on these are served and no others; what is held of the others is forgotten."""
        self._wanted = {host: name for name, hosts in certificates for host in hosts}
        named = set(self._wanted.values())
        self._held = {name: held for name, held in self._held.items() if name in named}

    def hold(self, held: Held[T]) -> None:
        self._held[held.name] = held

    def held(self) -> list[Held[T]]:
        return list(self._held.values())

    def choose(self, host: str | None, now: int) -> Held[T] | Refusal:
        """An exact name goes before a wildcard, which stands for one label (RFC 6125, 6.4.3). A certificate
        that has expired serves nobody: its client would refuse it, and ours is the plainer word."""
        if not host:
            return Refusal("no_name")
        host = host.rstrip(".").lower()
        name = self._wanted.get(host) or self._wanted.get("*." + host.partition(".")[2])
        if name is None:
            return Refusal("unknown_name", host)
        held = self._held.get(name)
        if held is None:
            return Refusal("no_certificate", name)
        if now >= held.ends - EDGE:
            return Refusal("expired", name)
        if host not in held.hosts and "*." + host.partition(".")[2] not in held.hosts:
            return Refusal("no_certificate", name)  # added to the file, and its new certificate has not come
        return held
