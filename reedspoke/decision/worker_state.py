"""The state of one worker: our own requests, the load of other schedulers, its speed, capacity and health.

"Our" requests are those of this scheduler. A position is a worker's capacity for one request at a time.
"""

from __future__ import annotations

import math

from msgspec import Struct, field

from reedspoke.decision.health_score import HealthScore
from reedspoke.decision.messages import Cause, Engine, Load, Outcome, WorkerEntry
from reedspoke.decision.prefix_cache import PrefixCache
from reedspoke.decision.suspicion import Suspicion

CAP_DECREASE_FACTOR = 0.7  # Factor on the cap after a late first event or a "full" answer.
CAP_INCREASE = 0.5  # Positions added to the cap by a timely first event while the cap is fully used.
LATE_SHARE = 0.5  # Share of the latency target after which a first event is late.
# Late first events lower the cap to no less than this share of the positions, as those of long prompts are
# late at any load.
MIN_LATE_CAP_SHARE = 0.125
MIN_CAP = 1.0  # Positions. A worker keeps at least one, however much load others place on it.
FULL_BACKOFF_S = 0.05  # Backoff after a "full" answer, in which some of the worker's requests end.
INITIAL_BACKOFF_S = 0.1  # Backoff after a failed connection or a time-out; doubles with each further one.
MAX_BACKOFF_S = 3.0  # Maximum backoff after failures.
EWMA_WEIGHT = 0.2  # Weight of a new sample in moving averages.
MIN_TRUSTED_HEALTH = 0.75  # Minimum health score for requests that must not be repeated.
MIN_CONCURRENT_HEALTH = 0.5  # Minimum health score for more than one request at a time.
EXCESS_HALF_LIFE_S = 0.5  # Half-life of the average excess delay.
MIN_PACE, MAX_PACE = 0.3, 4.0  # Bounds of a worker's pace, a ratio of times.
MIN_PACE_SAMPLE_S = 0.005  # A first event that was expected sooner shows nothing about the pace.
MAX_SAMPLE_RATIO = (
    3.0  # Limits the effect of an outlier: a sample counts as at most this multiple of the expected time.
)


class RunningAttempt(Struct, eq=False):
    """One of our attempts on a worker."""

    sent_at: float
    prefill_tokens: int  # Prompt tokens that the worker is expected to prefill.
    memory_tokens: int  # Prompt and output tokens of the attempt in the worker's KV memory.
    expected_s: float  # The expected time from the send to the first event.
    late_after_s: float  # A first event after this time is late.
    first_event_at: float = 0.0  # When the first event arrived; 0 if none has.
    added: tuple[int, ...] = ()  # Prompt parts that this attempt added to the estimate of the prefix cache.


