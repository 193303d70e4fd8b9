"""Clients that send idempotent requests all the time, and a count of what reaches which worker."""

from __future__ import annotations

import asyncio
import contextlib
import time

from fleet import EDGE_SUBNET, ENDED, HOSTNAME, Fleet, read_body, read_head, render, status_of

GAP_S = 0.05  # between an answer and the client's next request
WORK_S = 0.01


class Traffic:
    """The requests of one run."""

    def __init__(self, fleet: Fleet) -> None:
        self.arrivals: list[tuple[float, str]] = []  # when, and the worker's id
        self.answers: dict[int, int] = {}  # to clients, by status
        self._fleet = fleet
        self._count = 0

    async def work(self, instance_id: str, attempt_id: str) -> None:
        """A worker begins on a request."""
        self.arrivals.append((time.monotonic(), instance_id))
        await asyncio.sleep(WORK_S)

    async def client(self, number: int) -> None:
        """One client: keeps its connection, and opens another one where it ends."""
        while True:
            with contextlib.suppress(*ENDED):
                edge = self._fleet.ip(EDGE_SUBNET, number % self._fleet.edges)
                reader, writer = await asyncio.open_connection(edge, self._fleet.frontend_port)
                try:
                    while True:
                        await self._request(reader, writer)
                finally:
                    writer.close()
            await asyncio.sleep(GAP_S)

    async def _request(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._count += 1
        fields = {
            "Host": HOSTNAME,
            "Reedspoke-Attempt-Id": f"{self._count:016x}",
            "Reedspoke-Deadline-Ms": 1000,
        }
        writer.write(render("POST /check/1 HTTP/1.1", fields, b"{}"))
        first, answered = await read_head(reader)
        await read_body(reader, answered)
        self.answers[status_of(first)] = self.answers.get(status_of(first), 0) + 1
        await asyncio.sleep(GAP_S)

    def arrived(self, workers: set[str], since: float, until: float) -> int:
        """How many requests reached these workers in this time."""
        return sum(name in workers and since < at <= until for at, name in self.arrivals)

    def by_second(self, workers: set[str], since: float) -> list[int]:
        """How many requests reached these workers in each second since then."""
        seconds = range(int(time.monotonic() - since) + 1)
        return [self.arrived(workers, since + one, since + one + 1) for one in seconds]
