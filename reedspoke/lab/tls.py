"""What TLS costs: the same load over the plain front and over TLS, kept connections and new ones, in
turns."""

from __future__ import annotations

import asyncio
import statistics
import time

from reedspoke.lab.acme import operator, served, trusting
from reedspoke.lab.authority import Authority
from reedspoke.lab.clients import Client, Tally, Target, percentile
from reedspoke.lab.experiment import Options, Result
from reedspoke.lab.hosts import Fleet
from reedspoke.lab.program import Program, free_port
from reedspoke.lab.settings import CLASSES, UNSAFE

CLIENTS = 8
TURN = 1.5  # s of each way before the next one's
SETTLE = 0.2
WORK = 0.002  # s of a job: the hosts are not the limit
AIM = 1.25
WAYS = ("plain_kept", "tls_kept", "plain_fresh", "tls_fresh")


async def play(options: Options) -> Result:
    fleet = Fleet(4, options.seed, {row[0]: WORK for row in CLASSES}, UNSAFE, slots=16)
    await fleet.open()
    http, tls = free_port(), free_port()
    authority = Authority("first", 3600, options.seed, lambda _: ("127.0.0.1", http))
    program = Program(options.folder, fleet, operator(str(options.folder), tls, http, [("first", authority)]))
    rates: dict[str, list[float]] = {way: [] for way in WAYS}
    costs: dict[str, list[float]] = {way: [] for way in WAYS}
    tallies = {way: Tally() for way in WAYS}
    try:
        program.start()
        await program.ready()
        context = trusting([authority])
        await served(tls, context, ["api.example.org"])
        plain = Target("127.0.0.1", program.port)
        secure = Target("127.0.0.1", tls, context, ("api.example.org",))
        end, turn = time.monotonic() + options.seconds, 0
        while time.monotonic() < end or turn < 2 * len(WAYS):
            way = WAYS[turn % len(WAYS)]
            options.progress(f"{max(0.0, end - time.monotonic()):4.0f} s left, {way}")
            target, keep = secure if "tls" in way else plain, 1 if "fresh" in way else 1_000_000
            rate, cost = await _turn(program, target, tallies[way], keep, options.seed + turn)
            if turn >= len(WAYS):  # the first round warms up
                rates[way].append(rate)
                costs[way].append(cost)
            turn += 1
        status = await program.stop()
    finally:
        program.kill()
        authority.close()
        await fleet.close()
    figures: dict[str, object] = {}
    for way in WAYS:
        figures[f"{way}_rps"] = round(statistics.median(rates[way]))
        figures[f"{way}_cpu_us"] = round(statistics.median(costs[way]) * 1e6)
        figures[f"{way}_p99_ms"] = round(1000 * percentile([took for _, took in tallies[way].times], 0.99), 2)
    ratios = [b / a for a, b in zip(costs["plain_kept"], costs["tls_kept"], strict=False)]
    figures["tls_over_plain_kept"] = round(statistics.median(ratios), 3)
    ratios = [b / a for a, b in zip(costs["plain_fresh"], costs["tls_fresh"], strict=False)]
    figures["tls_over_plain_fresh"] = round(statistics.median(ratios), 3)
    figures["turns"] = turn
    figures["lost"] = sum(tally.lost for tally in tallies.values())
    figures["exit"] = status
    figures["why"] = {way: dict(tally.why) for way, tally in tallies.items()}
    result = Result(figures)
    result.hold("lost is 0", figures["lost"] == 0)
    result.hold(f"TLS costs at most {AIM} times on kept connections", figures["tls_over_plain_kept"] <= AIM)  # type: ignore[operator]
    return result


async def _turn(program: Program, target: Target, tally: Tally, keep: int, seed: int) -> tuple[float, float]:
    """Requests a second, and the scheduler's CPU for each, s."""
    clients = [Client(target, tally, seed * 1000 + at, keep) for at in range(CLIENTS)]
    end = time.monotonic() + SETTLE + TURN
    work = [asyncio.ensure_future(client.run(lambda: time.monotonic() >= end, 0)) for client in clients]
    await asyncio.sleep(SETTLE)
    since, cpu, before = time.monotonic(), program.cpu(), len(tally.times)
    await asyncio.sleep(TURN)
    count = len(tally.times) - before
    spent, took = program.cpu() - cpu, time.monotonic() - since
    await asyncio.gather(*work)
    return count / took, spent / max(1, count)
