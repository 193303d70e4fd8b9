"""What is known of one worker: our own requests there, what others hold, its speed, room and health."""

from __future__ import annotations

import math

from msgspec import Struct, field

from reedspoke.decision.messages import Cause, Engine, Load, Outcome, WorkerEntry
from reedspoke.decision.prefix_cache import PrefixCache
from reedspoke.decision.soundness import Soundness
from reedspoke.decision.suspicion import Suspicion

CAP_CUT = 0.7  # what a late first event or a 'full' answer leaves of a cap
CAP_GAIN = 0.5  # positions that a prompt first event at a full cap adds
LATE_PART = 0.5  # of the aim: a first event that comes after it is late
LATE_FLOOR = 0.125  # share of the positions that late first events leave: long prompts are late, too
CAP_LEAST = 1.0  # positions: each worker keeps one, however full others keep it
FULL_REST_S = 0.05  # after 'full': some requests end in that time
REST_FIRST_S = 0.1  # after a failed connection or silence, doubled with each further one
REST_MOST_S = 3.0
LEARN = 0.2  # weight of a new sample in running averages
TRUST = 0.75  # least soundness for a request that must not be repeated
TRIAL = 0.5  # least soundness for more than one request at once
EXCESS_HALF_S = 0.5  # half-life of a first event's delay beyond its expectation
PACE_LEAST, PACE_MOST = 0.3, 4.0  # bounds of a worker's pace
PACE_SAMPLE_S = 0.005  # an expectation below it says nothing of the pace
OUTLIER = 3.0  # a sample counts at most as this multiple of what was expected


class Running(Struct, eq=False):
    """Our attempt at a worker."""

    sent: float
    unread_tokens: int  # prompt tokens that it is expected to read
    kept_tokens: int  # prompt and output tokens that it keeps in its memory
    expected_s: float  # to the first event
    late_s: float  # a first event after this time is late
    first_event: float = 0.0  # 0: none yet
    added: tuple[int, ...] = ()  # parts that the worker was not taken to keep before


