"""Guards of the list duty's lease, one at a time, at a granter and at one that asks."""

from __future__ import annotations

import pytest

from reedspoke.control_plane.peers.messages import LeaseAnswer, LeaseRequest
from reedspoke.control_plane.workers.duty_lease import LEASE_S, MARGIN_S, DutyLease, Granter, Outgoing

OWN, OTHER, THIRD, FOURTH, STRANGER = "at-a", "at-b", "at-c", "at-d", "at-z"
VOTERS = (OWN, OTHER, THIRD)
START = 100.0


def _granter() -> Granter:
    return Granter(silent_until=START)


def test_a_granter_that_has_just_started_grants_nothing() -> None:
    granter = Granter(silent_until=START + LEASE_S)
    answer = granter.request(OTHER, 1, START)
    assert not answer.granted
    assert answer.retry_after_s == pytest.approx(LEASE_S)
    assert granter.request(OTHER, 1, START + LEASE_S).granted


def test_terms_at_a_granter_only_rise() -> None:
    granter = _granter()
    assert granter.request(OTHER, 5, START).granted
    later = START + LEASE_S
    assert not granter.request(THIRD, 4, later).granted
    assert granter.request(THIRD, 6, later).granted


def test_a_term_has_one_holder() -> None:
    granter = _granter()
    assert granter.request(OTHER, 5, START).granted
    assert not granter.request(THIRD, 5, START + LEASE_S).granted


def test_a_late_release_does_not_end_a_newer_grant() -> None:
    granter = _granter()
    granter.request(OTHER, 5, START)
    granter.request(OTHER, 6, START)
    assert not granter.release(OTHER, 5)
    assert not granter.request(THIRD, 7, START).granted
    assert granter.release(OTHER, 6)
    assert granter.request(THIRD, 7, START).granted


class Asker:
    """One that asks for the lease; its own grant has come, those of the others are the test's."""

    def __init__(self, voters: tuple[str, ...] = VOTERS) -> None:
        self.lease = DutyLease(OWN, START, fresh_fleet=True)
        self.lease.set_voters(voters)
        (self.term,) = {message.message.term for message in self.ask(START)}

    def ask(self, now: float) -> list[Outgoing]:
        """Its requests to the other voters."""
        asked = self.lease.tick(now)
        assert all(isinstance(message.message, LeaseRequest) for message in asked)
        return asked

    def grant(self, sender: str, term: int | None = None, now: float = START) -> None:
        """A grant of another voter."""
        granted = self.term if term is None else term
        self.lease.received(sender, LeaseAnswer(granted, True, granted), now)


def test_a_grant_of_an_earlier_term_does_not_count() -> None:
    asker = Asker()
    asker.grant(OTHER, asker.term - 1)
    assert not asker.lease.holds(START)
    asker.grant(OTHER)
    assert asker.lease.holds(START)


def test_a_grant_of_who_does_not_vote_does_not_count() -> None:
    asker = Asker()
    asker.grant(STRANGER)
    assert not asker.lease.holds(START)


def test_half_of_the_voters_grant_nothing() -> None:
    asker = Asker((*VOTERS, FOURTH))
    asker.grant(OTHER)
    assert not asker.lease.holds(START)
    asker.grant(THIRD)
    assert asker.lease.holds(START)


def test_a_holder_counts_from_its_request_and_stops_before_its_granters() -> None:
    asker = Asker()
    asker.grant(OTHER, now=START + MARGIN_S)
    assert asker.lease.holds(START + LEASE_S - MARGIN_S - 0.001)
    assert not asker.lease.holds(START + LEASE_S - MARGIN_S)


def test_grants_of_two_views_are_not_added_up() -> None:
    asker = Asker((*VOTERS, FOURTH))
    asker.grant(OTHER)
    asker.lease.set_voters((*VOTERS, STRANGER))
    asker.grant(THIRD)
    assert not asker.lease.holds(START)


def test_a_holder_that_gave_up_holds_nothing() -> None:
    asker = Asker()
    asker.grant(OTHER)
    asker.lease.give_up(START)
    assert not asker.lease.holds(START)
