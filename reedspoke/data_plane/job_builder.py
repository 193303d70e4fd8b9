"""Reads out of a client's request what decisions need to know of it."""

from __future__ import annotations

import math
import re

from reedspoke.data_plane.headers import (
    DEADLINE_MS,
    MODEL_NAME,
    PROMPT_PREFIX,
    TOKEN_COUNT,
    field_number,
    field_text,
)
from reedspoke.data_plane.permit import Permit
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


def request_timeout_s(head: Head, route: CompiledRoute) -> float:
    """Seconds that the request may take: what the client waits, and what the operator wants it held."""
    told = field_number(head, DEADLINE_MS)
    if told is None or not math.isfinite(told):
        return route.timeout
    return min(route.timeout, max(0.0, told / 1000))


def build_job(job_id: int, head: Head, route: CompiledRoute, upstream: str, permit: Permit) -> Job:
    """The request as decisions see it."""
    arrived = permit.arrived
    parts = parse_parts(field_text(head, PROMPT_PREFIX))
    tokens_in, tokens_out = parse_token_count(field_text(head, TOKEN_COUNT))
    return Job(
        job_id=job_id,
        route=route.name,
        upstream=upstream,
        priority=route.priority,
        tenant=permit.tenant,
        tenant_priority=permit.priority,
        repeat=repeat_of(route),
        streaming=route.streaming,
        model=field_text(head, MODEL_NAME),
        parts=parts,
        prompt_tokens=tokens_in or sum(part.tokens for part in parts),
        output_tokens=tokens_out,
        latency_target_s=route.target,
        deadline=arrived + request_timeout_s(head, route),
        max_attempts=route.max_attempts,
        arrived=arrived,
    )
