"""Clients that misbehave: they leave early, send slowly, half-close, send what is no request, or pipeline."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from random import Random

from reedspoke.lab.fleet_emulator.exchange import RequestState, render_try
from reedspoke.lab.fleet_emulator.http_messages import HttpConnection, open_connection
from reedspoke.lab.fleet_emulator.ledger import Ledger
from reedspoke.lab.fleet_emulator.workload import Workload
from reedspoke.net.http import MalformedError

CONNECT_S = 0.5
READ_S = 1.0
PAUSE_S = (0.02, 0.25)
LEAVE_S = (0.0, 0.4)
NO_REQUESTS = (
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET\r\n\r\n",
    b"POST /chat/ HTTP/1.1\r\nHost: fleet.example\r\nContent-Length: -5\r\n\r\n",
    b"POST /chat/ HTTP/1.1\r\nHost: fleet.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"GET /nowhere/ HTTP/1.1\r\nHost: fleet.example\r\n\r\n",
    b"GET /chat/ HTTP/1.1\r\nHost: fleet.example\r\nX: " + b"x" * 20_000 + b"\r\n\r\n",
    b"POST /chat/ HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
)

Addresses = Callable[[], tuple[str, ...]]


class NuisanceClient:
    """One after another of such connections, each in a task of its own."""

    def __init__(self, addresses: Addresses, workload: Workload, ledger: Ledger, seed: int) -> None:
        self._addresses = addresses
        self._arrivals = workload.arrivals(float("inf"))
        self._ledger = ledger
        self._random = Random(seed)
        self.connections = 0

    async def run(self) -> None:
        """Until it is cancelled."""
        ways = (self._leave, self._half_close, self._trickle, self._no_request, self._pipeline)
        async with asyncio.TaskGroup() as group:
            while True:
                group.create_task(self._play(self._random.choice(ways)))
                await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def _play(self, way: Callable[[HttpConnection], object]) -> None:
        with suppress(OSError, TimeoutError, MalformedError):
            connection = await open_connection(self._random.choice(self._addresses()), CONNECT_S)
            self.connections += 1
            try:
                await way(connection)  # type: ignore[misc]
            finally:
                if self._random.random() < 0.5:
                    connection.reset()
                else:
                    connection.close()

    def _request(self) -> bytes:
        planned = next(self._arrivals)
        now = time.monotonic()
        state = RequestState(planned, now, now + planned.kind.deadline_ms / 1000)
        return render_try(state, f"{self._random.getrandbits(64):016x}", self._ledger)

    async def _leave(self, connection: HttpConnection) -> None:
        """Ask, and leave before the answer can be whole."""
        connection.write(self._request())
        await asyncio.sleep(self._random.uniform(*LEAVE_S))

    async def _half_close(self, connection: HttpConnection) -> None:
        connection.write(self._request())
        connection.writer.write_eof()
        await self._read(connection)

    async def _trickle(self, connection: HttpConnection) -> None:
        """A request in pieces, which may never be whole."""
        request = self._request()
        cut = self._random.randrange(len(request))
        connection.write(request[:cut])
        await asyncio.sleep(self._random.uniform(*LEAVE_S))
        if self._random.random() < 0.5:
            connection.write(request[cut:])
            await self._read(connection)

    async def _no_request(self, connection: HttpConnection) -> None:
        connection.write(self._random.choice(NO_REQUESTS))
        await self._read(connection)

    async def _pipeline(self, connection: HttpConnection) -> None:
        connection.write(self._request() + self._request() + self._request())
        await self._read(connection)

    async def _read(self, connection: HttpConnection) -> None:
        with suppress(TimeoutError):
            async with asyncio.timeout(READ_S):
                while await connection.reader.read(65536):
                    pass
