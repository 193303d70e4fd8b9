"""Guard conditions of the head's queue, its rejections and the forwarding of changes, one test each."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import PutCompleted
from reedspoke.control_plane.replication.events import PutSubmitted
from reedspoke.control_plane.replication.head_queue import MAX_PENDING_BYTES, PENDING_TIME_FRACTION
from reedspoke.control_plane.replication.messages import (
    CommitNotification,
    GetReply,
    GetRequest,
    PutReply,
    PutRequest,
    SuccessorStatus,
)
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.put_forwarding import PutForwarder
from reedspoke.control_plane.replication.rejection_confirmation import RejectionConfirmer
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.majority_contact import ContactState
from tests.control_plane.chain_replica import (
    ANSWER_LIMIT_S,
    FULL_CHAIN,
    HEAD,
    MIDDLE,
    START,
    TAIL,
    VIEW_NUMBER,
    ChainReplica,
    view_of,
)


def _head(view: View = FULL_CHAIN) -> ChainReplica:
    """A head whose successor has reported the same sequence."""
    replica = ChainReplica(HEAD, view)
    successor = view.chain[1]
    state = SuccessorStatus(
        view.number, successor.member.folder_id, successor.joined_view, True, replica.register.sequence
    )
    replica.chain.receive(state)
    replica.sent()
    return replica


def _request(name: str, match: int, generation: int, view: int = VIEW_NUMBER) -> PutRequest:
    return PutRequest(view, name, match, generation, b"document %d" % generation)


def _replies(replica: ChainReplica) -> list[PutReply]:
    return [message for message in replica.sent() if isinstance(message, PutReply)]


def _receive(replica: ChainReplica, request: PutRequest) -> None:
    replica.head.receive("at-forwarder", request, majority_reached=True)


def _confirm_rejections(replica: ChainReplica) -> None:
    """Confirm all rejections in the name of the tail."""
    for message in replica.sent():
        if isinstance(message, GetRequest):
            replica.head.rejections.receive_reply(
                GetReply(message.view_number, message.request_id, ready=True)
            )


def _commit_next(replica: ChainReplica) -> None:
    replica.end_store()
    replica.chain.receive(CommitNotification(VIEW_NUMBER, replica.register.sequence))


@pytest.mark.parametrize("view", [VIEW_NUMBER - 1, VIEW_NUMBER + 1])
def test_a_change_sent_in_another_view_is_ignored(view: int) -> None:
    head = _head()
    _receive(head, _request("r1", 0, 10, view))
    assert not head.sent()
    assert not head.stores


@pytest.mark.parametrize("member", [MIDDLE, TAIL])
def test_a_change_sent_to_a_member_other_than_the_head_is_ignored(member: Member) -> None:
    replica = ChainReplica(member)
    _receive(replica, _request("r1", 10, 5))
    replica.outbox.now = START + ANSWER_LIMIT_S
    replica.head.tick()
    assert not replica.sent()
    assert not replica.stores


def test_a_duplicate_of_a_rejected_request_is_rejected_even_after_other_changes() -> None:
    """A change on a future generation is rejected, too, if it stays invalid once that is in force."""
    head = _head()
    _receive(head, _request("r1", 10, 5))
    _confirm_rejections(head)
    assert [reply.error for reply in _replies(head)] == [int(ErrorCode.CONFIGURATION_OLD_GENERATION)]
    _receive(head, _request("r2", 0, 10))
    _commit_next(head)
    assert [reply.error for reply in _replies(head)] == [0]
    _receive(head, _request("r1", 10, 5))
    assert [reply.error for reply in _replies(head)] == [int(ErrorCode.CONFIGURATION_OLD_GENERATION)]
    assert not head.stores


def test_a_duplicate_of_a_pending_request_is_decided_once() -> None:
    head = _head()
    for _ in range(2):
        _receive(head, _request("r1", 0, 10))
    _commit_next(head)
    assert len(_replies(head)) == 1


def test_an_incomplete_head_decides_nothing() -> None:
    head = _head(view_of((HEAD, VIEW_NUMBER), (TAIL, 1)))
    _receive(head, _request("r1", 0, 10))
    _receive(head, _request("r2", 10, 5))
    assert not head.sent()
    assert not head.stores


def test_a_head_of_a_too_short_chain_accepts_no_change() -> None:
    chain = view_of((HEAD, 1), (TAIL, 1))
    for tolerated, accepted in ((1, 1), (2, 0)):
        head = ChainReplica(HEAD, chain, tolerated=tolerated)
        head.chain.receive(SuccessorStatus(VIEW_NUMBER, TAIL.folder_id, 1, True, 0))
        _receive(head, _request("r1", 0, 10))
        head.sent()
        assert len(head.stores) == accepted


def test_a_head_whose_disk_fails_accepts_no_change() -> None:
    head = _head()
    head.outbox.disk_failed = True
    _receive(head, _request("r1", 0, 10))
    head.sent()
    assert not head.stores


def test_the_next_change_is_decided_once_the_previous_one_is_committed() -> None:
    head = _head()
    _receive(head, _request("r1", 0, 10))
    _receive(head, _request("r2", 10, 20))
    head.end_store()
    head.sent()
    assert not head.stores
    head.chain.receive(CommitNotification(VIEW_NUMBER, 1))
    head.sent()
    assert len(head.stores) == 1


def test_a_synced_but_uncommitted_change_is_neither_acknowledged_nor_built_upon() -> None:
    head = _head()
    _receive(head, _request("r1", 0, 10))
    _receive(head, _request("r2", 10, 20))
    head.end_store()
    head.head.tick()
    assert not _replies(head)
    assert not head.stores


def test_a_rejection_that_is_not_confirmed_is_not_final() -> None:
    head = _head()
    _receive(head, _request("r1", 0, 10))
    _commit_next(head)
    assert [reply.error for reply in _replies(head)] == [0]
    _receive(head, _request("r2", 0, 20))
    assert not _replies(head)
    head.outbox.now = START + ANSWER_LIMIT_S * PENDING_TIME_FRACTION
    head.head.tick()
    assert [reply.error for reply in _replies(head)] == [int(ErrorCode.WRITE_UNCLEAR)]


def test_a_change_in_flight_expires_as_unclear() -> None:
    head = _head()
    _receive(head, _request("r1", 0, 10))
    head.end_store()
    head.outbox.now = START + ANSWER_LIMIT_S * PENDING_TIME_FRACTION
    head.head.tick()
    assert [reply.error for reply in _replies(head)] == [int(ErrorCode.WRITE_UNCLEAR)]


class PendingConfirmation:
    """A rejection that waits for a confirmation by the tail of the present view."""

    def __init__(self) -> None:
        self.ended: list[bool] = []
        self.outbox = Outbox(HEAD.address, START, 0)
        self.rejections = RejectionConfirmer("own:1", self.outbox)
        self.rejections.enter_view(VIEW_NUMBER, TAIL)
        self.rejections.add("r1", START + ANSWER_LIMIT_S, self.ended.append)
        (sent,) = self.outbox.take_effects()
        request = sent.message  # type: ignore[union-attr]
        assert isinstance(request, GetRequest)
        self.key = request.request_id


def test_a_tail_that_is_not_ready_confirms_no_rejection() -> None:
    pending = PendingConfirmation()
    pending.rejections.receive_reply(GetReply(VIEW_NUMBER, pending.key, ready=False))
    assert pending.ended == []
    pending.rejections.receive_reply(GetReply(VIEW_NUMBER, pending.key, ready=True))
    assert pending.ended == [True]


@pytest.mark.parametrize("view", [VIEW_NUMBER - 1, VIEW_NUMBER + 1])
def test_the_tail_of_another_view_confirms_no_rejection(view: int) -> None:
    pending = PendingConfirmation()
    pending.rejections.receive_reply(GetReply(view, pending.key, ready=True))
    assert pending.ended == []


def test_a_rejection_is_not_confirmed_at_its_deadline() -> None:
    pending = PendingConfirmation()
    pending.outbox.now = START + ANSWER_LIMIT_S
    pending.rejections.tick()
    assert pending.ended == [False]


@pytest.mark.parametrize(("view", "contact"), [(None, ContactState.NONE), (FULL_CHAIN, ContactState.NONE)])
def test_a_partitioned_replica_fails_a_change_at_once(view: View | None, contact: ContactState) -> None:
    outbox = Outbox(MIDDLE.address, START, 0)
    puts = PutForwarder("b:1", outbox, ANSWER_LIMIT_S)
    puts.submit(PutSubmitted(1, 0, 10, b"document"), view, contact)
    (answer,) = outbox.take_effects()
    assert isinstance(answer, PutCompleted)
    assert answer.error is ErrorCode.NO_QUORUM


def test_a_change_without_a_reply_of_the_head_is_unclear() -> None:
    outbox = Outbox(MIDDLE.address, START, 0)
    puts = PutForwarder("b:1", outbox, ANSWER_LIMIT_S)
    puts.submit(PutSubmitted(1, 0, 10, b"document"), FULL_CHAIN, ContactState.CONFIRMED)
    outbox.take_effects()
    outbox.now = START + ANSWER_LIMIT_S
    puts.tick(FULL_CHAIN, ContactState.CONFIRMED)
    assert [answer.error for answer in outbox.take_effects() if isinstance(answer, PutCompleted)] == [
        ErrorCode.WRITE_UNCLEAR
    ]


def test_a_rejection_by_the_head_of_an_earlier_view_is_ignored() -> None:
    outbox = Outbox(MIDDLE.address, START, 0)
    puts = PutForwarder("b:1", outbox, ANSWER_LIMIT_S)
    puts.submit(PutSubmitted(1, 0, 10, b"document"), FULL_CHAIN, ContactState.CONFIRMED)
    following = view_of((HEAD, 1), (TAIL, 1), number=VIEW_NUMBER + 1)
    puts.tick(following, ContactState.CONFIRMED)
    outbox.take_effects()
    rejected = int(ErrorCode.CONFIGURATION_STALE_MATCH)
    puts.receive_reply(PutReply(VIEW_NUMBER, "b:1:1", rejected))
    assert not outbox.take_effects()
    puts.receive_reply(PutReply(following.number, "b:1:1", rejected))
    assert len(outbox.take_effects()) == 1


def test_pending_documents_are_limited_in_bytes() -> None:
    """A change beyond the limit gets an unclear answer at once, so that it may be submitted again."""
    replica = _head()
    half = b"d" * (MAX_PENDING_BYTES // 2)
    for number in range(2):  # they build on a future generation, and stay pending
        _receive(replica, PutRequest(VIEW_NUMBER, f"r{number}", 50, 60 + number, half))
    assert _replies(replica) == []
    _receive(replica, PutRequest(VIEW_NUMBER, "beyond", 50, 70, b"d"))
    (reply,) = _replies(replica)
    assert (reply.request_id, reply.error) == ("beyond", ErrorCode.WRITE_UNCLEAR)
    assert "Too many changes are pending" in reply.message


def test_a_single_document_is_queued_whatever_its_size() -> None:
    replica = _head()
    _receive(replica, PutRequest(VIEW_NUMBER, "large", 50, 60, b"d" * (MAX_PENDING_BYTES + 1)))
    assert _replies(replica) == []
