"""Connections of clients: kept between requests as the schedulers allow."""

from __future__ import annotations

import re
import time

from msgspec import Struct

from reedspoke.lab.fleet_emulator.http_messages import KEEP_ALIVE, AnswerHead, HttpConnection, open_connection
from reedspoke.lab.fleet_emulator.ingress import Ingress

CONNECT_TIMEOUT_S = 1.0
KEEP_ALIVE_TIMEOUT = re.compile(r"timeout=(\d+)")
KEEP_ALIVE_MARGIN_S = 0.5  # a connection is not used in the last moment that it may be
DEFAULT_IDLE_S = 4.0


class IdleConnection(Struct, frozen=True):
    """A connection that no request uses now."""

    connection: HttpConnection
    address: str
    until: float


class ClientPool:
    """Keeps idle connections; the newest is used first."""

    def __init__(self, ingress: Ingress) -> None:
        self._ingress = ingress
        self._idle: list[IdleConnection] = []
        self.opened = 0

    async def take(self, avoid: str, fresh: bool) -> tuple[HttpConnection, str]:
        """A connection and the address it leads to. Raises OSError or TimeoutError."""
        while self._idle and not fresh:
            idle = self._idle.pop()
            if idle.until > time.monotonic() and not idle.connection.reader.at_eof():
                return idle.connection, idle.address
            idle.connection.close()
        address = self._ingress.choose(avoid)
        self.opened += 1
        return await open_connection(address, CONNECT_TIMEOUT_S), address

    def give_back(self, connection: HttpConnection, address: str, head: AnswerHead) -> None:
        """The answer with this head is whole."""
        if not head.reusable or connection.has_unread:
            connection.close()
            return
        found = KEEP_ALIVE_TIMEOUT.search(head.get(KEEP_ALIVE))
        idle_s = int(found[1]) - KEEP_ALIVE_MARGIN_S if found else DEFAULT_IDLE_S
        self._idle.append(IdleConnection(connection, address, time.monotonic() + idle_s))

    def close(self) -> None:
        for idle in self._idle:
            idle.connection.close()
        self._idle.clear()
