"""The acquirer side over TLS: a listener, handshakes, and then clients as on the plain front.

Nothing is decided here: `names` chooses the certificate, the reducer's `handshakes` says how many there
may be and for how long, and from `Secured` on the client is served by the code that serves the plain ones.
"""

from __future__ import annotations

import asyncio
import logging
import os
import socket
import ssl
import time
from collections.abc import Callable
from contextlib import suppress
from typing import Any
from weakref import WeakKeyDictionary

from tornado.iostream import SSLIOStream, StreamClosedError

from reedspoke.net import effects as fx
from reedspoke.net.client_server import Client, ClientServer
from reedspoke.net.listener import Listener
from reedspoke.net.streams import MAX_BUFFERED_BYTES
from reedspoke.tls.certificate import Pair
from reedspoke.tls.meters import Meters
from reedspoke.tls.names import Held, Names, Refusal

log = logging.getLogger("reedspoke")

BACKLOG = 256
TOLD_EVERY = 10.0  # s between lines on refused handshakes of one kind
LEAST = {"1.2": ssl.TLSVersion.TLSv1_2, "1.3": ssl.TLSVersion.TLSv1_3}
# For TLS 1.2: forward secrecy and authenticated ciphers alone (RFC 9325, 4.2).
CIPHERS = "ECDHE+AESGCM:ECDHE+CHACHA20"
ALERTS = {
    "no_name": ssl.AlertDescription.ALERT_DESCRIPTION_UNRECOGNIZED_NAME,
    "unknown_name": ssl.AlertDescription.ALERT_DESCRIPTION_UNRECOGNIZED_NAME,
    "no_certificate": ssl.AlertDescription.ALERT_DESCRIPTION_HANDSHAKE_FAILURE,
    "expired": ssl.AlertDescription.ALERT_DESCRIPTION_HANDSHAKE_FAILURE,
}


