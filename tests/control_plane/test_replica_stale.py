"""A replica in an outdated view does not answer reads, or reject or accept changes, by its old state."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import Effect, PutCompleted, SendMessage
from reedspoke.control_plane.replication.entry import Entry
from reedspoke.control_plane.replication.events import Event, MessageReceived, PutSubmitted
from reedspoke.control_plane.replication.log_records import restore
from reedspoke.control_plane.replication.messages import (
    AcceptRequest,
    AppendRequest,
    CommitNotification,
    Heartbeat,
    InstallSnapshot,
    PrepareRequest,
    ProposalNumber,
    PutReply,
    PutRequest,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.put_forwarding import PutForwarder
from reedspoke.control_plane.replication.view import ChainLink, Member, View
from reedspoke.control_plane.views.majority_contact import ContactState
from tests.control_plane.simulation import Simulation

OLD_VIEW = 1
FAR_LATER = 1e9


@pytest.fixture
def core() -> Simulation:
    simulation = Simulation(seed=41)
    simulation.settle()
    simulation.run(1.0)
    assert simulation.put_and_wait("m2", 0, 1, b"first") is None
    return simulation


def _change_without(core: Simulation, address: str) -> None:
    """Stop one member; the others acknowledge two changes."""
    core.freeze(address)
    core.run(2.0)
    other = core.chain()[0]
    assert core.put_and_wait(other, 1, 2, b"second") is None
    assert core.put_and_wait(other, 2, 3, b"third") is None


def _thaw_with_old_heartbeats_only(core: Simulation, address: str) -> None:
    """Continue with only the queued heartbeats of the old view, by which all replicas seem reachable."""
    machine = core.machines[address]
    own = machine.disk.folder_id

    def is_old_heartbeat(event: Event) -> bool:
        heartbeat = event.message if isinstance(event, MessageReceived) else None
        return (
            isinstance(heartbeat, Heartbeat)
            and heartbeat.view_number == OLD_VIEW
            and own in heartbeat.receives_from
        )

    machine.missed = [event for event in machine.missed if is_old_heartbeat(event)]
    core.thaw(address)
    assert core.replica(address).majority_reached


def test_an_outdated_tail_answers_no_read_without_its_lease(core: Simulation) -> None:
    tail = core.chain()[-1]
    _change_without(core, tail)
    _thaw_with_old_heartbeats_only(core, tail)
    call = core.get(tail)
    core.run(1.5)
    answer = core.judge.get_answers[call]
    assert answer.committed is None or answer.committed.generation == 3


def test_an_outdated_head_does_not_reject_an_acknowledged_change(core: Simulation) -> None:
    head = core.chain()[0]
    _change_without(core, head)
    _thaw_with_old_heartbeats_only(core, head)
    call = core.put(head, 2, 3, b"third")
    core.run(1.5)
    assert core.judge.put_answers[call].error in (None, ErrorCode.NO_QUORUM)


def test_chain_messages_of_an_old_view_are_ignored(core: Simulation) -> None:
    _change_without(core, "m1")
    core.run(0.5)
    replica = core.replica("m3")
    stray = Entry(4, OLD_VIEW, 9, b"stray")
    before = replica.snapshot_records()
    messages = (
        AppendRequest(OLD_VIEW, stray),
        InstallSnapshot(OLD_VIEW, 1, stray, b""),
        CommitNotification(OLD_VIEW, 4),
        PutRequest(OLD_VIEW, "x:1", 3, 9, b"stray"),
    )
    for message in messages:
        for effect in replica.handle(core.now, MessageReceived("m2", message)):
            assert not isinstance(effect, SendMessage) or isinstance(effect.message, Heartbeat)
    assert replica.snapshot_records() == before


def test_an_unfinished_proposal_is_completed_by_others(core: Simulation) -> None:
    view = core.newest_view()
    assert view is not None
    proposed = View(view.number + 1, view.voters, view.chain[:-1])
    message = AcceptRequest(proposed.number, ProposalNumber(50, "lost:1"), proposed, released_at=FAR_LATER)
    for address in ("m1", "m2"):
        core.inject(address, MessageReceived("lost", message))
    core.run(2.5)
    core.settle()
    newest = core.newest_view()
    assert newest is not None
    assert newest.number > view.number
    answer = core.get_and_wait("m1")
    assert answer is not None
    assert answer.committed is not None


def test_no_two_incarnations_share_a_proposal_number(core: Simulation) -> None:
    proposers: set[str] = set()

    def note(effect: SendMessage) -> None:
        if isinstance(effect.message, PrepareRequest):
            proposers.add(effect.message.proposal_number.proposer)

    core.on_send = note
    for _ in range(2):
        core.run(1.0)
        tail = core.chain()[-1]
        core.kill(tail, restart_after=1.5)
        core.run(3.0)
        core.settle()
        core.kill(core.chain()[0], restart_after=0.1)
        core.run(1.0)
        core.settle()
    incarnations = [proposer for proposer in proposers if proposer.startswith("0001:")]
    assert len(incarnations) >= 2


def test_a_chain_below_the_minimum_length_accepts_nothing() -> None:
    simulation = Simulation(seed=42, machines=1, tolerated=1, seeds=1)
    simulation.settle()
    simulation.run(1.0)
    assert simulation.put_and_wait("m1", 0, 1, b"first") is ErrorCode.WRITE_UNCLEAR
    assert restore(simulation.machines["m1"].disk.records).entry is None


def _view(number: int, head: str) -> View:
    member = Member(folder_id=head, address=f"at-{head}")
    return View(number, (member,), (ChainLink(member, 1),))


def _answers(effects: list[Effect]) -> list[ErrorCode | None]:
    return [effect.error for effect in effects if isinstance(effect, PutCompleted)]


def test_a_rejection_counts_only_from_the_head_of_the_last_request() -> None:
    outbox = Outbox("at-own", 10.0, 0)
    puts = PutForwarder("own:1", outbox, 0.9)
    puts.submit(PutSubmitted(1, 0, 1, b"first"), _view(1, "a"), contact=ContactState.CONFIRMED)
    puts.tick(_view(2, "b"), ContactState.CONFIRMED)
    sent = [effect for effect in outbox.take_effects() if isinstance(effect, SendMessage)]
    assert [effect.address for effect in sent] == ["at-a", "at-b"]
    stale = int(ErrorCode.CONFIGURATION_STALE_MATCH)
    puts.receive_reply(PutReply(1, "own:1:1", stale))
    assert _answers(outbox.take_effects()) == []
    puts.receive_reply(PutReply(2, "own:1:1", stale))
    puts.receive_reply(PutReply(2, "own:1:1", 0))
    assert _answers(outbox.take_effects()) == [ErrorCode.CONFIGURATION_STALE_MATCH]


def test_an_acknowledgement_counts_from_any_head() -> None:
    outbox = Outbox("at-own", 10.0, 0)
    puts = PutForwarder("own:1", outbox, 0.9)
    puts.submit(PutSubmitted(1, 0, 1, b"first"), _view(1, "a"), contact=ContactState.CONFIRMED)
    puts.tick(_view(2, "b"), ContactState.CONFIRMED)
    outbox.take_effects()
    puts.receive_reply(PutReply(1, "own:1:1", 0))
    assert _answers(outbox.take_effects()) == [None]
