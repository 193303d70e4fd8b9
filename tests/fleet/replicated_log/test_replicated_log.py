"""The replicated log without a disk.

Random runs with crashes and several leaders, and a test for each of the reasons why the log is safe.
"""

from __future__ import annotations

import pytest

from reedspoke.fleet.replicated_log.log_state import COMPACTION_THRESHOLD, LogEntry
from reedspoke.fleet.replicated_log.messages import (
    MAX_ENTRY_BYTES,
    Append,
    AppendRejected,
    InstallSnapshot,
    LogStateReply,
    RecoverEmpty,
    RecoveryReply,
    RecoveryRequest,
)
from reedspoke.fleet.replicated_log.recovery import RecoveryTarget
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from tests.fleet.replicated_log.simulated_voters import (
    MUTATIONS,
    NO_FAULTS,
    RETRANSMIT_INTERVAL_US,
    CommandList,
    CountsFormerTerms,
    SimulatedVoters,
    caught_after,
)


def voters_with_leader(size: int = 3, log_type: type[ReplicatedLog] = ReplicatedLog) -> SimulatedVoters:
    """Returns voters without faults, of which voter 0 leads with term 1."""
    voters = SimulatedVoters(size, 1, log_type, NO_FAULTS)
    voters.term = 1
    voters.make_leader(0, 1)
    run_steps(voters, 200)
    assert voters.logs[0].serving
    return voters


def run_steps(voters: SimulatedVoters, count: int) -> None:
    for _ in range(count):
        voters.step()


def propose(voters: SimulatedVoters, command: bytes, voter: int = 0) -> int:
    index, outbox = voters.logs[voter].propose(command, voters.now)
    voters.send(voter, outbox)
    return index


def applied(voters: SimulatedVoters, voter: int) -> list[bytes]:
    machine = voters.logs[voter].state.state_machine
    assert isinstance(machine, CommandList)
    return list(machine.commands.values())


def restarted_log(replica_id: int, voters: tuple[int, ...], incarnation: int) -> ReplicatedLog:
    return ReplicatedLog(replica_id, voters, incarnation, CommandList(), RETRANSMIT_INTERVAL_US)


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_no_acknowledged_entry_is_lost_under_random_faults(size: int) -> None:
    for seed in range(12):
        voters = SimulatedVoters(size, seed).run(800)
        assert voters.converges(2500), [
            (one.recovering, one.serving, one.commit_index) for one in voters.logs.values()
        ]


@pytest.mark.parametrize("log_type", MUTATIONS, ids=lambda log_type: log_type.__name__)
def test_each_mutation_is_caught(log_type: type[ReplicatedLog]) -> None:
    assert caught_after(log_type, 120) > 0


@pytest.mark.parametrize(
    ("log_type", "commit_index"), [(ReplicatedLog, 0), (CountsFormerTerms, 1)], ids=["unchanged", "mutation"]
)
def test_an_entry_of_a_former_term_is_committed_only_with_one_of_the_current_term(
    log_type: type[ReplicatedLog], commit_index: int
) -> None:
    """Raft's figure 8: an entry that a majority has may still be replaced by one of a higher term."""
    logs = [
        log_type(voter, (0, 1, 2, 3, 4), voter + 1, CommandList(), RETRANSMIT_INTERVAL_US)
        for voter in range(5)
    ]
    for replicated_log in logs:
        replicated_log.state.recovering = False
    for voter in (0, 1):
        logs[voter].state.entries, logs[voter].state.current_term = [LogEntry(2, b"old")], 2
    logs[4].state.entries, logs[4].state.current_term = [LogEntry(3, b"other")], 3
    logs[0].become_leader(4, 0)
    for voter in (1, 2):
        last_index = logs[voter].state.last_index
        last_term = 2 if last_index else 0
        logs[0].receive(voter, LogStateReply(4, voter + 1, False, last_term, last_index), 0)
    assert logs[0].serving
    leader = logs[0].leader
    assert leader is not None
    assert logs[0].state.entries == [LogEntry(2, b"old"), LogEntry(4, b"")]
    for voter in (1, 2):  # both acknowledge the old entry but do not have the next one yet
        leader.followers[voter].match_index = 1
    leader.advance_commit_index(0)
    assert logs[0].commit_index == commit_index


def test_committed_commands_are_applied_by_all_voters_in_order() -> None:
    voters = voters_with_leader()
    for number in range(20):
        propose(voters, b"n%d" % number)
    run_steps(voters, 300)
    expected = [b"n%d" % number for number in range(20)]
    assert [applied(voters, voter) for voter in range(3)] == [expected] * 3


