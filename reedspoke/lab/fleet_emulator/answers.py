"""Bodies and seals of emulated workers: made so that a client can verify every byte it gets."""

from __future__ import annotations

import zlib

from msgspec import Struct

FILLER = b"reedspoke-emulated-body."


class StreamEvent(Struct, frozen=True):
    """One event of a stream: its id, the run that made it and how many there are in all."""

    event_id: int
    run_id: str
    total: int
    checksum: str

    def render(self) -> bytes:
        return f"id: {self.event_id}\ndata: {self.run_id} {self.total} {self.checksum}\n\n".encode()


def checksum_of(*parts: object) -> str:
    """A short checksum over the text of the parts."""
    return f"{zlib.crc32(' '.join(map(str, parts)).encode()):08x}"


def make_event(event_id: int, run_id: str, total: int, subject: str) -> StreamEvent:
    """An event; `subject` is the attempt for which it was made."""
    return StreamEvent(event_id, run_id, total, checksum_of(event_id, run_id, total, subject))


def parse_event(raw: bytes) -> StreamEvent:
    """An event out of its lines. Raises ValueError for anything else."""
    lines = dict(line.split(b": ", 1) for line in raw.strip().split(b"\n"))
    run_id, total, checksum = lines[b"data"].decode().split(" ")
    return StreamEvent(int(lines[b"id"]), run_id, int(total), checksum)


def event_count(output_tokens: int, stride: int) -> int:
    """Events of a whole stream."""
    return -(-output_tokens // stride)


def make_body(attempt_id: str, run_id: str, size: int) -> bytes:
    """Body of a plain answer."""
    start = f"{attempt_id} {run_id} ".encode()
    return (start + FILLER * (size // len(FILLER) + 1))[: max(size, len(start))]


def make_seal(run_id: str, body: bytes) -> str:
    """The `Reedspoke-Response-Seal` of a plain answer; of a stream where `body` is empty."""
    return f"{run_id}.{len(body)}.{zlib.crc32(body):08x}"


def seal_run(seal: str) -> str:
    """The run that a seal belongs to."""
    return seal.partition(".")[0]


def request_body(attempt_id: str, size: int) -> bytes:
    """What a client sends; a worker can tell whether it came unchanged."""
    return make_body(attempt_id, "request", size)


def request_digest(method: str, target: str, body: bytes) -> int:
    """A checksum of what must reach the worker unchanged."""
    return zlib.crc32(body, zlib.crc32(f"{method} {target}".encode()))
