"""Each invariant of the data plane reports a violation when the guard before it is removed."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import WorkerList
from reedspoke.data_plane.answers import error_answer
from reedspoke.data_plane.exchange_invariants import check_success
from reedspoke.data_plane.headers import RESPONSE_SEAL
from reedspoke.decision.dispatcher import Dispatcher
from reedspoke.decision.messages import Repeat
from reedspoke.net.http import Head
from reedspoke.telemetry.invariants import Invariant, monitor
from tests.data_plane.plane import WORKER, fresh_plane
from tests.data_plane.test_guards_exchange import FIRST, OVERLOAD, SECOND, ExchangeHarness

EVENT = b"id: %d\ndata: x\n\n"
LONG_S = 5.0


def violated_by(play: Callable[[], object]) -> set[Invariant]:
    """The invariants that `play` violates."""
    monitor.reset_violations()
    play()
    return {violation.invariant for violation in monitor.reset_violations()}


def send_attempt(harness: ExchangeHarness) -> None:
    """Sends an attempt."""
    harness.exchange.send(FIRST)
    harness.establish_connection()


def send_attempt_that_times_out(harness: ExchangeHarness) -> None:
    """Sends an attempt that times out."""
    send_attempt(harness)
    harness.exchange.time_out_attempt()


def start_stream(harness: ExchangeHarness, attempt_id: str = "a1", number: int = 3) -> None:
    """Starts a stream with this event."""
    send_attempt(harness)
    fields = [(b"reedspoke-response-seal", memoryview(b"s"))]
    fields.append((b"reedspoke-attempt-id", memoryview(attempt_id.encode())))
    harness.exchange.on_head(Head(1, status=200, fields=fields))
    harness.exchange.on_body(memoryview(EVENT % number))


def test_a_request_that_may_have_run_is_sent_again() -> None:
    harness = ExchangeHarness(Repeat.NEVER)

    def play() -> None:
        send_attempt_that_times_out(harness)
        harness.exchange.send(SECOND)
        harness.establish_connection()

    assert violated_by(play) == {Invariant.NOT_SENT_AGAIN}


def test_a_repeat_of_an_idempotent_request_is_no_violation() -> None:
    harness = ExchangeHarness(Repeat.IDEMPOTENT)

    def play() -> None:
        send_attempt_that_times_out(harness)
        harness.exchange.send(SECOND)
        harness.establish_connection()

    assert violated_by(play) == set()


def test_more_workers_than_the_route_allows() -> None:
    harness = ExchangeHarness(Repeat.IDEMPOTENT)

    def play() -> None:
        for _ in range(3):
            send_attempt_that_times_out(harness)

    assert violated_by(play) == {Invariant.ATTEMPTS_BOUNDED}


def test_a_not_run_status_for_a_request_that_may_have_run() -> None:
    harness = ExchangeHarness(Repeat.NEVER)

    def play() -> None:
        send_attempt_that_times_out(harness)
        harness.exchange.refuse(OVERLOAD)

    assert violated_by(play) == {Invariant.REFUSED_HAS_NOT_RUN}


def test_a_not_run_status_while_an_attempt_is_in_flight() -> None:
    harness = ExchangeHarness(Repeat.NEVER)

    def play() -> None:
        send_attempt(harness)
        harness.exchange.refuse(OVERLOAD)

    assert violated_by(play) == {Invariant.REFUSED_HAS_NOT_RUN}


def test_another_request_s_answer() -> None:
    assert violated_by(lambda: start_stream(ExchangeHarness(), attempt_id="b7")) == {Invariant.ANSWER_IS_OWN}


def test_a_success_without_a_seal() -> None:
    assert violated_by(lambda: check_success("a1", 200, b"X: y\r\n")) == {Invariant.SUCCESS_IS_SEALED}
    sealed = b"Reedspoke-Response-Seal: s\r\n"
    assert RESPONSE_SEAL in sealed.lower()
    assert violated_by(lambda: check_success("a1", 200, sealed)) == set()
    assert violated_by(lambda: check_success("a1", 500, b"")) == set()


@pytest.mark.parametrize(("second", "violated"), [(2, True), (3, True), (4, False), (9, False)])
def test_events_that_do_not_rise(second: int, violated: bool) -> None:
    harness = ExchangeHarness()

    def play() -> None:
        start_stream(harness)
        harness.exchange.on_body(memoryview(EVENT % second))

    assert violated_by(play) == ({Invariant.EVENTS_RISE} if violated else set())


@pytest.mark.parametrize(("second", "violated"), [(1, True), (4, False)])
def test_a_resumed_stream_that_starts_at_a_wrong_event(second: int, violated: bool) -> None:
    harness = ExchangeHarness()

    def play() -> None:
        start_stream(harness)
        harness.exchange.time_out_attempt()
        start_stream(harness, number=second)

    assert violated_by(play) == ({Invariant.EVENTS_RISE} if violated else set())


def test_a_request_to_a_worker_long_known_to_drain() -> None:
    harness = ExchangeHarness()
    harness.owner.unavailable_since = lambda instance_id: harness.loop.time() - LONG_S  # type: ignore[method-assign]
    assert violated_by(lambda: send_attempt(harness)) == {Invariant.DRAIN_OBEYED}


def test_two_answers_to_one_request() -> None:
    answer = error_answer(503, ErrorCode.OVERLOADED, "no")

    def play() -> None:
        with fresh_plane() as plane:
            plane.receive_state()
            plane.new_request("/once/")
            connection = next(iter(plane.plane._connections))
            connection.send_answer(answer)
            connection.send_answer(answer)

    assert violated_by(play) == {Invariant.ONE_FINAL_ANSWER}


def test_a_job_of_a_disconnected_client_is_not_released(monkeypatch: pytest.MonkeyPatch) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        client = plane.new_request("/once/")
        monkeypatch.setattr(Dispatcher, "attempt_ended", lambda *_: [])

        def play() -> None:
            client.arrive_end()
            plane.loop.run_for(1)

        assert violated_by(play) == {Invariant.GONE_CLIENT_HOLDS_NOTHING, Invariant.IDLE_HOLDS_NOTHING}


def test_a_reservation_is_not_released(monkeypatch: pytest.MonkeyPatch) -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        plane.new_request("/once/")
        arrival = plane.arrival()
        monkeypatch.setattr("reedspoke.decision.worker_state.WorkerState.end", lambda *_: None)

        def play() -> None:
            arrival.worker.send(arrival.complete_answer())
            plane.loop.run_for(1)

        assert violated_by(play) == {Invariant.IDLE_HOLDS_NOTHING}


def test_an_older_list_of_workers_is_applied() -> None:
    with fresh_plane() as plane:
        plane.receive_state()

        def play() -> None:
            plane.plane._on_workers(WorkerList((1, 0), (WORKER,)))

        assert violated_by(play) == {Invariant.DELIVERY_RISES}


def test_an_older_configuration_is_applied() -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        held = plane.plane._admission.routes.configuration
        assert held is not None
        assert violated_by(lambda: plane.plane._on_configuration(held, (0, 9))) == {Invariant.DELIVERY_RISES}
