"""The shares of control schedulers in quotas, over changes of the view."""

from __future__ import annotations

import pytest

from reedspoke.control_plane.quota.share import LEASE_MARGIN_S, LEASE_S, OWNERS, QuotaShare, owners_of

TENANT = "t"
ALL = frozenset("abcd")
LEAST_S = LEASE_S - LEASE_MARGIN_S


def settled(own: str = "a", voters: frozenset[str] = ALL) -> QuotaShare:
    made = QuotaShare(own, tolerated=1, started=0.0)
    made.voters_known(voters, 0.0)
    return made


def test_voters_share_evenly() -> None:
    assert settled().share(TENANT, 100.0, 100.0) == 0.25


def test_a_fresh_process_counts_voters_that_it_may_not_know() -> None:
    assert settled().share(TENANT, 1.0, 1.0) == 0.2
    assert settled().share(TENANT, LEASE_S, LEASE_S) == 0.25


@pytest.mark.parametrize(
    ("age_s", "share"), [(0.0, 0.25), (LEAST_S - 0.01, 0.25), (LEAST_S + 0.01, 0.0), (99.0, 0.0)]
)
def test_without_a_majority_the_lease_ends(age_s: float, share: float) -> None:
    assert settled().share(TENANT, 200.0, 200.0 - age_s) == share


def test_without_any_contact_or_view_there_is_none() -> None:
    assert settled().share(TENANT, 200.0, None) == 0.0
    assert QuotaShare("a", 1, 0.0).share(TENANT, 200.0, 200.0) == 0.0


def test_the_share_of_one_that_left_is_taken_over_after_its_lease() -> None:
    made = settled()
    made.voters_known(frozenset("abc"), 100.0)
    assert made.share(TENANT, 100.0 + LEASE_S - 0.1, 105.0) == 0.25
    assert made.share(TENANT, 100.0 + LEASE_S, 106.0) == pytest.approx(1 / 3)


def test_a_new_voter_waits_until_all_others_know_of_it() -> None:
    made = settled("d", frozenset("abc"))
    made.voters_known(ALL, 100.0)
    assert made.share(TENANT, 100.0 + LEASE_S - 0.1, 105.0) == 0.0
    assert made.share(TENANT, 100.0 + LEASE_S, 106.0) == 0.25


def test_one_that_left_has_none() -> None:
    made = settled()
    made.voters_known(frozenset("bcd"), 100.0)
    assert made.share(TENANT, 100.1, 100.1) == 0.0


def test_a_larger_view_counts_at_once() -> None:
    made = settled("a", frozenset("abc"))
    made.voters_known(ALL, 100.0)
    assert made.share(TENANT, 100.0, 100.0) == 0.25


MANY = frozenset(f"c{number}" for number in range(9))


def test_of_many_voters_a_few_own_a_tenant_s_quota() -> None:
    shares = {}
    for own in MANY:
        shares[own] = settled(own, MANY).share(TENANT, 100.0, 100.0)
    assert sorted(shares.values()) == [0.0] * (len(MANY) - OWNERS) + [1 / OWNERS] * OWNERS
    assert {own for own, share in shares.items() if share} == owners_of(TENANT, MANY)


def test_other_tenants_have_other_owners() -> None:
    owned = [owners_of(f"t{number}", MANY) for number in range(200)]
    counts = [sum(own in owners for owners in owned) for own in MANY]
    assert min(counts) > 0.5 * max(counts)


def test_a_new_owner_waits_until_the_one_before_it_has_stopped() -> None:
    gone = min(owners_of(TENANT, MANY))
    left = MANY - {gone}
    (new,) = owners_of(TENANT, left) - owners_of(TENANT, MANY)
    made = settled(new, MANY)
    made.voters_known(left, 100.0)
    assert made.share(TENANT, 100.0 + LEASE_S - 0.1, 102.0) == 0.0
    assert made.share(TENANT, 100.0 + LEASE_S, 102.0) == 1 / OWNERS


def test_who_owns_nothing_knows_who_does() -> None:
    owners = owners_of(TENANT, MANY)
    (other,) = sorted(MANY - owners)[:1]
    assert set(settled(other, MANY).other_owners(TENANT)) == owners
    first = min(owners)
    assert set(settled(first, MANY).other_owners(TENANT)) == owners - {first}
    assert QuotaShare("a", 1, 0.0).other_owners(TENANT) == ()
