"""Estimates of the workers' prefix caches, and the preference order of workers for a shared prefix.

Workers do not report what they have cached, so the estimate is made from this scheduler's own requests. A
prompt part is reused only if all parts before it are cached too, for the same model, so each part is
identified by a hash of the chain up to it. The least recently used parts are evicted, and the memory of the
worker bounds the estimate.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from hashlib import blake2b

from reedspoke.decision.messages import PromptPart

HASH_RANGE = 2.0**64
MAX_ENTRIES = 4096  # Maximum parts per worker, which bounds this process's own memory.


class PrefixCache:
    """The prompt parts that one worker has probably cached, least recently used first."""

    def __init__(self, kv_tokens: int, entries: int = MAX_ENTRIES) -> None:
        self._limit = kv_tokens
        self._entries = entries
        self._kept: OrderedDict[int, int] = OrderedDict()  # Tokens of each part, by its hash in the chain.
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """The number of tokens that are estimated to be cached."""
        return self._tokens

    def cached_tokens(self, chain: Sequence[int], parts: Sequence[PromptPart]) -> int:
        """The prompt tokens that need no prefill. `chain` is the `chain_of` the model and parts."""
        tokens = 0
        for link, part in zip(chain, parts, strict=True):
            if link not in self._kept:
                break
            tokens += part.tokens
        return tokens

    def record(self, chain: Sequence[int], parts: Sequence[PromptPart]) -> tuple[int, ...]:
        """Record that a prompt was sent: its parts become the most recently used. Returns the new ones."""
        added = tuple(link for link in chain if link not in self._kept)
        for link, part in zip(chain, parts, strict=True):
            if link not in self._kept:
                self._kept[link] = part.tokens
                self._tokens += part.tokens
        for link in reversed(chain):  # A part must be evicted after the parts that depend on it.
            if link in self._kept:
                self._kept.move_to_end(link)
        self._evict()
        return added

    def drop(self, links: Iterable[int]) -> None:
        """Remove parts that were not prefilled after all."""
        for link in links:
            self._tokens -= self._kept.pop(link, 0)

    def _evict(self) -> None:
        while self._kept and (self._tokens > self._limit or len(self._kept) > self._entries):
            self._tokens -= self._kept.popitem(last=False)[1]

    def set_limit(self, kv_tokens: int) -> None:
        """Set the size of the worker's memory."""
        self._limit = kv_tokens
        self._evict()


def chain_of(model: str, parts: Iterable[PromptPart]) -> tuple[int, ...]:
    """For each part, a hash over the model, all parts before it and the part itself."""
    links: list[int] = []
    link = hash(model)
    for part in parts:
        link = hash((link, part.id, part.tokens))
        links.append(link)
    return tuple(links)


def rendezvous(workers: Iterable[tuple[str, float]], key: str) -> list[str]:
    """The worker ids in the order of weighted rendezvous hashing for a key; `workers` are (id, weight) pairs.

    All schedulers that know the same workers get the same order, and adding or removing a worker moves only
    its own keys.
    """
    scored = [(-rendezvous_score(worker_id, weight, key), worker_id) for worker_id, weight in workers]
    return [worker_id for _, worker_id in sorted(scored)]


def rendezvous_score(worker_id: str, weight: float, key: str) -> float:
    """The rendezvous hashing score of a worker for a key; the same in every process."""
    digest = blake2b(f"{len(key)}:{key}{worker_id}".encode(), digest_size=8).digest()
    point = (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
    return weight / -math.log(point) if point < 1 else math.inf
