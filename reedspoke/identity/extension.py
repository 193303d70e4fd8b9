"""The authorizer at the listeners: reads the clock, requests, client certificates and files of keys."""

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

from reedspoke.identity.authorizer import Authorization, Authorizer, ClientCertificate
from reedspoke.identity.callers import Caller, CallerDeniedError, CallerRegistry
from reedspoke.identity.key_files import KeySetError, file_stamps, load_key_set
from reedspoke.identity.token import TokenPolicy
from reedspoke.net import effects as fx
from reedspoke.net.client_server import ForbiddenError
from reedspoke.net.http import Head
from reedspoke.net.message import Message
from reedspoke.operator.check import OperatorError, reloaded
from reedspoke.operator.types import Identity, Operator
from reedspoke.units import parse_microseconds

log = logging.getLogger("reedspoke")

KEY_FILES_POLL_S = 0.5
HIDDEN_HEADERS = frozenset((b"authorization",))  # what callers prove with does not go on to workers
CERTIFICATE_NAME_KINDS = ("DNS", "URI")


def token_policy(identity: Identity) -> TokenPolicy:
    """What the operator file demands of tokens."""
    return TokenPolicy(
        identity.audience, parse_microseconds(identity.skew), parse_microseconds(identity.longest)
    )


def callers_of(identity: Identity) -> list[Caller]:
    """The callers of the operator file, their subjects by the issuers' own names."""
    issuers = {issuer.name: issuer.issuer for issuer in identity.issuers}
    return [
        Caller(
            name=caller.name,
            tenants=frozenset(caller.tenants),
            subjects=frozenset((issuers[subject.issuer], subject.subject) for subject in caller.subjects),
            names=frozenset(caller.names),
            classes=frozenset(caller.classes) if caller.classes is not None else None,
            rate=caller.rate,
            burst=caller.burst,
            max_open_jobs=caller.most_open,
        )
        for caller in identity.callers
    ]


def client_certificate(stream: IOStream) -> ClientCertificate | None:
    """Of the client at the other end; None on the plain listener, and where it has shown none."""
    raw = stream.socket
    if not isinstance(raw, ssl.SSLSocket):
        return None
    der = raw.getpeercert(binary_form=True)
    if not der:
        return None
    fields = raw.getpeercert() or {}
    alternative_names: Any = fields.get("subjectAltName", ())
    names = tuple(str(value) for kind, value in alternative_names if kind in CERTIFICATE_NAME_KINDS)
    digest = hashlib.sha256(der).digest()
    return ClientCertificate(names, base64.urlsafe_b64encode(digest).rstrip(b"=").decode())


class IdentityExtension:
    """An extension of the node, and the acquirer's gate; both protocols name its public methods.

    Owns the authorizer, and by the client's number each authorization that has no response yet. Raises
    KeySetError or ValueError where the operator file cannot be used.
    """

    def __init__(
        self,
        operator: Operator,
        path: Path,
        emit: Callable[[fx.Event], None],
        now: Callable[[], int] = lambda: time.time_ns() // 1000,
    ) -> None:
        assert operator.identity is not None
        identity = operator.identity
        self.operator, self.identity, self.path, self.emit, self.now = operator, identity, path, emit, now
        self._open: dict[int, Authorization] = {}
        self._stamps = file_stamps(identity)
        registry = CallerRegistry(callers_of(identity))
        self.authorizer = Authorizer(token_policy(identity), registry, load_key_set(identity))
        self._task: asyncio.Task[None] | None = None

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """None of its own."""
        return {}

    def admit(self, head: Head, message: Message, source: IOStream, number: int) -> Callable[[], None]:
        """Let a request in, with the tenant that was proven in place of the requested one.

        The result is called once it has its final response, or its client is gone. Raises ForbiddenError.
        """
        values = [bytes(value) for name, value in head.fields if name == b"authorization"]
        certificate = client_certificate(source)
        try:
            authorization = self.authorizer.authorize(
                values, certificate, message.tenant, message.cls, self.now()
            )
        except CallerDeniedError as error:
            raise ForbiddenError(error.status, error.retry_after) from None
        finally:
            self._log_audit_lines()
        message.tenant, message.hidden = authorization.tenant, HIDDEN_HEADERS
        self._open[number] = authorization

        def release() -> None:
            self._open.pop(number, None)
            self.authorizer.release(authorization)

        return release

    def open(self) -> None:
        """Begin to poll the files of keys."""
        self._task = asyncio.ensure_future(self._poll_key_files())

    def close(self) -> None:
        """End what `open` began."""
        if self._task is not None:
            self._task.cancel()

    def reload(self) -> None:
        """SIGHUP has come. An operator file that is refused for any of its settings changes nothing here."""
        try:
            operator = reloaded(self.operator, self.path)
        except OperatorError as error:
            log.error("identity: what is in force stays: %s", error)
            return
        self.operator = operator
        if operator.identity is not None:
            self._stamps = file_stamps(operator.identity)
            self._update(operator.identity)

    def text(self) -> str:
        """The metrics, as Prometheus text."""
        lines = [
            "# HELP reedspoke_identity_total Requests at the gate, by what came of them.",
            "# TYPE reedspoke_identity_total counter",
        ]
        lines += [
            f'reedspoke_identity_total{{reason="{reason}"}} {count}'
            for reason, count in sorted(self.authorizer.counts.items())
        ]
        verified_tokens = self.authorizer.verified_tokens
        lines += [
            "# HELP reedspoke_identity_believed_total Tokens looked up among those verified before.",
            "# TYPE reedspoke_identity_believed_total counter",
            f'reedspoke_identity_believed_total{{result="hit"}} {verified_tokens.hits}',
            f'reedspoke_identity_believed_total{{result="miss"}} {verified_tokens.misses}',
        ]
        return "\n".join(lines) + "\n"

    async def _poll_key_files(self) -> None:
        """A key that its file withdraws counts no more within `KEY_FILES_POLL_S`, on open connections too."""
        while True:
            await asyncio.sleep(KEY_FILES_POLL_S)
            stamps = file_stamps(self.identity)
            if stamps != self._stamps:
                self._stamps = stamps
                self._update(self.identity)

    def _update(self, identity: Identity) -> None:
        """Take new keys and callers; withdraw waiting requests whose key is no longer valid."""
        try:
            keys = load_key_set(identity)
            self.authorizer.callers.update(callers_of(identity))
        except (KeySetError, ValueError) as error:
            log.error("identity: what is in force stays: %s", error)
            return
        self.identity = identity
        self.authorizer.update(token_policy(identity), keys)
        for number, authorization in list(self._open.items()):
            if not self.authorizer.is_still_valid(authorization):
                self.emit(fx.CredentialRevoked(number))
        log.info("identity: %d keys, %d callers", len(keys), len(identity.callers))

    def _log_audit_lines(self) -> None:
        for line in self.authorizer.audit_lines:
            log.warning("%s", line)
        self.authorizer.audit_lines.clear()
