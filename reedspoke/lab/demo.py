"""The main job with nothing else at hand: a scheduler, some hosts, discovery and clients on loopback."""

from __future__ import annotations

import asyncio
import time

from reedspoke.lab.clients import Client, Tally, Target, percentile
from reedspoke.lab.experiment import Options, Result
from reedspoke.lab.hosts import Fleet
from reedspoke.lab.program import Program
from reedspoke.lab.settings import CLASSES, UNSAFE

HOSTS, CLIENTS = 4, 24
PAUSE = 0.02  # s


async def play(options: Options) -> Result:
    fleet = Fleet(HOSTS, options.seed, {row[0]: row[5] / 1e6 for row in CLASSES}, UNSAFE)
    await fleet.open()
    program = Program(options.folder, fleet)
    tally = Tally()
    try:
        program.start()
        await program.ready()
        since = time.monotonic()
        end = since + options.seconds
        target = Target("127.0.0.1", program.port)
        clients = [Client(target, tally, options.seed * 1000 + at, 100) for at in range(CLIENTS)]
        work = [asyncio.ensure_future(one.run(lambda: time.monotonic() >= end, PAUSE)) for one in clients]
        while (left := end - time.monotonic()) > 0 and program.running():
            share = 1 - left / options.seconds
            bar = "#" * int(24 * share)
            options.progress(
                f"[{bar:<24}] {tally.served} served, {tally.refused} refused, {tally.failed} failed, "
                f"{tally.lost} lost"
            )
            await asyncio.sleep(min(0.2, left))
        await asyncio.gather(*work)
        took = time.monotonic() - since
        cpu, rss = program.cpu(), program.rss_mb()
        status = await program.stop()
    finally:
        program.kill()
        await fleet.close()
    times = [span for _, span in tally.times]
    result = Result({
        "requests": tally.requests, "served": tally.served, "refused": tally.refused,
        "failed": tally.failed, "lost": tally.lost, "twice": fleet.ledger.unsafe_twice,
        "requests_per_s": round(tally.requests / took), "p50_ms": round(1000 * percentile(times, 0.5), 1),
        "p99_ms": round(1000 * percentile(times, 0.99), 1), "legs": fleet.ledger.legs,
        "cpu_us_per_request": round(1e6 * cpu / max(1, tally.requests)), "rss_mb": round(rss, 1),
        "why": dict(tally.why),
    })  # fmt: skip
    result.hold("something is served", tally.served > 0)
    result.hold("nothing is lost", tally.lost == 0)
    result.hold("nothing unsafe runs twice", fleet.ledger.unsafe_twice == 0)
    result.hold("it ends as planned", status == 0)
    return result
