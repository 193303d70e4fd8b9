"""Random days with answers that end with their connection, name no request, or contradict themselves."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.judge import Run
from tests.data_plane.test_exchange_random import EVENTS, STREAMS, Day
from tests.data_plane.wire import event
from tests.data_plane.world import fresh_world

SEEDS = range(100, 112)
UNNAMED = b"HTTP/1.1 503 Service Unavailable\r\nReedspoke-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"


class LooseDay(Day):
    """A day with workers that keep less to the usual form."""

    def untouched_run(self) -> Run | None:
        """A run of which nothing has been said."""
        run = self.some_run()
        return None if run is None or run in self.begun else run

    def whole_body(self, run: Run) -> bytes:
        sent = self.ledger.sent[run.arrival.attempt_id]
        if sent.path in STREAMS:
            return b"".join(event(number) for number in range(run.next_event, sent.event_count + 1))
        return run.body

    def unframed(self) -> None:
        """A whole answer that ends with its connection."""
        run = self.untouched_run()
        if run is None:
            return
        self.open_runs.remove(run)
        raw = b"HTTP/1.1 200 OK\r\n" + run.arrival.fields() + b"\r\n" + self.whole_body(run)
        self.say(run, raw)
        run.arrival.worker.end()

    def unframed_reset(self) -> None:
        """The same, reset in the middle or at its end."""
        run = self.untouched_run()
        if run is None:
            return
        self.open_runs.remove(run)
        raw = b"HTTP/1.1 200 OK\r\n" + run.arrival.fields() + b"\r\n" + self.whole_body(run)
        run.arrival.worker.send(raw[: self.random.randrange(len(raw) + 1)])
        run.arrival.worker.reset()

    def unnamed_refusal(self) -> None:
        """On a connection that carried a request before, it is about that one: ours runs on."""
        run = self.untouched_run()
        if run is None:
            return
        self.open_runs.remove(run)
        run.proven_not_run = len(run.arrival.worker.requests()) == 1
        self.say(run, self.random.choice([UNNAMED, MISDIRECTED]))

    def contradiction(self) -> None:
        """A success that says that it was not run."""
        run = self.untouched_run()
        if run is None or self.ledger.sent[run.arrival.attempt_id].path in STREAMS:
            return
        self.open_runs.remove(run)
        self.say(run, run.arrival.complete_answer(run.body, Reedspoke_Not_Executed="1"))

    def half_close(self) -> None:
        """The worker writes no more, though it may read and run."""
        run = self.some_run()
        if run is not None:
            self.open_runs.remove(run)
            run.arrival.worker.end()

    def unacknowledged(self) -> None:
        """The system gives the connection up."""
        run = self.some_run()
        if run is not None:
            self.open_runs.remove(run)
            run.arrival.worker.transport.arrive_timeout()

    def slow_reader(self) -> None:
        """A worker that does not read for now: what is sent to it waits at our end."""
        run = self.some_run()
        if run is not None:
            run.arrival.worker.transport.stop_peer_reading()


LOOSE: list[Callable[[LooseDay], None]] = [
    LooseDay.unframed,
    LooseDay.unframed,
    LooseDay.unframed_reset,
    LooseDay.unnamed_refusal,
    LooseDay.unnamed_refusal,
    LooseDay.contradiction,
    LooseDay.half_close,
    LooseDay.unacknowledged,
    LooseDay.slow_reader,
]


@pytest.mark.parametrize("seed", SEEDS)
def test_a_loose_day_breaks_no_rule(seed: int, monkeypatch: pytest.MonkeyPatch) -> None:
    with fresh_world(workers=4, capacity=3) as world:
        day = LooseDay(world, seed)
        monkeypatch.setattr("tests.data_plane.test_exchange_random.EVENTS", EVENTS + LOOSE)
        day.play()
