"""Random events: answers, refusals, cuts, surplus bytes, clients that disconnect, lists that change.

The results are checked against the rules; a failure is reproduced with its seed.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest

from tests.data_plane.judge import History, Run, SentRequest
from tests.data_plane.wire import chunked, event, events
from tests.data_plane.world import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE,
    ROUTE_FIELDS,
    STREAMING,
    TIMEOUT_S,
    World,
    fresh_world,
    request_bytes,
)

STEPS = 120
CONNECTING = ("accept", "accept", "accept", "slow", "refuse", "hang", "reset at once")
STREAMS = (STREAMING, RESUMABLE)


class RandomEvents:
    """A sequence of random events, determined by its seed."""

    def __init__(self, world: World, seed: int) -> None:
        self.world = world
        self.random = Random(seed)
        self.history = History()
        self.arrivals_seen = 0
        self.open_runs: list[Run] = []
        self.started_streams: set[Run] = set()  # Streams whose head was sent.
        self.names = ["i-1", "i-2", "i-3", "i-4"]

    def play(self) -> None:
        for _ in range(STEPS):
            self.random.choice(EVENTS)(self)
            self.note_arrivals()
        for _ in range(60):  # Finally every worker answers all open requests.
            self.note_arrivals()
            for run in list(self.open_runs):
                self.answer(run)
            self.world.run_for(0.5)
        self.world.run_for(TIMEOUT_S)
        self.history.check()
        assert self.world.is_idle()

    # ---- clients ----

    def send_request(self) -> None:
        attempt_id = f"a{len(self.history.sent)}"
        path = self.random.choice(list(ROUTE_FIELDS))
        body = b"question %d" % len(self.history.sent) * self.random.randrange(1, 30)
        client = self.world.client()
        sent = SentRequest(attempt_id, path, body, client, self.random.randrange(1, 6))
        self.history.sent[attempt_id] = sent
        self.world.network.plan = [self.random.choice(CONNECTING) for _ in range(3)]
        extra_fields = {"Reedspoke_Deadline_Ms": "3000"} if self.random.random() < 0.2 else {}
        raw = request_bytes(path, attempt_id, body, Connection="close", **extra_fields)
        cut = self.random.randrange(len(raw))
        client.send(raw[:cut])
        client.send(raw[cut:])

    def disconnect(self) -> None:
        connected = [
            sent for sent in self.history.sent.values() if not sent.disconnected and not sent.client.answers()
        ]
        if connected:
            sent = self.random.choice(connected)
            sent.disconnected = True
            sent.client.disconnect()

    # ---- workers ----

    def note_arrivals(self) -> None:
        for arrival in self.world.arrivals[self.arrivals_seen :]:
            run = Run(arrival)
            sent = self.history.sent[arrival.attempt_id]
            resumed = int(arrival.request.get("last-event-id") or 0)
            run.next_event = resumed + 1
            run.status = 200
            run.body = (
                events(1, sent.event_count) if sent.path in STREAMS else b"to %b" % sent.attempt_id.encode()
            )
            self.history.runs[arrival.attempt_id].append(run)
            self.open_runs.append(run)
        self.arrivals_seen = len(self.world.arrivals)

    def random_open_run(self) -> Run | None:
        self.open_runs = [run for run in self.open_runs if not run.arrival.worker.is_closed]
        return self.random.choice(self.open_runs) if self.open_runs else None

    def answer(self, run: Run, surplus: bytes = b"") -> None:
        """The remainder of a complete answer."""
        sent = self.history.sent[run.arrival.attempt_id]
        if sent.path in STREAMS:
            raw = self.head(run) + chunked(*(event(n) for n in range(run.next_event, sent.event_count + 1)))
        else:
            raw = run.arrival.complete_answer(run.body)
        self.send(run, raw + surplus)
        self.open_runs.remove(run)

    def head(self, run: Run) -> bytes:
        started = run in self.started_streams
        self.started_streams.add(run)
        return b"" if started else run.arrival.stream_head()

    def send(self, run: Run, raw: bytes) -> None:
        cut = self.random.randrange(len(raw) + 1)
        run.arrival.worker.transport.arrive(raw[:cut])
        if self.random.random() < 0.5:
            self.world.loop.settle()
        run.arrival.worker.send(raw[cut:])

    def answer_some(self) -> None:
        run = self.random_open_run()
        if run is not None:
            self.answer(run)

    def answer_with_surplus(self) -> None:
        run = self.random_open_run()
        if run is not None:
            self.answer(run, self.random.choice([b"x", run.arrival.complete_answer(b"again"), b"\r\n"]))

    def surplus_later(self) -> None:
        """Repeats a complete answer on its connection, whatever the state of the connection."""
        old = [run for runs in self.history.runs.values() for run in runs if run not in self.open_runs]
        if old:
            run = self.random.choice(old)
            run.arrival.worker.send(
                run.arrival.complete_answer(b"again", self.random.choice(["200 OK", "500 Oh"]))
            )

    def some_events(self) -> None:
        run = self.random_open_run()
        if run is None:
            return
        sent = self.history.sent[run.arrival.attempt_id]
        if sent.path in STREAMS and run.next_event <= sent.event_count:
            self.send(run, self.head(run) + chunked(event(run.next_event), last=False))
            run.next_event += 1

    def refuse(self) -> None:
        run = self.random_open_run()
        if run is None or run in self.started_streams:
            return
        run.proven_not_run = True
        self.open_runs.remove(run)
        refusal = self.random.choice([run.arrival.overload_answer, run.arrival.wrong_instance_answer])
        self.send(run, refusal())

    def fail(self) -> None:
        run = self.random_open_run()
        if run is None or run in self.started_streams:
            return
        self.open_runs.remove(run)
        run.status = self.random.choice([500, 503, 504])
        run.body = b"why"
        self.send(run, run.arrival.complete_answer(b"why", f"{run.status} Failed"))

    def cut(self) -> None:
        run = self.random_open_run()
        if run is None:
            return
        self.open_runs.remove(run)
        if self.random.random() < 0.5 and run not in self.started_streams:
            raw = run.arrival.complete_answer(b"never whole")
            run.arrival.worker.send(raw[: self.random.randrange(len(raw))])
        self.random.choice([run.arrival.worker.reset, run.arrival.worker.end])()

    def garbage(self) -> None:
        run = self.random_open_run()
        if run is not None:
            self.open_runs.remove(run)
            run.arrival.worker.send(b"garbage\r\n\r\n")

    # ---- lists and time ----

    def change_list(self) -> None:
        self.world.set_workers(self.random.sample(self.names, self.random.randrange(1, 5)))

    def wait(self) -> None:
        self.world.run_for(self.random.choice([0.01, 0.1, 0.5, 2.0]))


Event = Callable[[RandomEvents], None]
EVENTS: list[Event] = [
    *[RandomEvents.send_request] * 6,
    *[RandomEvents.answer_some] * 4,
    *[RandomEvents.some_events] * 4,
    *[RandomEvents.wait] * 3,
    RandomEvents.disconnect,
    RandomEvents.answer_with_surplus,
    RandomEvents.surplus_later,
    RandomEvents.refuse,
    RandomEvents.fail,
    RandomEvents.cut,
    RandomEvents.garbage,
    RandomEvents.change_list,
]


@pytest.mark.parametrize("seed", range(15))
def test_random_events_violate_no_rule(seed: int) -> None:
    with fresh_world(workers=4, capacity=3) as world:
        RandomEvents(world, seed).play()


def test_all_kinds_of_requests_are_covered() -> None:
    assert set(ROUTE_FIELDS) == {NON_IDEMPOTENT, IDEMPOTENT, STREAMING, RESUMABLE}
