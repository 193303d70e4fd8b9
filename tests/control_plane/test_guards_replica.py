"""Guard conditions of a whole replica, one test each: leases, heartbeats, first start, reachability."""

from __future__ import annotations

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import Effect, SendMessage, StoreRecords
from reedspoke.control_plane.replication.events import MessageReceived, StoreCompleted, Tick
from reedspoke.control_plane.replication.log_records import ViewRecord, encode_record
from reedspoke.control_plane.replication.messages import (
    AcceptRequest,
    AcceptResponse,
    GetReply,
    GetRequest,
    Heartbeat,
    InstallSnapshot,
    PrepareRequest,
    ProposalNumber,
    ReadLeaseGrant,
    ReadLeaseReleased,
    ReadLeaseReleaseRequest,
)
from reedspoke.control_plane.replication.replica import Replica, ReplicaSettings
from reedspoke.control_plane.replication.settings import (
    HEARTBEAT_INTERVAL_S,
    PROPOSAL_DELAY_PER_RANK_S,
    PROPOSAL_DELAY_S,
    REACHABLE_TIMEOUT_S,
    READ_LEASE_TTL_S,
    TICK_INTERVAL_S,
)
from reedspoke.control_plane.replication.view import Member, View
from tests.control_plane.chain_replica import (
    FULL_CHAIN,
    HEAD,
    MIDDLE,
    START,
    TAIL,
    VIEW_NUMBER,
    entry,
    view_of,
)

OTHER_TAIL = View(VIEW_NUMBER + 1, FULL_CHAIN.voters, FULL_CHAIN.chain[:-1])
LONG_PAUSE_S = 5.0
PROPOSED_BY_S = REACHABLE_TIMEOUT_S + PROPOSAL_DELAY_S + 3 * PROPOSAL_DELAY_PER_RANK_S + 1.0


class LoneReplica:
    """A single replica; tests pass in the messages of the others."""

    def __init__(
        self,
        own: Member,
        view: View | None = FULL_CHAIN,
        *,
        tolerated: int = 1,
        bootstrap: bool = False,
        disk_error: ErrorCode | None = None,
    ) -> None:
        settings = ReplicaSettings(
            folder_id=own.folder_id,
            address=own.address,
            zone="",
            seeds=(HEAD.address, MIDDLE.address, TAIL.address),
            bootstrap=bootstrap,
            machines_tolerated=tolerated,
        )
        records = [encode_record(ViewRecord(view))] if view else []
        self.own = own
        self.view_number = view.number if view else 0
        self.now = START
        self.disk_error = disk_error
        self.disk_answers = True
        self.store_count = 0
        self.replica = Replica(settings, records, START, "incarnation-1")
        self.tick(0.0)

    def receive(self, sender: Member, message: Struct) -> list[Struct]:
        """Pass in a message, and return the messages that the replica sends."""
        return self._carry_out(self.replica.handle(self.now, MessageReceived(sender.address, message)))

    def tick(self, seconds: float = TICK_INTERVAL_S) -> list[Struct]:
        """Let time pass, and return the messages that the replica sends."""
        self.now += seconds
        return self._carry_out(self.replica.handle(self.now, Tick()))

    def heartbeat_from(
        self, member: Member, *, disk_ok: bool = True, receives_us: bool = True
    ) -> list[Struct]:
        """Receive a heartbeat of a complete member in the same view."""
        receives_from = (self.own.folder_id,) if receives_us else ()
        return self.receive(member, Heartbeat(member, self.view_number, receives_from, disk_ok, 0, 0))

    def request_lease_from(self, member: Member, *, receives_us: bool = True) -> list[Struct]:
        """Receive a heartbeat that requests a read lease."""
        receives_from = (self.own.folder_id,) if receives_us else ()
        heartbeat = Heartbeat(
            member, self.view_number, receives_from, True, 0, 0, lease_requested_at=self.now
        )
        return self.receive(member, heartbeat)

    def run_with(self, *members: Member, seconds: float, disk_ok: bool = True) -> list[Struct]:
        """Let time pass with these members reachable, and return the messages that the replica sends."""
        sent: list[Struct] = []
        end = self.now + seconds
        while self.now < end:
            for member in members:
                sent += self.heartbeat_from(member, disk_ok=disk_ok)
            sent += self.tick()
        return sent

    def read_is_answered(self) -> bool:
        """Whether it answers a read as the tail."""
        sent = self.receive(HEAD, GetRequest(self.view_number, "r1", known_sequence=0))
        (reply,) = _of_type(sent, GetReply)
        assert isinstance(reply, GetReply)
        return reply.ready

    def _carry_out(self, effects: list[Effect]) -> list[Struct]:
        sent: list[Struct] = []
        for effect in effects:
            if isinstance(effect, SendMessage):
                sent.append(effect.message)
            elif isinstance(effect, StoreRecords):
                self.store_count += 1
                if self.disk_answers:
                    sent += self._carry_out(
                        self.replica.handle(self.now, StoreCompleted(effect.token, self.disk_error))
                    )
        return sent


