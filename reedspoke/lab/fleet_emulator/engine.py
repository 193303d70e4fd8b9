"""Model of a batching inference engine, advanced step by step; it has no clock and no sockets.

In each step every running request whose prompt is read produces one token, and up to `chunk_tokens` of
prompts are read. A part of a prompt counts as kept as soon as a request that brings it is admitted: requests
that arrive while it is read profit a little early.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.lab.fleet_emulator.prefix_cache import PrefixCache, PromptPart

DEFAULT_PRIORITY = 5


class EngineProfile(Struct, frozen=True):
    """Size and speed of an engine."""

    capacity: int = 16
    queue: int = 32
    kv_tokens: int = 60_000
    step_s: float = 0.008
    step_per_running_s: float = 0.0002
    chunk_tokens: int = 2048
    prefill_tokens_per_s: float = 48_000
    stride: int = 4  # tokens in one event


DEFAULT_ENGINE = EngineProfile()


class GenerationJob(Struct, eq=False):
    """A request for tokens, and how far it has got."""

    model: str
    chain: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    priority: int = DEFAULT_PRIORITY
    produced: int = 0
    order: int = 0
    prefill_left: int = 0
    started: bool = False

    @property
    def private_tokens(self) -> int:
        """Memory beyond the shared parts: the rest of the prompt and what has been produced."""
        shared = sum(part.tokens for part in self.chain)
        return max(0, self.prompt_tokens - shared) + self.produced

    @property
    def finished(self) -> bool:
        return self.produced >= self.output_tokens


class Step(Struct, frozen=True):
    """What one step does, and how long it takes."""

    duration_s: float
    started: tuple[GenerationJob, ...]
    advanced: tuple[GenerationJob, ...]


class EngineModel:
    """The jobs of one worker."""

    def __init__(self, profile: EngineProfile) -> None:
        self.profile = profile
        self.cache = PrefixCache()
        self.waiting: list[GenerationJob] = []
        self.running: list[GenerationJob] = []
        self.prefilled_tokens = 0
        self.preemptions = 0
        self._orders = 0

    @property
    def busy(self) -> bool:
        return bool(self.waiting or self.running)

    @property
    def used_tokens(self) -> int:
        """Memory that cannot be freed without preempting a request."""
        return self.cache.pinned_tokens + sum(job.private_tokens for job in self.running)

    def submit(self, job: GenerationJob) -> bool:
        """Queue a job; False where the worker is full or the job can never fit."""
        places = self.profile.capacity + self.profile.queue
        total = job.prompt_tokens + job.output_tokens
        if len(self.waiting) + len(self.running) >= places or total > self.profile.kv_tokens:
            return False
        self._orders += 1
        job.order = self._orders
        self.waiting.append(job)
        return True

    def remove(self, job: GenerationJob) -> None:
        """Forget a job, whether it runs or waits."""
        if job in self.running:
            self._stop(job)
        elif job in self.waiting:
            self.waiting.remove(job)

    def step(self) -> Step:
        """Advance by one step."""
        started = self._admit()
        prefilled = self._prefill()
        ready = [job for job in self.running if job.prefill_left == 0]
        running = len(self.running)
        advanced = tuple(job for job in ready if self._produce(job))
        profile = self.profile
        duration = profile.step_s + profile.step_per_running_s * running
        return Step(duration + prefilled / profile.prefill_tokens_per_s, started, advanced)

    def _admit(self) -> tuple[GenerationJob, ...]:
        started = []
        self.waiting.sort(key=lambda job: (job.priority, job.order))
        while self.waiting and self._make_room(self.waiting[0]):
            job = self.waiting.pop(0)
            self._start(job)
            if not job.started:
                job.started = True
                started.append(job)
        return tuple(started)

    def _make_room(self, job: GenerationJob) -> bool:
        while len(self.running) >= self.profile.capacity or not self._fits(job):
            victim = self._preemptible(job.priority)
            if victim is None:
                return False
            self._preempt(victim)
        return True

    def _fits(self, job: GenerationJob) -> bool:
        wanted = self.cache.missing_tokens(job.model, job.chain) + job.private_tokens + 1
        return self._reserve(wanted)

    def _reserve(self, wanted: int) -> bool:
        private = sum(job.private_tokens for job in self.running)
        lacking = wanted - (self.profile.kv_tokens - self.cache.tokens - private)
        return lacking <= 0 or self.cache.evict(lacking) >= lacking

    def _start(self, job: GenerationJob) -> None:
        kept = self.cache.kept_tokens(job.model, job.chain)
        self.cache.pin(job.model, job.chain)
        job.prefill_left = max(0, job.prompt_tokens - kept) + job.produced
        self.running.append(job)

    def _stop(self, job: GenerationJob) -> None:
        self.running.remove(job)
        self.cache.unpin(job.model, job.chain)

    def _preemptible(self, priority: int) -> GenerationJob | None:
        """The newest among the least urgent jobs, where it is less urgent than `priority`."""
        candidates = [job for job in self.running if job.priority > priority]
        return max(candidates, key=lambda job: (job.priority, job.order), default=None)

    def _preempt(self, job: GenerationJob) -> None:
        self._stop(job)
        self.waiting.append(job)
        self.preemptions += 1

    def _prefill(self) -> int:
        left = self.profile.chunk_tokens
        for job in self.running:
            piece = min(left, job.prefill_left)
            job.prefill_left -= piece
            left -= piece
        prefilled = self.profile.chunk_tokens - left
        self.prefilled_tokens += prefilled
        return prefilled

    def _produce(self, job: GenerationJob) -> bool:
        """One more token; False where memory ran out and the job itself had to give way."""
        while job in self.running and not self._reserve(1):
            victim = max(self.running, key=lambda other: (other.priority, other.order))
            self._preempt(victim)
        if job not in self.running:
            return False
        job.produced += 1
        if job.finished:
            self._stop(job)
        return True
