"""Guard conditions of reads, one test each: which member answers, and how its reply is used."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import GetCompleted
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.events import GetSubmitted
from reedspoke.control_plane.replication.get_forwarding import GetForwarder
from reedspoke.control_plane.replication.messages import GetReply, GetRequest
from reedspoke.control_plane.replication.tail_reader import TailReader
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.majority_contact import ContactState
from tests.control_plane.chain_replica import (
    ANSWER_LIMIT_S,
    FULL_CHAIN,
    HEAD,
    MIDDLE,
    TAIL,
    VIEW_NUMBER,
    ChainReplica,
    entry,
    view_of,
)

FIRST = entry(1)
INCOMPLETE_TAIL = view_of((HEAD, 1), (TAIL, VIEW_NUMBER))


def _reply(
    replica: ChainReplica, view: View = FULL_CHAIN, request_view: int = VIEW_NUMBER, lease: bool = True
) -> GetReply:
    reader = TailReader(replica.outbox, replica.chain, replica.register, lambda: lease)
    reader.receive("at-forwarder", GetRequest(request_view, "r1", known_sequence=0), view)
    (reply,) = replica.sent()
    assert isinstance(reply, GetReply)
    return reply


def test_a_complete_tail_that_holds_its_lease_answers() -> None:
    assert _reply(ChainReplica(TAIL, held=FIRST)) == GetReply(VIEW_NUMBER, "r1", True, 1, FIRST)


@pytest.mark.parametrize("request_view", [VIEW_NUMBER - 1, VIEW_NUMBER + 1])
def test_a_read_sent_in_another_view_is_not_answered(request_view: int) -> None:
    assert not _reply(ChainReplica(TAIL), request_view=request_view).ready


@pytest.mark.parametrize("member", [HEAD, MIDDLE])
def test_a_member_before_the_tail_answers_no_read(member: Member) -> None:
    assert not _reply(ChainReplica(member)).ready


def test_an_incomplete_tail_answers_no_read() -> None:
    assert not _reply(ChainReplica(TAIL, INCOMPLETE_TAIL), INCOMPLETE_TAIL).ready


def test_a_tail_without_lease_answers_no_read() -> None:
    assert not _reply(ChainReplica(TAIL, held=FIRST), lease=False).ready


def test_an_uncommitted_entry_is_not_read() -> None:
    too_short_to_commit = view_of((HEAD, 1), (TAIL, 1))
    tail = ChainReplica(TAIL, too_short_to_commit, held=FIRST, tolerated=2)
    assert not _reply(tail, too_short_to_commit).ready


def test_a_local_configuration_is_returned_only_if_the_tail_has_the_same() -> None:
    replica = ChainReplica(MIDDLE, held=FIRST)
    replica.register.commit()
    for sequence, expected in ((1, 10), (2, None)):
        gets = GetForwarder("b:1", replica.outbox, replica.register, ANSWER_LIMIT_S)
        gets.submit(GetSubmitted(1), FULL_CHAIN, ContactState.CONFIRMED)
        replica.outbox.take_effects()
        gets.receive_reply(GetReply(VIEW_NUMBER, "b:1:1", True, sequence))
        (answer,) = replica.outbox.take_effects()
        assert isinstance(answer, GetCompleted)
        if expected is None:
            assert (answer.committed, answer.error) == (None, ErrorCode.NO_QUORUM)
        else:
            assert answer.committed == CommittedConfiguration(1, expected, FIRST.document, FIRST.view)