class WorkerState(Struct, eq=False):
    """A worker on the fleet's list."""

    entry: WorkerEntry
    cache: PrefixCache
    cap: float  # Learned limit of positions for our requests.
    kv_tokens: int  # Size of its KV memory in tokens; 0 without an engine.
    running: dict[int, RunningAttempt] = field(default_factory=dict)  # Our attempts, by job id.
    pending_prefill_tokens: int = 0  # Prefill tokens of our attempts without a first event.
    memory_tokens: int = 0  # Tokens of our attempts in KV memory.
    others: Load = Load()  # The load that other schedulers have placed on it.
    backoff_until: float = 0.0
    consecutive_failures: int = 0  # Failed connections and time-outs since the last data.
    health: HealthScore = field(default_factory=HealthScore)
    pace: float = 1.0  # Actual over expected time to its first events; above 1, it is slow.
    excess_s: float = 0.0  # Average delay of first events beyond their expected time, at `excess_at`.
    excess_at: float = 0.0
    cap_lowered_at: float = 0.0  # When the cap was last lowered.
    replaced: bool = False  # Whether another instance answers at its address.
    suspicion: Suspicion = field(default_factory=Suspicion)

    @staticmethod
    def of(entry: WorkerEntry, engine: Engine | None) -> WorkerState:
        """The initial state of a worker."""
        kv_tokens = engine.kv_tokens if engine else 0
        return WorkerState(entry, PrefixCache(kv_tokens), float(max(1, entry.capacity)), kv_tokens)

    def set_engine(self, engine: Engine | None) -> None:
        """Apply a changed configuration of the engine."""
        self.kv_tokens = engine.kv_tokens if engine else 0
        self.cache.set_limit(self.kv_tokens)

    @property
    def usable(self) -> bool:
        """Whether new requests may be sent to the worker at all."""
        return not (self.entry.draining or self.replaced)

    @property
    def own_requests(self) -> int:
        """The number of our requests on the worker."""
        return len(self.running)

    @property
    def known_requests(self) -> int:
        """The number of all known requests on the worker."""
        return len(self.running) + self.others.requests

    def is_backoff_over(self, now: float) -> bool:
        """Whether the worker is not in backoff."""
        return now >= self.backoff_until

    def free_positions(self) -> int:
        """The known free positions, limited by our cap and by the load of other schedulers."""
        return min(int(self.cap) - self.own_requests, self.entry.capacity - self.known_requests)

    def memory_fits(self, tokens: int) -> bool:
        """Whether this many tokens fit into its KV memory; an idle worker accepts any number."""
        if not self.kv_tokens or not self.known_requests:
            return True
        return self.memory_tokens + self.others.tokens + tokens <= self.kv_tokens

    def load_share(self) -> float:
        """The occupied share of its positions or of its KV memory, whichever is larger."""
        positions = self.known_requests / max(1, self.entry.capacity)
        memory = self.memory_share() if self.kv_tokens else 0.0
        return min(1.0, max(positions, memory))

    def memory_share(self) -> float:
        """The share of its KV memory that is known to be used by requests."""
        return (self.memory_tokens + self.others.tokens) / max(1, self.kv_tokens)

    def trusted(self, repeatable: bool, now: float) -> bool:
        """Whether its health score allows a request. At a low score, repeatable ones go one at a time."""
        health = self.health.value_at(now)
        if health >= MIN_TRUSTED_HEALTH:
            return True
        return repeatable and (health >= MIN_CONCURRENT_HEALTH or not self.running)

    def excess(self, now: float) -> float:
        """The delay beyond the expected time that a first event is likely to have now."""
        return self.excess_s * math.exp2(-max(0.0, now - self.excess_at) / EXCESS_HALF_LIFE_S)

    def start(self, job_id: int, attempt: RunningAttempt) -> None:
        """Record that a request is sent to the worker."""
        self.running[job_id] = attempt
        self.pending_prefill_tokens += attempt.prefill_tokens
        self.memory_tokens += attempt.memory_tokens

    def first_event(self, job_id: int, now: float, learn_pace: bool = True) -> RunningAttempt | None:
        """Record the first event of a request; None if it is not the first or not ours.

        `learn_pace` is False while the service has too few samples for its expected times to be meaningful.
        """
        attempt = self.running.get(job_id)
        if attempt is None or attempt.first_event_at:
            return None
        attempt.first_event_at = now
        self.pending_prefill_tokens -= attempt.prefill_tokens
        self.reset_failures()
        self._record_delay(attempt, now, learn_pace)
        return attempt

    def end(self, job_id: int) -> RunningAttempt | None:
        """Remove a request that has ended; None if it is unknown."""
        attempt = self.running.pop(job_id, None)
        if attempt is None:
            return None
        self.memory_tokens -= attempt.memory_tokens
        if not attempt.first_event_at:
            self.pending_prefill_tokens -= attempt.prefill_tokens
        return attempt

    def reset_failures(self) -> None:
        """Reset the failure count, as data arrived from the worker."""
        self.consecutive_failures = 0

    def record_attempt_end(self, outcome: Outcome, cause: Cause, sent_at: float, now: float) -> None:
        """Update cap, backoff, health and suspicion with the end of an attempt."""
        self.suspicion.record_attempt_end(outcome, cause, now)
        if cause is Cause.FULL:
            self._record_full(sent_at, now)
        elif cause is Cause.WRONG_INSTANCE:
            self.replaced = True
        elif cause in (Cause.CONNECT_FAILED, Cause.TIMED_OUT):
            self._back_off(now)
        if cause in (Cause.TIMED_OUT, Cause.RESET, Cause.BAD_ANSWER):
            self._record_failure(now)
        elif outcome is Outcome.OK:
            self.reset_failures()
            self.health.record_success(now)

    def _record_failure(self, now: float) -> None:
        """Lower the health score, and back off if it is low.

        A worker that fails requests at once always has free positions, so it would attract the most requests.
        """
        self.health.record_failure(now)
        health = self.health.value_at(now)
        if health < MIN_TRUSTED_HEALTH:
            backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S / health)
            self.backoff_until = max(self.backoff_until, now + backoff_s)

    def _lower_cap(self, sent_at: float, now: float, min_cap: float = MIN_CAP) -> None:
        """Lower the cap, but only once for all the requests that were sent before it was last lowered."""
        if sent_at >= self.cap_lowered_at:
            self.cap = min(self.cap, max(min_cap, min(self.cap, self.own_requests + 1) * CAP_DECREASE_FACTOR))
            self.cap_lowered_at = now

    def _record_full(self, sent_at: float, now: float) -> None:
        self.reset_failures()
        self._lower_cap(sent_at, now)
        self.backoff_until = max(self.backoff_until, now + FULL_BACKOFF_S)

    def _back_off(self, now: float) -> None:
        backoff_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2**self.consecutive_failures)
        self.consecutive_failures += 1
        self.backoff_until = max(self.backoff_until, now + backoff_s)

    def _record_delay(self, attempt: RunningAttempt, now: float, learn_pace: bool) -> None:
        delay, expected = now - attempt.sent_at, attempt.expected_s
        excess = max(0.0, delay - expected)
        self.excess_s = self.excess(now) * (1 - EWMA_WEIGHT) + excess * EWMA_WEIGHT
        self.excess_at = now
        if delay > attempt.late_after_s:
            self._lower_cap(attempt.sent_at, now, max(MIN_CAP, MIN_LATE_CAP_SHARE * self.entry.capacity))
        elif self.own_requests >= int(self.cap):
            self.cap = min(self.cap + CAP_INCREASE, float(max(1, self.entry.capacity)))
        if learn_pace and expected >= MIN_PACE_SAMPLE_S:
            # The expected time already contains the present pace.
            sample = min(delay / expected, MAX_SAMPLE_RATIO) * self.pace
            self.pace += EWMA_WEIGHT / 2 * (min(MAX_PACE, max(MIN_PACE, sample)) - self.pace)