def _of_type(messages: list[Struct], kind: type[Struct]) -> list[Struct]:
    return [message for message in messages if isinstance(message, kind)]


def _last_heartbeat(messages: list[Struct]) -> Heartbeat:
    heartbeat = _of_type(messages, Heartbeat)[-1]
    assert isinstance(heartbeat, Heartbeat)
    return heartbeat


# ---- leases of the tail ----


@pytest.mark.parametrize(("view", "ready"), [(VIEW_NUMBER - 1, False), (VIEW_NUMBER, True)])
def test_a_lease_grant_counts_only_in_its_own_view(view: int, ready: bool) -> None:
    tail = LoneReplica(TAIL)
    tail.receive(HEAD, ReadLeaseGrant(HEAD.folder_id, view, tail.now))
    assert tail.read_is_answered() is ready


def test_a_tail_that_has_released_its_lease_answers_no_read() -> None:
    tail = LoneReplica(TAIL)
    tail.receive(HEAD, ReadLeaseGrant(HEAD.folder_id, VIEW_NUMBER, tail.now))
    assert _of_type(tail.receive(MIDDLE, ReadLeaseReleaseRequest(VIEW_NUMBER)), ReadLeaseReleased)
    assert not tail.read_is_answered()


def test_a_tail_does_not_release_its_lease_for_another_view() -> None:
    tail = LoneReplica(TAIL)
    assert not _of_type(tail.receive(MIDDLE, ReadLeaseReleaseRequest(VIEW_NUMBER - 1)), ReadLeaseReleased)


def test_a_member_before_the_tail_releases_no_lease() -> None:
    assert not _of_type(
        LoneReplica(MIDDLE).receive(HEAD, ReadLeaseReleaseRequest(VIEW_NUMBER)), ReadLeaseReleased
    )


def test_an_incomplete_tail_requests_no_lease() -> None:
    incomplete = view_of((HEAD, 1), (TAIL, VIEW_NUMBER))
    assert (
        _last_heartbeat(LoneReplica(TAIL, incomplete).tick(HEARTBEAT_INTERVAL_S)).lease_requested_at is None
    )
    assert _last_heartbeat(LoneReplica(TAIL).tick(HEARTBEAT_INTERVAL_S)).lease_requested_at is not None


def test_a_voter_grants_leases_only_to_a_reachable_tail() -> None:
    voter = LoneReplica(HEAD)
    assert _of_type(voter.request_lease_from(TAIL), ReadLeaseGrant)
    assert not _of_type(voter.request_lease_from(MIDDLE), ReadLeaseGrant)
    assert not _of_type(voter.request_lease_from(TAIL, receives_us=False), ReadLeaseGrant)


def test_a_voter_accepts_no_other_tail_after_a_grant() -> None:
    voter = LoneReplica(HEAD)
    voter.tick(READ_LEASE_TTL_S)
    voter.request_lease_from(TAIL)
    accept = AcceptRequest(OTHER_TAIL.number, ProposalNumber(1, "b"), OTHER_TAIL)
    assert not _of_type(voter.receive(MIDDLE, accept), AcceptResponse)
    voter.tick(READ_LEASE_TTL_S)
    assert _of_type(voter.receive(MIDDLE, accept), AcceptResponse)


def test_a_voter_grants_no_lease_after_it_has_accepted_another_tail() -> None:
    voter = LoneReplica(HEAD)
    voter.tick(READ_LEASE_TTL_S)
    accept = AcceptRequest(OTHER_TAIL.number, ProposalNumber(1, "b"), OTHER_TAIL)
    assert _of_type(voter.receive(MIDDLE, accept), AcceptResponse)
    assert not _of_type(voter.request_lease_from(TAIL), ReadLeaseGrant)


