"""An authority, an operator file for it, and clients over TLS that check what they are shown."""

from __future__ import annotations

import json
import signal
import socket
import ssl
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from pathlib import Path
from typing import Any

import pytest
from cryptography import x509

from reedspoke.lab.authority import Authority
from tests.peers import WAIT, Node, Wire
from tests.ports import free_port

API = "api.example.org"
SHOP = "shop.example.org"


class World:
    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = folder / "store"
        self.http, self.tls = free_port(), free_port()
        self.authorities: list[Authority] = []
        self.txt: dict[str, list[str]] = {}
        self.certificates: dict[str, list[str]] = {"api": [API]}
        self.more: dict[str, Any] = {}
        self.closes: list[Callable[[], None]] = []

    def authority(self, name: str = "first", lifetime: float = 3600, **more: Any) -> Authority:
        made = Authority(
            name, lifetime, 1, lambda _: ("127.0.0.1", self.http), lambda name: self.txt.get(name, []), **more
        )
        self.closes.append(made.close)
        self.authorities.append(made)
        return made

    def operator(self, **more: Any) -> dict[str, Any]:
        self.more |= more
        return {
            "version": 1,
            "tls": {"listen": f"127.0.0.1:{self.tls}", "store": str(self.store)},
            "certificates": [{"name": name, "hosts": hosts} for name, hosts in self.certificates.items()],
            "acme": {
                "authorities": [
                    {
                        "name": one.issuer.name,
                        "directory": one.directory,
                        "terms_agreed": True,
                        "timeout": "1s",
                    }
                    for one in self.authorities
                ],
                "http": {"listen": f"127.0.0.1:{self.http}"},
                "backoff": {"first": "100ms", "most": "1s"},
                **self.more,
            },
        }

    def reload(self, node: Node) -> None:
        node.operator.write_text(json.dumps(self.operator()))
        node.process.send_signal(signal.SIGHUP)

    def context(self) -> ssl.SSLContext:
        made = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        made.load_verify_locations(cadata="".join(one.issuer.root_pem().decode() for one in self.authorities))
        return made

    def dial(self, host: str = API, context: ssl.SSLContext | None = None) -> Wire:
        """Raises ssl.SSLError, ConnectionError."""
        raw = socket.create_connection(("127.0.0.1", self.tls), WAIT)
        try:
            sock = (context or self.context()).wrap_socket(
                raw, server_hostname=host, suppress_ragged_eofs=False
            )
        except BaseException:
            raw.close()
            raise
        self.closes.append(sock.close)
        return Wire(sock)

    def secure(self, host: str = API, patience: float = WAIT) -> Wire:
        """Once its certificate is there."""
        end = time.monotonic() + patience
        while True:
            with suppress(ssl.SSLError, ConnectionError):
                return self.dial(host)
            assert time.monotonic() < end, f"no certificate for {host}"

    def serial(self, host: str = API) -> int:
        wire = self.dial(host)
        assert isinstance(wire.sock, ssl.SSLSocket)
        der = wire.sock.getpeercert(binary_form=True)
        wire.close()
        assert der is not None
        return x509.load_der_x509_certificate(der).serial_number

    def renewed(self, before: int, host: str = API, patience: float = WAIT) -> int:
        end = time.monotonic() + patience
        while (now := self.serial(host)) == before:
            assert time.monotonic() < end, "no new certificate"
        return now

    def orders(self) -> int:
        return sum(one.counts["orders"] for one in self.authorities)


@pytest.fixture
def world(tmp_path: Path) -> Iterator[World]:
    made = World(tmp_path)
    yield made
    for close in made.closes:
        close()
