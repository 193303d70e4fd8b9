"""Reads out of a client's request what decisions need to know of it."""

from __future__ import annotations

import math
import re

from reedspoke.data_plane.authorization import Authorization
from reedspoke.data_plane.headers import (
    DEADLINE_MS,
    MODEL_NAME,
    PROMPT_PREFIX,
    TOKEN_COUNT,
    number_of,
    text_of,
)
from reedspoke.data_plane.route_table import CompiledRoute
from reedspoke.decision.messages import Job, PromptPart, Repeat
from reedspoke.net.http import Head

MOST_PARTS = 64
COUNT = re.compile(r"[0-9]{1,9}")  # `isdigit` would take other digits too, and `int` has no bound


def parse_parts(text: str) -> tuple[PromptPart, ...]:
    """The parts of a prompt, written as `ID:TOKENS` with commas between; what is malformed ends the list."""
    parts = []
    for item in text.split(",")[:MOST_PARTS]:
        part_id, _, tokens = item.strip().partition(":")
        if not part_id or COUNT.fullmatch(tokens) is None:
            break
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def parse_token_count(text: str) -> tuple[int, int]:
    """Tokens in, and at most out; 0 where they are not told."""
    first, _, second = text.partition(",")
    return _whole(first), _whole(second)


def _whole(text: str) -> int:
    stripped = text.strip()
    return int(stripped) if COUNT.fullmatch(stripped) else 0


def repeat_of(route: CompiledRoute) -> Repeat:
    """What may be done with a request of the route that may have run."""
    if route.resumable:
        return Repeat.RESUMABLE
    return Repeat.IDEMPOTENT if route.repeatable else Repeat.NEVER


def time_limit(head: Head, route: CompiledRoute) -> float:
    """Seconds that the request may take: what the client waits, and what the operator wants it held."""
    told = number_of(head, DEADLINE_MS)
    if told is None or not math.isfinite(told):
        return route.timeout_s
    return min(route.timeout_s, max(0.0, told / 1000))


def build_job(
    job_id: int, head: Head, route: CompiledRoute, upstream: str, authorization: Authorization
) -> Job:
    """The request as decisions see it."""
    arrived = authorization.arrived_at
    parts = parse_parts(text_of(head, PROMPT_PREFIX))
    tokens_in, tokens_out = parse_token_count(text_of(head, TOKEN_COUNT))
    return Job(
        job_id=job_id,
        route=route.name,
        upstream=upstream,
        priority=route.priority,
        tenant=authorization.tenant,
        tenant_priority=authorization.priority,
        repeat=repeat_of(route),
        streaming=route.streaming,
        model=text_of(head, MODEL_NAME),
        parts=parts,
        prompt_tokens=tokens_in or sum(part.tokens for part in parts),
        output_tokens=tokens_out,
        latency_target_s=route.latency_target_s,
        deadline=arrived + time_limit(head, route),
        max_attempts=route.max_attempts,
        arrived=arrived,
    )
