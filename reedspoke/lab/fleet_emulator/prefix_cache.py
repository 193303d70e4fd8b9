"""Prompt parts that a worker keeps in the memory of its engine."""

from __future__ import annotations

from collections import OrderedDict

from msgspec import Struct

PartKey = tuple[str, str]  # model and part id


class PromptPart(Struct, frozen=True):
    """A piece of a prompt that other requests may share."""

    part_id: str
    tokens: int


class CachedPart(Struct):
    """A kept part; it cannot be evicted while requests that use it run."""

    tokens: int
    users: int = 0


class PrefixCache:
    """Parts by model and id, the least recently used first."""

    def __init__(self) -> None:
        self._parts: OrderedDict[PartKey, CachedPart] = OrderedDict()
        self.tokens = 0
        self.pinned_tokens = 0

    def kept_tokens(self, model: str, chain: tuple[PromptPart, ...]) -> int:
        """Tokens of the leading parts that are all kept: these are not prefilled again."""
        total = 0
        for part in chain:
            if (model, part.part_id) not in self._parts:
                break
            total += part.tokens
        return total

    def missing_tokens(self, model: str, chain: tuple[PromptPart, ...]) -> int:
        """Memory that keeping the whole chain would need beyond what is kept."""
        return sum(part.tokens for part in chain if (model, part.part_id) not in self._parts)

    def pin(self, model: str, chain: tuple[PromptPart, ...]) -> None:
        """Keep the chain until `unpin`. Its first parts count as used last, so that they outlive the rest."""
        for part in reversed(chain):
            key = model, part.part_id
            kept = self._parts.get(key)
            if kept is None:
                kept = self._parts[key] = CachedPart(part.tokens)
                self.tokens += part.tokens
            if kept.users == 0:
                self.pinned_tokens += kept.tokens
            kept.users += 1
            self._parts.move_to_end(key)

    def unpin(self, model: str, chain: tuple[PromptPart, ...]) -> None:
        """A request that used the chain has ended; its parts stay until they are evicted."""
        for part in reversed(chain):
            kept = self._parts[model, part.part_id]
            kept.users -= 1
            if kept.users == 0:
                self.pinned_tokens -= kept.tokens
            self._parts.move_to_end((model, part.part_id))

    def evict(self, wanted: int) -> int:
        """Give up parts that no request uses, the least recently used first; the tokens freed."""
        freed = 0
        for key in [key for key, part in self._parts.items() if part.users == 0]:
            if freed >= wanted:
                break
            freed += self._parts.pop(key).tokens
        self.tokens -= freed
        return freed
