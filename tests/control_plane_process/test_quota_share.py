"""Tests of the shares that control plane nodes have of quotas, across changes of the view."""

from __future__ import annotations

import pytest

from reedspoke.control_plane.quota.share import (
    OWNERS_PER_TENANT,
    SHARE_LEASE_MARGIN_S,
    SHARE_LEASE_TTL_S,
    QuotaShare,
    tenant_owners,
)

TENANT = "t"
ALL = frozenset("abcd")
USABLE_LEASE_S = SHARE_LEASE_TTL_S - SHARE_LEASE_MARGIN_S


def quota_share(own: str = "a", voters: frozenset[str] = ALL) -> QuotaShare:
    """Build the shares of a process with these voters in force since time 0."""
    share = QuotaShare(own, tolerated=1, started_at=0.0)
    share.set_voters(voters, 0.0)
    return share


def test_voters_share_a_quota_evenly() -> None:
    assert quota_share().share(TENANT, 100.0, 100.0) == 0.25


def test_a_newly_started_process_allows_for_unknown_owners() -> None:
    assert quota_share().share(TENANT, 1.0, 1.0) == 0.2
    assert quota_share().share(TENANT, SHARE_LEASE_TTL_S, SHARE_LEASE_TTL_S) == 0.25


@pytest.mark.parametrize(
    ("age_s", "share"),
    [(0.0, 0.25), (USABLE_LEASE_S - 0.01, 0.25), (USABLE_LEASE_S + 0.01, 0.0), (99.0, 0.0)],
)
def test_the_lease_expires_without_a_majority(age_s: float, share: float) -> None:
    assert quota_share().share(TENANT, 200.0, 200.0 - age_s) == share


def test_no_share_without_contact_or_a_view() -> None:
    assert quota_share().share(TENANT, 200.0, None) == 0.0
    assert QuotaShare("a", 1, 0.0).share(TENANT, 200.0, 200.0) == 0.0


def test_the_share_of_a_removed_voter_is_taken_over_after_its_lease() -> None:
    share = quota_share()
    share.set_voters(frozenset("abc"), 100.0)
    assert share.share(TENANT, 100.0 + SHARE_LEASE_TTL_S - 0.1, 105.0) == 0.25
    assert share.share(TENANT, 100.0 + SHARE_LEASE_TTL_S, 106.0) == pytest.approx(1 / 3)


def test_a_new_voter_waits_until_all_others_know_its_view() -> None:
    share = quota_share("d", frozenset("abc"))
    share.set_voters(ALL, 100.0)
    assert share.share(TENANT, 100.0 + SHARE_LEASE_TTL_S - 0.1, 105.0) == 0.0
    assert share.share(TENANT, 100.0 + SHARE_LEASE_TTL_S, 106.0) == 0.25


def test_a_removed_voter_has_no_share() -> None:
    share = quota_share()
    share.set_voters(frozenset("bcd"), 100.0)
    assert share.share(TENANT, 100.1, 100.1) == 0.0


def test_a_larger_view_applies_immediately() -> None:
    share = quota_share("a", frozenset("abc"))
    share.set_voters(ALL, 100.0)
    assert share.share(TENANT, 100.0, 100.0) == 0.25


MANY = frozenset(f"c{number}" for number in range(9))


def test_only_a_few_of_many_voters_own_a_quota() -> None:
    shares = {}
    for own in MANY:
        shares[own] = quota_share(own, MANY).share(TENANT, 100.0, 100.0)
    assert (
        sorted(shares.values())
        == [0.0] * (len(MANY) - OWNERS_PER_TENANT) + [1 / OWNERS_PER_TENANT] * OWNERS_PER_TENANT
    )
    assert {own for own, owned in shares.items() if owned} == tenant_owners(TENANT, MANY)


def test_owners_are_distributed_over_the_tenants() -> None:
    owned = [tenant_owners(f"t{number}", MANY) for number in range(200)]
    counts = [sum(own in owners for owners in owned) for own in MANY]
    assert min(counts) > 0.5 * max(counts)


def test_a_new_owner_waits_for_the_lease_of_the_previous_one() -> None:
    gone = min(tenant_owners(TENANT, MANY))
    left = MANY - {gone}
    (new,) = tenant_owners(TENANT, left) - tenant_owners(TENANT, MANY)
    share = quota_share(new, MANY)
    share.set_voters(left, 100.0)
    assert share.share(TENANT, 100.0 + SHARE_LEASE_TTL_S - 0.1, 102.0) == 0.0
    assert share.share(TENANT, 100.0 + SHARE_LEASE_TTL_S, 102.0) == 1 / OWNERS_PER_TENANT


def test_every_node_knows_the_other_owners() -> None:
    owners = tenant_owners(TENANT, MANY)
    (other,) = sorted(MANY - owners)[:1]
    assert set(quota_share(other, MANY).other_owners(TENANT)) == owners
    first = min(owners)
    assert set(quota_share(first, MANY).other_owners(TENANT)) == owners - {first}
    assert QuotaShare("a", 1, 0.0).other_owners(TENANT) == ()
