"""What a service's workers have been seen to take: for a prompt token, for an output token, for a request."""

from __future__ import annotations

TOKEN_READ_S = 25e-6  # before anything is seen: to read a prompt token
TOKEN_WRITE_S = 5e-3  # before anything is seen: from one output token to the next
REQUEST_S = 0.05  # before anything is seen: from the send of a plain request to its answer
LEARN = 0.05  # weight of a new sample
LATE_WEIGHT = 0.25  # of a first event that came later than expected
ENOUGH = 20  # samples before workers are compared
OUTLIER = 3.0  # a sample counts at most as this multiple of what was expected
TOKENS_SCALE = 1000.0  # keeps both parts of the fit of like size
READ_LEAST_S, READ_MOST_S = 1e-6, 1e-3


class EngineSpeed:
    """Running averages over a service's workers; a first event's delay is fitted as base + tokens x rate.

    What waits behind other schedulers' requests is late for no fault of the speed, so late ones count less.
    """

    def __init__(self) -> None:
        self.token_read_s = TOKEN_READ_S
        self.token_write_s = TOKEN_WRITE_S
        self.base_s = 0.0
        self.request_s = REQUEST_S
        self._samples = 0

    @property
    def settled(self) -> bool:
        """Whether enough has been seen to compare workers by."""
        return self._samples >= ENOUGH

    def learn_first_event(self, tokens: int, delay_s: float) -> None:
        """A first event came so long after the send, with so many prompt tokens read before it."""
        self._samples += 1
        x = tokens / TOKENS_SCALE
        expected = self.base_s + tokens * self.token_read_s
        error = min(delay_s, OUTLIER * max(expected, self.base_s + TOKEN_WRITE_S)) - expected
        weight = LEARN * (LATE_WEIGHT if error > 0 else 1.0)
        step = weight * error / (1 + x * x)
        self.base_s = max(0.0, self.base_s + step)
        rate = self.token_read_s + step * x / TOKENS_SCALE
        self.token_read_s = min(READ_MOST_S, max(READ_LEAST_S, rate))

    def learn_output(self, tokens: int, duration_s: float) -> None:
        """So many output tokens took so long."""
        if tokens > 0 and duration_s > 0:
            sample = min(duration_s / tokens, OUTLIER * self.token_write_s)
            self.token_write_s += LEARN * (sample - self.token_write_s)

    def learn_request(self, duration_s: float) -> None:
        """The first byte of an answer came so long after the send."""
        self._samples += 1
        weight = max(LEARN, 1 / self._samples)
        self.request_s += weight * (min(duration_s, OUTLIER * self.request_s) - self.request_s)
