"""Case 1: an acknowledged evacuation is undone by an earlier withdrawal that was never acknowledged."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleet import (  # noqa: E402
    BROKEN,
    CONTROL,
    EDGE_SUBNET,
    ENDED,
    HELD,
    HOSTNAME,
    Fleet,
    Record,
    configuration,
    read_body,
    read_head,
    render,
    route,
    run_case,
    status_of,
)

# Bounds of the deployments whose zones are evacuated (`apart/LATER.md`), in seconds.
CONTACT_S, EVACUATE_S, STRETCH_S = 4.0, 5.0, 6.0
BOUNDS = {"contact_ms": 4000, "ack_ms": 5000, "catch_up_s": 6, "drain_ms": 4000, "apply_ms": 2500}
EVACUATION_BOUNDS = {"stretch_ms": 6000, "evacuate_ms": 5000, "merge_ms": 3000, "recovery_s": 15}
SERVICE = "scoring-svc"
ZONE = "wien-hall-a"
ORDERS = f"/reedspoke/evacuation/{ZONE}"
DOWN_S = 3.5  # for which the killed machine stays down
OBSERVED_S = 8.0
CLIENTS, GAP_S = 6, 0.05


class Traffic:
    """Clients that send idempotent requests all the time, and the workers that get them."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self.arrivals: list[tuple[float, str]] = []  # when, and the worker
        self.answers: dict[int, int] = {}
        self._fleet, self._record = fleet, record
        self._count = 0

    async def work(self, instance_id: str, attempt_id: str) -> None:
        """A worker begins on a request."""
        self.arrivals.append((time.monotonic(), instance_id))
        await asyncio.sleep(0.01)

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


async def case(record: Record, trouble: bool) -> int:
    """Evacuate a zone; withdraw that, and lose the machine that took the withdrawal; evacuate it again."""
    fleet = Fleet(record, controls=3, edges=2, **BOUNDS, **EVACUATION_BOUNDS)
    traffic = Traffic(fleet, record)
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.serve_platform()
        for _ in range(6):
            await fleet.add_worker(SERVICE, 6, traffic.work)
        evacuated = {str(one["instance_id"]) for one in fleet.instances if one["zone"] == ZONE}
        fleet.start_all()
        await fleet.put(configuration(5, [route("r-check", "/check/", SERVICE)], SERVICE), 0)
        await fleet.wait_ready()
        tasks += [asyncio.create_task(traffic.client(number)) for number in range(CLIENTS)]
        await asyncio.sleep(1)
        await fleet.order("POST", ORDERS, first=1)
        await asyncio.sleep(2)
        if trouble:
            await withdraw_and_kill(fleet, record)
        else:
            await fleet.order("DELETE", ORDERS, first=0)
        died = time.monotonic()
        await asyncio.sleep(1.2)  # A caller moves on after a second of silence.
        await fleet.order("POST", ORDERS, first=1)
        acknowledged = time.monotonic()
        record("the evacuation is acknowledged; no withdrawal is sent from here on", zone=ZONE)
        await asyncio.sleep(max(0.0, died + DOWN_S - time.monotonic()))
        if trouble:
            fleet.start(CONTROL, 0)
        # The bound, stretched as for a core that was not stable, and the core is stable again.
        counted_from = max(acknowledged + EVACUATE_S + STRETCH_S, time.monotonic() + CONTACT_S + 1)
        await asyncio.sleep(counted_from + OBSERVED_S - time.monotonic())
        late = traffic.arrived(evacuated, counted_from, time.monotonic())
        await report(fleet, record, traffic, evacuated, acknowledged, counted_from, late)
        return BROKEN if late else HELD
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await fleet.close()


async def withdraw_and_kill(fleet: Fleet, record: Record) -> None:
    """Send the withdrawal to one machine, and kill that as soon as the order stands in its log."""
    log = fleet.data_dir(0) / "tallies.log"
    size = log.stat().st_size
    pid = fleet.processes[CONTROL, 0].pid
    killed = threading.Event()

    def kill_when_written() -> None:
        ends = time.monotonic() + 2
        while time.monotonic() < ends:
            if os.stat(log).st_size != size:
                os.kill(pid, 9)
                killed.set()
                return

    watcher = threading.Thread(target=kill_when_written)
    watcher.start()
    status, _ = await fleet.call(0, "DELETE", ORDERS)
    await asyncio.to_thread(watcher.join)
    fleet.processes[CONTROL, 0].wait(timeout=5)
    record("the machine that took the withdrawal was killed", killed=killed.is_set(), answer=status)


async def report(
    fleet: Fleet,
    record: Record,
    traffic: Traffic,
    evacuated: set[str],
    acknowledged: float,
    counted_from: float,
    late: int,
) -> None:
    """Write what reached the workers of the zone, second by second, and what each machine says."""
    seconds = range(int(time.monotonic() - acknowledged) + 1)
    by_second = [traffic.arrived(evacuated, acknowledged + one, acknowledged + one + 1) for one in seconds]
    record("requests at workers of the zone, by second since the acknowledgement", counts=by_second)
    record("counted as late", after_s=round(counted_from - acknowledged, 2), requests=late)
    record("answers to clients", by_status=traffic.answers)
    for number in range(fleet.controls):
        status, body = await fleet.call(number, "GET", "/reedspoke/status")
        shown = json.loads(body)["evacuated"] if status == 200 else None
        record("status", control=number, evacuated=shown)


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
