"""Applications of a run: they add to tallies and read them.

Each keeps its connection until the other side ends it; what gets no answer is sent again elsewhere under the
same id.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from contextlib import suppress
from random import Random

from msgspec import Struct

from reedspoke.lab.fleet_emulator.http_messages import HttpConnection, open_connection, render_request
from reedspoke.lab.fleet_soak.operators import CONNECT_S, CallAnswer, read_whole
from reedspoke.lab.fleet_soak.tally_history import Add, TallyHistory, TallyRead
from reedspoke.net.http import MalformedError

CALL_S = 1.0  # an application goes elsewhere after a second without an answer
TALLIES = ("t1", "t2", "t3")
READS = 0.35  # share of the calls that are reads
SENT_AGAIN = 0.2  # share of the acknowledged adds that are sent once more, elsewhere
LOST_ANSWERS = 0.08
MOST_SENDS = 8
MOST_AMOUNT = 9
PAUSE_S = (0.02, 0.2)
MOVES = 0.02  # share of the calls before which an application goes to another machine

Addresses = Callable[[], tuple[str, ...]]
LifeOf = Callable[[str], int]  # which life the process at an address is in


class KeptConnection(Struct):
    """An open connection and where it leads."""

    address: str
    connection: HttpConnection


class Application:
    """One caller; it makes one call at a time."""

    def __init__(self, history: TallyHistory, addresses: Addresses, life_of: LifeOf, seed: int) -> None:
        self._history = history
        self._addresses = addresses
        self._life_of = life_of
        self._random = Random(seed)
        self._kept: KeptConnection | None = None

    async def run(self) -> None:
        """Until it is cancelled."""
        try:
            while True:
                await self._next_call()
                await asyncio.sleep(self._random.uniform(*PAUSE_S))
        finally:
            self._drop()

    async def _next_call(self) -> None:
        if self._random.random() < MOVES:
            self._drop()
        if self._random.random() < READS:
            await self.read(self._random.choice(TALLIES))
            return
        add = Add(self._random.choice(TALLIES), f"{self._random.getrandbits(64):016x}", self._amount())
        self._history.adds.append(add)
        for _ in range(MOST_SENDS):
            if await self._send(add):
                break
            self._drop()
        if self._random.random() < SENT_AGAIN:
            self._drop()
            await self._send(add)

    def _amount(self) -> int:
        return self._random.randint(1, MOST_AMOUNT)

    async def _send(self, add: Add) -> bool:
        body = json.dumps({"instance_id": add.instance_id, "held_by": add.amount}).encode()
        add.sent_at = min(add.sent_at, time.monotonic())
        life, answer = await self._call("POST", add.tally, body)
        if answer is None or answer.status != 200 or self._random.random() < LOST_ANSWERS:
            return False
        self._history.acknowledged(add, life, time.monotonic())
        return True

    async def read(self, tally: str) -> int | None:
        """Read a tally where the connection leads; None where no total came."""
        sent_at = time.monotonic()
        life, answer = await self._call("GET", tally, b"")
        if answer is None or answer.status != 200:
            self._drop()
            return None
        total: int = json.loads(answer.body)["total"]
        self._history.reads.append(TallyRead(tally, total, life, sent_at, time.monotonic()))
        return total

    async def read_at(self, address: str, tally: str) -> int | None:
        """Read a tally at one machine."""
        self._drop()
        with suppress(OSError, TimeoutError):
            self._kept = KeptConnection(address, await open_connection(address, CONNECT_S))
            return await self.read(tally)
        return None

    async def _call(self, method: str, tally: str, body: bytes) -> tuple[tuple[str, int], CallAnswer | None]:
        """One call: the machine and the life of its process that was asked, and its answer if one came."""
        life = ("", 0)
        try:
            kept = await self._connection()
            life = (kept.address, self._life_of(kept.address))
            fields = {"Host": kept.address, "Content-Type": "application/json"}
            kept.connection.write(render_request(method, f"/reedspoke/tallies/{tally}", fields, body))
            async with asyncio.timeout(CALL_S):
                answer = await read_whole(kept.connection)
        except (OSError, TimeoutError, MalformedError):
            answer = None
        if answer is None:
            self._drop()
        return life, answer

    async def _connection(self) -> KeptConnection:
        if self._kept is None:
            address = self._random.choice(self._addresses())
            self._kept = KeptConnection(address, await open_connection(address, CONNECT_S))
        return self._kept

    def _drop(self) -> None:
        kept, self._kept = self._kept, None
        if kept is not None:
            with suppress(OSError):
                kept.connection.close()
