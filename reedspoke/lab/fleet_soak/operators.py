"""Operators of a run: two that race, lose answers, and send again what got no clear answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from random import Random

from msgspec import Struct

from reedspoke.lab.fleet_emulator.http_messages import (
    AnswerEnd,
    AnswerHead,
    HttpConnection,
    open_connection,
    render_request,
)
from reedspoke.lab.fleet_soak.history import History, Order, Read, Verdict, generation_of
from reedspoke.net.http import MalformedError
from reedspoke.operator_cli.commands import CONFIGURATION_PATH

CALL_S = 1.0
CONNECT_S = 0.5
MOST_SENDS = 6
LOST_ANSWERS = 0.12  # share of the calls whose answer is lost
SENT_AGAIN = 0.25  # share of the acknowledged orders that are sent once more
READS = 0.4  # share of the calls that are reads
PAUSE_S = (0.1, 0.7)

Addresses = Callable[[], tuple[str, ...]]
MakeDocument = Callable[[int, str], bytes]  # of a generation, told apart by a text


class CallAnswer(Struct, frozen=True):
    """A whole answer."""

    status: int
    body: bytes


class Operator:
    """Asks random control machines, one call at a time."""

    def __init__(
        self, name: str, history: History, addresses: Addresses, make_document: MakeDocument, seed: int
    ) -> None:
        self._name = name
        self._history = history
        self._addresses = addresses
        self._make_document = make_document
        self._random = Random(seed)
        self._count = 0

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            if self._random.random() < READS:
                await self.read(self._random.choice(self._addresses()))
            else:
                await self.change()
            await asyncio.sleep(self._random.uniform(*PAUSE_S))

    async def read(self, address: str) -> Read | None:
        """Ask one machine for the newest configuration."""
        sent_at = time.monotonic()
        answer = await call(address, render_request("GET", CONFIGURATION_PATH, {"Host": address}))
        if answer is None or answer.status != 200:
            return None
        read = Read(address, sent_at, generation_of(answer.body), answer.body)
        self._history.read(read)
        return read

    async def change(self) -> Order:
        """Send one change until it gets a clear answer, or a few times."""
        order = self._next_order()
        self._history.orders.append(order)
        for number in range(MOST_SENDS):
            await self._send(order)
            if order.verdict is not Verdict.UNCLEAR:
                break
            await asyncio.sleep(self._random.uniform(0.02, 0.1) * 2**number)
        if order.verdict is Verdict.ACKNOWLEDGED and self._random.random() < SENT_AGAIN:
            await self._send(order)
        return order

    def _next_order(self) -> Order:
        self._count += 1
        match = self._history.newest
        generation = match + self._random.randint(1, 2)
        document = self._make_document(generation, f"{self._name}-{self._count}")
        return Order(self._name, match, generation, document, time.monotonic())

    async def _send(self, order: Order) -> None:
        address = self._random.choice(self._addresses())
        fields = {"Host": address, "Content-Type": "application/json", "If-Match": str(order.match)}
        request = render_request("PUT", CONFIGURATION_PATH, fields, order.document)
        lost = self._random.random() < LOST_ANSWERS
        answer = await call(address, request, forget=lost)
        status = 0 if answer is None else answer.status
        order.answers.append(f"{address} {status}")
        if status == 200:
            self._history.acknowledged(order, time.monotonic())
        elif 400 <= status < 500:
            self._history.refused(order, time.monotonic())


async def call(address: str, request: bytes, *, forget: bool = False) -> CallAnswer | None:
    """One call on its own connection; None where no whole answer came. `forget`: leave without reading."""
    connection = None
    try:
        connection = await open_connection(address, CONNECT_S)
        connection.write(request)
        if forget:
            await connection.writer.drain()
            return None
        async with asyncio.timeout(CALL_S):
            return await read_whole(connection)
    except (OSError, TimeoutError, MalformedError):
        return None
    finally:
        if connection is not None:
            with suppress(OSError):
                connection.close()


async def read_whole(connection: HttpConnection) -> CallAnswer | None:
    """The next answer with its body; None where the connection ends before."""
    status, body = 0, b""
    async for part in connection.read_answer():
        if isinstance(part, AnswerHead):
            status = part.status
        elif isinstance(part, AnswerEnd):
            return CallAnswer(status, body)
        else:
            body += part
    return None
