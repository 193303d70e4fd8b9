"""Tests of single checks in the discovery lease, at a voter and at a requester."""

from __future__ import annotations

import pytest

from reedspoke.control_plane.peers.messages import DiscoveryLeaseRequest, DiscoveryLeaseResponse
from reedspoke.control_plane.workers.discovery_lease import LEASE_MARGIN_S, DiscoveryLease, OutgoingMessage
from reedspoke.control_plane.workers.lease_voter import LEASE_TTL_S, DiscoveryLeaseVoter

OWN, OTHER, THIRD, FOURTH, NON_VOTER = "at-a", "at-b", "at-c", "at-d", "at-z"
VOTERS = (OWN, OTHER, THIRD)
START = 100.0


def _voter() -> DiscoveryLeaseVoter:
    return DiscoveryLeaseVoter(no_grants_before=START)


def test_a_voter_grants_nothing_just_after_its_start() -> None:
    voter = DiscoveryLeaseVoter(no_grants_before=START + LEASE_TTL_S)
    answer = voter.request(OTHER, 1, START)
    assert not answer.granted
    assert answer.retry_after_s == pytest.approx(LEASE_TTL_S)
    assert voter.request(OTHER, 1, START + LEASE_TTL_S).granted


def test_terms_at_a_voter_only_rise() -> None:
    voter = _voter()
    assert voter.request(OTHER, 5, START).granted
    later = START + LEASE_TTL_S
    assert not voter.request(THIRD, 4, later).granted
    assert voter.request(THIRD, 6, later).granted


def test_a_term_has_one_holder() -> None:
    voter = _voter()
    assert voter.request(OTHER, 5, START).granted
    assert not voter.request(THIRD, 5, START + LEASE_TTL_S).granted


def test_a_delayed_release_does_not_end_a_newer_grant() -> None:
    voter = _voter()
    voter.request(OTHER, 5, START)
    voter.request(OTHER, 6, START)
    assert not voter.release(OTHER, 5)
    assert not voter.request(THIRD, 7, START).granted
    assert voter.release(OTHER, 6)
    assert voter.request(THIRD, 7, START).granted


class Requester:
    """A process that requests the lease. It has its own grant, and the test gives those of the others."""

    def __init__(self, voters: tuple[str, ...] = VOTERS) -> None:
        self.lease = DiscoveryLease(OWN, START, fresh_fleet=True)
        self.lease.set_voters(voters)
        (self.term,) = {message.message.term for message in self.request(START)}

    def request(self, now: float) -> list[OutgoingMessage]:
        """Return its requests to the other voters."""
        requests = self.lease.tick(now)
        assert all(isinstance(message.message, DiscoveryLeaseRequest) for message in requests)
        return requests

    def grant(self, sender: str, term: int | None = None, now: float = START) -> None:
        """Deliver a grant of another voter."""
        granted = self.term if term is None else term
        self.lease.handle_message(sender, DiscoveryLeaseResponse(granted, True, granted), now)


def test_a_grant_of_an_earlier_term_does_not_count() -> None:
    requester = Requester()
    requester.grant(OTHER, requester.term - 1)
    assert not requester.lease.is_held(START)
    requester.grant(OTHER)
    assert requester.lease.is_held(START)


def test_a_grant_of_a_non_voter_does_not_count() -> None:
    requester = Requester()
    requester.grant(NON_VOTER)
    assert not requester.lease.is_held(START)


def test_grants_of_half_of_the_voters_are_not_a_majority() -> None:
    requester = Requester((*VOTERS, FOURTH))
    requester.grant(OTHER)
    assert not requester.lease.is_held(START)
    requester.grant(THIRD)
    assert requester.lease.is_held(START)


def test_a_lease_is_measured_from_its_request_and_ends_before_the_grants() -> None:
    requester = Requester()
    requester.grant(OTHER, now=START + LEASE_MARGIN_S)
    assert requester.lease.is_held(START + LEASE_TTL_S - LEASE_MARGIN_S - 0.001)
    assert not requester.lease.is_held(START + LEASE_TTL_S - LEASE_MARGIN_S)


def test_grants_of_two_views_are_not_added_up() -> None:
    requester = Requester((*VOTERS, FOURTH))
    requester.grant(OTHER)
    requester.lease.set_voters((*VOTERS, NON_VOTER))
    requester.grant(THIRD)
    assert not requester.lease.is_held(START)


def test_a_holder_that_stepped_down_does_not_hold_the_lease() -> None:
    requester = Requester()
    requester.grant(OTHER)
    requester.lease.step_down(START)
    assert not requester.lease.is_held(START)
