"""Heads and members in a view that others have left, and heads without a majority."""

from __future__ import annotations

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import (
    DeliverConfiguration,
    Effect,
    SendMessage,
    StoreRecords,
)
from reedspoke.control_plane.replication.events import Event, MessageReceived
from reedspoke.control_plane.replication.log_records import restore
from reedspoke.control_plane.replication.messages import (
    CommitNotification,
    GetReply,
    Heartbeat,
    PutReply,
    PutRequest,
)
from reedspoke.control_plane.replication.view import Member
from tests.control_plane.simulation import Simulation

EXTRA_CALL = 10_000  # id of a call that the test submits itself


@pytest.fixture
def core() -> Simulation:
    """Three machines in a chain that has been repaired twice, with one change in force."""
    simulation = Simulation(seed=81)
    simulation.settle()
    simulation.run(1.0)
    assert simulation.put_and_wait("m2", 0, 1, b"first") is None
    simulation.kill(simulation.chain()[0], restart_after=2.0)
    simulation.run(2.5)
    simulation.settle()
    return simulation


def _view_number(simulation: Simulation) -> int:
    view = simulation.newest_view()
    assert view is not None
    return view.number


def _handle(simulation: Simulation, address: str, event: Event) -> list[Effect]:
    """Pass an event to one replica only, and return its effects without carrying them out."""
    now = simulation.now + simulation.machines[address].clock_skew
    return simulation.replica(address).handle(now, event)


def _commit_message(kind: str, member: Member, view: int, sequence: int) -> Struct:
    if kind == "commit":
        return CommitNotification(view, sequence)
    return Heartbeat(member, view, (), True, 0, sequence)


@pytest.mark.parametrize("kind", ["commit", "heartbeat"])
@pytest.mark.parametrize("offset", [-1, 1])
def test_commits_of_another_view_commit_nothing(core: Simulation, kind: str, offset: int) -> None:
    """In the other view the entry of that sequence may be a different one."""
    head = core.chain()[0]
    view = core.newest_view()
    assert view is not None
    others = [address for address in core.machines if address != head]
    for address in others:
        core.cut(head, address, both=False)
    core.put(head, 1, 2, b"only at the head")
    core.run(0.05)
    entry = restore(core.machines[head].disk.records).entry
    assert entry is not None
    assert entry.document == b"only at the head"
    tail = view.chain[-1].member
    message = _commit_message(kind, tail, view.number + offset, entry.sequence)
    effects = _handle(core, head, MessageReceived(tail.address, message))
    assert not [effect for effect in effects if isinstance(effect, DeliverConfiguration)]
    committed = core.replica(head).committed
    assert committed is not None
    assert committed.sequence == entry.sequence - 1


def test_a_change_that_lost_against_another_is_not_delivered_by_the_old_head(core: Simulation) -> None:
    """The others commit a competing change of the same sequence, and the old head first gets that commit."""
    head = core.chain()[0]
    old_view = _view_number(core)
    for address in core.machines:
        if address != head:
            core.cut(head, address, both=False)
    core.put(head, 1, 2, b"rejected")
    core.run(0.05)
    core.freeze(head)
    core.run(2.0)
    winner = core.chain()[0]
    assert winner != head
    assert core.put_and_wait(winner, 1, 2, b"accepted") is None
    core.run(0.3)
    machine = core.machines[head]
    newer = [event for event in machine.missed if _is_newer_heartbeat(event, old_view)]
    machine.missed = newer[-1:]
    assert machine.missed
    core.thaw(head)  # the judge compares each delivery with those of the others
    core.run(0.05)
    assert core.judge.delivered_sequence(head) == 1


def _is_newer_heartbeat(event: Event, view: int) -> bool:
    heartbeat = event.message if isinstance(event, MessageReceived) else None
    return (
        isinstance(heartbeat, Heartbeat)
        and heartbeat.view_number > view
        and heartbeat.committed_sequence == 2
    )


