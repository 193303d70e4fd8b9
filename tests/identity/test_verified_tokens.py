"""The cache of verified tokens."""

from __future__ import annotations

from reedspoke.identity.token import Claims
from reedspoke.identity.verified_tokens import VerifiedTokenCache, short_digest
from tests.identity.test_callers import NOW


def test_verified_tokens_are_bounded_expire_and_are_forgotten_with_their_key() -> None:
    cache = VerifiedTokenCache(3)
    claims = [Claims("i", "s", kid, NOW) for kid in ("k1", "k2")]
    for at in range(5):
        cache.add(f"t{at}", claims[at % 2], NOW + at)
    assert len(cache) == 3
    assert cache.find("t0", NOW - 1) is None
    assert cache.find("t4", NOW + 3) is claims[0]
    assert cache.find("t4", NOW + 4) is None, "its time is over"
    assert cache.remove_signed_by(frozenset({"k1"})) == 1
    assert [cache.find(f"t{at}", NOW) for at in range(5)] == [None, None, None, claims[1], None]
    assert len(short_digest("secret")) == 12
    assert "secret" not in short_digest("secret")
