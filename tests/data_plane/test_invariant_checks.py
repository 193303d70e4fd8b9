"""Each invariant of the data plane is seen to be broken where the guard before it is gone."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import WorkerList
from reedspoke.data_plane.answers import own_answer
from reedspoke.data_plane.exchange_invariants import check_success
from reedspoke.data_plane.headers import RESPONSE_SEAL
from reedspoke.decision.dispatcher import Dispatcher
from reedspoke.decision.messages import Repeat
from reedspoke.net.http import Head
from reedspoke.telemetry.invariants import Invariant, monitor
from tests.data_plane.plane import WORKER, fresh_plane
from tests.data_plane.test_guards_exchange import FIRST, OVERLOAD, SECOND, Scene

EVENT = b"id: %d\ndata: x\n\n"
LONG_S = 5.0


def broken_by(play: Callable[[], object]) -> set[Invariant]:
    """The invariants that this violates."""
    monitor.reset_violations()
    play()
    return {violation.invariant for violation in monitor.reset_violations()}


def sent(scene: Scene) -> None:
    """An attempt has been sent."""
    scene.exchange.send(FIRST)
    scene.connected()


def silent(scene: Scene) -> None:
    """It has been sent, and was given up for silence."""
    sent(scene)
    scene.exchange.give_up_attempt()


def begun(scene: Scene, attempt_id: str = "a1", number: int = 3) -> None:
    """A stream has begun with this event."""
    sent(scene)
    fields = [(b"reedspoke-response-seal", memoryview(b"s"))]
    fields.append((b"reedspoke-attempt-id", memoryview(attempt_id.encode())))
    scene.exchange.on_head(Head(1, status=200, fields=fields))
    scene.exchange.on_body(memoryview(EVENT % number))


def test_what_may_have_run_is_sent_again() -> None:
    scene = Scene(Repeat.NEVER)

    def play() -> None:
        silent(scene)
        scene.exchange.send(SECOND)
        scene.connected()

    assert broken_by(play) == {Invariant.NOT_SENT_AGAIN}


def test_it_is_no_violation_where_it_may_be_repeated() -> None:
    scene = Scene(Repeat.IDEMPOTENT)

    def play() -> None:
        silent(scene)
        scene.exchange.send(SECOND)
        scene.connected()

    assert broken_by(play) == set()


def test_more_workers_than_the_route_allows() -> None:
    scene = Scene(Repeat.IDEMPOTENT)

    def play() -> None:
        for _ in range(3):
            silent(scene)

    assert broken_by(play) == {Invariant.ATTEMPTS_BOUNDED}


def test_a_promise_for_what_may_have_run() -> None:
    scene = Scene(Repeat.NEVER)

    def play() -> None:
        silent(scene)
        scene.exchange.refuse(OVERLOAD)

    assert broken_by(play) == {Invariant.REFUSED_HAS_NOT_RUN}


def test_a_promise_while_the_attempt_is_still_out() -> None:
    scene = Scene(Repeat.NEVER)

    def play() -> None:
        sent(scene)
        scene.exchange.refuse(OVERLOAD)

    assert broken_by(play) == {Invariant.REFUSED_HAS_NOT_RUN}


def test_another_request_s_answer() -> None:
    assert broken_by(lambda: begun(Scene(), attempt_id="b7")) == {Invariant.ANSWER_IS_OWN}


def test_a_success_without_a_seal() -> None:
    assert broken_by(lambda: check_success("a1", 200, b"X: y\r\n")) == {Invariant.SUCCESS_IS_SEALED}
    sealed = b"Reedspoke-Response-Seal: s\r\n"
    assert RESPONSE_SEAL in sealed.lower()
    assert broken_by(lambda: check_success("a1", 200, sealed)) == set()
    assert broken_by(lambda: check_success("a1", 500, b"")) == set()


@pytest.mark.parametrize(("second", "broken"), [(2, True), (3, True), (4, False), (9, False)])
def test_events_that_do_not_rise(second: int, broken: bool) -> None:
    scene = Scene()

    def play() -> None:
        begun(scene)
        scene.exchange.on_body(memoryview(EVENT % second))

    assert broken_by(play) == ({Invariant.EVENTS_RISE} if broken else set())


@pytest.mark.parametrize(("second", "broken"), [(1, True), (4, False)])
def test_a_resumed_stream_that_begins_elsewhere(second: int, broken: bool) -> None:
    scene = Scene()

    def play() -> None:
        begun(scene)
        scene.exchange.give_up_attempt()
        begun(scene, number=second)

    assert broken_by(play) == ({Invariant.EVENTS_RISE} if broken else set())


def test_a_worker_that_has_long_been_leaving() -> None:
    scene = Scene()
    scene.owner.known_to_leave_since = lambda instance_id: scene.loop.time() - LONG_S  # type: ignore[method-assign]
    assert broken_by(lambda: sent(scene)) == {Invariant.DRAIN_OBEYED}


def test_two_answers_to_one_request() -> None:
    answer = own_answer(503, ErrorCode.OVERLOADED, "no")

    def play() -> None:
        with fresh_plane() as plane:
            plane.learn()
            plane.asked("/once/")
            connection = next(iter(plane.plane._connections))
            connection.answer_whole(answer)
            connection.answer_whole(answer)

    assert broken_by(play) == {Invariant.ONE_FINAL_ANSWER}


def test_a_job_is_left_of_a_client_that_has_gone(monkeypatch: pytest.MonkeyPatch) -> None:
    with fresh_plane() as plane:
        plane.learn()
        client = plane.asked("/once/")
        monkeypatch.setattr(Dispatcher, "attempt_ended", lambda *_: [])

        def play() -> None:
            client.arrive_end()
            plane.loop.run_for(1)

        assert broken_by(play) == {Invariant.GONE_CLIENT_HOLDS_NOTHING, Invariant.IDLE_HOLDS_NOTHING}


def test_a_position_is_left_behind(monkeypatch: pytest.MonkeyPatch) -> None:
    with fresh_plane() as plane:
        plane.learn()
        plane.asked("/once/")
        arrival = plane.arrival()
        monkeypatch.setattr("reedspoke.decision.worker_state.WorkerState.end", lambda *_: None)

        def play() -> None:
            arrival.worker.say(arrival.whole())
            plane.loop.run_for(1)

        assert broken_by(play) == {Invariant.IDLE_HOLDS_NOTHING}


def test_an_older_list_of_workers_is_taken() -> None:
    with fresh_plane() as plane:
        plane.learn()

        def play() -> None:
            plane.plane._on_workers(WorkerList((1, 0), (WORKER,)))

        assert broken_by(play) == {Invariant.DELIVERY_RISES}


def test_an_older_configuration_is_taken() -> None:
    with fresh_plane() as plane:
        plane.learn()
        held = plane.plane._admission.routes.configuration
        assert held is not None
        assert broken_by(lambda: plane.plane._on_configuration(held, (0, 9))) == {Invariant.DELIVERY_RISES}
