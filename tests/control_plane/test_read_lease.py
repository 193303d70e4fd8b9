"""Read leases: the views that a voter may accept after a grant, and the time for which a tail holds it."""

from __future__ import annotations

from reedspoke.control_plane.replication.settings import (
    GRANT_BACKOFF_S,
    READ_LEASE_MARGIN_S,
    READ_LEASE_TTL_S,
)
from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.read_lease import ReadLeaseHolder, ReadLeaseVoter

A, B, C, D = (Member(folder_id=name, address=f"at-{name}") for name in "abcd")


def _view(number: int, chain: list[Member], voters: tuple[Member, ...] = (A, B, C)) -> View:
    return View(number, voters, tuple(ChainLink(member, 1) for member in chain))


PRESENT = _view(1, [A, B, C])
SAME_TAIL = _view(2, [B, C])
OTHER_TAIL = _view(2, [A, B])
OTHER_VOTERS = _view(2, [A, B, C], (A, C, D))


def _voter_without_grants() -> ReadLeaseVoter:
    return ReadLeaseVoter(now=0.0)


def test_a_restarted_voter_waits_for_the_length_of_a_lease() -> None:
    voter = ReadLeaseVoter(now=10.0)
    assert not voter.may_accept(PRESENT, OTHER_TAIL, None, 10.0 + READ_LEASE_TTL_S - 0.01)
    assert not voter.may_accept(PRESENT, OTHER_TAIL, 99.0, 10.0 + READ_LEASE_TTL_S - 0.01)
    assert voter.may_accept(PRESENT, OTHER_TAIL, None, 10.0 + READ_LEASE_TTL_S)


def test_a_grant_prevents_views_with_another_tail_or_other_voters() -> None:
    voter = _voter_without_grants()
    voter.grant(requested_at=20.0, now=20.1)
    end = 20.1 + READ_LEASE_TTL_S
    for proposed in (OTHER_TAIL, OTHER_VOTERS):
        assert not voter.may_accept(PRESENT, proposed, None, end - 0.01)
        assert voter.may_accept(PRESENT, proposed, None, end)
    assert voter.may_accept(PRESENT, SAME_TAIL, None, 20.2)


def test_a_release_counts_for_what_was_requested_before_it() -> None:
    voter = _voter_without_grants()
    voter.grant(requested_at=20.0, now=20.1)
    assert voter.may_accept(PRESENT, OTHER_TAIL, 20.0, 20.2)
    assert not voter.may_accept(PRESENT, OTHER_TAIL, 19.9, 20.2)


def test_a_deferred_view_pauses_grants_until_the_next_view() -> None:
    voter = _voter_without_grants()
    voter.grant(requested_at=20.0, now=20.0)
    assert not voter.may_accept(PRESENT, OTHER_TAIL, None, 20.1)
    assert not voter.may_grant(20.1 + GRANT_BACKOFF_S - 0.01)
    assert voter.may_grant(20.1 + GRANT_BACKOFF_S)
    voter.enter_view(PRESENT, OTHER_TAIL)
    assert voter.may_grant(20.2)


def test_a_tail_needs_a_majority_and_counts_from_when_it_requested() -> None:
    tail = ReadLeaseHolder()
    tail.record_grant("a", 20.0)
    assert not tail.is_held((A, B, C), 20.0)
    tail.record_grant("b", 20.1)
    assert tail.is_held((A, B, C), 20.0 + READ_LEASE_TTL_S - READ_LEASE_MARGIN_S - 0.01)
    assert not tail.is_held((A, B, C), 20.0 + READ_LEASE_TTL_S - READ_LEASE_MARGIN_S)
    assert not tail.is_held((A, B, C, D), 20.1)


def test_a_late_grant_does_not_shorten_the_lease() -> None:
    tail = ReadLeaseHolder()
    for folder_id in ("a", "b"):
        tail.record_grant(folder_id, 20.0)
        tail.record_grant(folder_id, 19.0)
    assert tail.is_held((A, B, C), 20.5)


def test_a_tail_that_released_its_lease_ignores_earlier_requests() -> None:
    tail = ReadLeaseHolder()
    tail.record_grant("a", 20.0)
    tail.record_grant("b", 20.0)
    tail.release(20.1)
    assert not tail.is_held((A, B, C), 20.1)
    tail.record_grant("a", 20.05)
    tail.record_grant("b", 20.05)
    assert not tail.is_held((A, B, C), 20.2)
    assert not tail.may_request(20.2)
    assert tail.may_request(20.1 + GRANT_BACKOFF_S)
