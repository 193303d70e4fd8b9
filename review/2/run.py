"""Case 2: an acknowledged evacuation is undone by an earlier withdrawal that was never acknowledged."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleet import (  # noqa: E402
    BROKEN,
    CONTROL,
    EVACUATION_BOUNDS,
    GUARANTEES,
    HELD,
    PLACES,
    CaseError,
    Fleet,
    Record,
    configuration,
    route,
    run_case,
)
from traffic import Traffic  # noqa: E402

# Bounds of the deployments whose zones are evacuated (`apart/LATER.md`), in seconds.
CONTACT_S, EVACUATE_S, STRETCH_S = 4.0, 5.0, 6.0
SERVICE = "scoring-svc"
ZONE = "wien-hall-a"
ORDERS = f"/reedspoke/evacuation/{ZONE}"
DOWN_S = 3.5  # for which the killed machine stays down
OBSERVED_S = 8.0
CLIENTS = 6
MOST_TRIES = 3


async def case(record: Record, trouble: bool) -> int:
    """Evacuate a zone; withdraw that, and lose the machine that took the withdrawal; evacuate it again."""
    fleet = Fleet(record, controls=3, edges=2, guarantees=GUARANTEES + PLACES, **EVACUATION_BOUNDS)
    traffic = Traffic(fleet)
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
            await withdraw_and_kill_in_time(fleet, record)
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


async def withdraw_and_kill_in_time(fleet: Fleet, record: Record) -> None:
    """Do so until a withdrawal has stayed on the machine that took it.

    One that has reached the others was taken as it should be, and shows nothing.
    """
    for _ in range(MOST_TRIES):
        await withdraw_and_kill(fleet, record)
        await asyncio.sleep(0.3)
        if all([ZONE in (await evacuated_zones(fleet, number) or ()) for number in (1, 2)]):
            return
        record("the withdrawal had reached the other machines: once more")
        await fleet.order("POST", ORDERS, first=1)
        await asyncio.sleep(DOWN_S)
        fleet.start(CONTROL, 0)
        await asyncio.sleep(CONTACT_S + 2)


async def evacuated_zones(fleet: Fleet, number: int) -> list[str] | None:
    """The evacuated zones, as one machine says; None without an answer."""
    status, body = await fleet.call(number, "GET", "/reedspoke/status")
    return list(json.loads(body)["evacuated"]) if status == 200 else None


async def withdraw_and_kill(fleet: Fleet, record: Record) -> None:
    """Send the withdrawal to one machine, and kill that as soon as the order stands in its log."""
    log = fleet.data_dir(0) / "tallies.log"
    size = log.stat().st_size
    pid = fleet.processes[CONTROL, 0].pid
    killed_at: list[float] = []

    def kill_when_written() -> None:
        ends = time.monotonic() + 2
        while time.monotonic() < ends:
            if os.stat(log).st_size != size:
                os.kill(pid, signal.SIGKILL)
                killed_at.append(time.monotonic())
                return

    watcher = threading.Thread(target=kill_when_written)
    watcher.start()
    sent_at = time.monotonic()
    status, _ = await fleet.call(0, "DELETE", ORDERS)
    await asyncio.to_thread(watcher.join)
    if not killed_at:
        raise CaseError("the withdrawal was not written to the log in time")
    fleet.processes[CONTROL, 0].wait(timeout=5)
    after_ms = round(1000 * (killed_at[0] - sent_at), 1)
    record("the machine that took the withdrawal was killed", after_ms=after_ms, answer=status)


async def report(
    fleet: Fleet,
    record: Record,
    traffic: Traffic,
    evacuated: set[str],
    acknowledged: float,
    counted_from: float,
    late: list[tuple[float, str, str]],
) -> None:
    """Write what was sent and run since the last acknowledgement, and what each machine says."""
    traffic.write(record, evacuated, acknowledged, late)
    record("counted as late", after_s=round(counted_from - acknowledged, 2), requests=len(late))
    for number in range(fleet.controls):
        record("status", control=number, evacuated=await evacuated_zones(fleet, number))


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
