"""Load reports: the encoding of one scheduler's reservations at workers.

A `LoadReport` is by far the most frequent message, so it is encoded in four bytes for each worker: the hash
of the worker's name (16 bits), slots (8 bits) and work in units of 20 ms (8 bits). Larger values are capped.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from reedspoke.fleet.messages.errors import FrameError
from reedspoke.fleet.messages.sizes import MAX_FRAME_BYTES, MAX_HEADER_BYTES

WORK_UNIT_US = 20_000
MAX_BYTE = 255
WORKER_LOAD_STRUCT = struct.Struct("!HBB")  # name hash, slots, work
BYTES_FIELD_OVERHEAD = 2
MAX_LOADS_PER_REPORT = (MAX_FRAME_BYTES - MAX_HEADER_BYTES - BYTES_FIELD_OVERHEAD) // WORKER_LOAD_STRUCT.size

LoadReport = bytes


@dataclass(slots=True, frozen=True)
class WorkerLoad:
    """The reserved slots and work (in microseconds) at the worker with that name hash."""

    worker_hash: int
    slots: int
    work_us: float


def encode_loads(loads: Iterable[WorkerLoad]) -> Iterator[LoadReport]:
    """Packs the loads into as few reports as possible."""
    packed = [_pack(load) for load in loads]
    for start in range(0, len(packed), MAX_LOADS_PER_REPORT):
        yield b"".join(packed[start : start + MAX_LOADS_PER_REPORT])


def decode_loads(report: LoadReport) -> list[WorkerLoad]:
    """Decodes the loads of a report. Raises FrameError."""
    if len(report) % WORKER_LOAD_STRUCT.size:
        raise FrameError("load report ends in the middle of a load")
    return [
        WorkerLoad(worker_hash, slots, float(work * WORK_UNIT_US))
        for worker_hash, slots, work in WORKER_LOAD_STRUCT.iter_unpack(report)
    ]


def _pack(load: WorkerLoad) -> bytes:
    work_units = round(load.work_us / WORK_UNIT_US)
    return WORKER_LOAD_STRUCT.pack(load.worker_hash, _byte(load.slots), _byte(work_units))


def _byte(value: int) -> int:
    return min(MAX_BYTE, max(0, value))
