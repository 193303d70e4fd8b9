"""Builds the dispatcher's job from the header fields of a client's request."""

from __future__ import annotations

import math
import re

from reedspoke.data_plane.authorization import Authorization
from reedspoke.data_plane.headers import (
    DEADLINE_MS,
    MODEL_NAME,
    PROMPT_PREFIX,
    TOKEN_COUNT,
    field_number,
    field_text,
)
from reedspoke.data_plane.route_table import CompiledRoute
from reedspoke.decision.messages import Job, PromptPart, Repeat
from reedspoke.net.http import Head

MAX_PROMPT_PARTS = 64
# `str.isdigit` accepts other digits as well, and `int` has no bound.
COUNT_PATTERN = re.compile(r"[0-9]{1,9}")


def parse_prompt_parts(text: str) -> tuple[PromptPart, ...]:
    """Parses prompt parts, written as `ID:TOKENS,ID:TOKENS`. The first malformed part ends the list."""
    parts = []
    for item in text.split(",")[:MAX_PROMPT_PARTS]:
        part_id, _, tokens = item.strip().partition(":")
        if not part_id or COUNT_PATTERN.fullmatch(tokens) is None:
            break
        parts.append(PromptPart(part_id, int(tokens)))
    return tuple(parts)


def parse_token_count(text: str) -> tuple[int, int]:
    """Parses the number of prompt tokens and the maximum of output tokens; 0 for one that is missing."""
    first, _, second = text.partition(",")
    return _parse_count(first), _parse_count(second)


def _parse_count(text: str) -> int:
    stripped = text.strip()
    return int(stripped) if COUNT_PATTERN.fullmatch(stripped) else 0


def repeat_of(route: CompiledRoute) -> Repeat:
    """How a request of the route may be repeated after an attempt that may have run."""
    if route.resumable:
        return Repeat.RESUMABLE
    return Repeat.IDEMPOTENT if route.repeatable else Repeat.NEVER


def request_timeout_s(head: Head, route: CompiledRoute) -> float:
    """The timeout of the request in seconds: that of the client or of the route, whichever is shorter."""
    deadline_ms = field_number(head, DEADLINE_MS)
    if deadline_ms is None or not math.isfinite(deadline_ms):
        return route.timeout_s
    return min(route.timeout_s, max(0.0, deadline_ms / 1000))


def build_job(
    job_id: int, head: Head, route: CompiledRoute, upstream: str, authorization: Authorization
) -> Job:
    """The job of a request, for the dispatcher."""
    arrived = authorization.arrived_at
    parts = parse_prompt_parts(field_text(head, PROMPT_PREFIX))
    tokens_in, tokens_out = parse_token_count(field_text(head, TOKEN_COUNT))
    return Job(
        job_id=job_id,
        route=route.name,
        upstream=upstream,
        priority=route.priority,
        tenant=authorization.tenant,
        tenant_priority=authorization.priority,
        repeat=repeat_of(route),
        streaming=route.streaming,
        model=field_text(head, MODEL_NAME),
        parts=parts,
        prompt_tokens=tokens_in or sum(part.tokens for part in parts),
        output_tokens=tokens_out,
        latency_target_s=route.latency_target_s,
        deadline=arrived + request_timeout_s(head, route),
        max_attempts=route.max_attempts,
        arrived=arrived,
    )
