"""Speed estimates for a service: prefill time per token, decode time per token, time per plain request."""

from __future__ import annotations

# Estimates before the first sample.
INITIAL_PREFILL_S_PER_TOKEN = 25e-6
INITIAL_DECODE_S_PER_TOKEN = 5e-3
INITIAL_REQUEST_S = 0.05  # From sending a plain request to the first byte of its answer.
EWMA_WEIGHT = 0.05  # Weight of a new sample.
LATE_SAMPLE_FACTOR = 0.25  # Scales the weight of a first event that arrived later than expected.
MIN_SAMPLES = 20  # Samples needed before workers are compared with each other.
MAX_SAMPLE_RATIO = 3.0  # A sample is clipped to this multiple of the expected value.
TOKENS_SCALE = 1000.0  # Keeps both coefficients of the fit at a similar magnitude.
MIN_PREFILL_S_PER_TOKEN, MAX_PREFILL_S_PER_TOKEN = 1e-6, 1e-3


class EngineSpeed:
    """Moving averages over a service's workers. The delay of a first event is fitted as base + tokens x rate.

    A first event may also be late because the request queued behind those of other schedulers, which says
    nothing about the speed. So late samples get less weight.
    """

    def __init__(self) -> None:
        self.prefill_s_per_token = INITIAL_PREFILL_S_PER_TOKEN
        self.decode_s_per_token = INITIAL_DECODE_S_PER_TOKEN
        self.base_s = 0.0
        self.request_s = INITIAL_REQUEST_S
        self._samples = 0

    @property
    def has_enough_samples(self) -> bool:
        """Whether there are enough samples to compare workers with each other."""
        return self._samples >= MIN_SAMPLES

    def record_first_event(self, tokens: int, delay_s: float) -> None:
        """Record the delay of a first event since the send, and the prompt tokens prefilled before it."""
        self._samples += 1
        x = tokens / TOKENS_SCALE
        expected = self.base_s + tokens * self.prefill_s_per_token
        error = (
            min(delay_s, MAX_SAMPLE_RATIO * max(expected, self.base_s + INITIAL_DECODE_S_PER_TOKEN))
            - expected
        )
        weight = EWMA_WEIGHT * (LATE_SAMPLE_FACTOR if error > 0 else 1.0)
        step = weight * error / (1 + x * x)
        self.base_s = max(0.0, self.base_s + step)
        rate = self.prefill_s_per_token + step * x / TOKENS_SCALE
        self.prefill_s_per_token = min(MAX_PREFILL_S_PER_TOKEN, max(MIN_PREFILL_S_PER_TOKEN, rate))

    def record_output(self, tokens: int, duration_s: float) -> None:
        """Record the time that a number of output tokens took."""
        if tokens > 0 and duration_s > 0:
            sample = min(duration_s / tokens, MAX_SAMPLE_RATIO * self.decode_s_per_token)
            self.decode_s_per_token += EWMA_WEIGHT * (sample - self.decode_s_per_token)

    def record_request_duration(self, duration_s: float) -> None:
        """Record the delay of the first byte of an answer since the send."""
        self._samples += 1
        weight = max(EWMA_WEIGHT, 1 / self._samples)
        self.request_s += weight * (min(duration_s, MAX_SAMPLE_RATIO * self.request_s) - self.request_s)
