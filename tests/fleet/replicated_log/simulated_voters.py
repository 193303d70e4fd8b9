"""Random runs of a replicated log, which check that it is safe.

Voters crash and lose their state, messages are lost, delayed and duplicated, and there are several leaders at
the same time. No acknowledged entry may be lost, and no two voters may commit different entries.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from reedspoke.errors import ReedspokeError
from reedspoke.fleet.messages.frame import decode_frame, encode_frames
from reedspoke.fleet.replicated_log.leader import Leader
from reedspoke.fleet.replicated_log.log_state import LogEntry
from reedspoke.fleet.replicated_log.messages import LogEnvelope, LogMessage, Outbox
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from reedspoke.fleet.replicated_log.takeover import Takeover

RETRANSMIT_INTERVAL_US = 100
LOG_NAME_HASH = 7


class LostEntryError(ReedspokeError, AssertionError):
    """An acknowledged entry was lost, or two voters have committed different entries."""

    code = "lab-entry-lost"
    remedy = "a defect in fleet/replicated_log: keep the seed that the message names"


class CommandList:
    """A state machine that stores all commands."""

    def __init__(self) -> None:
        self.commands: dict[int, bytes] = {}

    def apply(self, index: int, command: bytes) -> None:
        self.commands[index] = command

    def snapshot(self) -> bytes:
        return b"".join(
            index.to_bytes(4) + len(command).to_bytes(2) + command for index, command in self.commands.items()
        )

    def restore(self, snapshot: bytes) -> None:
        self.commands, at = {}, 0
        while at < len(snapshot):
            size = int.from_bytes(snapshot[at + 4 : at + 6])
            self.commands[int.from_bytes(snapshot[at : at + 4])] = snapshot[at + 6 : at + 6 + size]
            at += 6 + size


@dataclass(slots=True)
class FaultRates:
    """The probability of each event per step."""

    loss: float = 0.1
    duplicate: float = 0.05
    crash: float = 0.004
    new_leader: float = 0.01
    propose: float = 0.3
    partition: float = 0.01


NO_FAULTS = FaultRates(0, 0, 0, 0, 0, 0)


@dataclass(slots=True, frozen=True)
class MessageInFlight:
    """A message that has not arrived yet."""

    arrives_at: int
    sender: int
    recipient: int
    message: LogMessage


@dataclass(slots=True, frozen=True)
class PendingCommand:
    """A proposed command that has not been committed yet, by voter and index."""

    voter: int
    index: int
    entry: LogEntry


@dataclass
class SimulatedVoters:
    """Simulates `size` voters on one random schedule; `log_type` may be a mutation of `ReplicatedLog`.

    `max_recovering` is the maximum number of voters that recover at the same time; -1 stands for a minority.
    """

    size: int
    seed: int
    log_type: type[ReplicatedLog] = ReplicatedLog
    rates: FaultRates = field(default_factory=FaultRates)
    max_recovering: int = -1

    def __post_init__(self) -> None:
        self.random = Random(self.seed)
        self.now = 0
        self.term = 0
        self.incarnations = 0
        self.logs: dict[int, ReplicatedLog] = {}
        self.in_flight: list[MessageInFlight] = []
        self.partitioned: set[int] = set()
        self.committed: dict[int, LogEntry] = {}  # by index, as first committed by any voter
        self.acknowledged: dict[bytes, int] = {}
        self.pending: list[PendingCommand] = []
        self.checked: dict[int, int] = {}  # by voter, the commit index up to which entries were compared
        self.command_count = 0
        minority = (self.size - 1) // 2
        self.max_recovering = minority if self.max_recovering < 0 else self.max_recovering
        for voter in range(self.size):
            self.start(voter)

    def start(self, voter: int) -> None:
        self.incarnations += 1
        self.logs[voter] = self.log_type(
            voter, tuple(range(self.size)), self.incarnations, CommandList(), RETRANSMIT_INTERVAL_US
        )
        self.checked[voter] = 0
        self.pending = [one for one in self.pending if one.voter != voter]

    def send(self, sender: int, outbox: Outbox) -> None:
        for recipient, message in outbox:
            (body,) = encode_frames(sender, 1, 1, [LogEnvelope(LOG_NAME_HASH, message)])
            (envelope,) = decode_frame(body).messages
            assert isinstance(envelope, LogEnvelope)
            for _ in range(1 + (self.random.random() < self.rates.duplicate)):
                if self.random.random() >= self.rates.loss:
                    arrives_at = self.now + self.random.randrange(1, 60)
                    self.in_flight.append(MessageInFlight(arrives_at, sender, recipient, envelope.message))

    def step(self) -> None:
        self.now += self.random.randrange(1, 8)
        self.deliver()
        for voter, replicated_log in self.logs.items():
            self.send(voter, replicated_log.tick(self.now))
            self.check_commits(voter)
        if self.random.random() < self.rates.new_leader or (not self.term and self.random.random() < 0.2):
            self.term += self.random.randrange(1, 5)
            self.make_leader(self.random.randrange(self.size), self.term)
        if self.random.random() < self.rates.propose:
            self.propose_somewhere()
        recovering = sum(one.recovering for one in self.logs.values())
        if self.random.random() < self.rates.crash and recovering < self.max_recovering and self.term:
            self.start(self.random.randrange(self.size))
        if self.random.random() < self.rates.partition:
            minority = (self.size - 1) // 2
            self.partitioned = (
                set() if self.partitioned else set(self.random.sample(range(self.size), minority))
            )

    def deliver(self) -> None:
        for one in [one for one in self.in_flight if one.arrives_at <= self.now]:
            self.in_flight.remove(one)
            if (one.sender in self.partitioned) == (one.recipient in self.partitioned):
                replies = self.logs[one.recipient].receive(one.sender, one.message, self.now)
                self.send(one.recipient, replies)
                self.check_commits(one.recipient)

    def make_leader(self, voter: int, term: int) -> None:
        self.send(voter, self.logs[voter].become_leader(term, self.now))
        self.check_commits(voter)

    def propose_somewhere(self) -> None:
        serving_voters = [
            voter
            for voter, one in self.logs.items()
            if one.serving and one.state.last_index < one.commit_index + 20
        ]
        if serving_voters:
            voter = self.random.choice(serving_voters)
            self.command_count += 1
            command = b"n%d" % self.command_count
            index, outbox = self.logs[voter].propose(command, self.now)
            entry = LogEntry(self.logs[voter].leader_term, command)
            self.pending.append(PendingCommand(voter, index, entry))
            self.send(voter, outbox)
            self.check_commits(voter)

    def check_commits(self, voter: int) -> None:
        """Compares the entries that a voter has committed with those that any voter has committed before."""
        state = self.logs[voter].state
        for index in range(max(self.checked[voter], state.snapshot_index) + 1, state.commit_index + 1):
            entry = state.entry_at(index)
            if self.committed.setdefault(index, entry) != entry:
                raise LostEntryError(
                    f"voter {voter} committed {entry} at {index}, another voter {self.committed[index]}"
                )
        self.checked[voter] = max(self.checked[voter], state.commit_index)
        for one in list(self.pending):
            if one.voter == voter and state.commit_index >= one.index:
                self.pending.remove(one)
                if state.snapshot_index < one.index and state.entry_at(one.index) == one.entry:
                    self.acknowledged[one.entry.data] = one.index

    def check(self) -> None:
        """Checks at the end that acknowledged commands are committed and that no voter has applied others."""
        for command, index in self.acknowledged.items():
            if index not in self.committed or self.committed[index].data != command:
                raise LostEntryError(f"command {command!r} was acknowledged at {index} and is lost")
        for voter, replicated_log in self.logs.items():
            machine = replicated_log.state.state_machine
            assert isinstance(machine, CommandList)
            for index, command in machine.commands.items():
                if index in self.committed and self.committed[index].data != command:
                    raise LostEntryError(
                        f"voter {voter} has applied {command!r} at {index} instead of another"
                    )

    def run(self, steps: int) -> SimulatedVoters:
        for _ in range(steps):
            self.step()
        self.check()
        return self

    def converges(self, steps: int = 1500) -> bool:
        """Returns whether, after the end of all faults, a new leader serves and no voter is recovering."""
        self.rates, self.partitioned = NO_FAULTS, set()
        self.term += 1
        leader = self.random.randrange(self.size)
        self.send(leader, self.logs[leader].become_leader(self.term, self.now))
        for _ in range(steps):
            self.step()
        self.check()
        commit_indexes = {one.commit_index for one in self.logs.values()}
        return (
            self.logs[leader].serving
            and len(commit_indexes) == 1
            and not any(one.recovering for one in self.logs.values())
        )


# ---- mutations that each remove one of the reasons why the log is safe ----


class CommitsBeforeMajorityLeader(Leader):
    """Commits all of its entries at once."""

    def advance_commit_index(self, now: int) -> Outbox:
        self.replica.state.commit_through(self.replica.state.last_index)
        return super().advance_commit_index(now)


class CommitsBeforeMajority(ReplicatedLog):
    """Acknowledges an entry before a majority has it."""

    leader_type = CommitsBeforeMajorityLeader


class ReadsNoMajorityTakeover(Takeover):
    """Completes without any answers."""

    def choose_log(self) -> Outbox:
        self.complete = True
        return []


class ReadsNoMajority(ReplicatedLog):
    """Leads without reading a majority first."""

    takeover_type = ReadsNoMajorityTakeover


class VotesWithoutState(ReplicatedLog):
    """Votes at once in an incarnation that has lost its state."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)  # type: ignore[arg-type]
        self.state.recovering = False


