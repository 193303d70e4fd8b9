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
CONTACT_S, ACK_S, EVACUATE_S, STRETCH_S, RECOVERY_S = 4.0, 5.0, 5.0, 6.0, 15.0
SERVICE = "scoring-svc"
ZONE = "wien-hall-a"
ORDERS = f"/reedspoke/evacuation/{ZONE}"
DOWN_S = 0.2  # for which the first machine stays down after the evacuation is acknowledged
OBSERVED_S = 8.0
CLIENTS = 6
MOST_TRIES = 3


async def case(record: Record, trouble: bool) -> int:
    """Evacuate a zone; withdraw that, and kill the core as it takes the withdrawal; evacuate it again."""
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
        await asyncio.sleep(1)
        await fleet.order("POST", ORDERS, first=1)
        acknowledged = time.monotonic()
        record("the evacuation is acknowledged; no withdrawal is sent from here on", zone=ZONE)
        await asyncio.sleep(DOWN_S)
        if trouble:
            fleet.start(CONTROL, 0)
            record("all machines are back, with their disks")
        # The bound, stretched as for a core that was not stable; and service may rest for `recovery_s`.
        counted_from = max(acknowledged + EVACUATE_S + STRETCH_S, time.monotonic() + RECOVERY_S + 1)
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
    """Do so until a withdrawal has stayed on the machine that took it; the two others are back then.

    One that has reached the others was taken as it should be, and shows nothing.
    """
    for _ in range(MOST_TRIES):
        await withdraw_and_kill(fleet, record)
        for number in (1, 2):
            fleet.start(CONTROL, number)
        if all([ZONE in await evacuated_once_back(fleet, number) for number in (1, 2)]):
            return
        record("the withdrawal had reached the other machines: once more")
        await fleet.order("POST", ORDERS, first=1)
        fleet.start(CONTROL, 0)
        await asyncio.sleep(CONTACT_S + 2)


async def evacuated_once_back(fleet: Fleet, number: int) -> list[str]:
    """The evacuated zones, as one machine says as soon as it answers after its start."""
    ends = time.monotonic() + 10
    while time.monotonic() < ends:
        zones = await evacuated_zones(fleet, number)
        if zones is not None:
            return zones
        await asyncio.sleep(0.1)
    raise CaseError("a machine did not answer after its start")


async def evacuated_zones(fleet: Fleet, number: int) -> list[str] | None:
    """The evacuated zones, as one machine says; None without an answer."""
    status, body = await fleet.call(number, "GET", "/reedspoke/status")
    return list(json.loads(body)["evacuated"]) if status == 200 else None


async def withdraw_and_kill(fleet: Fleet, record: Record) -> None:
    """Send the withdrawal to one machine, and kill the core as soon as the order stands in its log.

    The operator sends it again for `ack_ms`, to one machine after the other, and then gives up.
    """
    log = fleet.data_dir(0) / "tallies.log"
    size = log.stat().st_size
    pids = [fleet.processes[CONTROL, number].pid for number in range(fleet.controls)]
    killed_at: list[float] = []

    def kill_when_written() -> None:
        ends = time.monotonic() + 2
        while time.monotonic() < ends:
            if os.stat(log).st_size != size:
                for pid in pids:
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
    for number in range(fleet.controls):
        fleet.processes[CONTROL, number].wait(timeout=5)
    after_ms = round(1000 * (killed_at[0] - sent_at), 1)
    record("all core machines were killed, their disks stay", after_ms=after_ms, answer=status)
    tries = 0
    while time.monotonic() < sent_at + ACK_S:
        tries += 1
        status, _ = await fleet.call(tries % fleet.controls, "DELETE", ORDERS)
        await asyncio.sleep(max(0.0, min(0.1 * tries, sent_at + ACK_S - time.monotonic())))
    record(
        "the withdrawal is given up: no answer in the time for sending it again", ack_s=ACK_S, answer=status
    )


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
