"""Timelines played from files or drawn by lot, in virtual time or on real processes; one that fails is cut
down and printed."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from reedspoke.lab.experiment import Options, Result
from reedspoke.lab.stages import SECOND, Played, played, played_really
from reedspoke.lab.timeline import SETTLE, Timeline, TimelineError, cut_down, draw, parse

FAULTS = 3  # of a drawn one on real processes; six in virtual time
MOST_CUTS = 60  # plays that cutting one down may take


@dataclass(slots=True)
class Plan:
    """`files`, or `drawn` ones by lots from the seed on; `side`: real ones at once."""

    files: list[Path] = field(default_factory=list)
    drawn: int = 0
    real: bool = True
    side: int = 4

    def timelines(self, seed: int) -> list[tuple[Timeline, int]]:
        """Raises TimelineError, which names the file."""
        found = []
        for path in self.files:
            try:
                found.append((parse(path.read_text()), seed))
            except TimelineError as error:
                raise TimelineError(error.line, f"{path.name}: {error}") from None
        faults = FAULTS if self.real else 2 * FAULTS
        return found + [(draw(seed + at, faults=faults), seed + at) for at in range(self.drawn)]


NO_FAULT = ("start", "go", "heal", "book", "cancel", "release")
KEYS = {  # of the figures: what of the broken they count
    "overbooked": ("overbooked",), "lost_bookings": ("is lost",), "two_holders": ("two holders",),
    "false_answers": ("was refused and is", "was cancelled and is"), "lost": ("a request is lost", "a wrong"),
    "stale_accepted": ("stale act", "token fell"), "twice": ("ran twice",),
}  # fmt: skip


@dataclass(slots=True)
class Count:
    plays: int = 0
    faults: int = 0
    processes: int = 0
    unsettled: int = 0
    took: list[float] = field(default_factory=list)  # s of each `agreed`
    held: list[float] = field(default_factory=list)  # s of each `held`
    broken: dict[str, int] = field(default_factory=dict)
    answers: Counter[str] = field(default_factory=Counter)  # of bookings
    drawn: list[str] = field(default_factory=list)

    def add(self, result: Played) -> None:
        self.plays += 1
        self.processes += len(result.told.nodes)
        done = [action.word for row in result.told.rows[1:] for cell in row.cells.values() for action in cell]
        self.faults += sum(word not in NO_FAULT for word in done)
        for (at, order), took in result.settled.items():
            word = result.told.rows[at].claims[order].word
            (self.took if word in ("agreed", "settled") else self.held if word == "held" else []).append(
                took / SECOND
            )
        for at, order in result.late:
            claim = result.told.rows[at].claims[order]
            self.unsettled += claim.word in ("agreed", "settled")
            self.broken[str(claim)] = self.broken.get(str(claim), 0) + 1
        for told in result.answers.values():
            self.answers.update(told)
        for what in result.broken:
            self.broken[what] = self.broken.get(what, 0) + 1


async def play(options: Options, plan: Plan) -> Result:
    count, began = Count(), time.monotonic()
    timelines = plan.timelines(options.seed)
    if plan.real:
        await _really(options, plan, timelines, count)
    else:
        for told, seed in timelines:
            result = await asyncio.to_thread(played, told, seed)
            count.add(result)
            if not result.held:
                count.drawn.append(await asyncio.to_thread(smallest, result, seed))
            options.progress(f"{count.plays} of {len(timelines)} played")
    seconds = time.monotonic() - began
    result_ = Result(figures(count, seconds, plan))
    result_.broken += [f"{what} ({times} times)" for what, times in count.broken.items()]
    for text in count.drawn:
        result_.broken.append("\n" + text)
    result_.hold("something was played", count.plays > 0)
    return result_


def sum_of(count: Count, *words: str) -> int:
    return sum(times for what, times in count.broken.items() if any(word in what for word in words))


def figures(count: Count, seconds: float, plan: Plan) -> dict[str, Any]:
    return {
        "plays": count.plays, "processes": count.processes, "faults": count.faults,
        "stage": "real" if plan.real else "virtual", "settle_s": round(max(count.took, default=0), 2),
        "settle_bound_s": SETTLE / SECOND, "unsettled": count.unsettled,
        "booked": count.answers["booked"], "refused": count.answers["refused"],
        "unknown": count.answers["unknown"], **{key: sum_of(count, *words) for key, words in KEYS.items()},
        "held_s": round(max(count.held, default=0), 2), "broken_claims": sum(count.broken.values()),
        "seconds": round(seconds, 1), "plays_a_second": round(count.plays / max(seconds, 0.001), 2),
    }  # fmt: skip


async def _really(options: Options, plan: Plan, timelines: list[tuple[Timeline, int]], count: Count) -> None:
    room = asyncio.Semaphore(plan.side)

    async def one(at: int, told: Timeline, seed: int) -> None:
        async with room:
            folder = options.folder / f"t{at}"
            folder.mkdir()
            result = await played_really(told, seed, folder)
        count.add(result)
        if not result.held:
            count.drawn.append(result.drawn())
        options.progress(f"{count.plays} of {len(timelines)} played, {len(count.drawn)} failed")

    await asyncio.gather(*(one(at, told, seed) for at, (told, seed) in enumerate(timelines)))


def smallest(result: Played, seed: int) -> str:
    """What failed in virtual time, cut down to what still fails in the same way."""
    broken = set(result.broken) or {result.told.rows[at].claims[order].word for at, order in result.late}

    def fails(told: Timeline) -> bool:
        again = played(told, seed)
        words = {told.rows[at].claims[order].word for at, order in again.late}
        return bool(broken & (set(again.broken) | words))

    return played(cut_down(result.told, fails, MOST_CUTS), seed).drawn()
