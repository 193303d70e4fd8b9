"""Checks a run of random events by its rules: by what clients received and what arrived at workers."""

from __future__ import annotations

from collections import defaultdict

from msgspec import Struct, field

from tests.data_plane.wire import SeenAnswer
from tests.data_plane.world import NEVER_REPEATED, SEAL, Arrival, Client

NOT_RUN_STATUSES = (408, 421, 429, 503)


class SentRequest(Struct, eq=False):
    """A request of a client."""

    attempt_id: str
    path: str
    body: bytes
    client: Client
    event_count: int  # Number of events of its complete stream.
    disconnected: bool = False


class Run(Struct, eq=False):
    """What a worker did with a request that arrived there."""

    arrival: Arrival
    proven_not_run: bool = False  # The worker has proved it.
    status: int = 0
    body: bytes = b""  # The body of its complete answer.
    next_event: int = 0


class History(Struct, eq=False):
    """All requests of clients and all runs at workers."""

    sent: dict[str, SentRequest] = field(default_factory=dict)
    runs: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))

    def check(self) -> None:
        """Raises AssertionError if a rule is violated."""
        for sent in self.sent.values():
            self.check_runs(sent)
            answers = sent.client.answers()
            assert len(answers) <= 1, f"{sent.attempt_id} got {len(answers)} answers"
            if answers:
                self.check_answer(sent, answers[0])
            else:
                assert sent.disconnected, f"{sent.attempt_id} got no answer"
        assert set(self.runs) <= set(self.sent), "a worker ran a request that no client sent"

    def check_runs(self, sent: SentRequest) -> None:
        """Checks that workers got the request unchanged and, if not repeatable, ran it at most once."""
        runs = self.runs[sent.attempt_id]
        for run in runs:
            request = run.arrival.request
            assert (request.target, request.body) == (sent.path, sent.body), "a request was modified"
            assert request.get("reedspoke-target-instance") == run.arrival.worker.instance_id
        if sent.path in NEVER_REPEATED:
            may_have_run = [run for run in runs if not run.proven_not_run]
            assert len(may_have_run) <= 1, f"{sent.attempt_id} may have run twice"

    def check_answer(self, sent: SentRequest, answer: SeenAnswer) -> None:
        """Checks the answer: an error is complete, and claims not to have run only if that is proven."""
        runs = self.runs[sent.attempt_id]
        if 200 <= answer.status < 300:
            self.check_success(sent, answer)
            return
        assert sent.disconnected or answer.is_complete, f"{sent.attempt_id}: an error answer is incomplete"
        if answer.status in NOT_RUN_STATUSES and sent.path in NEVER_REPEATED:
            assert all(run.proven_not_run for run in runs), (
                f"{sent.attempt_id} may have run, but the status claims that it has not"
            )

    def check_success(self, sent: SentRequest, answer: SeenAnswer) -> None:
        """Checks that a success is sealed, belongs to the request and has the body of one of its runs."""
        runs = self.runs[sent.attempt_id]
        assert answer.get("reedspoke-response-seal") == SEAL
        assert answer.get("reedspoke-attempt-id") == sent.attempt_id
        complete_bodies = {run.body for run in runs if run.status == answer.status}
        if answer.is_complete:
            assert answer.body in complete_bodies, f"{sent.attempt_id} got a wrong complete body"
        else:
            assert sent.disconnected or sent.client.was_reset, f"{sent.attempt_id}: looks complete"
            assert any(body.startswith(answer.body) for body in complete_bodies)
