"""Operators who submit different documents with one match and one generation."""

from __future__ import annotations

from dataclasses import dataclass, field

from reedspoke.common.errors import ErrorCode
from tests.control_plane.simulation import Simulation

REJECTED = {ErrorCode.CONFIGURATION_STALE_MATCH, ErrorCode.CONFIGURATION_OLD_GENERATION}
ANSWER_LOST = 0.4  # share of answers that are lost, after which the operator resubmits


@dataclass
class CompetingChange:
    """One operator's change, with every call that submitted it."""

    match: int
    generation: int
    document: bytes
    calls: list[int] = field(default_factory=list)
    finished: bool = False


class CompetingChanges:
    """Competing changes of several operators; `check` checks all answers so far."""

    def __init__(self, simulation: Simulation, operators: int, match: int, generation: int) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self.changes = [
            CompetingChange(match, generation, f"generation {generation} of operator {number}".encode())
            for number in range(1, operators + 1)
        ]

    def send(self) -> None:
        """Submit the change of every operator without a final answer, at random machines in random order."""
        for change in self._random.sample(self.changes, len(self.changes)):
            if not change.finished:
                self._send(change, self._random.choice(list(self._simulation.machines)))

    def read_answers(self) -> None:
        """Deliver the answers to the operators, except for those that are lost."""
        for change in self.changes:
            clear = self._final_answers(change)
            if clear and self._random.random() >= ANSWER_LOST:
                change.finished = True

    def resend_all(self) -> list[ErrorCode | None]:
        """Submit each change again, whatever its answer was; return the answers, one for each operator."""
        return [self._resend(change) for change in self.changes]

    def check(self) -> None:
        """Check that at most one change is acknowledged, and that none is both acknowledged and rejected."""
        outcomes = [self._final_answers(change) for change in self.changes]
        assert sum("acknowledged" in outcome for outcome in outcomes) <= 1, outcomes
        assert all(len(outcome) <= 1 for outcome in outcomes), outcomes

    def _send(self, change: CompetingChange, address: str) -> int:
        call = self._simulation.put(address, change.match, change.generation, change.document)
        change.calls.append(call)
        return call

    def _resend(self, change: CompetingChange) -> ErrorCode | None:
        running = [machine.address for machine in self._simulation.running()]
        call = self._send(change, self._random.choice(running))
        answers = self._simulation.judge.put_answers
        assert self._simulation.run_until(lambda: call in answers, 2.0)
        return answers[call].error

    def _final_answers(self, change: CompetingChange) -> set[str]:
        answers = self._simulation.judge.put_answers
        errors = {answers[call].error for call in change.calls if call in answers}
        outcomes = {"acknowledged"} if None in errors else set()
        return outcomes | ({"rejected"} if errors & REJECTED else set())
