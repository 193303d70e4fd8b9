"""The state shared by the roles of one replica (follower, takeover, leader, recovery)."""

from __future__ import annotations

from dataclasses import dataclass, field

from reedspoke.fleet.replicated_log.log_state import LogState
from reedspoke.fleet.replicated_log.messages import InstallSnapshot, LogStateReply
from reedspoke.fleet.replicated_log.snapshot_transfer import SnapshotReceiver, TransferResult


@dataclass(slots=True)
class Replica:
    """The identity of this replica, and its copy of the log.

    `incarnation` differs for each start of the process. `log_lines` collects lines for the program's log
    until they are taken.
    """

    replica_id: int
    voters: tuple[int, ...]
    incarnation: int
    retransmit_interval_us: int
    state: LogState
    snapshot_receiver: SnapshotReceiver = field(default_factory=SnapshotReceiver)
    log_lines: list[str] = field(default_factory=list)
    unclean_recoveries: int = 0  # takeovers with less than a majority having state: entries may be lost

    @property
    def other_voters(self) -> list[int]:
        """All voters except this one."""
        return [voter for voter in self.voters if voter != self.replica_id]

    @property
    def majority(self) -> int:
        """The number of voters in a quorum."""
        return len(self.voters) // 2 + 1

    def log_state_reply(self, term: int) -> LogStateReply:
        """Return the message that reports the end of this replica's log."""
        state = self.state
        return LogStateReply(term, self.incarnation, state.recovering, state.last_term, state.last_index)

    def receive_snapshot_chunk(self, chunk: InstallSnapshot) -> TransferResult:
        """Add a chunk of a snapshot. A corrupt snapshot is logged and discarded; it is then sent again."""
        result = self.snapshot_receiver.receive(chunk, self.state)
        if result is TransferResult.CORRUPT:
            self.log_lines.append("replicated log: snapshot discarded: its checksum is wrong")
        return result
