"""Clients that send idempotent requests all the time, and a count of what reaches which worker."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter

from fleet import EDGE_SUBNET, ENDED, HOSTNAME, Fleet, Record, read_body, read_head, render, status_of

GAP_S = 0.05  # between an answer and the client's next request
WORK_S = 0.01
SHOWN = 20  # late requests that are written one by one


class Traffic:
    """The requests of one run."""

    def __init__(self, fleet: Fleet) -> None:
        self.sent: list[float] = []  # when
        self.answered: list[tuple[float, int]] = []  # when, and the status
        self.arrivals: list[tuple[float, str, str]] = []  # when, the worker's id and the request's
        self._fleet = fleet
        self._count = 0

    async def work(self, instance_id: str, attempt_id: str) -> None:
        """A worker begins on a request."""
        self.arrivals.append((time.monotonic(), instance_id, attempt_id))
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
        self.sent.append(time.monotonic())
        writer.write(render("POST /check/1 HTTP/1.1", fields, b"{}"))
        first, answered = await read_head(reader)
        await read_body(reader, answered)
        self.answered.append((time.monotonic(), status_of(first)))
        await asyncio.sleep(GAP_S)

    def arrived(self, workers: set[str], since: float, until: float) -> list[tuple[float, str, str]]:
        """The requests that reached these workers in this time."""
        return [one for one in self.arrivals if one[1] in workers and since < one[0] <= until]

    def write(
        self, record: Record, workers: set[str], since: float, late: list[tuple[float, str, str]]
    ) -> None:
        """Write second by second what was sent, answered and run, and the first of the late requests.

        Seconds count from `since`; `workers` are those of the evacuated zone.
        """
        for second in range(int(self.sent[0] - since) - 1, int(time.monotonic() - since) + 1):
            begins, ends = since + second, since + second + 1
            answers = Counter(status for at, status in self.answered if begins < at <= ends)
            inside = len(self.arrived(workers, begins, ends))
            record(
                "requests",
                second=second,
                sent=sum(begins < at <= ends for at in self.sent),
                answered=dict(answers),
                run_in_the_zone=inside,
                run_elsewhere=sum(begins < at <= ends for at, *_ in self.arrivals) - inside,
            )
        for at, worker, attempt_id in late[:SHOWN]:
            record("late", after_s=round(at - since, 3), worker=worker, attempt_id=attempt_id)
