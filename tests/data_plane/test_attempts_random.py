"""Random events with answers that end with their connection, lack an attempt id, or contradict themselves."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.judge import Run
from tests.data_plane.test_exchange_random import EVENTS, STREAMS, RandomEvents
from tests.data_plane.wire import event
from tests.data_plane.world import fresh_world

SEEDS = range(100, 112)
NO_ID_REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nReedspoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"


class IrregularEvents(RandomEvents):
    """Random events with workers that answer irregularly."""

    def untouched_run(self) -> Run | None:
        """A run without any answer yet."""
        run = self.random_open_run()
        return None if run is None or run in self.started_streams else run

    def complete_body(self, run: Run) -> bytes:
        sent = self.history.sent[run.arrival.attempt_id]
        if sent.path in STREAMS:
            return b"".join(event(number) for number in range(run.next_event, sent.event_count + 1))
        return run.body

    def unframed_answer(self) -> None:
        """A complete answer delimited by the end of the connection."""
        run = self.untouched_run()
        if run is None:
            return
        self.open_runs.remove(run)
        raw = b"HTTP/1.1 200 OK\r\n" + run.arrival.fields() + b"\r\n" + self.complete_body(run)
        self.send(run, raw)
        run.arrival.worker.end()

    def unframed_reset(self) -> None:
        """The same answer, reset in the middle or at its end."""
        run = self.untouched_run()
        if run is None:
            return
        self.open_runs.remove(run)
        raw = b"HTTP/1.1 200 OK\r\n" + run.arrival.fields() + b"\r\n" + self.complete_body(run)
        run.arrival.worker.send(raw[: self.random.randrange(len(raw) + 1)])
        run.arrival.worker.reset()

    def refusal_without_id(self) -> None:
        """A refusal without an attempt id: on a reused connection it may be about an earlier request."""
        run = self.untouched_run()
        if run is None:
            return
        self.open_runs.remove(run)
        run.proven_not_run = len(run.arrival.worker.requests()) == 1
        self.send(run, self.random.choice([NO_ID_REFUSAL, MISDIRECTED]))

    def contradiction(self) -> None:
        """A success that claims that the request has not run."""
        run = self.untouched_run()
        if run is None or self.history.sent[run.arrival.attempt_id].path in STREAMS:
            return
        self.open_runs.remove(run)
        self.send(run, run.arrival.complete_answer(run.body, Reedspoke_Not_Executed="1"))

    def half_close(self) -> None:
        """The worker closes its write side, though it may still run the request."""
        run = self.random_open_run()
        if run is not None:
            self.open_runs.remove(run)
            run.arrival.worker.end()

    def unacknowledged(self) -> None:
        """The kernel ends the connection because sent data is not acknowledged."""
        run = self.random_open_run()
        if run is not None:
            self.open_runs.remove(run)
            run.arrival.worker.transport.arrive_timeout()

    def slow_reader(self) -> None:
        """A worker that stops reading: sent data stays in the scheduler's buffer."""
        run = self.random_open_run()
        if run is not None:
            run.arrival.worker.transport.stop_peer_reading()


IRREGULAR_EVENTS: list[Callable[[IrregularEvents], None]] = [
    IrregularEvents.unframed_answer,
    IrregularEvents.unframed_answer,
    IrregularEvents.unframed_reset,
    IrregularEvents.refusal_without_id,
    IrregularEvents.refusal_without_id,
    IrregularEvents.contradiction,
    IrregularEvents.half_close,
    IrregularEvents.unacknowledged,
    IrregularEvents.slow_reader,
]


@pytest.mark.parametrize("seed", SEEDS)
def test_random_events_with_irregular_answers_violate_no_rule(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    with fresh_world(workers=4, capacity=3) as world:
        events = IrregularEvents(world, seed)
        monkeypatch.setattr("tests.data_plane.test_exchange_random.EVENTS", EVENTS + IRREGULAR_EVENTS)
        events.play()