def test_a_head_without_a_majority_accepts_nothing_and_answers_at_once(core: Simulation) -> None:
    head = core.chain()[0]
    number = _view_number(core)
    core.isolate(head)
    assert core.run_until(lambda: not core.replica(head).majority_reached, 2.0)
    request = PutRequest(number, "forwarder:1:1", 1, 2, b"second")
    effects = _handle(core, head, MessageReceived("m9", request))
    assert not [effect for effect in effects if isinstance(effect, StoreRecords)]
    replies = [effect.message for effect in effects if isinstance(effect, SendMessage)]
    (reply,) = [message for message in replies if isinstance(message, PutReply)]
    assert reply.error == ErrorCode.WRITE_UNCLEAR
    core.run(1.0)
    entry = restore(core.machines[head].disk.records).entry
    assert entry is not None
    assert entry.document == b"first"


def test_a_head_without_a_majority_rejects_nothing(core: Simulation) -> None:
    """A change that is stale by its own register may have been acknowledged by the others."""
    head = core.chain()[0]
    number = _view_number(core)
    core.isolate(head)
    assert core.run_until(lambda: not core.replica(head).majority_reached, 2.0)
    effects = _handle(core, head, MessageReceived("m9", PutRequest(number, "forwarder:1:1", 0, 2, b"stale")))
    messages = [effect.message for effect in effects if isinstance(effect, SendMessage)]
    assert [message.error for message in messages if isinstance(message, PutReply)] == [303]
    assert not [message for message in messages if isinstance(message, GetReply)]


def test_a_head_that_had_no_majority_may_accept_a_duplicate_after_a_restart(core: Simulation) -> None:
    """The new process does not know the first answer, which must not have been a rejection."""
    head = core.chain()[0]
    number = _view_number(core)
    copy = MessageReceived("m9", PutRequest(number, "forwarder:1:1", 1, 2, b"second"))
    core.isolate(head)
    assert core.run_until(lambda: not core.replica(head).majority_reached, 2.0)
    replies = [effect.message for effect in _handle(core, head, copy) if isinstance(effect, SendMessage)]
    core.heal()
    core.kill(head, restart_after=0.02)
    core.run(0.4)
    assert (core.chain()[0], _view_number(core)) == (head, number)
    core.judge.put_submitted(head, EXTRA_CALL, 1, 2, b"second")
    core.inject(head, copy)
    core.run(0.3)
    committed = core.replica(head).committed
    assert committed is not None
    assert committed.document == b"second"
    assert [reply.error for reply in replies if isinstance(reply, PutReply)] == [ErrorCode.WRITE_UNCLEAR]


@pytest.mark.parametrize("offset", [-1, 1])
def test_a_request_of_another_view_is_neither_accepted_nor_answered(core: Simulation, offset: int) -> None:
    head = core.chain()[0]
    number = _view_number(core) + offset
    for match in (0, 1):
        request = PutRequest(number, f"forwarder:1:{match}", match, 2, b"second")
        assert _handle(core, head, MessageReceived("m9", request)) == []


def test_an_outdated_head_does_not_reject_a_change_that_the_others_accepted(core: Simulation) -> None:
    """By its own register, the match is stale and the document unknown."""
    head = core.chain()[0]
    number = _view_number(core)
    core.freeze(head)
    core.run(2.0)
    assert core.put_and_wait(core.chain()[0], 1, 2, b"second") is None
    _thaw_with_old_heartbeats_only(core, head, number)
    replies: list[PutReply] = []
    core.on_send = lambda effect: _note_reply(effect, replies)
    core.inject(head, MessageReceived("m9", PutRequest(number, "forwarder:1:1", 0, 2, b"second")))
    core.run(1.5)
    assert [reply for reply in replies if reply.error != ErrorCode.WRITE_UNCLEAR] == []


def _thaw_with_old_heartbeats_only(simulation: Simulation, address: str, view: int) -> None:
    """Continue with only the queued heartbeats of the old view, by which all replicas seem reachable."""
    machine = simulation.machines[address]
    own = machine.disk.folder_id
    received = [event for event in machine.missed if isinstance(event, MessageReceived)]
    machine.missed = [event for event in received if _is_old_heartbeat(event.message, view, own)]
    simulation.thaw(address)
    assert simulation.replica(address).majority_reached


def _is_old_heartbeat(message: Struct, view: int, receiver: str) -> bool:
    return (
        isinstance(message, Heartbeat) and message.view_number == view and receiver in message.receives_from
    )


def _note_reply(effect: SendMessage, replies: list[PutReply]) -> None:
    if effect.address == "m9" and isinstance(effect.message, PutReply):
        replies.append(effect.message)
