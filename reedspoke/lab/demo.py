"""The main job with nothing else at hand: a scheduler, some hosts, discovery and clients on loopback.

In either style of settings; where lists are pushed, a host drains after a quarter of the time."""

from __future__ import annotations

import asyncio
import time

from reedspoke.lab.clients import Client, Tally, Target, percentile
from reedspoke.lab.experiment import Options, Result
from reedspoke.lab.hosts import Fleet
from reedspoke.lab.program import Program
from reedspoke.lab.settings import STYLES

HOSTS, CLIENTS = 4, 24
PAUSE = 0.02  # s
DRAIN = 0.25  # of the time, until a host drains where lists are pushed


async def play(options: Options) -> Result:
    told = STYLES[options.style]
    fleet = Fleet(
        HOSTS, options.seed, told.work(), told.of("side_effect"), deployment=told if told.pushed else None
    )
    await fleet.open()
    program = Program(options.folder, fleet, deployment=told)
    tally = Tally()
    try:
        program.start()
        await program.ready()
        since = time.monotonic()
        end = since + options.seconds
        target = Target("127.0.0.1", program.port)
        clients = [Client(target, tally, options.seed * 1000 + at, 100, told) for at in range(CLIENTS)]
        work = [asyncio.ensure_future(one.run(lambda: time.monotonic() >= end, PAUSE)) for one in clients]
        while (left := end - time.monotonic()) > 0 and program.running():
            share = 1 - left / options.seconds
            if told.pushed and share >= DRAIN and not fleet.hosts[0].drained_at:
                fleet.discovery.drain(fleet.hosts[0])
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
        "watches": fleet.discovery.watches, "dropped": fleet.ledger.dropped,
        "after_drain": fleet.ledger.after_drain, "over_cap": fleet.ledger.over_cap, "why": dict(tally.why),
    })  # fmt: skip
    result.hold("something is served", tally.served > 0)
    result.hold("nothing is lost", tally.lost == 0)
    result.hold("discovery is followed", fleet.discovery.watches > 0)
    result.hold("nothing goes to a host behind its drain's grace", fleet.ledger.after_drain == 0)
    result.hold("few connections beyond what hosts hold", fleet.ledger.over_cap <= fleet.ledger.legs / 20)
    result.hold("nothing unsafe runs twice", fleet.ledger.unsafe_twice == 0)
    result.hold("it ends as planned", status == 0)
    return result
