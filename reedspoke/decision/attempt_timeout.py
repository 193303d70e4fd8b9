"""Which attempts to give up because their worker is silent. No I/O, no clock.

A worker whose machine is dark answers nothing, on any connection. A single request that takes long proves
nothing; a worker from which nothing at all comes while requests are out there does.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from reedspoke.decision.messages import Repeat

MIN_STREAM_TIMEOUT_S = 2.0  # a client leaves a stream after this silence at the earliest,
SILENCE_OF_AIM = 4.0  # after this multiple of the aim,
SILENCE_OF_PAUSE = 8.0  # and of the longest pause that is in time
PART_OF_SILENCE = 0.5  # of what the client bears: the other half is for the next worker
PLAIN_WAIT_OF_AIM = 2.0  # of a plain request


class OpenAttempt(Struct, frozen=True):
    """An attempt that is out."""

    job_id: int
    instance_id: str
    repeat: Repeat
    streaming: bool
    latency_target_s: float
    event_gap_target_s: float  # the longest pause between events that is in time; 0: unknown
    sent_at: float
    last_received_at: float  # of this attempt; `sent_at` where nothing has come
    deadline: float
    connected: bool = True  # its request has been sent; else the connection is still coming up
    may_have_run: bool = True  # this attempt, or one before it


def timed_out_attempts(
    attempts: Iterable[OpenAttempt], heard_from: dict[str, float], now: float
) -> list[int]:
    """Jobs whose attempt is to be called off, as its worker is silent and the job may go to another one.

    `heard_from` has for each worker when anything came from it last.
    """
    return [attempt.job_id for attempt in attempts if _is_lost(attempt, heard_from, now)]


def _is_lost(attempt: OpenAttempt, heard_from: dict[str, float], now: float) -> bool:
    if attempt.repeat is Repeat.NEVER or not attempt.connected:
        return False
    limit = attempt_timeout_s(attempt)
    if now - attempt.last_received_at < limit:
        return False
    since = max(heard_from.get(attempt.instance_id, 0.0), attempt.sent_at)
    return now - since >= limit


def attempt_timeout_s(attempt: OpenAttempt) -> float:
    """Seconds without a byte that an attempt is given."""
    if not attempt.streaming:
        return PLAIN_WAIT_OF_AIM * attempt.latency_target_s
    borne = max(
        MIN_STREAM_TIMEOUT_S,
        SILENCE_OF_AIM * attempt.latency_target_s,
        SILENCE_OF_PAUSE * attempt.event_gap_target_s,
    )
    return PART_OF_SILENCE * borne
