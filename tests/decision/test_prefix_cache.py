"""The estimate of the workers' prefix caches, and the order of rendezvous hashing."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.decision.messages import PromptPart
from reedspoke.decision.prefix_cache import PrefixCache, chain_of, rendezvous, rendezvous_score

A, B, C = PromptPart("a", 100), PromptPart("b", 50), PromptPart("c", 30)


def cached(cache: PrefixCache, *parts: PromptPart, model: str = "m") -> int:
    """The cached tokens of a prompt with these parts."""
    return cache.cached_tokens(chain_of(model, parts), parts)


def record(cache: PrefixCache, *parts: PromptPart, model: str = "m") -> tuple[int, ...]:
    """Record a prompt with these parts."""
    return cache.record(chain_of(model, parts), parts)


def test_a_part_counts_only_behind_all_parts_before_it() -> None:
    cache = PrefixCache(1000)
    record(cache, A, B)
    assert cached(cache, A, B) == 150
    assert cached(cache, A, C) == 100
    assert cached(cache, B) == 0
    assert cached(cache, C, B) == 0
    assert cached(cache, B, A) == 0


def test_models_do_not_share_parts() -> None:
    cache = PrefixCache(1000)
    record(cache, A, B)
    assert cached(cache, A, B, model="n") == 0


def test_the_least_recently_used_part_is_evicted() -> None:
    cache = PrefixCache(200)
    record(cache, A)
    record(cache, B)
    record(cache, A)
    record(cache, PromptPart("d", 60))
    assert (cached(cache, A), cached(cache, B), cache.tokens) == (100, 0, 160)


def test_of_one_prompt_the_last_part_is_evicted_first() -> None:
    cache = PrefixCache(180)
    record(cache, A, B)
    record(cache, PromptPart("d", 40))
    assert cached(cache, A, B) == 100


def test_the_number_of_parts_is_bounded_whatever_the_memory() -> None:
    cache = PrefixCache(10**9, entries=3)
    for index in range(10):
        record(cache, PromptPart(str(index), 1))
    assert [cached(cache, PromptPart(str(index), 1)) for index in (6, 7, 9)] == [0, 1, 1]
    assert cache.tokens == 3


def test_only_new_parts_of_a_request_that_did_not_run_are_dropped() -> None:
    cache = PrefixCache(1000)
    record(cache, A)
    cache.drop(record(cache, A, B))
    assert cached(cache, A, B) == 100
    assert cache.tokens == 100


def test_a_part_does_not_count_after_an_earlier_part_was_dropped() -> None:
    cache = PrefixCache(1000)
    added = record(cache, A, B)
    record(cache, A, C)
    cache.drop(added)
    assert cached(cache, A, C) == 0


def test_a_lower_limit_evicts_parts() -> None:
    cache = PrefixCache(1000)
    record(cache, A, B)
    cache.set_limit(120)
    assert (cached(cache, A, B), cache.tokens) == (100, 100)


@given(
    st.lists(st.lists(st.sampled_from("abcdef"), min_size=1, max_size=4), max_size=40), st.integers(0, 500)
)
@settings(max_examples=60, deadline=None)
def test_the_estimate_stays_within_memory_and_its_count_is_right(
    prompts: list[list[str]], limit: int
) -> None:
    cache = PrefixCache(limit)
    for names in prompts:
        parts = tuple(PromptPart(name, 10 + ord(name)) for name in names)
        chain = chain_of("m", parts)
        added = cache.record(chain, parts)
        if len(names) % 3 == 0:
            cache.drop(added)
        assert 0 <= cache.cached_tokens(chain, parts) <= cache.tokens <= limit


WORKERS = [(f"w{index}", 64.0) for index in range(9)]
ORDER_OF_KEY0 = ["w8", "w6", "w1", "w2", "w3", "w0", "w5", "w4", "w7"]
KEYS = [f"key{index}" for index in range(3000)]


def test_the_order_does_not_depend_on_how_workers_are_listed() -> None:
    for key in KEYS[:50]:
        assert rendezvous(WORKERS, key) == rendezvous(reversed(WORKERS), key)


def test_the_order_is_the_same_in_every_process_and_version() -> None:
    assert rendezvous(WORKERS, "key0") == ORDER_OF_KEY0


def test_removing_a_worker_moves_only_its_own_keys() -> None:
    for key in KEYS[:300]:
        order = rendezvous(WORKERS, key)
        left = [worker for worker in WORKERS if worker[0] != "w3"]
        assert rendezvous(left, key) == [name for name in order if name != "w3"]


def test_keys_spread_by_weight() -> None:
    weighted = [("small", 32.0), ("large", 64.0), ("other", 64.0)]
    first = Counter(rendezvous(weighted, key)[0] for key in KEYS)
    assert first["small"] / len(KEYS) == pytest.approx(0.2, abs=0.03)
    assert first["large"] / len(KEYS) == pytest.approx(0.4, abs=0.03)


def test_keys_and_ids_are_delimited_in_the_hash() -> None:
    assert rendezvous_score("12", 1.0, "k") != rendezvous_score("2", 1.0, "k1")