def context(minimum: str, partners: str = "") -> ssl.SSLContext:
    """`partners`: file of the authorities whose clients may show a certificate; one that does not hold
    ends the handshake. Raises OSError, ssl.SSLError."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.minimum_version = LEAST[minimum]
    made.set_ciphers(CIPHERS)
    made.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
    if partners:
        made.verify_mode = ssl.CERT_OPTIONAL
        made.load_verify_locations(partners)
        made.options |= (
            ssl.OP_NO_TICKET
        )  # a resumed session would bring a certificate that is not checked anew
        made.num_tickets = 0
    return made


def serving(pair: Pair, minimum: str, partners: str = "") -> ssl.SSLContext:
    """A context with this certificate. Guards against a file that changes meanwhile: what was checked is what
    is loaded, from memory. Raises ssl.SSLError where OpenSSL does not take it."""
    made = context(minimum, partners)
    fd = os.memfd_create("reedspoke-certificate", os.MFD_CLOEXEC)
    try:
        os.write(fd, pair.pem)
        made.load_cert_chain(f"/proc/self/fd/{fd}")
    finally:
        os.close(fd)
    return made


class Handshake:
    """A client that has no keys yet."""

    answer: asyncio.Future[fx.SendResponse] | None = None

    def __init__(self, front: Front, number: int, raw: socket.socket) -> None:
        self.front, self.number = front, number
        self._raw = raw
        self._stream: SSLIOStream | None = None
        self._dropped = False

    def gone(self) -> bool:
        return self._dropped

    def drop(self, _: fx.CloseMode) -> None:
        self._dropped = True
        if self._stream is not None:
            self._stream.close()
        else:
            self._raw.close()

    async def serve(self) -> None:
        front, emit = self.front, self.front.client_server.runtime.emit
        since, outcome = time.monotonic(), "failed"
        try:
            sock = front.wrap(self._raw)
            self._stream = SSLIOStream(
                sock, max_buffer_size=MAX_BUFFERED_BYTES, max_write_buffer_size=MAX_BUFFERED_BYTES
            )
            self._stream.set_nodelay(True)
            try:
                await self._stream.wait_for_handshake()
                outcome = "resumed" if sock.session_reused else "full"
            except (StreamClosedError, OSError, ssl.SSLError):
                outcome = "dropped" if self._dropped else front.refused.pop(sock, "failed")
        except (OSError, ValueError):
            pass  # it has gone already
        except Exception:
            log.exception("fault: handshake")
        took = time.monotonic() - since
        front.meters.handshake(outcome, took)
        if outcome not in ("full", "resumed") or self._stream is None:
            front.tell(outcome)
            with suppress(OSError):
                self._raw.close() if self._stream is None else self._stream.close()
            emit(fx.ClientDisconnected(self.number))
            return
        client = Client(front.client_server, self.number, self._stream)
        front.client_server.register(self.number, client)
        emit(fx.HandshakeCompleted(self.number))
        await client.serve()


class Front:
    """Made before the node runs; `open` it behind the node's own listener."""

    def __init__(
        self, client_server: ClientServer, listen: tuple[str, int], minimum: str, meters: Meters,
        now: Callable[[], int] = lambda: time.time_ns() // 1000, partners: str = "",
    ) -> None:  # fmt: skip
        """`now`: us of the wall clock, by which certificates expire."""
        self.client_server, self.meters, self.now = client_server, meters, now
        self.names: Names[ssl.SSLContext] = Names()
        self.refused: WeakKeyDictionary[ssl.SSLSocket, str] = WeakKeyDictionary()
        self.minimum, self.partners = minimum, partners
        self._listener = Listener(
            listen, BACKLOG, self._take, client_server.descriptors_exhausted, " over TLS"
        )
        self._base = context(minimum, partners)
        self._base.sni_callback = self._choose
        self._told: dict[str, float] = {}
        client_server.add_listener(self._listener)

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {fx.SetHandshaking: lambda effect: self._listener.hold("handshakes", not effect.on)}

    def open(self) -> None:
        self._listener.open()

    def reload(self) -> None:
        """The certificates come by `names`; there is nothing else to read again."""

    def close(self) -> None:
        self._listener.close()

    def hold(self, name: str, pair: Pair) -> None:
        """From the next handshake on; kept connections keep what they have. Raises ssl.SSLError."""
        self.names.hold(Held(name, pair.hosts, pair.ends, serving(pair, self.minimum, self.partners)))

    def wrap(self, raw: socket.socket) -> ssl.SSLSocket:
        raw.setblocking(False)
        return self._base.wrap_socket(raw, server_side=True, do_handshake_on_connect=False)

    def _take(self, raw: socket.socket) -> None:
        number = self.client_server.number()
        handshake = Handshake(self, number, raw)
        self.client_server.register(number, handshake)
        self.client_server.runtime.emit(fx.HandshakeStarted(number))
        self.client_server.start(number, handshake.serve())

    def _choose(self, sock: ssl.SSLSocket | ssl.SSLObject, host: str | None, _: ssl.SSLContext) -> int | None:
        assert isinstance(sock, ssl.SSLSocket)
        chosen = self.names.choose(host, self.now())
        if isinstance(chosen, Refusal):
            self.refused[sock] = chosen.reason
            if chosen.reason in ("no_certificate", "expired"):
                self.tell(f"{chosen.reason} {chosen.name}")
            return int(ALERTS[chosen.reason])
        sock.context = chosen.what
        return None

    def tell(self, outcome: str) -> None:
        """Guards the log: clients can cause these as often as they like, and the figures count them all."""
        now = time.monotonic()
        if now - self._told.get(outcome, -TOLD_EVERY) < TOLD_EVERY:
            return
        if len(self._told) > 1000:
            self._told.clear()
        self._told[outcome] = now
        reason, _, name = outcome.partition(" ")
        if name:
            word = "has no certificate yet" if reason == "no_certificate" else "has expired"
            log.warning("tls: handshake refused: certificate %s %s", name, word)
        elif reason in ("no_name", "unknown_name"):
            log.warning("tls: handshake refused: %s", reason.replace("_", " "))
