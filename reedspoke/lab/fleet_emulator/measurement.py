"""Figures out of raw measurements: intervals, delays and slopes. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Sequence

from msgspec import Struct

from reedspoke.lab.fleet_emulator.hollow_host import HollowResult, TrafficSample
from reedspoke.lab.fleet_emulator.tally import percentile


class Delays(Struct, frozen=True):
    """Times until something was true everywhere, in s. `missing`: where it never was."""

    count: int
    median_s: float
    p99_s: float
    worst_s: float
    missing: int = 0


class Slope(Struct, frozen=True):
    """A straight line through measured points: `per_unit` x size + `base`. `residual` is the largest miss."""

    per_unit: float
    base: float
    residual: float

    def at(self, size: float) -> float:
        """Where the line leads at this size."""
        return self.base + self.per_unit * size


def least_squares(points: Sequence[tuple[float, float]]) -> Slope:
    """The line with the least sum of squared misses. Raises ValueError for fewer than two sizes."""
    if len({x for x, _ in points}) < 2:
        raise ValueError("a slope needs two sizes")
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    per_unit = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    base = mean_y - per_unit * mean_x
    residual = max(abs(y - base - per_unit * x) for x, y in points)
    return Slope(per_unit, base, residual)


def delays(arrivals: Sequence[float], begun: float, expected: int) -> Delays:
    """Delays of arrivals since `begun`, of which there should be `expected`."""
    waits = [arrival - begun for arrival in arrivals]
    milliseconds = [1000 * wait for wait in waits]
    worst = max(waits, default=0.0)
    return Delays(
        count=len(waits),
        median_s=round(percentile(milliseconds, 50) / 1000, 4),
        p99_s=round(percentile(milliseconds, 99) / 1000, 4),
        worst_s=round(worst, 4),
        missing=max(0, expected - len(waits)),
    )


def worst_of(several: Sequence[Delays]) -> Delays:
    """The delays of several changes as one: the largest of each figure."""
    return Delays(
        count=sum(each.count for each in several),
        median_s=max((each.median_s for each in several), default=0.0),
        p99_s=max((each.p99_s for each in several), default=0.0),
        worst_s=max((each.worst_s for each in several), default=0.0),
        missing=sum(each.missing for each in several),
    )


def bytes_between(samples: Sequence[TrafficSample], begin: float, end: float) -> tuple[int, int]:
    """Bytes in and out of one process between two moments, by the samples before them."""
    before, after = sample_at(samples, begin), sample_at(samples, end)
    return after.bytes_in - before.bytes_in, after.bytes_out - before.bytes_out


def sample_at(samples: Sequence[TrafficSample], at: float) -> TrafficSample:
    """The last sample that is not later; the first where all are."""
    index = bisect_right([sample.at for sample in samples], at)
    return samples[max(0, index - 1)]


def arrivals_of(results: Sequence[HollowResult], generation: int) -> list[float]:
    """When a configuration came into force at each hollow scheduler."""
    return [at for result in results for at in result.meter.in_force.get(generation, [])]


def list_arrivals(results: Sequence[HollowResult]) -> dict[str, list[float]]:
    """When each list of workers arrived, by its version."""
    found: dict[str, list[float]] = {}
    for result in results:
        for version, arrivals in result.meter.lists.items():
            found.setdefault(version, []).extend(arrivals)
    return found


def settled_after(results: Sequence[HollowResult], moment: float) -> float:
    """Time from `moment` to the start of the last session begun after it; 0 where none was."""
    starts = [at for result in results for at in result.meter.session_starts if at > moment]
    return max(starts, default=moment) - moment
