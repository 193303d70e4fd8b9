"""Memory of the state that grows with the fleet, for one more entry of it."""

from __future__ import annotations

import gc
import tracemalloc
from collections.abc import Callable

from msgspec import Struct

from reedspoke.cluster.configuration import parse_configuration
from reedspoke.cluster.messages import ControlMessage, decode, encode
from reedspoke.decision.messages import Part
from reedspoke.decision.prefix_cache import PrefixCache, chain_of
from reedspoke.lab.fleet_emulator.layout import encode_configuration
from reedspoke.lab.fleet_emulator.measurement import least_squares
from reedspoke.lab.fleet_emulator.message_costs import member_list, versions, worker_list
from reedspoke.lab.fleet_emulator.scale_inputs import long_configuration

SIZES = (500, 1000, 2000)
UNBOUNDED_TOKENS = 10**12
PART_TOKENS = 100


class StateCost(Struct, frozen=True):
    """Bytes of memory for one more entry."""

    state: str
    entry: str
    bytes_per_entry: float


def measure_states() -> tuple[StateCost, ...]:
    """Every kind of state, with its slope over the number of entries."""
    return (
        StateCost("prefix cache of one worker, data plane", "kept part", slope(kept_parts)),
        StateCost("list of workers, both", "worker", slope(lambda count: decoded(worker_list(count)))),
        StateCost("load of others, both", "worker", slope(lambda count: decoded(versions(count)))),
        StateCost("members, both", "scheduler", slope(lambda count: decoded(member_list(count)))),
        StateCost("configuration, both", "route", slope(configuration_of)),
    )


def slope(build: Callable[[int], object]) -> float:
    """Bytes for each entry of what `build` makes."""
    points = [(float(size), allocated(lambda: build(size))) for size in SIZES]  # noqa: B023
    return round(least_squares(points).per_unit, 1)


def allocated(build: Callable[[], object]) -> float:
    """Bytes that stay allocated for the result of `build`."""
    build()  # what is made only once is made now
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        kept = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
        del kept
        return float(after - before)
    finally:
        tracemalloc.stop()


def decoded(message: Struct) -> object:
    """The message as a receiver holds it."""
    return decode(encode(message), ControlMessage)


def kept_parts(count: int) -> PrefixCache:
    """The estimate of one worker that keeps this many parts."""
    cache = PrefixCache(UNBOUNDED_TOKENS)
    for number in range(count):
        parts = (Part(f"{number:08x}", PART_TOKENS),)
        cache.record(chain_of("m", parts), parts)
    return cache


def configuration_of(routes: int) -> object:
    """A parsed configuration."""
    return parse_configuration(encode_configuration(long_configuration(routes)))
