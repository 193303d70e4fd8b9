"""Bytes and processor time of the messages between control plane and data plane, by their entries."""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from msgspec import Struct

from reedspoke.cluster.configuration import difference, parse_configuration
from reedspoke.cluster.messages import (
    CONFIGURATION,
    MEMBERS,
    WORKERS,
    ConfigurationSnapshot,
    ControlMember,
    ControlMessage,
    EdgeMember,
    EdgeMessage,
    MemberList,
    Versions,
    Watch,
    WorkerEntry,
    WorkerList,
    decode,
    encode,
)
from reedspoke.lab.fleet_emulator.layout import draw_layout, encode_configuration
from reedspoke.lab.fleet_emulator.measurement import Slope, least_squares
from reedspoke.lab.fleet_emulator.report_text import struct_table
from reedspoke.lab.fleet_emulator.scale_inputs import hollow_worker, long_configuration

SIZES = (100, 400, 1000, 2400)
CONTROL_MEMBERS = 15
REPEATS = 7
MICROSECONDS = 1_000_000
VERSIONS = {CONFIGURATION: (12_345, 0), WORKERS: (12, 345), MEMBERS: (1_234_567_890, 12)}


class MessageCost(Struct, frozen=True):
    """A kind of message: slopes over its entries, and the largest size measured."""

    message: str
    entry: str
    bytes_per_entry: float
    base_bytes: float
    encode_us_per_entry: float
    decode_us_per_entry: float
    largest: int
    largest_bytes: int
    largest_decode_ms: float


class MessageCosts(Struct, frozen=True):
    """All kinds of messages."""

    costs: tuple[MessageCost, ...]


class Sample(Struct, frozen=True):
    """One message of one size."""

    entries: int
    size: int
    encode_s: float
    decode_s: float


def build_parser(prog: str) -> argparse.ArgumentParser:
    """Arguments of `messages`."""
    parser = argparse.ArgumentParser(prog=prog, description=__doc__)
    parser.add_argument("--json", type=Path, help="write the results to this file")
    return parser


def measure_all() -> MessageCosts:
    """Every kind of message."""
    return MessageCosts(
        (
            measure("WorkerList", "worker", worker_list, ControlMessage),
            measure("Versions", "worker with load", versions, ControlMessage),
            measure("Watch", "worker with load", watch, EdgeMessage),
            measure("MemberList", "scheduler", member_list, ControlMessage),
            measure("ConfigurationSnapshot", "route", snapshot, ControlMessage),
            measure("ConfigurationDelta", "changed route", delta, ControlMessage),
        )
    )


def measure(name: str, entry: str, build: Callable[[int], Struct], expected: Any) -> MessageCost:
    """The slopes of one kind."""
    samples = [sample(entries, build(entries), expected) for entries in SIZES]
    size = slope_of(samples, lambda each: each.size)
    encoding = slope_of(samples, lambda each: each.encode_s)
    decoding = slope_of(samples, lambda each: each.decode_s)
    last = samples[-1]
    return MessageCost(
        message=name,
        entry=entry,
        bytes_per_entry=round(size.per_unit, 1),
        base_bytes=round(size.base, 1),
        encode_us_per_entry=round(MICROSECONDS * encoding.per_unit, 2),
        decode_us_per_entry=round(MICROSECONDS * decoding.per_unit, 2),
        largest=last.entries,
        largest_bytes=last.size,
        largest_decode_ms=round(1000 * last.decode_s, 2),
    )


def slope_of(samples: list[Sample], figure: Callable[[Sample], float]) -> Slope:
    return least_squares([(float(each.entries), figure(each)) for each in samples])


def sample(entries: int, message: Struct, expected: Any) -> Sample:
    """Size of a message and the least time of several tries."""
    payload = encode(message)
    encode_s = least_time(lambda: encode(message))
    decode_s = least_time(lambda: decode(payload, expected))
    return Sample(entries, len(payload), encode_s, decode_s)


def least_time(work: Callable[[], object]) -> float:
    """Processor time of the fastest of several tries: what the work takes undisturbed."""
    times = []
    for _ in range(REPEATS):
        begun = time.process_time()
        work()
        times.append(time.process_time() - begun)
    return min(times)


def worker_list(entries: int) -> WorkerList:
    layout = draw_layout()
    listed = (hollow_worker(layout, number) for number in range(entries))
    workers = tuple(
        WorkerEntry(
            each.instance_id, each.upstream, each.address, each.zone, each.generation, each.capacity, False,
            models=("m",),
        )
        for each in listed
    )  # fmt: skip
    return WorkerList((12, 345), workers)


def loads(entries: int) -> dict[str, tuple[int, int]]:
    return {f"i-{number:08x}": (number % 64, 997 * number % 400_000) for number in range(entries)}


def versions(entries: int) -> Versions:
    return Versions(123_456, "control-1", VERSIONS, loads(entries))


def watch(entries: int) -> Watch:
    return Watch(123_456, "edge-123", "0123456789ab", "zone-a", VERSIONS, loads(entries))


def member_list(entries: int) -> MemberList:
    control = tuple(ControlMember(f"127.1.1.{number}:7660", "zone-a") for number in range(CONTROL_MEMBERS))
    edges = tuple(EdgeMember(f"edge-{number}", f"{number:012x}", "zone-a") for number in range(entries))
    return MemberList((1_234_567_890, 12), control, edges)


def snapshot(entries: int) -> ConfigurationSnapshot:
    return ConfigurationSnapshot((12_345, 0), encode_configuration(long_configuration(entries)))


def delta(entries: int) -> Struct:
    old = long_configuration(entries)
    new = long_configuration(entries)
    new["generation"] += 1
    for route in new["routes"]:
        route["timeout_ms"] += 1
    before, after = (parse_configuration(encode_configuration(each)) for each in (old, new))
    return difference(before, after, (12_344, 0), (12_345, 0))


def costs_text(costs: MessageCosts) -> str:
    """The figures as text."""
    return struct_table(costs.costs)
