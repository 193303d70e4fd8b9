"""Connections to workers during attempts: early answers, answers without an attempt id, reused addresses."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.common.messages import WorkerEntry, WorkerList
from tests.data_plane.wire import HIGH_WATER_BYTES, chunked, event
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
)

Worlds = Callable[..., World]
LARGE = b"x" * (HIGH_WATER_BYTES + 1)
LARGE_LIMITS = {"max_header_bytes": 2048, "max_body_bytes": 4 * len(LARGE)}


@pytest.fixture
def single_worker(worlds: Worlds) -> World:
    """A world with one worker, so that connections are reused."""
    return worlds(workers=1)


def answered(world: World, attempt_id: str, path: str = NON_IDEMPOTENT) -> Arrival:
    """A request that got its complete answer."""
    client = world.new_request(path, attempt_id)
    arrival = world.arrival()
    arrival.worker.send(arrival.complete_answer(f"to {attempt_id}".encode()))
    assert client.answer().body == f"to {attempt_id}".encode()
    return arrival


def answer_without_id(status: str, *fields: str) -> bytes:
    """An answer without an attempt id."""
    lines = "".join(f"{field}\r\n" for field in ("Content-Length: 0", *fields))
    return f"HTTP/1.1 {status}\r\n{lines}\r\n".encode()


# ---- early answers ----


@pytest.mark.parametrize("refused", [False, True])
def test_a_connection_with_an_unsent_part_of_a_request_is_not_reused(worlds: Worlds, refused: bool) -> None:
    """The worker answers before it reads the body. Later it receives the rest of that body or nothing."""
    world = worlds(workers=1, limits=LARGE_LIMITS)
    client = world.client()
    first = answered(world, "a0")
    first.worker.transport.stop_peer_reading()
    client.send_request(NON_IDEMPOTENT, "a1", LARGE)
    early = world.arrival()
    assert early.worker is first.worker
    early.worker.send(early.overload_answer() if refused else early.complete_answer(b"early"))
    assert client.answer().status == (503 if refused else 200)
    written = bytes(first.worker.transport.written)
    assert first.worker.is_closed
    world.run_for(5)
    assert answered(world, "a2").worker is not first.worker
    assert bytes(first.worker.transport.written) == written


# ---- answers without an attempt id ----

REFUSALS = [
    ("503 Service Unavailable", "Reedspoke-Not-Executed: 1"),
    ("429 Too Many Requests", "Reedspoke-Not-Executed: 1"),
    ("421 Misdirected Request",),
]


@pytest.mark.parametrize("refusal", REFUSALS)
def test_a_refusal_that_may_be_about_an_earlier_request_proves_nothing(
    worlds: Worlds, refusal: list[str]
) -> None:
    world = worlds(workers=1)
    first = answered(world, "a1")
    client = world.new_request(NON_IDEMPOTENT, "a2")
    second = world.arrival()
    assert second.worker is first.worker
    world.set_workers(["i-1", "i-2"])
    second.worker.send(answer_without_id(*refusal))
    assert client.answer().status == 502
    assert len(world.arrivals) == 2, "it was retried"
    assert second.worker.is_closed


@pytest.mark.parametrize("refusal", REFUSALS)
def test_on_a_new_connection_a_refusal_is_about_its_request(world: World, refusal: list[str]) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    world.arrival().worker.send(answer_without_id(*refusal))
    assert len(world.arrivals) == 2
    world.arrival().worker.send(world.arrival().complete_answer())
    assert client.answer().body == b"the answer"


def test_an_error_that_names_no_request_is_that_of_the_first_request(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    world.arrival().worker.send(answer_without_id("500 Internal Server Error"))
    assert client.answer().status == 500


def test_a_success_that_says_that_it_never_ran_is_not_sent_again(world: World) -> None:
    client = world.new_request(NON_IDEMPOTENT)
    arrival = world.arrival()
    arrival.worker.send(arrival.complete_answer(Reedspoke_Not_Executed="1"))
    assert len(world.arrivals) == 1
    assert client.answer().status == 200


# ---- reused addresses ----


def test_all_connections_to_an_address_that_another_worker_has_are_closed(single_worker: World) -> None:
    clients = [single_worker.new_request(NON_IDEMPOTENT, f"a{number}") for number in range(2)]
    idle, second = single_worker.arrivals
    idle.worker.send(idle.complete_answer())
    second.worker.send(second.wrong_instance_answer())
    single_worker.run_for(3)
    assert clients[1].answer().status == 503
    assert idle.worker.is_closed
    assert second.worker.is_closed
    refused = single_worker.new_request(NON_IDEMPOTENT, "a9")
    single_worker.run_for(3)
    assert refused.answer().status == 503
    assert len(single_worker.arrivals) == 2, "no request is sent there until the list changes"


def test_a_421_to_a_request_with_a_version_does_not_mean_another_instance(single_worker: World) -> None:
    client = single_worker.new_request(NON_IDEMPOTENT, Expect_Version="7")
    single_worker.arrival().worker.send(single_worker.arrival().wrong_instance_answer())
    assert client.answer().status == 503
    answered(single_worker, "a2")


def test_a_connection_established_to_a_delisted_worker_is_closed(single_worker: World) -> None:
    single_worker.network.plan = ["slow"]
    single_worker.new_request(NON_IDEMPOTENT).disconnect()
    single_worker.set_workers(["i-2"])
    single_worker.run_for(2)
    (end,) = single_worker.network.connections
    assert end.is_closed


# ---- unreachable, draining and delisted workers ----


@pytest.mark.parametrize("path", [NON_IDEMPOTENT, STREAMING])
def test_bytes_that_are_not_acknowledged_in_time_are_no_proof(world: World, path: str) -> None:
    """The kernel ends a connection to an unreachable worker with ETIMEDOUT."""
    client = world.new_request(path)
    world.arrival().worker.transport.arrive_timeout()
    world.run_for(TIMEOUT_S + 1)
    assert client.answer().status == 502
    assert len(world.arrivals) == 1


@pytest.mark.parametrize("path", [NON_IDEMPOTENT, STREAMING])
def test_a_non_idempotent_request_stays_at_an_unresponsive_worker_until_its_deadline(
    world: World, path: str
) -> None:
    client = world.new_request(path)
    world.run_for(TIMEOUT_S - 0.5)
    assert client.answers() == []
    world.run_for(1)
    assert client.answer().status == 504
    assert len(world.arrivals) == 1


@pytest.mark.parametrize("path", [NON_IDEMPOTENT, IDEMPOTENT, STREAMING, RESUMABLE])
@pytest.mark.parametrize("listed", [["i-9"], []])
def test_a_request_in_flight_at_a_worker_that_is_delisted_is_answered_there(
    worlds: Worlds, path: str, listed: list[str]
) -> None:
    world = worlds(workers=1)
    client = world.new_request(path)
    arrival = world.arrival()
    world.set_workers(listed)
    world.run_for(1)
    assert len(world.arrivals) == 1
    arrival.worker.send(arrival.complete_answer(event(1)))
    assert (client.answer().status, client.answer().body) == (200, event(1))
    assert arrival.worker.is_closed, "its connection is closed"


@pytest.mark.parametrize("path", [NON_IDEMPOTENT, IDEMPOTENT, STREAMING, RESUMABLE])
def test_a_request_in_flight_at_a_draining_worker_is_answered_there(worlds: Worlds, path: str) -> None:
    world = worlds(workers=1)
    client = world.new_request(path)
    arrival = world.arrival()
    drains = WorkerEntry("i-1", "u1", "10.0.0.1:80", "za", "v1", 8, True)
    world.forwarder.set_workers(WorkerList((2, 0), (drains,)))
    refused = world.new_request(path, "a2")
    world.run_for(3)
    assert refused.answer().status == 503
    arrival.worker.send(arrival.complete_answer(event(1)))
    assert (client.answer().status, client.answer().body) == (200, event(1))
    assert len(world.arrivals) == 1


# ---- final statuses that claim that a request has not run ----


def test_a_request_unsent_at_its_deadline_gets_a_503(single_worker: World) -> None:
    single_worker.network.plan = ["hang"]
    client = single_worker.new_request(NON_IDEMPOTENT, Reedspoke_Deadline_Ms="400")
    single_worker.run_for(0.7)
    assert client.answer().status == 503
    assert single_worker.arrivals == []
    assert single_worker.is_idle()


def test_a_request_sent_but_unanswered_at_its_deadline_gets_a_504(single_worker: World) -> None:
    client = single_worker.new_request(NON_IDEMPOTENT, Reedspoke_Deadline_Ms="400")
    single_worker.run_for(0.7)
    assert client.answer().status == 504
    assert len(single_worker.arrivals) == 1


@pytest.mark.parametrize("path", [NON_IDEMPOTENT, STREAMING])
def test_at_shutdown_only_requests_that_may_have_run_get_a_502(worlds: Worlds, path: str) -> None:
    world = worlds(workers=1)
    ran = world.new_request(path, "a1")
    world.network.plan = ["hang"]
    connecting = world.new_request(path, "a2")
    world.forwarder.abort_all()
    world.loop.settle()
    assert (ran.answer().status, connecting.answer().status) == (502, 503)


def test_at_shutdown_a_request_that_was_provably_refused_gets_a_503(worlds: Worlds) -> None:
    world = worlds(workers=2)
    client = world.new_request(NON_IDEMPOTENT)
    world.network.plan = ["hang"]
    world.arrival().worker.send(world.arrival().overload_answer())
    world.forwarder.abort_all()
    world.loop.settle()
    assert client.answer().status == 503


# ---- streams ----


def test_a_stream_without_event_ids_is_not_resumed(world: World) -> None:
    """Another run would start at the first event again."""
    client = world.new_request(RESUMABLE)
    first = world.arrival()
    first.worker.send(first.stream_head() + chunked(b"data: one\n\n", last=False))
    first.worker.reset()
    assert client.answer().body == b"data: one\n\n"
    assert not client.answer().is_complete
    assert client.was_reset
    assert len(world.arrivals) == 1
    assert world.is_idle()


def test_a_stream_without_a_length_is_complete_at_its_end(world: World) -> None:
    client = world.new_request(STREAMING)
    arrival = world.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"\r\n" + event(1) + event(2))
    assert not client.answer().is_complete
    arrival.worker.end()
    assert (client.answer().body, client.answer().is_complete) == (event(1) + event(2), True)


@pytest.mark.parametrize("path", [STREAMING, RESUMABLE])
def test_a_stream_without_a_length_that_is_reset_is_incomplete(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"\r\n" + event(1))
    arrival.worker.reset()
    assert not client.answer().is_complete
    assert len(world.arrivals) == (2 if path == RESUMABLE else 1)


@pytest.mark.parametrize("path", [STREAMING, RESUMABLE])
def test_a_stream_without_a_length_that_ends_inside_an_event_is_incomplete(world: World, path: str) -> None:
    client = world.new_request(path)
    arrival = world.arrival()
    arrival.worker.send(b"HTTP/1.1 200 OK\r\n" + arrival.fields() + b"\r\n" + event(1) + event(2)[:-4])
    arrival.worker.end()
    assert (client.answer().body, client.answer().is_complete) == (event(1), False)
    assert len(world.arrivals) == (2 if path == RESUMABLE else 1)


def test_a_malformed_status_line_is_detected_before_its_head_ends(world: World) -> None:
    client = world.new_request(IDEMPOTENT)
    first = world.arrival()
    first.worker.send(b"HTTP/1.1 nonsense\r\n")
    assert first.worker.is_closed
    world.arrival().worker.send(world.arrival().complete_answer())
    assert client.answer().status == 200


def timed_out_stream(world: World) -> tuple[Client, Arrival]:
    """A stream whose worker sends nothing after the first event, for longer than the timeout."""
    client = world.new_request(RESUMABLE, Reedspoke_Deadline_Ms="9000")
    first = world.arrival()
    first.worker.send(first.stream_head() + chunked(event(1), last=False))
    world.run_for(6)
    return client, first


@pytest.mark.parametrize("settings", [{"workers": 1}, {"attempts": 1}, {"slack": 0.0}])
def test_a_timed_out_stream_that_cannot_be_moved_is_not_aborted(
    worlds: Worlds, settings: dict[str, float]
) -> None:
    world = worlds(**settings)
    client, first = timed_out_stream(world)
    assert not client.was_reset
    first.worker.send(chunked(event(2)))
    assert (client.answer().body, client.answer().is_complete) == (event(1) + event(2), True)
    assert len(world.arrivals) == 1


def test_a_timed_out_stream_is_moved_as_soon_as_possible(worlds: Worlds) -> None:
    world = worlds(workers=1)
    client, first = timed_out_stream(world)
    world.set_workers(["i-1", "i-2"])
    world.run_for(0.2)
    second = world.arrival()
    assert second is not first
    assert second.request.get("last-event-id") == "1"
    second.worker.send(second.stream_head() + chunked(event(2)))
    assert (client.answer().body, client.answer().is_complete) == (event(1) + event(2), True)


def test_a_timed_out_stream_ends_at_its_deadline(worlds: Worlds) -> None:
    world = worlds(workers=1)
    client, _ = timed_out_stream(world)
    world.run_for(4)
    assert client.was_reset
    assert not client.answer().is_complete
    assert world.is_idle()


# ---- clients that disconnect, and answers that stop, at each byte ----

STREAM_EVENTS = event(1) + event(2)


def raw_answer(arrival: Arrival, path: str) -> bytes:
    if path in (STREAMING, RESUMABLE):
        return arrival.stream_head() + chunked(event(1), event(2))
    return arrival.complete_answer(body_to(arrival))


def body_to(arrival: Arrival) -> bytes:
    return b"to " + arrival.attempt_id.encode()


@pytest.mark.parametrize("path", [NON_IDEMPOTENT, RESUMABLE])
def test_after_a_client_disconnects_at_any_byte_the_next_one_gets_its_own_answer(path: str) -> None:
    length, most = 0, 1
    while length < most:
        with fresh_world(workers=1) as world:
            client = world.new_request(path, "a1")
            first = world.arrival()
            raw = raw_answer(first, path)
            most = len(raw)
            first.worker.send(raw[:length])
            client.disconnect()
            assert first.worker.is_closed, length
            later = world.new_request(NON_IDEMPOTENT, "a2")
            first.worker.send(raw[length:])
            second = world.arrival()
            assert second.worker is not first.worker, length
            assert later.answers() == [], length
            second.worker.send(second.complete_answer(body_to(second)))
            assert later.answer().body == b"to a2", length
            assert len(world.arrivals) == 2, length
            assert world.is_idle(), length
        length += 1


@pytest.mark.parametrize("path", [NON_IDEMPOTENT, STREAMING])
def test_an_answer_that_stops_at_any_byte_never_repeats_a_non_idempotent_request(path: str) -> None:
    length, most = 0, 1
    while length < most:
        with fresh_world(workers=2) as world:
            client = world.new_request(path, "a1", Reedspoke_Deadline_Ms="3000")
            first = world.arrival()
            raw = raw_answer(first, path)
            most = len(raw)
            first.worker.send(raw[:length])
            world.run_for(4)
            first.worker.send(raw[length:])
            assert len(world.arrivals) == 1, length
            assert first.worker.is_closed, length
            (answer,) = client.answers()
            if path == STREAMING and event(1) in raw[:length]:
                assert not answer.is_complete, length
                assert STREAM_EVENTS.startswith(answer.body), length
            else:
                assert (answer.status, answer.is_complete) == (504, True), length
            assert world.is_idle(), length
        length += 1