def test_a_voter_far_behind_receives_a_snapshot_in_chunks() -> None:
    voters = voters_with_leader()
    voters.partitioned = {2}
    count = 5 * COMPACTION_THRESHOLD // 2
    for number in range(count):
        propose(voters, b"entry number %d" % number)
        run_steps(voters, 4)
    run_steps(voters, 200)
    assert voters.logs[0].state.snapshot_index > 0
    assert voters.logs[2].commit_index < 5
    voters.partitioned = set()
    run_steps(voters, 4000)
    assert applied(voters, 2) == applied(voters, 0)
    assert len(applied(voters, 2)) == count


def test_an_incarnation_without_state_acknowledges_nothing_until_it_has_caught_up() -> None:
    voters = voters_with_leader()
    propose(voters, b"first")
    run_steps(voters, 100)
    voters.start(2)
    voters.partitioned = {2}
    run_steps(voters, 100)
    recovering = voters.logs[2]
    assert recovering.recovering
    (answer,) = [message for _, message in recovering.receive(1, Append(9, 1, 0, 9, 0, b"x"), voters.now)]
    assert isinstance(answer, AppendRejected)
    assert recovering.receive(1, RecoveryRequest(7), voters.now) == []
    voters.start(2)
    voters.partitioned = set()
    run_steps(voters, 400)
    assert not voters.logs[2].recovering
    assert applied(voters, 2) == [b"first"]
    assert "recovered" in voters.logs[2].replica.log_lines[-1]


def test_a_recovering_voter_needs_the_leader_s_own_reply() -> None:
    """Its former incarnation may have acknowledged entries that only the leader has, not the other voters."""
    recovering = restarted_log(4, (0, 1, 2, 3, 4), 9)
    for sender in (1, 2, 3):
        recovering.receive(sender, RecoveryReply(9, 5, 0, 3), 0)
    assert recovering.recovery.target is None, "none of these voters is the leader"
    recovering.receive(0, RecoveryReply(9, 5, 5, 7), 0)
    assert recovering.recovery.target == RecoveryTarget(5, 7)


def test_voters_start_empty_only_after_all_have_lost_their_state() -> None:
    voters = voters_with_leader()
    propose(voters, b"lost")
    run_steps(voters, 100)
    voters.max_recovering = 3
    voters.committed.clear()
    voters.acknowledged.clear()
    for voter in range(3):
        voters.start(voter)
    voters.partitioned = {2}
    voters.send(0, voters.logs[0].become_leader(2, voters.now))
    run_steps(voters, 300)
    assert not voters.logs[0].serving, "the voter that does not answer may have state"
    voters.partitioned = set()
    run_steps(voters, 300)
    assert voters.logs[0].serving
    assert voters.logs[0].replica.unclean_recoveries == 1
    assert "no voter has state" in voters.logs[0].replica.log_lines[-1]
    propose(voters, b"again")
    run_steps(voters, 200)
    assert [applied(voters, voter) for voter in range(3)] == [[b"again"]] * 3


def test_after_a_majority_lost_its_state_the_log_continues_with_the_rest() -> None:
    voters = voters_with_leader()
    propose(voters, b"kept")
    run_steps(voters, 100)
    for voter in (1, 2):
        voters.start(voter)
    voters.send(0, voters.logs[0].become_leader(2, voters.now))
    run_steps(voters, 400)
    assert "1 of 3 voters have state" in voters.logs[0].replica.log_lines[-1]
    assert [applied(voters, voter) for voter in range(3)] == [[b"kept"]] * 3


def test_a_leader_of_a_lower_term_steps_down() -> None:
    voters = voters_with_leader()
    voters.send(1, voters.logs[1].become_leader(7, voters.now))
    run_steps(voters, 200)
    assert not voters.logs[0].serving
    assert voters.logs[1].serving
    with pytest.raises(ValueError, match="not serving"):
        voters.logs[0].propose(b"late", voters.now)


@pytest.mark.parametrize("command", [b"", b"x" * (MAX_ENTRY_BYTES + 1)])
def test_a_command_of_invalid_size_is_rejected(command: bytes) -> None:
    with pytest.raises(ValueError, match="bytes"):
        voters_with_leader().logs[0].propose(command, 0)


def test_recovery_without_state_is_for_the_incarnation_that_answered() -> None:
    recovering = restarted_log(1, (0, 1), 5)
    recovering.receive(0, RecoverEmpty(3, 4), 0)
    assert recovering.recovering
    recovering.receive(0, RecoverEmpty(3, 5), 0)
    assert not recovering.recovering


def test_a_corrupt_snapshot_is_not_installed() -> None:
    recovering = restarted_log(1, (0, 1), 5)
    assert recovering.receive(0, InstallSnapshot(3, 9, 2, 0, 4, 12345, b"abcd"), 0) == []
    assert recovering.state.snapshot_index == 0
    assert "checksum" in recovering.replica.log_lines[-1]
