"""Finds attempts that have timed out because their worker sends nothing. No I/O, no clock.

A worker whose machine has failed sends nothing on any connection. A single slow request does not prove such a
failure, so an attempt times out only if no data at all arrived from its worker, on any connection.
"""

from __future__ import annotations

from collections.abc import Iterable

from msgspec import Struct

from reedspoke.decision.messages import Repeat

# A client abandons a stream after the longest of these times without data: a fixed time, a multiple of the
# latency target, and a multiple of the target for the gap between events.
MIN_STREAM_TIMEOUT_S = 2.0
STREAM_TIMEOUT_PER_LATENCY_TARGET = 4.0
STREAM_TIMEOUT_PER_EVENT_GAP = 8.0
ATTEMPT_SHARE = 0.5  # Share of the client's timeout for one attempt; the rest is left for the next worker.
PLAIN_TIMEOUT_PER_LATENCY_TARGET = 2.0  # Timeout of a request without streaming, in latency targets.


class OpenAttempt(Struct, frozen=True):
    """An attempt in flight."""

    job_id: int
    instance_id: str
    repeat: Repeat
    streaming: bool
    latency_target_s: float
    event_gap_target_s: float  # The target for the gap between events; 0 if unknown.
    sent_at: float
    last_received_at: float  # When data of this attempt arrived last; `sent_at` if none has.
    deadline: float
    connected: bool = True  # Whether the request was sent; otherwise the connection is being opened.
    may_have_run: bool = True  # Whether this attempt or an earlier one may have run.


def timed_out_attempts(
    attempts: Iterable[OpenAttempt], last_received_from: dict[str, float], now: float
) -> list[int]:
    """The ids of jobs whose attempt timed out and that may be sent to another worker.

    `last_received_from` maps each worker to the time when data arrived from it last.
    """
    return [attempt.job_id for attempt in attempts if _has_timed_out(attempt, last_received_from, now)]


def _has_timed_out(attempt: OpenAttempt, last_received_from: dict[str, float], now: float) -> bool:
    if attempt.repeat is Repeat.NEVER or not attempt.connected:
        return False
    limit = attempt_timeout_s(attempt)
    if now - attempt.last_received_at < limit:
        return False
    since = max(last_received_from.get(attempt.instance_id, 0.0), attempt.sent_at)
    return now - since >= limit


def attempt_timeout_s(attempt: OpenAttempt) -> float:
    """The time without data after which an attempt has timed out."""
    if not attempt.streaming:
        return PLAIN_TIMEOUT_PER_LATENCY_TARGET * attempt.latency_target_s
    client_timeout_s = max(
        MIN_STREAM_TIMEOUT_S,
        STREAM_TIMEOUT_PER_LATENCY_TARGET * attempt.latency_target_s,
        STREAM_TIMEOUT_PER_EVENT_GAP * attempt.event_gap_target_s,
    )
    return ATTEMPT_SHARE * client_timeout_s
