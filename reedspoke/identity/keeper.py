"""The gate at the fronts: reads the clock, the request and the client's certificate, and asks `gate`."""

from __future__ import annotations

import asyncio
import base64
import hashlib
import logging
import ssl
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from tornado.iostream import IOStream

from reedspoke.identity.gate import Admitted, Certificate, Gate
from reedspoke.identity.rights import Caller, DeniedError, Rights
from reedspoke.identity.sources import SourceError, ring, stamps
from reedspoke.identity.token import Policy
from reedspoke.net import effects as fx
from reedspoke.net.acquirer import ForbiddenError
from reedspoke.net.http import Head
from reedspoke.net.message import Message
from reedspoke.operator.check import OperatorError, reloaded
from reedspoke.operator.types import Identity, Operator
from reedspoke.units import microseconds

log = logging.getLogger("reedspoke")

LOOK = 0.5  # s between looks at the files of keys
HIDDEN = frozenset((b"authorization",))  # what callers prove with does not go on to issuer hosts


def policy(identity: Identity) -> Policy:
    return Policy(identity.audience, microseconds(identity.skew), microseconds(identity.longest))


def callers(identity: Identity) -> list[Caller]:
    issuers = {one.name: one.issuer for one in identity.issuers}
    return [
        Caller(
            one.name, frozenset(one.tenants),
            frozenset((issuers[subject.issuer], subject.subject) for subject in one.subjects),
            frozenset(one.names), frozenset(one.classes) if one.classes is not None else None,
            one.rate, one.burst, one.most_open,
        )
        for one in identity.callers
    ]  # fmt: skip


def certificate(source: IOStream) -> Certificate | None:
    """Of the client at the other end; None on the plain front, and where it has shown none."""
    raw = source.socket
    if not isinstance(raw, ssl.SSLSocket):
        return None
    der = raw.getpeercert(binary_form=True)
    if not der:
        return None
    told = raw.getpeercert() or {}
    pairs: Any = told.get("subjectAltName", ())
    names = tuple(str(value) for kind, value in pairs if kind in ("DNS", "URI"))
    digest = hashlib.sha256(der).digest()
    return Certificate(names, base64.urlsafe_b64encode(digest).rstrip(b"=").decode())


class Keeper:
    """An extension of the node, and the acquirer's gate. Raises SourceError or ValueError where it cannot
    be made as told."""

    def __init__(
        self, operator: Operator, path: Path, emit: Callable[[fx.Event], None],
        now: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:  # fmt: skip
        assert operator.identity is not None
        identity = operator.identity
        self.operator, self.identity, self.path, self.emit, self.now = operator, identity, path, emit, now
        self._held: dict[int, Admitted] = {}  # by client, while its authorisation has no answer
        self._stamps = stamps(identity)
        self.gate = Gate(policy(identity), Rights(callers(identity)), ring(identity))
        self._task: asyncio.Task[None] | None = None

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {}

    def admit(self, head: Head, message: Message, source: IOStream, number: int) -> Callable[[], None]:
        """Raises ForbiddenError. The tenant that goes on is the one that was proven; the call that comes back
        ends what is held."""
        values = [bytes(value) for name, value in head.fields if name == b"authorization"]
        try:
            admitted = self.gate.admit(values, certificate(source), message.tenant, message.cls, self.now())
        except DeniedError as error:
            raise ForbiddenError(error.status, error.after) from None
        finally:
            for line in self.gate.lines:
                log.warning("%s", line)
            self.gate.lines.clear()
        message.tenant, message.hidden = admitted.tenant, HIDDEN
        self._held[number] = admitted

        def done() -> None:
            self._held.pop(number, None)
            self.gate.done(admitted)

        return done

    def open(self) -> None:
        self._task = asyncio.ensure_future(self._watch())

    async def _watch(self) -> None:
        """Keys change in their files: a withdrawal counts within half a second, also on kept connections."""
        while True:
            await asyncio.sleep(LOOK)
            if (found := stamps(self.identity)) != self._stamps:
                self._stamps = found
                self._take_up(self.identity)

    def _take_up(self, identity: Identity) -> None:
        try:
            fresh = ring(identity)
            self.gate.rights.change(callers(identity))
        except (SourceError, ValueError) as error:
            log.error("identity: what is in force stays: %s", error)
            return
        self.identity = identity
        self.gate.change(policy(identity), fresh)
        for number, admitted in list(self._held.items()):
            if not self.gate.stands(admitted, self.now()):
                self.emit(fx.Withdrawn(number))
        log.info("identity: %d keys, %d callers", len(fresh), len(identity.callers))

    def reload(self) -> None:
        """SIGHUP has come. A file that is refused for any of its keys changes nothing here either."""
        try:
            told = reloaded(self.operator, self.path)
        except OperatorError as error:
            log.error("identity: what is in force stays: %s", error)
            return
        self.operator = told
        if told.identity is not None:
            self._stamps = stamps(told.identity)
            self._take_up(told.identity)

    def text(self) -> str:
        """The figures, as Prometheus text."""
        lines = [
            "# HELP reedspoke_identity_total Requests at the gate, by what came of them.",
            "# TYPE reedspoke_identity_total counter",
        ]
        lines += [
            f'reedspoke_identity_total{{reason="{reason}"}} {count}'
            for reason, count in sorted(self.gate.counts.items())
        ]
        believed = self.gate.believed
        lines += [
            "# HELP reedspoke_identity_believed_total Tokens looked up among those verified before.",
            "# TYPE reedspoke_identity_believed_total counter",
            f'reedspoke_identity_believed_total{{result="hit"}} {believed.hits}',
            f'reedspoke_identity_believed_total{{result="miss"}} {believed.misses}',
        ]
        return "\n".join(lines) + "\n"

    def close(self) -> None:
        if self._task is not None:
            self._task.cancel()
