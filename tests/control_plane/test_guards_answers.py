"""Guard conditions on answers and delivered state: they require contact with a majority of voters."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import Effect, GetCompleted, PutCompleted, SendMessage
from reedspoke.control_plane.replication.events import Event, GetSubmitted, MessageReceived, PutSubmitted
from reedspoke.control_plane.replication.messages import (
    GetReply,
    GetRequest,
    InstallSnapshot,
    PutReply,
    PutRequest,
    ViewConfirmation,
    ViewDecided,
)
from reedspoke.control_plane.replication.settings import (
    HEARTBEAT_INTERVAL_S,
    MAJORITY_CONTACT_TTL_S,
    TICK_INTERVAL_S,
)
from reedspoke.control_plane.replication.view import ChainLink, View
from tests.control_plane.chain_replica import HEAD, MIDDLE, TAIL, VIEW_NUMBER, entry, packed_history, view_of
from tests.control_plane.test_guards_replica import LoneReplica

WITHOUT_MIDDLE = view_of((HEAD, 1), (TAIL, 1))


def _in_contact(member: LoneReplica) -> LoneReplica:
    """A member with confirmations by the head and by itself, and with the head reachable."""
    member.tick(HEARTBEAT_INTERVAL_S)
    member.heartbeat_from(HEAD)
    member.receive(HEAD, ViewConfirmation(HEAD.folder_id, member.view_number, member.now))
    assert member.replica.holds_majority(member.now)
    return member


def _handle(member: LoneReplica, event: Event) -> list[Effect]:
    return member.replica.handle(member.now, event)


def _confirmations_expire(member: LoneReplica) -> None:
    member.run_with(HEAD, seconds=MAJORITY_CONTACT_TTL_S + TICK_INTERVAL_S)
    assert member.replica.majority_reached


def _head_becomes_unreachable(member: LoneReplica) -> None:
    member.heartbeat_from(HEAD, receives_us=False)
    assert member.replica.holds_majority(member.now)


def _nothing_is_lost(member: LoneReplica) -> None:
    """The contact with the majority stays."""


Loss = Callable[[LoneReplica], None]


@pytest.mark.parametrize(
    ("loss", "expected"),
    [
        (_nothing_is_lost, None),
        (_confirmations_expire, ErrorCode.WRITE_UNCLEAR),
        (_head_becomes_unreachable, ErrorCode.WRITE_UNCLEAR),
    ],
)
def test_a_change_is_acknowledged_only_in_contact_with_a_majority(
    loss: Loss, expected: ErrorCode | None
) -> None:
    member = _in_contact(LoneReplica(MIDDLE))
    (sent,) = _handle(member, PutSubmitted(1, 0, 10, b"document"))
    assert isinstance(sent, SendMessage)
    assert isinstance(sent.message, PutRequest)
    loss(member)
    reply = PutReply(VIEW_NUMBER, sent.message.request_id, 0)
    (answer,) = _handle(member, MessageReceived(HEAD.address, reply))
    assert isinstance(answer, PutCompleted)
    assert answer.error is expected


@pytest.mark.parametrize(
    ("loss", "expected"),
    [
        (_nothing_is_lost, ErrorCode.NO_CONFIGURATION),
        (_confirmations_expire, ErrorCode.NO_QUORUM),
        (_head_becomes_unreachable, ErrorCode.NO_QUORUM),
    ],
)
def test_a_read_is_answered_only_in_contact_with_a_majority(loss: Loss, expected: ErrorCode) -> None:
    member = _in_contact(LoneReplica(MIDDLE))
    (sent,) = _handle(member, GetSubmitted(1))
    assert isinstance(sent, SendMessage)
    assert isinstance(sent.message, GetRequest)
    loss(member)
    reply = GetReply(VIEW_NUMBER, sent.message.request_id, ready=True)
    (answer,) = _handle(member, MessageReceived(TAIL.address, reply))
    assert isinstance(answer, GetCompleted)
    assert answer.error is expected


def test_confirmations_from_before_a_replica_was_appended_do_not_confirm_its_state() -> None:
    member = _in_contact(LoneReplica(MIDDLE, WITHOUT_MIDDLE))
    joined_view = VIEW_NUMBER + 1
    following = View(
        joined_view, WITHOUT_MIDDLE.voters, (*WITHOUT_MIDDLE.chain, ChainLink(MIDDLE, joined_view))
    )
    member.receive(HEAD, ViewDecided(following))
    member.receive(TAIL, InstallSnapshot(joined_view, joined_view, entry(1), packed_history(entry(1))))
    assert member.replica.in_chain
    assert member.replica.holds_majority(member.now)
    assert member.replica.confirmed_as_of(member.now) is None
