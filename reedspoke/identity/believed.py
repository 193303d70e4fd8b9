"""Tokens that have been verified, by digest, so that a token that comes again costs a look-up. Bounded and
expiring.

No I/O and no clock of its own. What is kept is a digest and the claims, never the token. Times are us of
Unix time.
"""

from __future__ import annotations

import hashlib
from collections import OrderedDict

from reedspoke.identity.token import Claims

MOST = 4096


def digest(token: str) -> bytes:
    return hashlib.sha256(token.encode("utf-8", "surrogatepass")).digest()


def short(token: str) -> str:
    """For a log: enough to find it again, too little to use it."""
    return digest(token).hex()[:12]


class Believed:
    def __init__(self, most: int = MOST) -> None:
        self.most = most
        self._kept: OrderedDict[bytes, tuple[Claims, int]] = OrderedDict()
        self.hits = self.misses = 0

    def __len__(self) -> int:
        return len(self._kept)

    def find(self, token: str, now: int) -> Claims | None:
        """None where it must be verified (again)."""
        key = digest(token)
        kept = self._kept.get(key)
        if kept is not None and now < kept[1]:
            self._kept.move_to_end(key)
            self.hits += 1
            return kept[0]
        if kept is not None:
            del self._kept[key]
        self.misses += 1
        return None

    def keep(self, token: str, claims: Claims, until: int) -> None:
        """`until`: the earliest of its expiry and its key's end, with the skew. The one used longest ago goes
        for it where the table is full; tokens that are not believed are never kept, so a flood of them moves
        nothing."""
        self._kept[digest(token)] = (claims, until)
        self._kept.move_to_end(digest(token))
        while len(self._kept) > self.most:
            self._kept.popitem(last=False)

    def claims(self) -> list[Claims]:
        return [claims for claims, _ in self._kept.values()]

    def forget(self, kids: frozenset[str]) -> int:
        """Keys have been withdrawn or have changed; how many tokens were forgotten."""
        gone = [key for key, (claims, _) in self._kept.items() if claims.kid in kids]
        for key in gone:
            del self._kept[key]
        return len(gone)
