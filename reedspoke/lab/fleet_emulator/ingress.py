"""The platform's way in: which data plane schedulers get new connections."""

from __future__ import annotations

import asyncio
import random

from msgspec import Struct

from reedspoke.lab.fleet_emulator.http_messages import AnswerHead, open_connection, render_request

READINESS_PATH = "/reedspoke/readiness"
PERIOD_S = 1.0
MOST_MISSES = 2


class EdgeAddress(Struct, frozen=True):
    """Where one data plane scheduler is reached."""

    frontend: str
    readiness: str


class Ingress:
    """Asks each scheduler for its readiness every second; one that misses twice gets no connections."""

    def __init__(self, edges: tuple[EdgeAddress, ...], seed: int) -> None:
        self.edges = edges
        self._misses = dict.fromkeys(edges, MOST_MISSES)
        self._random = random.Random(seed)

    async def run(self) -> None:
        """Until it is cancelled."""
        while True:
            await self.look()
            await asyncio.sleep(PERIOD_S)

    async def look(self) -> None:
        """Ask every scheduler once."""
        answers = await asyncio.gather(*(is_ready(edge.readiness) for edge in self.edges))
        for edge, ready in zip(self.edges, answers, strict=True):
            self._misses[edge] = 0 if ready else self._misses[edge] + 1

    def ready(self) -> tuple[EdgeAddress, ...]:
        return tuple(edge for edge in self.edges if self._misses[edge] < MOST_MISSES)

    def choose(self, avoid: str = "") -> str:
        """The frontend for a new connection, another one than `avoid` where there is one."""
        chosen = self.ready()
        if 2 * len(chosen) < len(self.edges):
            chosen = self.edges
        others = [edge for edge in chosen if edge.frontend != avoid]
        return self._random.choice(others or list(chosen)).frontend


async def is_ready(address: str) -> bool:
    """Whether the scheduler at this address answers 200 within the period."""
    connection = None
    try:
        connection = await open_connection(address, PERIOD_S)
        connection.write(render_request("GET", READINESS_PATH, {"Host": address, "Connection": "close"}))
        async with asyncio.timeout(PERIOD_S):
            async for part in connection.read_answer():
                if isinstance(part, AnswerHead):
                    return part.status == 200
    except (OSError, TimeoutError):
        pass
    finally:
        if connection is not None:
            connection.close()
    return False
