"""A replicated log: commands in one order on which a majority of the voters agrees; a disk is optional.

The protocol is Viewstamped Replication (Oki, Liskov 1988; Liskov, Cowling, "Viewstamped Replication
Revisited", 2012) with the rules for entries, commits and snapshots, and their names, as in Raft (Ongaro,
Ousterhout, "In Search of an Understandable Consensus Algorithm", 2014). It differs from both in that
leaders are not elected here: the holder of a lease (`reedspoke.fleet`) becomes the leader, and the
lease's fencing token is its term. Even if clocks are wrong and two replicas lead at the same time, the
log stays safe, for these reasons:

1. A voter rejects terms below the highest one that it has received (`LogState.adopt_term`). Prevents: an
   earlier leader that was paused resumes and commits entries concurrently with the later one.
2. A new leader reads a majority before it serves (`Takeover`), and takes the log whose last entry has the
   highest term, then the highest index. Any committed entry is at a majority and any two majorities share
   a voter, so that log has it. Prevents: a leader that was partitioned overwrites entries that were
   committed in the meantime.
3. It then appends an empty entry of its own term, and commits by counting only entries of its own term
   (`Leader.advance_commit_index`). Prevents: an entry of a former term counts as committed because a
   majority has it, and a replica with a higher last term takes over and removes it (Raft, section 5.4.2
   and figure 8).
4. A follower adds an entry only after one of the same index and term as in the leader's log, and removes
   entries only on a conflict (`Follower.on_append`). Prevents: gaps, and that a late duplicate removes
   entries that were acknowledged since.
5. A voter that restarts without its state is `recovering`: it acknowledges nothing until a majority,
   including the leader of the highest term, has answered, and it has all entries that this leader had
   then (`Recovery`; VR Revisited, section 4.3). Prevents: an entry counts as committed because of an
   acknowledgement whose entry the voter has lost.
6. Each start has a new incarnation, which is part of the answers, and a leader discards the
   acknowledgements of a former incarnation (`Leader._progress_of`). Prevents: late answers count for a
   voter that has lost the acknowledged entries.
7. If a majority has lost its state, committed entries may be lost. The leader continues with the best
   remaining log only after *all* voters have answered, counts this (`unclean_recoveries`) and reports it
   (`Takeover`). While a voter does not answer, it may have the entries, so the log waits.
8. With a disk, each change is stored before a message that depends on it is sent (`unsaved_changes`,
   `LogStore`), and a voter whose disk has failed sends no messages (`fail_storage`). Prevents: an
   acknowledged entry is lost in a restart.
9. A snapshot replaces the entries that it includes; later entries are kept if they continue the same log
   (`LogState.install_snapshot`). Prevents: a late snapshot removes entries that were acknowledged.

Times are arguments, in microseconds. This module performs no I/O.
"""

from __future__ import annotations

from reedspoke.fleet.replicated_log.follower import Follower
from reedspoke.fleet.replicated_log.leader import Leader
from reedspoke.fleet.replicated_log.log_state import LogState, PersistentState
from reedspoke.fleet.replicated_log.messages import (
    MAX_ENTRY_BYTES,
    Append,
    AppendAccepted,
    AppendRejected,
    FetchRequest,
    InstallSnapshot,
    LogMessage,
    LogStateReply,
    LogStateRequest,
    Outbox,
    Outgoing,
    RecoverEmpty,
    RecoveryReply,
    RecoveryRequest,
)
from reedspoke.fleet.replicated_log.recovery import Recovery
from reedspoke.fleet.replicated_log.replica import Replica
from reedspoke.fleet.replicated_log.state_machine import StateMachine
from reedspoke.fleet.replicated_log.takeover import Takeover

LeaderMessage = LogStateRequest | FetchRequest | Append | InstallSnapshot | RecoverEmpty


