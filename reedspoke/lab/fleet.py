"""Fleets of 3, 10, 50 and 200 in virtual time: bytes a second for each, time to notice a death, time to hand
a duty on, deaths that were none; and every order of a few steps of the lease core, with mutations of it."""

from __future__ import annotations

import time
from statistics import median
from typing import Any

from reedspoke.lab.experiment import Options, Result
from reedspoke.lab.leaseplay import explore, held
from reedspoke.lab.mutants import MUTANTS, caught
from reedspoke.lab.virtual import DUTY, SECOND, Play

SIZES = (3, 10, 50, 200)
CALM = 15 * SECOND
LOSS, JITTER = 0.2, 200_000  # of the rough part
DEPTHS = {2: 40, 3: 40}  # more than the time will do
CHECKED = 0.4  # of the seconds, for the orders of steps
EASY_DEATHS, HARD_DEATHS = 6, 3
PATIENT = 90 * SECOND  # for a view to settle


def settle(play: Play) -> float | None:
    """s until all that run believe the same, say so, and are right about who runs; None: not in time."""
    began = play.now
    while play.now < began + PATIENT:
        play.run(SECOND // 8)
        lively = {at for at, one in play.processes.items() if not one.stopped}
        told = [play.processes[at].view.convergence() for at in lively]
        right = all(set(play.processes[at].membership.alive()) == lively for at in lively)
        if right and all(one.converged for one in told) and len({one.digest for one in told}) == 1:
            return round((play.now - began) / SECOND, 1)
    return None


def settling(size: int, seed: int) -> dict[str, float | None]:
    """After each of these: a start of all, a crash, a join, a stop, the end of a cut of a tenth for 20 s."""
    play = Play(size, seed)
    found = {"start": settle(play)}
    last = size - 1
    play.kill(last)
    found["crash"] = settle(play)
    play.start(last)
    found["join"] = settle(play)
    play.processes[last].stopped = True
    found["stop"] = settle(play)
    play.processes[last].stopped = False
    found["go on"] = settle(play)
    part = set(range(size - max(1, size // 10), size))
    play.weather.cuts = {
        way for one in part for other in set(range(size)) - part for way in ((one, other), (other, one))
    }
    play.run(20 * SECOND)
    play.weather.cuts = set()
    found["cut"] = settle(play)
    return found


def scale(size: int, seed: int) -> dict[str, Any]:
    """Figures of one size; times in s, by the play's own clock."""
    began = time.monotonic()
    play = Play(size, seed)
    play.run(3 * play.term)
    first = play.holder()
    before, since = play.bytes, play.now
    play.run(CALM)
    calm = (play.bytes - before) / size / ((play.now - since) / SECOND)
    noticed: list[float] = []
    known: list[float] = []
    for _ in range(1 if size == 3 else EASY_DEATHS if size < 100 else EASY_DEATHS // 2):
        victim = play.random.choice(
            [at for at in play.processes if at != play.holder() and at > 4 or size < 6]
        )
        killed, spoken = play.now, len(play.said_gone)
        play.kill(victim)
        play.run(
            int(4 * play.period + 3 * play.processes[min(play.processes)].membership.suspicion_timeout_us)
        )
        told = [when for when, _, whom in play.said_gone[spoken:] if whom == victim]
        by = {who for _, who, whom in play.said_gone[spoken:] if whom == victim}
        if told:
            noticed.append((min(told) - killed) / SECOND)
        if by >= set(play.processes):
            known.append((max(told) - killed) / SECOND)
        play.start(victim)
        play.run(3 * play.term)
    handed: list[float] = []
    for _ in range(HARD_DEATHS):
        holder = play.holder()
        if holder is None:
            continue
        killed, begun = play.now, len(play.begun)
        play.kill(holder)
        play.run(4 * play.term)
        handed += [(when - killed) / SECOND for when, _, name in play.begun[begun:] if name == DUTY][:1]
        play.start(holder)
        play.run(3 * play.term)
    spoken = len(play.said_gone)
    play.weather.loss, play.weather.delay, play.weather.twice = LOSS, (200, JITTER), 0.05
    before, since = play.bytes, play.now
    play.run(CALM)
    return {
        "held_at_first": first is not None, "bytes_a_second_each": round(calm, 1),
        "first_notice_s": round(median(noticed), 2) if noticed else None,
        "all_know_s": round(median(known), 2) if known else None, "deaths": len(noticed),
        "handed_on_s": [round(one, 2) for one in handed], "two_holders": play.two_holders,
        "token_fell": play.token_fell, "largest_datagram": play.largest,
        "rough_bytes_a_second_each": round((play.bytes - before) / size / (CALM / SECOND), 1),
        "rough_false_deaths": len(play.said_gone) - spoken, "took_s": round(time.monotonic() - began, 1),
    }  # fmt: skip


async def play(options: Options) -> Result:
    sizes: dict[str, Any] = {}
    for size in SIZES:
        options.progress(f"{size} schedulers")
        sizes[str(size)] = scale(size, options.seed)
    checked: dict[str, Any] = {}
    for size, depth in DEPTHS.items():
        options.progress(f"every order of a few steps, {size} members")
        found = explore(held(size), depth, options.seconds * CHECKED / len(DEPTHS))
        checked[str(size)] = {
            "states": found.states, "depth": found.depth, "seconds": round(found.seconds, 1),
        }  # fmt: skip
    options.progress("mutations")
    after = {make.__name__: caught(make) for make in MUTANTS}
    result = Result({
        "sizes": sizes, "checked": checked, "mutations_caught_after_runs": after,
        "mutations": len(after), "caught": sum(runs > 0 for runs in after.values()),
        "two_holders": sum(one["two_holders"] for one in sizes.values()),
    })  # fmt: skip
    result.hold("every fleet has a holder", all(one["held_at_first"] for one in sizes.values()))
    result.hold("never two holders", result.figures["two_holders"] == 0)
    result.hold("tokens rise", all(one["token_fell"] == 0 for one in sizes.values()))
    result.hold("every duty is handed on", all(len(one["handed_on_s"]) == 3 for one in sizes.values()))
    result.hold("deaths are noticed", all(one["deaths"] > 0 for one in sizes.values()))
    result.hold("every mutation is caught", result.figures["caught"] == len(MUTANTS))
    return result
