"""The urgency (Priority header) sent to model workers, so that they prefill short prompts before long ones.

Workers prefill prompts one after the other, so a long prompt delays all behind it. With short prompts first,
many requests get faster and a few slightly slower, as most of the delay of a long prompt is its own prefill.
The steps are shares of the latency target, so they do not depend on the prefill speed.
"""

from __future__ import annotations

from bisect import bisect

DEFAULT_URGENCY = 5  # What workers assume for a request without urgency.
SHORTEST_PROMPT_URGENCY = 3  # The urgency of requests with the shortest prefill.
# Prefill times as shares of the latency target; each step lowers the urgency by one.
PREFILL_STEPS = (0.05, 0.2, 0.5)


def urgency_of(prefill_s: float, latency_target_s: float) -> int:
    """The urgency, from 0 (highest) to 9 (lowest); `prefill_s` is the prefill time without cached tokens."""
    if latency_target_s <= 0:
        return DEFAULT_URGENCY
    return SHORTEST_PROMPT_URGENCY + bisect(PREFILL_STEPS, prefill_s / latency_target_s)