class FollowsLowerTerms(ReplicatedLog):
    """Follows a leader of a lower term."""

    def receive(self, sender: int, message: LogMessage, now: int) -> Outbox:
        self.state.current_term = 0
        return super().receive(sender, message, now)


class CountsFormerTermsLeader(Leader):
    """Commits any entry that a majority has."""

    def advance_commit_index(self, now: int) -> Outbox:
        state = self.replica.state
        match_indexes = [state.last_index, *(one.match_index for one in self.followers.values())]
        state.commit_through(sorted(match_indexes, reverse=True)[self.replica.majority - 1])
        return super().advance_commit_index(now)


class CountsFormerTerms(ReplicatedLog):
    """Commits entries of former terms by counting the voters that have them.

    Random runs do not reach the failure that this causes, so it has a test of its own.
    """

    leader_type = CountsFormerTermsLeader


class TakesFirstLogTakeover(Takeover):
    """Completes with its own log once a majority has answered."""

    def choose_log(self) -> Outbox:
        with_state = [reply for reply in self.replies.values() if not reply.recovering]
        if len(with_state) + (not self.replica.state.recovering) < self.replica.majority:
            return super().choose_log()
        self.complete = True
        return []


class TakesFirstLog(ReplicatedLog):
    """Leads with its own log, although another voter may have a more recent one."""

    takeover_type = TakesFirstLogTakeover


MUTATIONS: tuple[type[ReplicatedLog], ...] = (
    CommitsBeforeMajority,
    ReadsNoMajority,
    VotesWithoutState,
    FollowsLowerTerms,
    TakesFirstLog,
)
MUTATION_FAULT_RATES = (
    FaultRates(),
    FaultRates(new_leader=0.05, partition=0.05, loss=0.2),
    FaultRates(new_leader=0.1, loss=0.4, propose=0.6),
)


def caught_after(log_type: type[ReplicatedLog], max_runs: int = 400, steps: int = 1500) -> int:
    """Returns the number of runs after which the mutation is caught, or 0 if it is not."""
    for seed in range(1, max_runs + 1):
        size = 3 if seed % 2 else 5
        try:
            SimulatedVoters(size, seed, log_type, MUTATION_FAULT_RATES[seed % len(MUTATION_FAULT_RATES)]).run(
                steps
            )
        except (LostEntryError, AssertionError, IndexError, ValueError):
            return seed
    return 0
