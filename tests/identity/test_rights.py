"""Rights and bounds of callers, and the table of believed tokens."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.identity.believed import Believed, short
from reedspoke.identity.rights import SECOND, Caller, DeniedError, Rights
from reedspoke.identity.token import Claims

NOW = 1_800_000_000 * SECOND
STEINER = Caller("steiner", frozenset({"moebel-steiner"}), names=frozenset({"gw.steiner.example"}))
GATEWAY = Caller(
    "gateway", frozenset({"alpenhaus", "tirol-rad"}), frozenset({("https://portal", "gw")}),
    classes=frozenset({"balance-view"}),
)  # fmt: skip


def denied(call: object, *words: object) -> str:
    with pytest.raises(DeniedError) as error:
        call(*words)  # type: ignore[operator]
    return error.value.reason


def test_who_calls() -> None:
    rights = Rights([STEINER, GATEWAY])
    assert rights.of_token("https://portal", "gw") is GATEWAY
    assert rights.of_certificate(["other.example", "GW.steiner.example"]) is STEINER
    assert denied(rights.of_token, "https://other", "gw") == "unknown_subject"
    assert denied(rights.of_certificate, ["other.example"]) == "unknown_certificate"
    assert rights.both(GATEWAY, None) is GATEWAY
    assert rights.both(GATEWAY, GATEWAY, "abc", "abc") is GATEWAY
    assert denied(rights.both, GATEWAY, STEINER) == "disagree"
    assert denied(rights.both, GATEWAY, None, "abc", "") == "binding"
    assert denied(rights.both, GATEWAY, GATEWAY, "abc", "abd") == "binding"
    assert denied(rights.both, None, None) == "nobody"


def test_a_certificate_of_one_partner_books_for_no_other() -> None:
    rights = Rights([STEINER, GATEWAY])
    assert rights.tenant(STEINER, "moebel-steiner", "loan-booking") == "moebel-steiner"
    assert rights.tenant(STEINER, "", "loan-booking") == "moebel-steiner"
    assert denied(rights.tenant, STEINER, "alpenhaus", "loan-booking") == "tenant"
    assert rights.tenant(GATEWAY, "tirol-rad", "balance-view") == "tirol-rad"
    assert denied(rights.tenant, GATEWAY, "", "balance-view") == "tenant_missing"
    assert denied(rights.tenant, GATEWAY, "tirol-rad", "loan-booking") == "class"


def test_rights_change_between_two_requests_and_a_bad_change_changes_nothing() -> None:
    rights = Rights([STEINER, GATEWAY])
    rights.take(GATEWAY, NOW)
    rights.change([STEINER])
    assert denied(rights.tenant, GATEWAY, "tirol-rad", "balance-view") == "gone"
    assert rights.open("gateway") == 1, "what it holds is counted still"
    rights.give("gateway")
    assert rights.open("gateway") == 0
    for bad in (
        [STEINER, STEINER],
        [STEINER, Caller("other", frozenset({"x"}), names=frozenset({"gw.steiner.example"}))],
        [GATEWAY, Caller("other", frozenset({"x"}), frozenset({("https://portal", "gw")}))],
    ):
        with pytest.raises(ValueError, match="twice|two callers"):
            rights.change(bad)
    assert rights.of_certificate(["gw.steiner.example"]) is STEINER


def test_bounds_on_rate_and_open_jobs() -> None:
    bound = Caller("bound", frozenset({"x"}), rate=2.0, burst=3.0, most_open=4)
    rights = Rights([bound])
    for _ in range(3):
        rights.take(bound, NOW)
    with pytest.raises(DeniedError) as error:
        rights.take(bound, NOW)
    assert (error.value.reason, error.value.status) == ("rate", 429)
    assert 0 < error.value.after <= SECOND // 2 + 1
    rights.take(bound, NOW + error.value.after)
    assert denied(rights.take, bound, NOW + 9 * SECOND) == "open"
    rights.give("bound")
    rights.take(bound, NOW + 9 * SECOND)


@given(st.lists(st.tuples(st.booleans(), st.integers(0, 3 * SECOND)), max_size=60))
@settings(derandomize=True)
def test_no_more_than_the_rate_and_the_burst_is_ever_taken(steps: list[tuple[bool, int]]) -> None:
    bound = Caller("bound", frozenset({"x"}), rate=2.0, burst=3.0, most_open=5)
    rights, now, taken = Rights([bound]), NOW, 0
    for take, wait in steps:
        now += wait
        if take:
            try:
                rights.take(bound, now)
                taken += 1
            except DeniedError:
                pass
        else:
            rights.give("bound")
        assert 0 <= rights.open("bound") <= 5
    assert taken <= 3 + 2 * (now - NOW) / SECOND + 1e-6


def test_believed_tokens_are_bounded_expire_and_are_forgotten_with_their_key() -> None:
    kept = Believed(3)
    claims = [Claims("i", "s", kid, NOW) for kid in ("k1", "k2")]
    for at in range(5):
        kept.keep(f"t{at}", claims[at % 2], NOW + at)
    assert len(kept) == 3
    assert kept.find("t0", NOW - 1) is None
    assert kept.find("t4", NOW + 3) is claims[0]
    assert kept.find("t4", NOW + 4) is None, "its time is over"
    assert kept.forget(frozenset({"k1"})) == 1
    assert [kept.find(f"t{at}", NOW) for at in range(5)] == [None, None, None, claims[1], None]
    assert len(short("secret")) == 12
    assert "secret" not in short("secret")