class WorkerState(Struct, eq=False):
    """A worker that is on the fleet's list."""

    entry: WorkerEntry
    cache: PrefixCache
    cap: float  # positions that our requests may take, learned
    kv_tokens: int  # 0: no engine
    running: dict[int, Running] = field(default_factory=dict)  # our attempts, by job
    pending_tokens: int = 0  # of our attempts without a first event, still to be read
    kept_tokens: int = 0  # of our attempts
    others: Load = Load()
    rest_until: float = 0.0
    silent: int = 0  # failed connections and silences since the last sign of life
    sound: Soundness = field(default_factory=Soundness)
    pace: float = 1.0  # its time to a first event against the usual one's
    excess_s: float = 0.0  # delay of first events beyond their expectation, at `excess_at`
    excess_at: float = 0.0
    cut_at: float = 0.0  # when the cap was lowered last
    gone: bool = False  # another one answers at its address
    suspicion: Suspicion = field(default_factory=Suspicion)

    @staticmethod
    def of(entry: WorkerEntry, engine: Engine | None) -> WorkerState:
        """A worker of which nothing is known but its entry."""
        kv_tokens = engine.kv_tokens if engine else 0
        return WorkerState(entry, PrefixCache(kv_tokens), float(max(1, entry.capacity)), kv_tokens)

    def set_engine(self, engine: Engine | None) -> None:
        """The configuration tells of another engine."""
        self.kv_tokens = engine.kv_tokens if engine else 0
        self.cache.set_limit(self.kv_tokens)

    @property
    def usable(self) -> bool:
        """Whether new requests may go there at all."""
        return not (self.entry.draining or self.gone)

    @property
    def used(self) -> int:
        """Our requests there."""
        return len(self.running)

    @property
    def taken(self) -> int:
        """All requests known there."""
        return len(self.running) + self.others.requests

    def rested(self, now: float) -> bool:
        """Whether no failure keeps us from sending there."""
        return now >= self.rest_until

    def room(self) -> int:
        """Free positions, as far as is known; our own cap and what others hold both bound it."""
        return min(int(self.cap) - self.used, self.entry.capacity - self.taken)

    def memory_fits(self, tokens: int) -> bool:
        """Whether running requests leave so many tokens of its memory; an idle worker takes any."""
        if not self.kv_tokens or not self.taken:
            return True
        return self.kept_tokens + self.others.tokens + tokens <= self.kv_tokens

    def taken_share(self) -> float:
        """The part of its positions, or of its memory where that is more, that is known to be taken."""
        positions = self.taken / max(1, self.entry.capacity)
        memory = self.memory_share() if self.kv_tokens else 0.0
        return min(1.0, max(positions, memory))

    def memory_share(self) -> float:
        """The part of its memory that running requests are known to keep."""
        return (self.kept_tokens + self.others.tokens) / max(1, self.kv_tokens)

    def trusted(self, repeatable: bool, now: float) -> bool:
        """Whether its last answers let a request go there; repeatable ones try it out one at a time."""
        sound = self.sound.at(now)
        if sound >= TRUST:
            return True
        return repeatable and (sound >= TRIAL or not self.running)

    def excess(self, now: float) -> float:
        """Seconds beyond the expectation that a first event is likely to take now."""
        return self.excess_s * math.exp2(-max(0.0, now - self.excess_at) / EXCESS_HALF_S)

    def start(self, job_id: int, attempt: Running) -> None:
        """A request is sent there."""
        self.running[job_id] = attempt
        self.pending_tokens += attempt.unread_tokens
        self.kept_tokens += attempt.kept_tokens

    def first_event(self, job_id: int, now: float, learn_pace: bool = True) -> Running | None:
        """Its first event came; None where it is not the first or not ours. While little is known of the
        service, an expectation says nothing of this worker's pace."""
        attempt = self.running.get(job_id)
        if attempt is None or attempt.first_event:
            return None
        attempt.first_event = now
        self.pending_tokens -= attempt.unread_tokens
        self.heard()
        self._learn_delay(attempt, now, learn_pace)
        return attempt

    def end(self, job_id: int) -> Running | None:
        """A request is there no more."""
        attempt = self.running.pop(job_id, None)
        if attempt is None:
            return None
        self.kept_tokens -= attempt.kept_tokens
        if not attempt.first_event:
            self.pending_tokens -= attempt.unread_tokens
        return attempt

    def heard(self) -> None:
        """A sign of life."""
        self.silent = 0

    def judge(self, outcome: Outcome, cause: Cause, sent: float, now: float) -> None:
        """Learn from the end of an attempt that was sent then."""
        self.suspicion.judge(outcome, cause, now)
        if cause is Cause.FULL:
            self._full(sent, now)
        elif cause is Cause.WRONG_INSTANCE:
            self.gone = True
        elif cause in (Cause.CONNECT_FAILED, Cause.TIMED_OUT):
            self._let_be(now)
        if cause in (Cause.TIMED_OUT, Cause.RESET, Cause.BAD_ANSWER):
            self._unsound(now)
        elif outcome is Outcome.OK:
            self.heard()
            self.sound.whole(now)

    def _unsound(self, now: float) -> None:
        """Guards requests against a worker that fails them at once: always free, it would draw the most."""
        self.sound.failed(now)
        sound = self.sound.at(now)
        if sound < TRUST:
            rest = min(REST_MOST_S, REST_FIRST_S / sound)
            self.rest_until = max(self.rest_until, now + rest)

    def _cut(self, sent: float, now: float, least: float = CAP_LEAST) -> None:
        """Lower the cap, once for all the requests sent before the last cut."""
        if sent >= self.cut_at:
            self.cap = min(self.cap, max(least, min(self.cap, self.used + 1) * CAP_CUT))
            self.cut_at = now

    def _full(self, sent: float, now: float) -> None:
        self.heard()
        self._cut(sent, now)
        self.rest_until = max(self.rest_until, now + FULL_REST_S)

    def _let_be(self, now: float) -> None:
        rest = min(REST_MOST_S, REST_FIRST_S * 2**self.silent)
        self.silent += 1
        self.rest_until = max(self.rest_until, now + rest)

    def _learn_delay(self, attempt: Running, now: float, learn_pace: bool) -> None:
        delay, expected = now - attempt.sent, attempt.expected_s
        excess = max(0.0, delay - expected)
        self.excess_s = self.excess(now) * (1 - LEARN) + excess * LEARN
        self.excess_at = now
        if delay > attempt.late_s:
            self._cut(attempt.sent, now, max(CAP_LEAST, LATE_FLOOR * self.entry.capacity))
        elif self.used >= int(self.cap):
            self.cap = min(self.cap + CAP_GAIN, float(max(1, self.entry.capacity)))
        if learn_pace and expected >= PACE_SAMPLE_S:
            sample = min(delay / expected, OUTLIER) * self.pace
            self.pace += LEARN / 2 * (min(PACE_MOST, max(PACE_LEAST, sample)) - self.pace)
