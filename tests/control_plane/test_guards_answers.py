"""Guards of what a replica tells operators and hands over, by its contact with a majority of voters."""

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
    """The head is heard and has granted, as has the member itself."""
    member.tick(HEARTBEAT_INTERVAL_S)
    member.ping_from(HEAD)
    member.receive(HEAD, ViewConfirmation(HEAD.folder_id, member.view_number, member.now))
    assert member.replica.holds_majority(member.now)
    return member


def _handle(member: LoneReplica, event: Event) -> list[Effect]:
    return member.replica.handle(member.now, event)


def _grants_run_out(member: LoneReplica) -> None:
    member.run_beside(HEAD, seconds=MAJORITY_CONTACT_TTL_S + TICK_INTERVAL_S)
    assert member.replica.majority_reached


def _is_not_heard_any_more(member: LoneReplica) -> None:
    member.ping_from(HEAD, hears_us=False)
    assert member.replica.holds_majority(member.now)


def _nothing_is_lost(member: LoneReplica) -> None:
    """The majority stays."""


Loss = Callable[[LoneReplica], None]


@pytest.mark.parametrize(
    ("loss", "told"),
    [
        (_nothing_is_lost, None),
        (_grants_run_out, ErrorCode.WRITE_UNCLEAR),
        (_is_not_heard_any_more, ErrorCode.WRITE_UNCLEAR),
    ],
)
def test_a_change_is_acknowledged_only_while_a_majority_stands_behind_the_replica(
    loss: Loss, told: ErrorCode | None
) -> None:
    member = _in_contact(LoneReplica(MIDDLE))
    (sent,) = _handle(member, PutSubmitted(1, 0, 10, b"document"))
    assert isinstance(sent, SendMessage)
    assert isinstance(sent.message, PutRequest)
    loss(member)
    reply = PutReply(VIEW_NUMBER, sent.message.request_id, 0)
    (answer,) = _handle(member, MessageReceived(HEAD.address, reply))
    assert isinstance(answer, PutCompleted)
    assert answer.error is told


@pytest.mark.parametrize(
    ("loss", "told"),
    [
        (_nothing_is_lost, ErrorCode.NO_CONFIGURATION),
        (_grants_run_out, ErrorCode.NO_QUORUM),
        (_is_not_heard_any_more, ErrorCode.NO_QUORUM),
    ],
)
def test_a_read_is_answered_only_while_a_majority_stands_behind_the_replica(
    loss: Loss, told: ErrorCode
) -> None:
    member = _in_contact(LoneReplica(MIDDLE))
    (sent,) = _handle(member, GetSubmitted(1))
    assert isinstance(sent, SendMessage)
    assert isinstance(sent.message, GetRequest)
    loss(member)
    reply = GetReply(VIEW_NUMBER, sent.message.request_id, ready=True)
    (answer,) = _handle(member, MessageReceived(TAIL.address, reply))
    assert isinstance(answer, GetCompleted)
    assert answer.error is told


def test_grants_outside_the_chain_say_nothing_of_what_is_held_once_it_has_been_appended() -> None:
    member = _in_contact(LoneReplica(MIDDLE, WITHOUT_MIDDLE))
    joined = VIEW_NUMBER + 1
    following = View(joined, WITHOUT_MIDDLE.voters, (*WITHOUT_MIDDLE.chain, ChainLink(MIDDLE, joined)))
    member.receive(HEAD, ViewDecided(following))
    member.receive(TAIL, InstallSnapshot(joined, joined, entry(1), packed_history(entry(1))))
    assert member.replica.in_chain
    assert member.replica.holds_majority(member.now)
    assert member.replica.confirmed_as_of(member.now) is None
