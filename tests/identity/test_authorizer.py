"""The authorizer: who comes in and as whose, withdrawn keys, and the audit lines."""

from __future__ import annotations

import pytest

from reedspoke.identity.authorizer import Authorizer, ClientCertificate
from reedspoke.identity.callers import CallerDeniedError, CallerRegistry
from reedspoke.identity.keys import KeySet, KeyValidity
from tests.identity.test_callers import GATEWAY, STEINER
from tests.identity.test_token import GOOD, NOW, POLICY, key, signed


def new_authorizer(validity: KeyValidity | None = None) -> Authorizer:
    return Authorizer(POLICY, CallerRegistry([STEINER, GATEWAY]), KeySet([key(validity=validity)]))


def denied(
    authorizer: Authorizer,
    authorization: list[bytes],
    certificate: ClientCertificate | None,
    tenant: str,
    cls: str,
    now: int = NOW,
) -> tuple[int, str]:
    with pytest.raises(CallerDeniedError) as error:
        authorizer.authorize(authorization, certificate, tenant, cls, now)
    return error.value.status, error.value.reason


TOKEN = [b"Bearer " + signed({**GOOD, "sub": "gw"}).encode()]
CERTIFICATE = ClientCertificate(("gw.steiner.example",), "print")


def test_who_comes_in_and_as_whose() -> None:
    authorizer = new_authorizer()
    assert authorizer.authorize(TOKEN, None, "alpenhaus", "balance-view", NOW).tenant == "alpenhaus"
    assert authorizer.authorize([], CERTIFICATE, "", "loan-booking", NOW).tenant == "moebel-steiner"
    assert denied(authorizer, [], CERTIFICATE, "alpenhaus", "loan-booking") == (403, "tenant")
    assert denied(authorizer, TOKEN, CERTIFICATE, "alpenhaus", "balance-view") == (403, "disagree")
    assert denied(authorizer, [], None, "alpenhaus", "balance-view") == (401, "nobody")
    assert denied(authorizer, [b"Basic YTpi"], None, "alpenhaus", "balance-view") == (401, "scheme")
    assert denied(authorizer, TOKEN * 2, None, "alpenhaus", "balance-view") == (401, "malformed")
    stranger = ClientCertificate(("other.example",), "print")
    assert authorizer.authorize(TOKEN, stranger, "alpenhaus", "balance-view", NOW).caller == "gateway"
    assert authorizer.counts["admitted"] == 3


def test_a_withdrawn_key_counts_at_once_though_its_tokens_were_verified() -> None:
    authorizer = new_authorizer()
    authorizer.authorize(TOKEN, None, "alpenhaus", "balance-view", NOW)
    assert len(authorizer.verified_tokens) == 1
    authorizer.update(POLICY, KeySet([key(validity=KeyValidity(leaked=True))]))
    assert denied(authorizer, TOKEN, None, "alpenhaus", "balance-view") == (401, "key_gone")
    authorizer.update(POLICY, KeySet([]))
    assert denied(authorizer, TOKEN, None, "alpenhaus", "balance-view") == (401, "unknown_kid")


def test_what_is_cached_ends_with_the_token_and_with_its_key() -> None:
    second = 1_000_000
    authorizer = new_authorizer(KeyValidity(0, NOW, NOW + 10 * second))
    authorizer.authorize(TOKEN, None, "alpenhaus", "balance-view", NOW)
    assert denied(authorizer, TOKEN, None, "alpenhaus", "balance-view", now=NOW + 40 * second) == (
        401,
        "key_gone",
    )
    authorizer = new_authorizer()
    authorizer.authorize(TOKEN, None, "alpenhaus", "balance-view", NOW)
    assert denied(authorizer, TOKEN, None, "alpenhaus", "balance-view", now=NOW + 90 * second) == (
        401,
        "expired",
    )


def test_audit_lines_are_few_and_hold_nothing_secret() -> None:
    authorizer = new_authorizer()
    for _ in range(1000):
        denied(authorizer, TOKEN, None, "evil\nname", "balance-view")
    denied(authorizer, TOKEN, None, "evil\nname", "balance-view", now=NOW + 11_000_000)
    assert len(authorizer.audit_lines) == 2
    assert "gateway rejected: tenant, requested tenant: evil?name" in authorizer.audit_lines[0]
    assert "999 more" in authorizer.audit_lines[1]
    assert TOKEN[0].decode()[7:] not in "".join(authorizer.audit_lines)
    assert authorizer.counts["tenant"] == 1001
    for at in range(3000):
        denied(authorizer, [b"Bearer made-up%d" % at], None, f"{at}", "balance-view")
    assert len(authorizer.verified_tokens) == 1