# ---- its own heartbeats ----


def test_a_member_reports_completeness_only_once_its_snapshot_is_on_disk() -> None:
    middle = LoneReplica(MIDDLE, view_of((HEAD, 1), (MIDDLE, VIEW_NUMBER), (TAIL, 1)))
    middle.disk_answers = False
    middle.receive(HEAD, InstallSnapshot(VIEW_NUMBER, VIEW_NUMBER, entry(1), b""))
    assert middle.store_count == 1
    assert _last_heartbeat(middle.tick(HEARTBEAT_INTERVAL_S)).synced_since == 0


def test_a_process_that_was_stopped_still_reports_the_replicas_it_received_before() -> None:
    middle = LoneReplica(MIDDLE)
    for other in (HEAD, TAIL):
        middle.heartbeat_from(other)
    assert _last_heartbeat(middle.tick(LONG_PAUSE_S)).receives_from == (HEAD.folder_id, TAIL.folder_id)


# ---- the first start ----


def test_a_seed_whose_disk_fails_takes_no_part_in_the_first_start() -> None:
    starting = LoneReplica(HEAD, None, bootstrap=True)
    assert _last_heartbeat(starting.tick(HEARTBEAT_INTERVAL_S)).bootstrap_seed
    refused = LoneReplica(HEAD, None, bootstrap=True, disk_error=ErrorCode.STORAGE_FULL)
    assert not _last_heartbeat(refused.tick(HEARTBEAT_INTERVAL_S)).bootstrap_seed


def test_an_empty_folder_takes_no_part_in_the_first_start_without_bootstrap() -> None:
    joining = LoneReplica(HEAD, None, bootstrap=False)
    assert joining.store_count == 0
    assert not _last_heartbeat(joining.tick(HEARTBEAT_INTERVAL_S)).bootstrap_seed


# ---- reachability and proposals ----


def test_a_replica_alone_reaches_no_majority() -> None:
    assert not LoneReplica(HEAD).replica.majority_reached


def test_a_replica_that_receives_no_heartbeats_of_ours_is_unreachable() -> None:
    head = LoneReplica(HEAD)
    head.heartbeat_from(TAIL, receives_us=False)
    assert not head.replica.majority_reached
    head.heartbeat_from(TAIL)
    assert head.replica.majority_reached


def test_a_replica_that_sends_no_heartbeats_is_unreachable() -> None:
    head = LoneReplica(HEAD)
    head.heartbeat_from(TAIL)
    for _ in range(int(REACHABLE_TIMEOUT_S / TICK_INTERVAL_S) + 2):
        head.tick()
    assert not head.replica.majority_reached


def test_a_replica_that_has_just_started_proposes_no_removal() -> None:
    head = LoneReplica(HEAD)
    sent = head.run_with(MIDDLE, seconds=REACHABLE_TIMEOUT_S - 2 * TICK_INTERVAL_S)
    assert not _of_type(sent, PrepareRequest)
    assert _of_type(head.run_with(MIDDLE, seconds=PROPOSED_BY_S), PrepareRequest)


def test_a_replica_without_a_majority_proposes_nothing() -> None:
    head = LoneReplica(HEAD, tolerated=0)
    assert not _of_type(head.run_with(seconds=PROPOSED_BY_S), PrepareRequest)


def test_an_incomplete_member_is_not_proposed_as_head() -> None:
    middle = LoneReplica(MIDDLE, view_of((HEAD, 1), (MIDDLE, VIEW_NUMBER), (TAIL, 1)))
    assert not _of_type(middle.run_with(TAIL, seconds=PROPOSED_BY_S), PrepareRequest)
    complete = LoneReplica(MIDDLE)
    assert _of_type(complete.run_with(TAIL, seconds=PROPOSED_BY_S), PrepareRequest)


def test_the_removal_of_a_member_whose_disk_fails_is_proposed() -> None:
    head = LoneReplica(HEAD)
    head.run_with(MIDDLE, TAIL, seconds=PROPOSED_BY_S)
    sent: list[Struct] = []
    for _ in range(int(PROPOSED_BY_S / TICK_INTERVAL_S)):
        sent += head.heartbeat_from(MIDDLE)
        sent += head.heartbeat_from(TAIL, disk_ok=False)
        sent += head.tick()
    assert _of_type(sent, PrepareRequest)