class ReplicatedLog:
    """One voter's replica: owns its role (`leadership`, None for a follower) and dispatches messages."""

    takeover_type: type[Takeover] = Takeover
    leader_type: type[Leader] = Leader

    def __init__(
        self,
        replica_id: int,
        voters: tuple[int, ...],
        incarnation: int,
        state_machine: StateMachine,
        retransmit_interval_us: int,
    ) -> None:
        self.state = LogState(state_machine)
        self.replica = Replica(replica_id, voters, incarnation, retransmit_interval_us, self.state)
        self.recovery = Recovery(self.replica)
        self.leadership: Takeover | Leader | None = None
        self.storage_failed = False
        self._follower = Follower(self.replica, self.recovery)

    # ---- queries ----

    @property
    def leader(self) -> Leader | None:
        """The role of a serving leader, or None."""
        return self.leadership if isinstance(self.leadership, Leader) else None

    @property
    def serving(self) -> bool:
        """Whether this replica is a leader that accepts commands."""
        return self.leader is not None

    @property
    def leader_term(self) -> int:
        """The term of this replica if it is a serving leader, else 0."""
        return self.leader.term if self.leader is not None else 0

    @property
    def recovering(self) -> bool:
        """Whether this replica has lost its state and has not yet recovered."""
        return self.state.recovering

    @property
    def commit_index(self) -> int:
        """Index of the last entry known here to be committed; it has been applied."""
        return self.state.commit_index

    # ---- lease, commands, storage ----

    def become_leader(self, term: int, now: int) -> Outbox:
        """Start to take over as a leader; the term is the fencing token of the acquired lease."""
        if self.storage_failed:
            return []
        takeover = self.leadership = self.takeover_type(self.replica, term, now)
        self.state.adopt_term(term)
        return self._serve_if_complete(takeover, takeover.start(), now)

    def step_down(self) -> None:
        """Stop leading, because the lease has ended or a later leader is known."""
        self.leadership = None

    def propose(self, command: bytes, now: int) -> tuple[int, Outbox]:
        """Append a command. Returns the index of its entry and the messages to send.

        The command is committed once `commit_index` has reached that index while `leader_term` is still
        the same. Raises ValueError if this replica is not serving or the command is empty or too long.
        """
        if self.leader is None:
            raise ValueError(f"replica {self.replica.replica_id} is not serving as the leader")
        if not 0 < len(command) <= MAX_ENTRY_BYTES:
            raise ValueError(f"command has {len(command)} bytes, not 1 to {MAX_ENTRY_BYTES}")
        index = self.state.last_index + 1
        return index, self.leader.propose(command, now)

    def restore(self, state: PersistentState) -> None:
        """Load the state that was stored on disk; called at the start."""
        self.state.restore(state)

    def fail_storage(self) -> None:
        """Send nothing from now on, like a stopped process, because changes cannot be stored."""
        self.storage_failed = True
        self.step_down()

    def tick(self, now: int) -> Outbox:
        """Retransmit unanswered messages; to be called several times per `retransmit_interval_us`."""
        if self.storage_failed:
            return []
        match self.leadership:
            case None:
                return self.recovery.tick(now)
            case Takeover() as takeover:
                return self._serve_if_complete(takeover, takeover.tick(now), now)
            case Leader() as leader:
                return leader.tick(now)

    def take_log_lines(self) -> list[str]:
        """Remove and return the collected lines for the program's log."""
        lines, self.replica.log_lines = self.replica.log_lines, []
        return lines

    # ---- messages ----

    def receive(self, sender: int, message: LogMessage, now: int) -> Outbox:
        """Handle a message of another voter. Returns the messages to send."""
        if sender not in self.replica.other_voters or self.storage_failed:
            return []
        match message:
            case RecoveryRequest():
                return self._on_recovery_request(sender, message)
            case RecoveryReply():
                if self.leadership is None:
                    self.recovery.receive_reply(sender, message)
                return []
            case LogStateReply() | AppendAccepted() | AppendRejected():
                return self._on_voter_reply(sender, message, now)
            case _:
                return self._on_leader_message(sender, message, now)

    def _on_recovery_request(self, sender: int, message: RecoveryRequest) -> Outbox:
        if self.leader is not None:
            self.leader.on_recovery_request(sender, message.incarnation)
        reply = self.recovery.reply_to(message, self.leader_term)
        return [Outgoing(sender, reply)] if reply is not None else []

    def _on_voter_reply(
        self, sender: int, message: LogStateReply | AppendAccepted | AppendRejected, now: int
    ) -> Outbox:
        """Handle an answer to this replica as a leader, serving or taking over."""
        role = self.leadership
        if role is None:
            return []
        if isinstance(message, AppendRejected) and message.term > role.term:
            self.state.adopt_term(message.term)
            self.step_down()
            return []
        if message.term != role.term:
            return []
        match role, message:
            case Takeover(), LogStateReply():
                return self._serve_if_complete(role, role.on_log_state_reply(sender, message), now)
            case Leader(), AppendAccepted():
                return role.on_accepted(sender, message, now)
            case Leader(), AppendRejected():
                return role.on_rejected(sender, message, now)
        return []

    def _on_leader_message(self, sender: int, message: LeaderMessage, now: int) -> Outbox:
        current_term = self.state.current_term
        if message.term < current_term:
            rejection = AppendRejected(current_term, 0, self.replica.incarnation, False)
            return [Outgoing(sender, rejection)]
        if self.leadership is not None and message.term > self.leadership.term:
            self.step_down()
        if not isinstance(message, FetchRequest):
            self.state.adopt_term(message.term)
        match message, self.leadership:
            case FetchRequest(), _:
                return self._follower.on_fetch_request(sender, message)
            case Append(), Takeover() as takeover:
                return self._serve_if_complete(takeover, takeover.on_append(sender, message), now)
            case InstallSnapshot(), Takeover() as takeover:
                return takeover.on_install_snapshot(message)
            case _, None:
                return self._on_followed_leader(sender, message)
        return []

    def _on_followed_leader(self, sender: int, message: LeaderMessage) -> Outbox:
        match message:
            case LogStateRequest():
                return self._follower.on_log_state_request(sender, message)
            case RecoverEmpty():
                return self._follower.on_recover_empty(message)
            case Append():
                return self._follower.on_append(sender, message)
            case InstallSnapshot():
                return self._follower.on_install_snapshot(sender, message)
            case FetchRequest():
                return self._follower.on_fetch_request(sender, message)

    def _serve_if_complete(self, takeover: Takeover, messages: Outbox, now: int) -> Outbox:
        if not takeover.complete:
            return messages
        leader = self.leadership = self.leader_type(self.replica, takeover)
        return [*messages, *leader.start(now)]
