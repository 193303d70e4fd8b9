"""Case 1: an acknowledged configuration never comes back, though only one disk of three was lost."""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from fleet import BROKEN, CONTROL, HELD, CaseError, Fleet, Record, configuration, route, run_case  # noqa: E402

SERVICE = "scoring-svc"
PATH = "/reedspoke/configuration"
ACKNOWLEDGED = 200
RECOVERY_S = 12.0  # `recovery_s`
OBSERVED_S = 30.0  # for which the operator asks after all machines are back
SETTLED_S = 5.0  # longer than `catch_up_s`
MOST_TRIES = 3
ROUTES = 350  # as after one `big_config`


async def work(instance_id: str, attempt_id: str) -> None:
    """The work of a worker."""
    await asyncio.sleep(0.01)


def document(generation: int) -> dict[str, Any]:
    """A configuration with many routes."""
    routes = [route(f"r-{number}", f"/check{number}/", SERVICE) for number in range(ROUTES)]
    return configuration(generation, routes, SERVICE)


async def status(fleet: Fleet, number: int) -> dict[str, Any]:
    """What a machine says of itself; empty without an answer."""
    answer, body = await fleet.call(number, "GET", "/reedspoke/status")
    return dict(json.loads(body)) if answer == 200 else {}


async def chain(fleet: Fleet, length: int) -> tuple[list[int], int]:
    """The numbers of the machines on the chain, head first, once it has this length; and its view."""
    ends = time.monotonic() + 15
    while time.monotonic() < ends:
        for number in range(fleet.controls):
            if fleet.processes[CONTROL, number].poll() is not None:
                continue
            said = await status(fleet, number)
            addresses = said.get("chain", ())
            if len(addresses) == length and said["holds_majority"]:
                ips = [address.rpartition(":")[0] for address in addresses]
                return [int(ip.rpartition(".")[2]) - 1 for ip in ips], int(said["view"])
        await asyncio.sleep(0.2)
    raise CaseError(f"no chain of {length}")


def kill_when_view_begins(
    logs: list[Path], starts: list[int], view: int, pid: int, killed: list[float]
) -> None:
    """Kill a process as soon as one of these logs tells of this view."""
    wanted = b'"number":%d,' % view
    ends = time.monotonic() + 10
    files = [path.open("rb") for path in logs]
    for file, start in zip(files, starts, strict=True):
        file.seek(start)
    while time.monotonic() < ends:
        for file in files:
            if wanted in file.read():
                os.kill(pid, signal.SIGKILL)
                killed.append(time.monotonic())
                return


async def lose_machines(fleet: Fleet, record: Record, match: int) -> int:
    """Lose all three machines in turn, two of them with their disks kept; return the newest version.

    The third is away while that version is acknowledged. The first goes as the third comes back, so that the
    chain is repaired: the third is appended to the second. The second is killed in that moment, and its disk
    is lost.
    """
    (first, second, third), _ = await chain(fleet, 3)
    fleet.kill(CONTROL, third)
    record("killed, its disk stays", control=third)
    (first, second), view = await chain(fleet, 2)
    newest = match + 2
    if await fleet.put(document(newest), match) != ACKNOWLEDGED:
        raise CaseError("the newest version was not acknowledged")
    record("acknowledged", generation=newest, by="a chain of two machines", first=first, second=second)
    await asyncio.sleep(1)
    logs = [fleet.folder / f"{CONTROL}-{number}.log" for number in (second, third)]
    starts = [path.stat().st_size for path in logs]
    pid = fleet.processes[CONTROL, second].pid
    killed: list[float] = []
    watcher = threading.Thread(target=kill_when_view_begins, args=(logs, starts, view + 1, pid, killed))
    fleet.kill(CONTROL, first)
    record("killed, its disk stays", control=first)
    watcher.start()
    fleet.start(CONTROL, third)
    await asyncio.to_thread(watcher.join)
    if not killed:
        raise CaseError("the chain was not repaired")
    fleet.processes[CONTROL, second].wait()
    shutil.rmtree(fleet.data_dir(second))
    record("killed, its disk is lost", control=second)
    await asyncio.sleep(1)
    fleet.start(CONTROL, first)
    fleet.start(CONTROL, second)
    return newest


async def newest_read(fleet: Fleet, wanted: int, until: float) -> int:
    """The newest version that any machine reads back; returns at once when it is the wanted one."""
    newest = 0
    while time.monotonic() < until and newest < wanted:
        for number in range(fleet.controls):
            answer, body = await fleet.call(number, "GET", PATH)
            if answer == ACKNOWLEDGED:
                newest = max(newest, int(json.loads(body)["generation"]))
        await asyncio.sleep(1)
    return newest


async def case(record: Record, trouble: bool) -> int:
    """Acknowledge a version, lose machines while the chain is repaired, and read the version back."""
    fleet = Fleet(record, controls=3, edges=1)
    try:
        await fleet.serve_platform()
        await fleet.add_worker(SERVICE, 6, work)
        fleet.start_all()
        await fleet.put(document(5), 0)
        await fleet.wait_ready()
        await asyncio.sleep(SETTLED_S)
        if not trouble:
            await fleet.put(document(7), 5)
            read = await newest_read(fleet, 7, time.monotonic() + RECOVERY_S)
            record("read back", generation=read, acknowledged=7)
            return HELD if read == 7 else BROKEN
        newest = 5
        for _ in range(MOST_TRIES):
            newest = await lose_machines(fleet, record, newest)
            back = time.monotonic()
            record("all machines are back; one disk of three was lost")
            read = await newest_read(fleet, newest, back + OBSERVED_S)
            record(
                "read back", generation=read, acknowledged=newest, after_s=round(time.monotonic() - back, 1)
            )
            if read < newest:
                await report(fleet, record, newest)
                return BROKEN
            record("the machine had passed its copy on before it was killed: once more")
            await asyncio.sleep(SETTLED_S)
        return HELD
    finally:
        await fleet.close()


async def report(fleet: Fleet, record: Record, newest: int) -> None:
    """Write what each machine says, and whether a change is taken."""
    for number in range(fleet.controls):
        said = await status(fleet, number)
        shown = {name: said.get(name) for name in ("view", "chain", "voters", "holds_majority", "generation")}
        record("status", control=number, **shown)
        answer, _ = await fleet.call(
            number, "PUT", PATH, json.dumps(document(newest + 2)).encode(), If_Match=newest
        )
        record("a change on top of the newest version", control=number, status=answer)


if __name__ == "__main__":
    run_case(case, Path(__file__).resolve().parent)
