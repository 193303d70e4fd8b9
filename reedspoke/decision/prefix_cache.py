"""What workers are likely to keep of prompts, as far as this scheduler's own requests tell, and which worker
all schedulers prefer for a shared prefix.

No worker says what it keeps. A part is reused only if every part before it is kept as well, for the same
model; parts unused the longest give way. So a part is named by the chain of ids up to it, and each worker has
an estimate of what it keeps, bounded by its memory.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from hashlib import blake2b

from reedspoke.decision.messages import PromptPart

HASH_RANGE = 2.0**64
ENTRIES = 4096  # parts remembered of a worker at most, whatever its memory: bounds ours


class PrefixCache:
    """The parts that one worker keeps by our estimate, the one unused the longest first."""

    def __init__(self, kv_tokens: int, entries: int = ENTRIES) -> None:
        self._limit = kv_tokens
        self._entries = entries
        self._kept: OrderedDict[int, int] = OrderedDict()  # tokens of a part, by its link of the chain
        self._tokens = 0

    @property
    def tokens(self) -> int:
        """Tokens kept by this estimate."""
        return self._tokens

    def cached_tokens(self, chain: Sequence[int], parts: Sequence[PromptPart]) -> int:
        """Tokens of a prompt that need not be read again. `chain` is `chain_of` its model and parts."""
        tokens = 0
        for link, part in zip(chain, parts, strict=True):
            if link not in self._kept:
                break
            tokens += part.tokens
        return tokens

    def record(self, chain: Sequence[int], parts: Sequence[PromptPart]) -> tuple[int, ...]:
        """A prompt was sent: its parts are kept from now on, as the latest used. Returns the new ones."""
        added = tuple(link for link in chain if link not in self._kept)
        for link, part in zip(chain, parts, strict=True):
            if link not in self._kept:
                self._kept[link] = part.tokens
                self._tokens += part.tokens
        for link in reversed(chain):  # a part outlives those that need it
            if link in self._kept:
                self._kept.move_to_end(link)
        self._make_room()
        return added

    def drop(self, links: Iterable[int]) -> None:
        """These parts were not read after all."""
        for link in links:
            self._tokens -= self._kept.pop(link, 0)

    def _make_room(self) -> None:
        while self._kept and (self._tokens > self._limit or len(self._kept) > self._entries):
            self._tokens -= self._kept.popitem(last=False)[1]

    def set_limit(self, kv_tokens: int) -> None:
        """The worker's memory is of this size."""
        self._limit = kv_tokens
        self._make_room()


def chain_of(model: str, parts: Iterable[PromptPart]) -> tuple[int, ...]:
    """For each part the hash that names it together with the model and every part before it."""
    links: list[int] = []
    link = hash(model)
    for part in parts:
        link = hash((link, part.id, part.tokens))
        links.append(link)
    return tuple(links)


def rendezvous(workers: Iterable[tuple[str, float]], key: str) -> list[str]:
    """Worker ids, each given with its weight, in the order in which a key prefers them.

    Weighted rendezvous hashing: everyone who knows the same workers gets the same order, and a worker that
    comes or goes moves only its own keys.
    """
    scored = [(-score(worker_id, weight, key), worker_id) for worker_id, weight in workers]
    return [worker_id for _, worker_id in sorted(scored)]


def score(worker_id: str, weight: float, key: str) -> float:
    """The rendezvous score of a worker for a key; the same in every process."""
    digest = blake2b(f"{len(key)}:{key}{worker_id}".encode(), digest_size=8).digest()
    point = (int.from_bytes(digest, "big") + 0.5) / HASH_RANGE
    return weight / -math.log(point) if point < 1 else math.inf
