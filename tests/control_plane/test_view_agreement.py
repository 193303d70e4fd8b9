"""Paxos on the next view: any interleaving of proposers and three acceptors decides one value."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import SendMessage, StoreRecords
from reedspoke.control_plane.replication.events import StoreCompleted
from reedspoke.control_plane.replication.log_records import ViewRecord, encode_record, restore
from reedspoke.control_plane.replication.messages import (
    AcceptRequest,
    AcceptResponse,
    PrepareRequest,
    PrepareResponse,
    ProposalNumber,
    ProposalRejected,
    ViewDecided,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import READ_LEASE_TTL_S, ReplicaSettings
from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.agreement import ViewAgreement

MEMBERS = tuple(Member(folder_id=name, address=f"at-{name}") for name in "abc")
PRESENT = View(1, MEMBERS, tuple(ChainLink(member, 1) for member in MEMBERS))
START = 50.0


class Voter:
    """The view agreement of one replica; its stores end at once, and fail if `disk_works` is False."""

    def __init__(self, member: Member, records: list[bytes] | None = None) -> None:
        self.member = member
        self.records = records if records is not None else [encode_record(ViewRecord(PRESENT))]
        self.disk_works = True
        self.entered: list[View] = []
        self.incarnations = 0
        self.start()

    def start(self) -> None:
        """Start a new process on the same disk, after the leases of the old one have expired."""
        self.incarnations += 1
        settings_ = ReplicaSettings(
            folder_id=self.member.folder_id,
            address=self.member.address,
            zone="",
            seeds=(),
            bootstrap=False,
            machines_tolerated=1,
        )
        self.outbox = Outbox(self.member.address, START, 0)
        self.agreement = ViewAgreement(
            settings_,
            f"{self.member.folder_id}:{self.incarnations}",
            self.outbox,
            restore(self.records),
            self.entered.append,
        )
        self.outbox.now = START + READ_LEASE_TTL_S + 1

    def step(self) -> list[SendMessage]:
        """Carry out stores; return the messages to send, including those to itself."""
        sent = [SendMessage(self.member.address, message) for message in self.outbox.take_own_messages()]
        for effect in self.outbox.take_effects():
            if isinstance(effect, SendMessage):
                sent.append(effect)
            elif isinstance(effect, StoreRecords):
                sent += self._store(effect)
        return sent

    def _store(self, store: StoreRecords) -> list[SendMessage]:
        if self.disk_works:
            self.records.extend(store.records)
        error = None if self.disk_works else ErrorCode.STORAGE_FAILED
        self.outbox.store_completed(StoreCompleted(store.token, error))
        return self.step()


def _value(name: str) -> View:
    return View(2, MEMBERS, tuple(ChainLink(member, 1) for member in MEMBERS if member.folder_id != name))


@given(data=st.data())
@settings(max_examples=60, deadline=None, derandomize=True)
def test_one_value_is_decided_despite_lost_and_duplicated_messages_and_restarts(data: st.DataObject) -> None:
    voters = {member.address: Voter(member) for member in MEMBERS}
    network: list[tuple[str, SendMessage]] = []
    decided: set[View] = set()

    def collect(address: str) -> None:
        for effect in voters[address].step():
            if isinstance(effect.message, ViewDecided):
                decided.add(effect.message.view)
            elif effect.address in voters:
                network.append((address, effect))
        decided.update(voters[address].entered)

    for _ in range(data.draw(st.integers(10, 60))):
        action = data.draw(st.sampled_from(["deliver"] * 8 + ["propose", "double", "lose", "restart"]))
        address = data.draw(st.sampled_from(sorted(voters)))
        voter = voters[address]
        if action == "propose" and voter.agreement.learned_number == 1:
            voter.agreement.propose(_value(data.draw(st.sampled_from("abc"))))
            collect(address)
        elif action == "restart":
            voter.start()
        elif network:
            index = data.draw(st.integers(0, len(network) - 1))
            sender, effect = network[index] if action == "double" else network.pop(index)
            if action != "lose":
                voters[effect.address].agreement.receive(sender, effect.message)
                collect(effect.address)
    assert len(decided) <= 1


def test_a_promise_is_answered_only_when_it_is_on_disk() -> None:
    voter = Voter(MEMBERS[0])
    voter.disk_works = False
    voter.agreement.receive("at-b", PrepareRequest(2, ProposalNumber(1, "b")))
    assert voter.step() == []
    voter.disk_works = True
    voter.agreement.receive("at-b", PrepareRequest(2, ProposalNumber(1, "b")))
    answers = [effect.message for effect in voter.step()]
    assert isinstance(answers[0], PrepareResponse)


def test_a_promise_and_an_acceptance_survive_a_restart() -> None:
    voter = Voter(MEMBERS[0])
    proposal_number = ProposalNumber(3, "b")
    voter.agreement.receive("at-b", PrepareRequest(2, proposal_number))
    voter.agreement.receive("at-b", AcceptRequest(2, proposal_number, _value("c")))
    answers = [effect.message for effect in voter.step()]
    assert [type(answer) for answer in answers] == [PrepareResponse, AcceptResponse]
    voter.start()
    voter.agreement.receive("at-c", PrepareRequest(2, ProposalNumber(2, "c")))
    assert [type(effect.message) for effect in voter.step()] == [ProposalRejected]
    voter.agreement.receive("at-c", PrepareRequest(2, ProposalNumber(4, "c")))
    promise = voter.step()[0].message
    assert isinstance(promise, PrepareResponse)
    assert (promise.accepted_proposal_number, promise.accepted_view) == (proposal_number, _value("c"))


def test_a_request_for_a_decided_view_is_answered_with_it() -> None:
    voter = Voter(MEMBERS[0])
    voter.agreement.learn(_value("c"))
    voter.step()
    voter.agreement.receive("at-b", AcceptRequest(2, ProposalNumber(9, "b"), _value("a")))
    assert [effect.message for effect in voter.step()] == [ViewDecided(_value("c"))]


def test_a_replica_that_is_no_voter_of_the_present_view_does_not_answer() -> None:
    non_voter = Voter(Member(folder_id="z", address="at-a"))
    non_voter.agreement.receive("at-b", PrepareRequest(2, ProposalNumber(1, "b")))
    non_voter.agreement.receive("at-b", PrepareRequest(3, ProposalNumber(1, "b")))
    assert non_voter.step() == []


def test_a_decided_view_takes_effect_once_it_is_on_disk() -> None:
    voter = Voter(MEMBERS[0])
    voter.disk_works = False
    voter.agreement.learn(_value("c"))
    voter.step()
    assert voter.agreement.view == PRESENT
    voter.disk_works = True
    voter.outbox.disk_failed = False
    voter.agreement.tick()
    voter.step()
    assert voter.agreement.view == _value("c")
    assert voter.entered == [_value("c")]


def test_a_value_that_may_have_been_decided_is_proposed_again() -> None:
    voters = {member.address: Voter(member) for member in MEMBERS}
    first, second = _value("c"), _value("a")
    for address in ("at-a", "at-b"):
        voters[address].agreement.receive("at-a", AcceptRequest(2, ProposalNumber(1, "a"), first))
        voters[address].step()
    proposer = voters["at-c"]
    proposer.agreement.propose(second)
    values = set()
    in_transit = [("at-c", effect) for effect in proposer.step()]
    for _ in range(3):
        answers = []
        for sender, effect in in_transit:
            if isinstance(effect.message, AcceptRequest):
                values.add(effect.message.view)
            voters[effect.address].agreement.receive(sender, effect.message)
            answers += [(effect.address, answer) for answer in voters[effect.address].step()]
        in_transit = answers
    assert values == {first}


def test_the_records_hold_promises_and_acceptances() -> None:
    voter = Voter(MEMBERS[0])
    voter.agreement.receive("at-b", AcceptRequest(2, ProposalNumber(3, "b"), _value("c")))
    voter.step()
    state = restore([encode_record(record) for record in voter.agreement.records()])
    assert state.view == PRESENT
    assert state.acceptors[2].accepted_view == _value("c")
    assert state.acceptors[2].promised == ProposalNumber(3, "b")
