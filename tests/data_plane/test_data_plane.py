"""The data plane process in virtual time: readiness, requests without a route, and shutdown."""

from __future__ import annotations

import asyncio

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import ConfigurationSnapshot
from reedspoke.data_plane.process import ACCEPT_AFTER_SIGTERM_S
from reedspoke.data_plane.readiness import ReadinessConnection
from tests.data_plane.plane import GRACE_S, Plane, answer
from tests.data_plane.wire import chunked, event, events
from tests.data_plane.world import LIMITS, NON_IDEMPOTENT, STREAMING, document

# ---- readiness ----


def readiness_responses(plane: Plane, *pieces: bytes) -> bytes:
    loop = plane.loop
    connection = ReadinessConnection(plane.plane.is_ready)
    written = bytearray()

    class Transport(asyncio.Transport):
        def write(self, data: bytes | bytearray | memoryview) -> None:
            written.extend(data)

        def abort(self) -> None:
            written.extend(b"aborted")

    connection.connection_made(Transport())
    for piece in pieces:
        connection.data_received(piece)
    loop.settle()
    return bytes(written)


PROBE = b"GET /reedspoke/readiness HTTP/1.1\r\nHost: x\r\n\r\n"


def test_ready_once_routes_and_workers_are_known(plane: Plane) -> None:
    assert readiness_responses(plane, PROBE).startswith(b"HTTP/1.1 503 ")
    plane.plane._subscription.apply(ConfigurationSnapshot((1, 0), document(2, LIMITS)))
    assert readiness_responses(plane, PROBE).startswith(b"HTTP/1.1 503 ")
    plane.receive_state()
    assert readiness_responses(plane, PROBE).startswith(b"HTTP/1.1 200 ")


def test_not_ready_without_any_worker(plane: Plane) -> None:
    plane.receive_state(workers=())
    assert readiness_responses(plane, PROBE).startswith(b"HTTP/1.1 503 ")


def test_readiness_is_reported_repeatedly_on_one_connection(plane: Plane) -> None:
    plane.receive_state()
    responses = readiness_responses(plane, PROBE[:10], PROBE[10:] + PROBE, PROBE)
    assert responses.count(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") == 3


def test_readiness_connection_limits_its_buffer(plane: Plane) -> None:
    assert readiness_responses(plane, b"x" * 9000) == b"aborted"


# ---- requests that are not forwarded ----


def test_before_the_first_configuration_requests_get_503_with_retry_after(plane: Plane) -> None:
    refused = answer(plane.new_request(NON_IDEMPOTENT))
    assert refused.status == 503
    assert 0 < float(refused.get("retry-after") or 0) <= 1
    assert f'"code":{int(ErrorCode.NOT_READY)}'.encode() in refused.body


@pytest.mark.parametrize("path", ["/nowhere/", "/once", "/"])
def test_request_without_a_route_gets_404(plane: Plane, path: str) -> None:
    plane.receive_state()
    assert answer(plane.new_request(path)).status == 404
    assert plane.network.arrivals == []


def test_absolute_request_target_selects_the_same_route(plane: Plane) -> None:
    plane.receive_state()
    plane.new_request("http://a.example/once/x")
    assert len(plane.network.arrivals) == 1


def test_request_limits_of_the_configuration_apply(plane: Plane) -> None:
    plane.receive_state()
    assert plane.plane.limits() == LIMITS


# ---- shutdown ----


def test_not_ready_after_sigterm(plane: Plane) -> None:
    plane.receive_state()
    plane.shut_down()
    assert not plane.plane.is_ready()
    assert plane.plane._node_state().draining


def test_idle_connections_are_closed_at_sigterm(plane: Plane) -> None:
    plane.receive_state()
    idle = plane.connect()
    plane.shut_down()
    assert idle.closed
    assert not idle.written


def test_connections_are_accepted_until_the_platform_has_probed(plane: Plane) -> None:
    plane.receive_state()
    ending = plane.shut_down()
    plane.loop.run_for(ACCEPT_AFTER_SIGTERM_S - 0.2)
    assert plane.server.closed_at == 0.0
    late = plane.new_request(NON_IDEMPOTENT)
    plane.arrival().worker.send(plane.arrival().complete_answer())
    assert (answer(late).status, answer(late).get("connection")) == (200, "close")
    plane.loop.run_for(0.5)
    assert plane.server.closed_at > 0
    assert ending.done()


def test_stream_completes_before_the_process_ends(plane: Plane) -> None:
    plane.receive_state()
    client = plane.new_request(STREAMING)
    arrival = plane.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    ending = plane.shut_down()
    for number in range(2, 7):
        plane.loop.run_for(1)
        assert not ending.done()
        arrival.worker.send(chunked(event(number), last=False))
    arrival.worker.send(b"0\r\n\r\n")
    assert (answer(client).body, answer(client).is_complete) == (events(1, 6), True)
    plane.loop.run_for(0.2)
    assert ending.done()


def test_late_request_is_answered_before_the_process_is_killed(plane: Plane) -> None:
    plane.receive_state()
    client = plane.new_request(NON_IDEMPOTENT)
    ending = plane.shut_down()
    plane.loop.run_for(GRACE_S - 1)
    assert not ending.done()
    plane.loop.run_for(0.9)
    assert ending.done()
    assert answer(client).status in (502, 504)
    assert answer(client).is_complete


def test_late_stream_is_aborted_before_the_process_is_killed(plane: Plane) -> None:
    plane.receive_state()
    client = plane.new_request(STREAMING)
    arrival = plane.arrival()
    arrival.worker.send(arrival.stream_head() + chunked(event(1), last=False))
    ending = plane.shut_down()
    plane.loop.run_for(GRACE_S - 0.1)
    assert ending.done()
    assert client.aborted
    assert not answer(client).is_complete


def test_queued_request_is_refused_in_time_during_shutdown(plane: Plane) -> None:
    plane.receive_state()
    plane.new_request(NON_IDEMPOTENT, "a1")
    waiting = plane.new_request(NON_IDEMPOTENT, "a2")
    plane.shut_down()
    plane.loop.run_for(1)
    assert answer(waiting).status == 503
    assert waiting.closed
