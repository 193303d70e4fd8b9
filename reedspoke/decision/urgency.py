"""The urgency that a model worker is told for a request: short prompts are read before long ones.

Workers read prompts one behind the other, so a long one holds up all that come behind it. Told to read short
ones first, a worker makes many requests prompt and a few a little later; a long prompt is late by its own
reading first of all. Steps are shares of the aim, so they mean the same at any speed of reading.
"""

from __future__ import annotations

from bisect import bisect

USUAL_URGENCY = 5  # what workers assume of a request that tells none
FIRST_URGENCY = 3  # of the shortest prompts
READING_STEPS = (
    0.05,
    0.2,
    0.5,
)  # shares of the aim that reading the prompt takes; each lowers the urgency by one


def urgency_of(reading_s: float, latency_target_s: float) -> int:
    """0 is the most urgent, 9 the least. `reading_s`: the time to read what the worker does not keep."""
    if latency_target_s <= 0:
        return USUAL_URGENCY
    return FIRST_URGENCY + bisect(READING_STEPS, reading_s / latency_target_s)
