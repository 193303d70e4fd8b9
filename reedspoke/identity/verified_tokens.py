"""Tokens that have been verified, by digest, so that a token that comes again costs a look-up. Pure; no
clock.

Bounded and expiring. What is cached is a digest and the claims, never the token. Tokens that were rejected
are not cached, so a flood of them evicts nothing. Times are microseconds of Unix time.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from reedspoke.identity.token import Claims

MAX_CACHED_TOKENS = 4096
SHORT_DIGEST_LENGTH = 12


def token_digest(token: str) -> bytes:
    """SHA-256 of any text."""
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()


def short_digest(token: str) -> str:
    """For a log: enough to find it again, too little to use it."""
    return token_digest(token).hex()[:SHORT_DIGEST_LENGTH]


class VerifiedTokenCache:
    """The claims of tokens that were verified; the one used longest ago is evicted first."""

    def __init__(self, max_tokens: int = MAX_CACHED_TOKENS) -> None:
        self.max_tokens = max_tokens
        self._cached: OrderedDict[bytes, tuple[Claims, int]] = OrderedDict()  # claims, and until when
        self.hits = self.misses = 0

    def __len__(self) -> int:
        return len(self._cached)

    def find(self, token: str, now: int) -> Claims | None:
        """The claims; None where the token must be verified (again)."""
        key = token_digest(token)
        cached = self._cached.get(key)
        if cached is not None and now < cached[1]:
            self._cached.move_to_end(key)
            self.hits += 1
            return cached[0]
        if cached is not None:
            del self._cached[key]
        self.misses += 1
        return None

    def add(self, token: str, claims: Claims, until: int) -> None:
        """`until`: the earliest of the token's expiry and its key's end, with the skew."""
        key = token_digest(token)
        self._cached[key] = (claims, until)
        self._cached.move_to_end(key)
        while len(self._cached) > self.max_tokens:
            self._cached.popitem(last=False)

    def claims(self) -> list[Claims]:
        """Of all tokens in the cache."""
        return [claims for claims, _ in self._cached.values()]

    def remove_signed_by(self, kids: frozenset[str]) -> int:
        """Keys have been withdrawn or have changed; how many tokens were removed."""
        removed = [key for key, (claims, _) in self._cached.items() if claims.kid in kids]
        for key in removed:
            del self._cached[key]
        return len(removed)
