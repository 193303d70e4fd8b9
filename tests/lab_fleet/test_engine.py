"""The engine model and its prefix cache, step by step."""

from __future__ import annotations

from msgspec import structs

from reedspoke.lab.fleet_emulator.engine import EngineModel, EngineProfile, GenerationJob
from reedspoke.lab.fleet_emulator.prefix_cache import PrefixCache, PromptPart

PROFILE = EngineProfile(capacity=2, queue=1, kv_tokens=1000, chunk_tokens=100, prefill_tokens_per_s=1000)
SHARED = PromptPart("a1", 150)


def job(own: str = "b1", output: int = 3, priority: int = 5, own_tokens: int = 50) -> GenerationJob:
    chain = (SHARED, PromptPart(own, own_tokens))
    return GenerationJob("m", chain, SHARED.tokens + own_tokens, output, priority)


def test_prompt_is_read_in_pieces_and_then_each_step_gives_a_token() -> None:
    model = EngineModel(PROFILE)
    first = job(output=3)
    model.submit(first)
    assert [len(model.step().advanced) for _ in range(4)] == [0, 1, 1, 1]
    assert first.finished
    assert not model.busy


def test_a_step_takes_longer_with_more_running_and_with_prompts() -> None:
    model = EngineModel(PROFILE)
    model.submit(job("b1", output=9))
    alone = model.step().duration_s
    assert alone == PROFILE.step_s + PROFILE.step_per_running_s + 100 / PROFILE.prefill_tokens_per_s
    model.submit(job("b2", output=9))
    for _ in range(3):
        model.step()
    assert model.step().duration_s == PROFILE.step_s + 2 * PROFILE.step_per_running_s


def test_kept_parts_are_not_read_again() -> None:
    model = EngineModel(PROFILE)
    model.submit(job("b1", output=1))
    while model.busy:
        model.step()
    assert model.prefilled_tokens == 200
    model.submit(job("b2", output=1))
    model.submit(job("b1", output=1))
    while model.busy:
        model.step()
    assert model.prefilled_tokens == 200 + 50


def test_a_part_behind_one_that_is_missing_is_read_again() -> None:
    cache = PrefixCache()
    later = PromptPart("b1", 50)
    cache.pin("m", (later,))
    assert cache.kept_tokens("m", (SHARED, later)) == 0
    assert cache.missing_tokens("m", (SHARED, later)) == SHARED.tokens


def test_parts_of_another_model_are_not_shared() -> None:
    cache = PrefixCache()
    cache.pin("m", (SHARED,))
    assert cache.kept_tokens("n", (SHARED,)) == 0


def test_the_longest_unused_part_is_evicted_and_a_used_one_never() -> None:
    cache = PrefixCache()
    parts = [PromptPart(name, 100) for name in ("a", "b", "c")]
    for part in parts:
        cache.pin("m", (part,))
    for part in parts[:2]:
        cache.unpin("m", (part,))
    assert cache.evict(50) == 100
    assert [cache.kept_tokens("m", (part,)) for part in parts] == [0, 100, 100]
    assert cache.evict(1000) == 100
    assert cache.kept_tokens("m", (parts[2],)) == 100
    assert (cache.tokens, cache.pinned_tokens) == (100, 100)


def test_full_when_slots_and_queue_are_taken() -> None:
    model = EngineModel(PROFILE)
    assert [model.submit(job(f"b{number}")) for number in range(4)] == [True, True, True, False]


def test_a_job_larger_than_the_memory_is_refused() -> None:
    assert not EngineModel(PROFILE).submit(job(own_tokens=PROFILE.kv_tokens))


def test_the_more_urgent_preempts_the_newest_of_the_least_urgent() -> None:
    model = EngineModel(PROFILE)
    jobs = [job("b1", 50), job("b2", 50), job("b3", 5, priority=0)]
    for each in jobs:
        model.submit(each)
        model.step()
    assert model.running == [jobs[0], jobs[2]]
    assert model.waiting == [jobs[1]]
    assert model.preemptions == 1


def test_memory_that_runs_out_preempts_and_all_jobs_still_end() -> None:
    model = EngineModel(structs.replace(PROFILE, kv_tokens=500))
    jobs = [job("b1", 200), job("b2", 200)]
    for each in jobs:
        model.submit(each)
    for _ in range(1000):
        model.step()
    assert model.preemptions > 0
    assert all(each.finished for each in jobs)
    assert model.used_tokens == 0


def test_started_is_told_once_also_for_a_preempted_job() -> None:
    model = EngineModel(PROFILE)
    jobs = [job("b1", 40), job("b2", 40), job("b3", 5, priority=0)]
    started: list[GenerationJob] = []
    for each in jobs:
        model.submit(each)
        started += model.step().started
    while model.busy:
        started += model.step().started
    assert started == [jobs[0], jobs[1], jobs[2]]


def test_a_job_that_is_removed_gives_its_place_and_memory_back() -> None:
    model = EngineModel(PROFILE)
    waiting, running = job("b2"), job("b1")
    model.submit(running)
    model.step()
    model.submit(waiting)
    model.remove(running)
    model.remove(waiting)
    assert not model.busy
    assert model.used_tokens == 0


def test_a_resumed_job_gives_only_what_is_missing() -> None:
    model = EngineModel(PROFILE)
    resumed = job(output=10)
    resumed.produced = 8
    model.submit(resumed)
    tokens = 0
    while model.busy:
        tokens += len(model.step().advanced)
    assert tokens == 2
