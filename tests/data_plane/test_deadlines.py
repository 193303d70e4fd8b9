"""Deadlines: the time that workers get, and when clients get their final answers."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from tests.data_plane.world import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE,
    STREAMING,
    TIMEOUT_S,
    Arrival,
    Client,
    World,
    fresh_world,
    request_bytes,
)

MAX_LATE_S = 0.5  # Allowed delay of the final answer after the deadline.
DEADLINE_S = 4.0
SLOW_BODY_S = 1.5
PAUSE_S = 0.9
BODY = b"the question"
PATHS = (NON_IDEMPOTENT, IDEMPOTENT, STREAMING, RESUMABLE)

Play = Callable[[World, Client], None]


def ends_at(world: World, arrival: Arrival) -> float:
    """The deadline that the worker got, if the request arrived just now."""
    deadline_ms = arrival.request.get("reedspoke-deadline-ms")
    assert deadline_ms is not None
    return world.loop.time() + int(deadline_ms) / 1000


def until_arrivals(world: World, count: int) -> None:
    """Lets time pass until so many attempts have arrived at workers."""
    for _ in range(1000):
        if len(world.arrivals) >= count:
            return
        world.run_for(0.001)
    pytest.fail("no further attempt")


def request_with_slow_body(world: World, path: str, **extra_fields: str) -> Client:
    """A client whose body arrives SLOW_BODY_S after its head."""
    client = world.client()
    raw = request_bytes(path, "a1", BODY, **extra_fields)
    client.send(raw[: -len(BODY)])
    world.run_for(SLOW_BODY_S)
    client.send(raw[-len(BODY) :])
    return client


# ---- the time that workers get ----


@pytest.mark.parametrize("path", PATHS)
def test_the_time_that_a_body_took_is_deducted_from_the_deadline(path: str) -> None:
    with fresh_world() as world:
        started_at = world.loop.time()
        request_with_slow_body(world, path, Reedspoke_Deadline_Ms=str(int(1000 * DEADLINE_S)))
        assert ends_at(world, world.arrival()) <= started_at + DEADLINE_S + 0.01


@pytest.mark.parametrize("path", PATHS)
def test_without_a_deadline_the_time_limit_of_the_route_runs_from_the_first_byte(path: str) -> None:
    with fresh_world() as world:
        started_at = world.loop.time()
        request_with_slow_body(world, path)
        assert ends_at(world, world.arrival()) <= started_at + TIMEOUT_S + 0.01


def test_the_deadline_of_a_pipelined_request_includes_its_wait() -> None:
    """It arrived while the previous request was being answered."""
    with fresh_world() as world:
        client = world.new_request(IDEMPOTENT, "a1")
        first = world.arrival()
        world.run_for(PAUSE_S)
        arrived_at = world.loop.time()
        client.send(request_bytes(IDEMPOTENT, "a2", Reedspoke_Deadline_Ms=str(int(1000 * DEADLINE_S))))
        world.run_for(PAUSE_S)
        first.worker.send(first.complete_answer())
        second = world.arrival()
        assert second.attempt_id == "a2"
        assert ends_at(world, second) == pytest.approx(arrived_at + DEADLINE_S, abs=0.01)


@pytest.mark.parametrize("path", PATHS)
def test_a_retry_gets_the_remaining_time(path: str) -> None:
    with fresh_world() as world:
        started_at = world.loop.time()
        world.new_request(path, Reedspoke_Deadline_Ms=str(int(1000 * DEADLINE_S)))
        first = world.arrival()
        world.run_for(PAUSE_S)
        first.worker.send(first.overload_answer())
        until_arrivals(world, 2)
        assert ends_at(world, world.arrival()) <= started_at + DEADLINE_S + 0.01


def test_a_resumed_stream_gets_the_remaining_time() -> None:
    with fresh_world() as world:
        started_at = world.loop.time()
        world.new_request(RESUMABLE, Reedspoke_Deadline_Ms=str(int(1000 * DEADLINE_S)))
        first = world.arrival()
        event = b"id: 1\ndata: x\n\n"
        first.worker.send(first.stream_head() + b"%x\r\n%b\r\n" % (len(event), event))
        world.run_for(PAUSE_S)
        first.worker.reset()
        until_arrivals(world, 2)
        assert world.arrival().request.get("last-event-id") == "1"
        assert ends_at(world, world.arrival()) <= started_at + DEADLINE_S + 0.01


# ---- when clients get their final answers ----


def is_queued(world: World, client: Client) -> None:
    assert world.arrivals == []


def is_connecting(world: World, client: Client) -> None:
    assert world.arrivals == []


def is_sent(world: World, client: Client) -> None:
    assert len(world.arrivals) == 1


def is_answered_in_part(world: World, client: Client) -> None:
    complete = world.arrival().complete_answer()
    world.arrival().worker.send(complete[:-4])


def is_streaming(world: World, client: Client) -> None:
    event = b"id: 1\ndata: x\n\n"
    arrival = world.arrival()
    arrival.worker.send(arrival.stream_head() + b"%x\r\n%b\r\n" % (len(event), event))


def is_resumed(world: World, client: Client) -> None:
    is_streaming(world, client)
    world.arrival().worker.reset()
    until_arrivals(world, 2)


def is_retried(world: World, client: Client) -> None:
    world.arrival().worker.send(world.arrival().overload_answer())
    until_arrivals(world, 2)


STAGES: dict[str, tuple[str, int, list[str], Play]] = {
    "queued": (IDEMPOTENT, 0, [], is_queued),
    "connecting": (IDEMPOTENT, 3, ["hang"] * 50, is_connecting),
    "sent, never repeated": (NON_IDEMPOTENT, 3, [], is_sent),
    "sent": (IDEMPOTENT, 3, [], is_sent),
    "answered in part": (IDEMPOTENT, 3, [], is_answered_in_part),
    "streaming": (STREAMING, 3, [], is_streaming),
    "streaming, resumable": (RESUMABLE, 3, [], is_streaming),
    "resumed": (RESUMABLE, 3, [], is_resumed),
    "repeated": (IDEMPOTENT, 3, [], is_retried),
}


@pytest.mark.parametrize("slowly", [False, True], ids=["at once", "slow body"])
@pytest.mark.parametrize("stage", STAGES)
@pytest.mark.parametrize("deadline", [None, DEADLINE_S], ids=["route", "client"])
def test_the_client_has_its_final_answer_in_time(stage: str, deadline: float | None, slowly: bool) -> None:
    path, workers, plan, play = STAGES[stage]
    with fresh_world(workers=max(1, workers)) as world:
        if not workers:
            world.set_workers([])
        world.network.plan = list(plan)
        extra_fields: Any = {} if deadline is None else {"Reedspoke_Deadline_Ms": str(int(1000 * deadline))}
        started_at = world.loop.time()
        client = (
            request_with_slow_body(world, path, **extra_fields)
            if slowly
            else world.new_request(path, **extra_fields)
        )
        play(world, client)
        limit = TIMEOUT_S if deadline is None else deadline
        world.run_for(started_at + limit + MAX_LATE_S - world.loop.time())
        assert client.was_reset or any(answer.is_complete for answer in client.answers())
        world.run_for(1.0)
        assert world.is_idle()
        assert all(arrival.worker.is_closed for arrival in world.arrivals[-1:])


# ---- clients that disconnect ----


@pytest.mark.parametrize("stage", [name for name in STAGES if name != "queued"])
def test_nothing_is_in_flight_for_a_client_that_disconnected(stage: str) -> None:
    path, workers, plan, play = STAGES[stage]
    with fresh_world(workers=workers) as world:
        world.network.plan = list(plan)
        client = world.new_request(path)
        play(world, client)
        before = len(world.arrivals)
        client.disconnect()
        world.run_for(MAX_LATE_S)
        assert all(arrival.worker.is_closed for arrival in world.arrivals[-1:])
        assert len(world.arrivals) == before
        assert world.is_idle()
