"""Guard conditions of the agreement on views and of read leases, one test each."""

from __future__ import annotations

import pytest

from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.log_records import NO_PROPOSAL
from reedspoke.control_plane.replication.messages import (
    AcceptRequest,
    AcceptResponse,
    Heartbeat,
    PrepareRequest,
    PrepareResponse,
    ProposalNumber,
    ProposalRejected,
    ReadLeaseReleased,
    ViewDecided,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.first_view import form_first_view
from reedspoke.control_plane.views.proposer import Proposer
from reedspoke.control_plane.views.read_lease import ReadLeaseHolder, ReadLeaseVoter
from tests.control_plane.test_view_agreement import MEMBERS, PRESENT, START, Voter

A, B, C = MEMBERS
NON_VOTER = Member(folder_id="z", address="at-z")
SAME_TAIL = View(2, MEMBERS, (ChainLink(B, 1), ChainLink(C, 1)))
OTHER_TAIL = View(2, MEMBERS, (ChainLink(A, 1), ChainLink(B, 1)))
LATER = 1e6


def _responses(voter: Voter) -> list[type]:
    return [type(effect.message) for effect in voter.step()]


# ---- the acceptor ----


def test_a_proposal_number_below_the_promised_one_is_not_accepted() -> None:
    voter = Voter(A)
    voter.agreement.receive("at-b", PrepareRequest(2, ProposalNumber(5, "b")))
    voter.agreement.receive("at-c", AcceptRequest(2, ProposalNumber(4, "c"), SAME_TAIL))
    assert _responses(voter) == [PrepareResponse, ProposalRejected]


def test_a_view_with_another_tail_is_not_accepted_while_a_lease_runs() -> None:
    voter = Voter(A)
    voter.agreement.read_lease_voter.grant(voter.outbox.now, voter.outbox.now)
    voter.agreement.receive("at-b", AcceptRequest(2, ProposalNumber(1, "b"), OTHER_TAIL))
    assert _responses(voter) == []
    voter.agreement.receive("at-b", AcceptRequest(2, ProposalNumber(1, "b"), SAME_TAIL))
    assert _responses(voter) == [AcceptResponse]


def test_a_duplicate_request_during_a_store_is_not_answered_before_the_store_ends() -> None:
    voter = Voter(A)
    voter.agreement.receive("at-b", PrepareRequest(2, ProposalNumber(1, "b")))
    voter.agreement.receive("at-b", PrepareRequest(2, ProposalNumber(1, "b")))
    assert not [effect for effect in voter.outbox.take_effects() if isinstance(effect, SendMessage)]


def test_a_voter_votes_only_on_the_next_view() -> None:
    voter = Voter(A)
    voter.agreement.receive("at-b", PrepareRequest(3, ProposalNumber(1, "b")))
    voter.agreement.receive("at-b", AcceptRequest(3, ProposalNumber(1, "b"), View(3, MEMBERS, PRESENT.chain)))
    assert _responses(voter) == []


def test_a_replica_that_is_no_voter_sends_no_response() -> None:
    non_voter = Voter(NON_VOTER)
    non_voter.agreement.receive("at-b", PrepareRequest(2, ProposalNumber(1, "b")))
    non_voter.agreement.receive("at-b", AcceptRequest(2, ProposalNumber(1, "b"), SAME_TAIL))
    assert _responses(non_voter) == []


def test_a_voter_that_has_learned_a_decided_view_sends_it_and_does_not_vote() -> None:
    voter = Voter(A)
    voter.agreement.learn(SAME_TAIL)
    voter.agreement.receive("at-b", PrepareRequest(2, ProposalNumber(1, "b")))
    assert _responses(voter) == [ViewDecided]


def test_a_view_whose_store_failed_does_not_take_effect() -> None:
    voter = Voter(A)
    voter.disk_works = False
    voter.agreement.learn(SAME_TAIL)
    voter.step()
    assert voter.entered == []
    assert voter.agreement.view == PRESENT


def test_the_first_view_has_only_folders_created_at_the_first_start() -> None:
    seeds = [Heartbeat(member, 0, (), True, 0, 0, bootstrap_seed=True) for member in (A, B)]
    other = Heartbeat(C, 0, (), True, 0, 0)
    view = form_first_view(tuple(member.address for member in MEMBERS), [*seeds, other], 2, 3)
    assert view is not None
    assert view.voters == (A, B)


@pytest.mark.parametrize(
    ("joiners", "target", "voters"),
    [(0, 5, 3), (1, 5, 3), (2, 5, 5), (4, 5, 5), (4, 7, 7), (4, 3, 3), (3, 7, 5)],
)
def test_other_replicas_of_the_first_start_vote_besides_the_seeds(
    joiners: int, target: int, voters: int
) -> None:
    """They vote up to the target and in odd number; a folder of an earlier start takes no part."""
    seeds = [Heartbeat(member, 0, (), True, 0, 0, bootstrap_seed=True) for member in MEMBERS]
    others = [Member(f"folder-{number}", f"other-{number}", "z") for number in range(joiners)]
    joiners_heartbeats = [Heartbeat(member, 0, (), True, 0, 0, bootstrap_joiner=True) for member in others]
    older = Heartbeat(Member("folder-old", "at-old", "z"), 0, (), True, 0, 0)
    view = form_first_view(
        tuple(member.address for member in MEMBERS), [older, *joiners_heartbeats, *seeds], 3, target
    )
    assert view is not None
    assert len(view.voters) == voters
    assert view.voters == tuple(link.member for link in view.chain)
    assert set(view.voters) <= {*MEMBERS, *others}


def test_two_seeds_and_another_replica_start_without_the_third_seed() -> None:
    seeds = [Heartbeat(member, 0, (), True, 0, 0, bootstrap_seed=True) for member in (A, B)]
    other = Heartbeat(Member("folder-1", "other-1", "z"), 0, (), True, 0, 0, bootstrap_joiner=True)
    view = form_first_view(tuple(member.address for member in MEMBERS), [*seeds, other], 2, 5)
    assert view is not None
    assert view.voters == (A, B, other.member)


# ---- the proposer ----


class RunningAttempt:
    """A proposer of SAME_TAIL to three acceptors, under its first proposal number."""

    def __init__(self) -> None:
        self.outbox = Outbox(A.address, START, 0)
        self.proposer = Proposer("a:1", self.outbox)
        self.proposer.start(SAME_TAIL, {member.folder_id: member.address for member in MEMBERS}, NO_PROPOSAL)

    @property
    def proposal_number(self) -> ProposalNumber:
        assert self.proposer.attempt is not None
        return self.proposer.attempt.proposal_number

    def receive_promise(self, member: Member, accepted: View | None = None, counter: int = 0) -> None:
        """Receive a promise, with the view that this acceptor has accepted under an earlier number."""
        before = ProposalNumber(counter, "c:1") if accepted else NO_PROPOSAL
        self.proposer.handle_prepare_response(
            PrepareResponse(member, 2, self.proposal_number, before, accepted)
        )

    def is_prepared(self) -> bool:
        """Whether it has begun phase 2."""
        assert self.proposer.attempt is not None
        return self.proposer.attempt.is_prepared

    def value(self) -> View:
        """The view that it proposes."""
        assert self.proposer.attempt is not None
        return self.proposer.attempt.value


def test_a_promise_of_a_replica_that_is_no_acceptor_does_not_count() -> None:
    attempt = RunningAttempt()
    attempt.receive_promise(A)
    attempt.receive_promise(NON_VOTER)
    assert not attempt.is_prepared()
    attempt.receive_promise(B)
    assert attempt.is_prepared()


def test_a_promise_for_an_earlier_proposal_does_not_count() -> None:
    attempt = RunningAttempt()
    attempt.receive_promise(A)
    attempt.proposer.handle_prepare_response(
        PrepareResponse(B, 2, ProposalNumber(0, "a:1"), NO_PROPOSAL, None)
    )
    assert not attempt.is_prepared()


def test_a_late_promise_does_not_change_the_value() -> None:
    attempt = RunningAttempt()
    attempt.receive_promise(A)
    attempt.receive_promise(B)
    attempt.receive_promise(C, accepted=OTHER_TAIL, counter=1)
    assert attempt.value() == SAME_TAIL


def test_the_value_accepted_under_the_largest_number_is_proposed_again() -> None:
    attempt = RunningAttempt()
    attempt.receive_promise(A, accepted=OTHER_TAIL, counter=2)
    attempt.receive_promise(C, accepted=SAME_TAIL, counter=1)
    assert attempt.value() == OTHER_TAIL


def test_an_acceptance_of_a_replica_that_is_no_acceptor_does_not_count() -> None:
    attempt = RunningAttempt()
    for member in (A, B):
        attempt.receive_promise(member)
    assert attempt.proposer.handle_accept_response(AcceptResponse(A, 2, attempt.proposal_number)) is None
    assert (
        attempt.proposer.handle_accept_response(AcceptResponse(NON_VOTER, 2, attempt.proposal_number)) is None
    )
    assert attempt.proposer.handle_accept_response(AcceptResponse(B, 2, attempt.proposal_number)) == SAME_TAIL


# ---- leases ----


def test_a_voter_grants_no_lease_that_conflicts_with_its_vote() -> None:
    voter = Voter(A)
    assert voter.agreement.may_grant_read_lease(PRESENT.number)
    voter.agreement.receive("at-b", AcceptRequest(2, ProposalNumber(1, "b"), OTHER_TAIL))
    voter.step()
    assert not voter.agreement.may_grant_read_lease(PRESENT.number)


@pytest.mark.parametrize("number", [PRESENT.number - 1, PRESENT.number + 1])
def test_a_voter_grants_no_lease_in_another_view(number: int) -> None:
    assert not Voter(A).agreement.may_grant_read_lease(number)


def test_a_replica_that_is_no_voter_grants_no_lease() -> None:
    assert not Voter(NON_VOTER).agreement.may_grant_read_lease(PRESENT.number)


def test_a_replica_that_is_no_voter_confirms_no_view() -> None:
    assert Voter(A).agreement.may_confirm_view(PRESENT.number)
    assert not Voter(NON_VOTER).agreement.may_confirm_view(PRESENT.number)


def test_a_lease_release_of_another_view_is_ignored() -> None:
    voter = Voter(A)
    voter.agreement.propose(OTHER_TAIL)
    voter.step()
    voter.agreement.receive("at-c", ReadLeaseReleased(PRESENT.number + 1, LATER))
    assert voter.step() == []
    voter.agreement.receive("at-c", ReadLeaseReleased(PRESENT.number, LATER))
    assert voter.step() != []


def test_an_older_view_is_not_learned_again() -> None:
    voter = Voter(A)
    voter.agreement.learn(View(3, MEMBERS, PRESENT.chain))
    voter.agreement.learn(SAME_TAIL)
    voter.step()
    assert voter.agreement.learned_number == 3
    assert voter.agreement.view == View(3, MEMBERS, PRESENT.chain)


def test_a_release_before_the_newest_grant_ends_no_lease_even_in_the_next_view() -> None:
    lease = ReadLeaseVoter(now=0.0)
    lease.grant(requested_at=20.0, now=20.0)
    lease.enter_view(PRESENT, SAME_TAIL)
    assert not lease.may_accept(SAME_TAIL, OTHER_TAIL, 19.0, 20.1)


def test_a_tail_requests_a_new_lease_in_each_view() -> None:
    lease = ReadLeaseHolder()
    for voter in MEMBERS:
        lease.record_grant(voter.folder_id, 20.0)
    assert lease.is_held(MEMBERS, 20.1)
    lease.enter_view()
    assert not lease.is_held(MEMBERS, 20.1)


def test_a_lease_of_the_previous_view_is_not_valid_in_the_next_one() -> None:
    lease = ReadLeaseHolder()
    for member in MEMBERS:
        lease.record_grant(member.folder_id, START)
    assert lease.is_held(MEMBERS, START)
    lease.enter_view()
    assert not lease.is_held(MEMBERS, START)
