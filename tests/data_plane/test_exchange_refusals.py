"""The final answer after failed attempts, for each kind of request and fate of attempts."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from tests.data_plane.wire import SeenAnswer
from tests.data_plane.world import (
    IDEMPOTENT,
    NEVER_REPEATED,
    NON_IDEMPOTENT,
    RESUMABLE,
    STREAMING,
    Arrival,
    World,
    fresh_world,
)

NOT_RUN_STATUSES = (408, 421, 429, 503)
PATHS = (NON_IDEMPOTENT, IDEMPOTENT, STREAMING, RESUMABLE)


def reset(arrival: Arrival) -> None:
    arrival.worker.reset()


def closed(arrival: Arrival) -> None:
    arrival.worker.end()


def garbage(arrival: Arrival) -> None:
    arrival.worker.send(b"garbage\r\n\r\n")


def head_then_reset(arrival: Arrival) -> None:
    arrival.worker.send(arrival.complete_answer()[:-3])
    arrival.worker.reset()


def overloaded(arrival: Arrival) -> None:
    arrival.worker.send(arrival.overload_answer())


def wrong_instance(arrival: Arrival) -> None:
    arrival.worker.send(arrival.wrong_instance_answer())


def unproven(status: str) -> Callable[[Arrival], None]:
    """Sends an answer of this status without proof that the request has not run."""
    return lambda arrival: arrival.worker.send(arrival.complete_answer(b"why", status))


def proven(status: str) -> Callable[[Arrival], None]:
    """Sends an answer that proves that the request has not run."""
    return lambda arrival: arrival.worker.send(
        arrival.complete_answer(b"", status, Reedspoke_Not_Executed="1")
    )


# No connection is established, or none that could carry a request.
CONNECTING = ("refuse", "hang", "reset at once")
NOT_RUN = {
    "overloaded": overloaded,
    "wrong instance": wrong_instance,
    "proven 429": proven("429 Too Many Requests"),
    "proven 408": proven("408 Request Timeout"),
}
MAY_HAVE_RUN = {
    "reset": reset,
    "closed": closed,
    "garbage": garbage,
    "head then reset": head_then_reset,
    "unproven 503": unproven("503 Service Unavailable"),
    "unproven 429": unproven("429 Too Many Requests"),
    "unproven 408": unproven("408 Request Timeout"),
}
ENDINGS = NOT_RUN | MAY_HAVE_RUN
FATES = (*CONNECTING, *ENDINGS)


def play(world: World, path: str, fates: tuple[str, ...]) -> tuple[SeenAnswer, list[str]]:
    """The answer to a request whose attempts have these fates, and the fates that occurred."""
    world.network.plan = [fate if fate in CONNECTING else "accept" for fate in fates]
    client = world.new_request(path)
    arrivals_seen = 0
    for _ in range(40):
        for arrival in world.arrivals[arrivals_seen:]:
            arrivals_seen += 1
            ENDINGS[fates[len(fates) - len(world.network.plan) - 1]](arrival)
        if world.is_idle():
            break
        world.run_for(0.1)
    assert world.is_idle()
    return client.answer(), list(fates[: len(fates) - len(world.network.plan)])


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("fate", FATES)
def test_the_only_attempt_decides_the_final_status(path: str, fate: str) -> None:
    with fresh_world(workers=1) as world:
        answer, _ = play(world, path, (fate,))
    assert answer.is_complete
    if fate not in MAY_HAVE_RUN:
        assert answer.status == 503
        assert float(answer.get("retry-after") or -1) >= 0
    elif path in NEVER_REPEATED:
        assert answer.status == 502
        assert answer.get("retry-after") is None
    else:
        assert answer.status in (502, 503)


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("first", FATES)
def test_no_not_run_status_after_an_attempt_that_may_have_run(path: str, first: str) -> None:
    for second in FATES:
        with fresh_world(workers=2, attempts=2) as world:
            answer, occurred = play(world, path, (first, second))
            arrivals = len(world.arrivals)
        may_have_run = sum(fate in MAY_HAVE_RUN for fate in occurred)
        assert arrivals == sum(fate not in CONNECTING for fate in occurred), second
        assert answer.is_complete, second
        assert answer.get("reedspoke-response-seal") is None, second
        if path in NEVER_REPEATED:
            assert may_have_run <= 1, second
            assert len(occurred) == (1 if first in MAY_HAVE_RUN else 2), second
            assert (answer.status in NOT_RUN_STATUSES) is (may_have_run == 0), second


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("before", [fate for fate in FATES if fate not in MAY_HAVE_RUN])
def test_a_success_after_an_attempt_that_did_not_run_is_forwarded(path: str, before: str) -> None:
    with fresh_world(workers=2, attempts=2) as world:
        world.network.plan = [before if before in CONNECTING else "accept"]
        client = world.new_request(path)
        if before in ENDINGS:
            ENDINGS[before](world.arrival())
        world.run_for(1)
        arrival = world.arrival()
        arrival.worker.send(arrival.complete_answer(b"id: 1\ndata: x\n\n"))
        assert (client.answer().status, client.answer().is_complete) == (200, True)
        assert client.answer().body == b"id: 1\ndata: x\n\n"
        assert world.is_idle()


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", ["500 Internal Server Error", "502 Bad Gateway", "504 Gateway Timeout"])
def test_the_last_workers_own_error_is_returned(path: str, status: str) -> None:
    with fresh_world(workers=1) as world:
        client = world.new_request(path)
        world.arrival().worker.send(world.arrival().complete_answer(b"why", status))
        world.run_for(3)
        assert (client.answer().status, client.answer().body) == (int(status[:3]), b"why")
        assert world.is_idle()


@pytest.mark.parametrize("path", NEVER_REPEATED)
@pytest.mark.parametrize("status", ["500 Internal Server Error", "502 Bad Gateway", "504 Gateway Timeout"])
def test_a_worker_error_does_not_repeat_a_request_that_must_not_be_repeated(path: str, status: str) -> None:
    with fresh_world() as world:
        client = world.new_request(path)
        world.arrival().worker.send(world.arrival().complete_answer(b"why", status))
        world.run_for(3)
        assert client.answer().status == int(status[:3])
        assert len(world.arrivals) == 1


def test_a_workers_own_timeout_is_forwarded_without_a_further_attempt() -> None:
    """It arrives at the deadline: another attempt would have no time, and would use up retry budget."""
    with fresh_world() as world:
        client = world.new_request(IDEMPOTENT, Reedspoke_Deadline_Ms="3000")
        world.run_for(2.99)
        world.arrival().worker.send(world.arrival().complete_answer(b"late", "504 Gateway Timeout"))
        world.run_for(1)
        assert client.answer().status == 504
        assert len(world.arrivals) == 1


def test_a_400_of_a_worker_is_not_retried() -> None:
    """No worker would accept the request: the 400 is forwarded even if it proves that it has not run."""
    with fresh_world() as world:
        client = world.new_request(NON_IDEMPOTENT)
        proven("400 Bad Request")(world.arrival())
        world.run_for(3)
        assert client.answer().status == 400
        assert len(world.arrivals) == 1


@pytest.mark.parametrize("path", PATHS)
def test_the_route_bounds_the_number_of_attempts(path: str) -> None:
    with fresh_world(workers=3, attempts=2) as world:
        client = world.new_request(path)
        for number in range(2):
            overloaded(world.arrivals[number])
            world.run_for(0.2)
        world.run_for(3)
        assert len(world.arrivals) == 2
        assert client.answer().status == 503


@pytest.mark.parametrize("path", PATHS)
def test_no_second_attempt_without_budget(path: str) -> None:
    with fresh_world(slack=0.0) as world:
        client = world.new_request(path)
        overloaded(world.arrival())
        world.run_for(3)
        assert len(world.arrivals) == 1
        assert client.answer().status == 503


@pytest.mark.parametrize("path", PATHS)
def test_without_workers_a_request_is_refused_in_time(path: str) -> None:
    with fresh_world(workers=0) as world:
        client = world.new_request(path)
        world.run_for(0.5)
        assert client.answer().status == 503
        assert client.answer().get("retry-after") is not None
        assert world.is_idle()


def test_a_queued_request_gets_a_503_at_its_deadline() -> None:
    with fresh_world(workers=1, capacity=1) as world:
        world.new_request(NON_IDEMPOTENT, "a1")
        waiting = world.new_request(NON_IDEMPOTENT, "a2", Reedspoke_Deadline_Ms="300")
        world.run_for(1)
        assert waiting.answer().status == 503
        assert len(world.arrivals) == 1


@pytest.mark.parametrize("path", NEVER_REPEATED)
def test_a_connection_that_is_reset_while_it_is_opened_carried_nothing(path: str) -> None:
    """Workers do so beyond their maximum of connections."""
    with fresh_world(workers=2) as world:
        world.network.plan = ["reset at once"]
        client = world.new_request(path)
        world.run_for(1)
        arrival = world.arrival()
        arrival.worker.send(arrival.complete_answer(b"id: 1\n\n"))
        assert client.answer().status == 200
