"""Checks of the simulation by an outside observer: the rules for configuration changes and reads."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted
from reedspoke.control_plane.replication.entry import CommittedConfiguration

REJECTIONS = {
    ErrorCode.CONFIGURATION_STALE_MATCH,
    ErrorCode.CONFIGURATION_OLD_GENERATION,
    ErrorCode.NO_QUORUM,
}


@dataclass
class Change:
    """A submitted document, with all calls that submitted it."""

    match: int
    generation: int
    open_calls: set[int] = field(default_factory=set)
    acknowledged: bool = False
    unclear: bool = False
    rejected: bool = False  # finally, and not only by a machine without a majority

    @property
    def may_be_in_force(self) -> bool:
        """False once it was rejected finally, or every call with it was rejected."""
        return not self.rejected and (bool(self.open_calls) or self.acknowledged or self.unclear)


@dataclass
class Judge:
    """Checks each answer and delivery as it comes. Tests submit each document with one match only."""

    changes: dict[bytes, Change] = field(default_factory=dict)
    put_answers: dict[int, PutCompleted] = field(default_factory=dict)
    get_answers: dict[int, GetCompleted] = field(default_factory=dict)
    newest_acknowledged: int = 0
    newest_read: int = 0
    on_acknowledged: list[Callable[[], None]] = field(default_factory=list)
    _calls: dict[str, set[int]] = field(default_factory=dict)
    _documents: dict[int, bytes] = field(default_factory=dict)
    _least_for_get: dict[int, int] = field(default_factory=dict)
    _committed: dict[int, CommittedConfiguration] = field(default_factory=dict)
    _delivered: dict[str, int] = field(default_factory=dict)
    _acknowledged_on: dict[int, bytes] = field(default_factory=dict)
    _acknowledged_as: dict[int, bytes] = field(default_factory=dict)

    @property
    def newest_known(self) -> int:
        """The newest generation that any operator has seen."""
        return max(self.newest_acknowledged, self.newest_read)

    def put_submitted(
        self, address: str, request_id: int, match: int, generation: int, document: bytes
    ) -> None:
        """A change is submitted to a machine."""
        self._calls.setdefault(address, set()).add(request_id)
        change = self.changes.setdefault(document, Change(match, generation))
        assert (change.match, change.generation) == (match, generation), (
            "the test submits one document as two changes"
        )
        change.open_calls.add(request_id)
        self._documents[request_id] = document

    def put_answered(self, answer: PutCompleted) -> None:
        """A change is answered."""
        assert answer.request_id not in self.put_answers, "two answers to one call"
        self.put_answers[answer.request_id] = answer
        document = self._documents[answer.request_id]
        change = self.changes[document]
        change.open_calls.discard(answer.request_id)
        if answer.error is None:
            self._acknowledge(change, document)
        elif answer.error not in REJECTIONS:
            assert answer.error is ErrorCode.WRITE_UNCLEAR
            change.unclear = True
        else:
            # A machine without a majority cannot know that a change has been acknowledged before.
            known = answer.error is not ErrorCode.NO_QUORUM
            assert not (known and change.acknowledged), "rejected after it was acknowledged"
            # A change that builds on a future generation may be accepted once that is in force.
            change.rejected |= known and change.match <= self.newest_known
            self._check_not_committed(change, document)

    def stopped(self, address: str) -> None:
        """A process has ended; its open calls get no answer."""
        for request_id in self._calls.pop(address, set()):
            if request_id not in self.put_answers:
                change = self.changes[self._documents[request_id]]
                change.open_calls.discard(request_id)
                change.unclear = True

    def get_submitted(self, request_id: int) -> None:
        """A read is submitted; its answer must not be older than the newest generation known now."""
        self._least_for_get[request_id] = self.newest_known

    def get_answered(self, answer: GetCompleted) -> None:
        """A read is answered."""
        assert answer.request_id not in self.get_answers, "two answers to one call"
        self.get_answers[answer.request_id] = answer
        if answer.error is ErrorCode.NO_QUORUM:
            return
        generation = answer.committed.generation if answer.committed else 0
        least = self._least_for_get[answer.request_id]
        assert generation >= least, f"read {generation} after {least} was known"
        self.newest_read = max(self.newest_read, generation)
        if answer.committed is not None:
            self._check_committed(answer.committed)

    def delivered(self, address: str, committed: CommittedConfiguration) -> None:
        """A machine delivers a configuration to its data plane."""
        assert committed.sequence > self._delivered.get(address, 0), "delivered an older configuration"
        self._delivered[address] = committed.sequence
        self._check_committed(committed)

    def started(self, address: str) -> None:
        """A process has started; it may deliver an older configuration than the one before."""
        self._delivered.pop(address, None)

    def delivered_sequence(self, address: str) -> int:
        """The sequence that this process has delivered last; 0 before the first."""
        return self._delivered.get(address, 0)

    def _acknowledge(self, change: Change, document: bytes) -> None:
        assert not change.rejected, "acknowledged after it was rejected"
        change.acknowledged = True
        same_number = self._acknowledged_as.setdefault(change.generation, document)
        assert same_number == document, f"two changes are acknowledged as {change.generation}"
        other = self._acknowledged_on.setdefault(change.match, document)
        assert other == document, f"two changes on top of {change.match} are acknowledged"
        self.newest_acknowledged = max(self.newest_acknowledged, change.generation)
        for callback in self.on_acknowledged:
            callback()

    def _check_committed(self, committed: CommittedConfiguration) -> None:
        known = self._committed.setdefault(committed.sequence, committed)
        assert known == committed, f"two configurations are committed as {committed.sequence}"
        change = self.changes[committed.document]
        assert change.generation == committed.generation
        assert change.may_be_in_force, f"{committed.generation} was rejected and is in force"

    def _check_not_committed(self, change: Change, document: bytes) -> None:
        if not change.may_be_in_force:
            assert all(known.document != document for known in self._committed.values())
