"""Judges a day of random events by the rules alone: by what clients got and what workers were asked."""

from __future__ import annotations

from collections import defaultdict

from msgspec import Struct, field

from tests.data_plane.wire import SeenAnswer
from tests.data_plane.world import NEVER_REPEATED, SEAL, Arrival, Client

PROMISES = (408, 421, 429, 503)


class Asked(Struct, eq=False):
    """A request of a client, and what is known of it."""

    attempt_id: str
    path: str
    body: bytes
    client: Client
    pieces: int  # events of its whole stream
    left: bool = False


class Run(Struct, eq=False):
    """What a worker has done with a request that reached it."""

    arrival: Arrival
    proven_not_run: bool = False  # it has said so
    status: int = 0
    body: bytes = b""  # what its whole answer holds
    next_event: int = 0


class Ledger(Struct, eq=False):
    """All requests and all runs."""

    asked: dict[str, Asked] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))

    def check(self) -> None:
        """Raises AssertionError where a rule is broken."""
        for asked in self.asked.values():
            self.check_runs(asked)
            answers = asked.client.answers()
            assert len(answers) <= 1, f"{asked.attempt_id} got {len(answers)} answers"
            if answers:
                self.check_answer(asked, answers[0])
            else:
                assert asked.left, f"{asked.attempt_id} got no answer"
        assert set(self.runs) <= set(self.asked), "a worker ran what nobody asked for"

    def check_runs(self, asked: Asked) -> None:
        runs = self.runs[asked.attempt_id]
        for run in runs:
            request = run.arrival.request
            assert (request.target, request.body) == (asked.path, asked.body), "a request was changed"
            assert request.get("reedspoke-target-instance") == run.arrival.worker.instance_id
        if asked.path in NEVER_REPEATED:
            may_have_run = [run for run in runs if not run.proven_not_run]
            assert len(may_have_run) <= 1, f"{asked.attempt_id} may have run twice"

    def check_answer(self, asked: Asked, answer: SeenAnswer) -> None:
        runs = self.runs[asked.attempt_id]
        if 200 <= answer.status < 300:
            self.check_success(asked, answer)
            return
        assert asked.left or answer.is_complete, f"{asked.attempt_id}: an error was cut off"
        if answer.status in PROMISES and asked.path in NEVER_REPEATED:
            assert all(run.proven_not_run for run in runs), f"{asked.attempt_id} was promised not to run"

    def check_success(self, asked: Asked, answer: SeenAnswer) -> None:
        runs = self.runs[asked.attempt_id]
        assert answer.get("reedspoke-response-seal") == SEAL
        assert answer.get("reedspoke-attempt-id") == asked.attempt_id
        whole = {run.body for run in runs if run.status == answer.status}
        if answer.is_complete:
            assert answer.body in whole, f"{asked.attempt_id} got another body as whole"
        else:
            assert asked.left or asked.client.was_reset, f"{asked.attempt_id}: cut off, and not seen to be"
            assert any(body.startswith(answer.body) for body in whole)
