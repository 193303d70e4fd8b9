"""A client whose socket fails while it is answered affects no other request, and its request is released."""

from __future__ import annotations

import errno
import os
from typing import NoReturn

from reedspoke.common.messages import WorkerEntry
from reedspoke.common.unhandled_errors import unhandled_errors
from tests.data_plane.plane import Plane, answer, fresh_plane
from tests.data_plane.wire import TransportStandIn
from tests.data_plane.world import request_bytes

QUEUE_WAIT_S = 5.0  # Longer than any request is queued.
DRAINING = WorkerEntry("i-1", "u1", "10.0.0.1:80", "za", "v1", 1, True)
SURPLUS = b"POST /"  # Bytes after a request: its connection is half-closed after the last answer.


def without_peer() -> None:
    """Fails like `write_eof` on a socket whose peer has disconnected before the loop has noticed."""
    raise OSError(errno.ENOTCONN, os.strerror(errno.ENOTCONN))


def last_request(path: str, attempt_id: str) -> bytes:
    """The last request on a connection, with bytes after it."""
    return request_bytes(path, attempt_id, Connection="close") + SURPLUS


def send_and_break(plane: Plane, attempt_id: str) -> TransportStandIn:
    """Sends a request whose client's socket fails while it is answered."""
    transport = plane.connect()
    transport.write_eof = without_peer  # type: ignore[method-assign]
    transport.arrive(last_request("/once/", attempt_id))
    plane.loop.settle()
    return transport


def test_a_request_whose_clients_socket_fails_is_released() -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        broken = send_and_break(plane, "a1")
        plane.arrival().worker.send(plane.arrival().complete_answer())
        assert broken.is_closing()
        assert plane.plane.open_requests() == 0
        assert plane.plane.open_connections() == 0


def test_other_requests_answered_at_the_same_time_get_their_answers() -> None:
    with fresh_plane() as plane:
        plane.receive_state((DRAINING,))
        send_and_break(plane, "a1")
        others = [plane.new_request("/once/", f"b{number}") for number in range(3)]
        send_and_break(plane, "a2")
        plane.loop.run_for(QUEUE_WAIT_S)
        assert [answer(other).status for other in others] == [503, 503, 503]
        assert plane.plane.open_requests() == 0


def test_an_unexpected_error_inside_one_request_ends_only_that_request() -> None:
    with fresh_plane() as plane:
        plane.receive_state((DRAINING,))
        broken = plane.new_request("/once/", "a1")
        connection = next(iter(plane.plane._connections))
        connection.send_answer = fail  # type: ignore[assignment,method-assign]
        others = [plane.new_request("/once/", f"b{number}") for number in range(3)]
        before = unhandled_errors.count
        plane.loop.run_for(QUEUE_WAIT_S)
        assert [answer(other).status for other in others] == [503, 503, 503]
        assert broken.aborted
        assert unhandled_errors.count == before + 1
        assert plane.plane.open_requests() == 0


def fail(*_: object) -> NoReturn:
    """Raises an unexpected error."""
    raise ZeroDivisionError


def test_nothing_is_written_to_a_connection_that_is_being_closed() -> None:
    with fresh_plane() as plane:
        plane.receive_state()
        client = plane.new_request("/stream/")
        worker = plane.arrival().worker
        worker.send(plane.arrival().stream_head() + b"c\r\nid: 1\ndata\n\n\r\n")
        writes: list[bytes] = []
        client.write = writes.append  # type: ignore[assignment,method-assign]
        client.is_closing = lambda: True  # type: ignore[method-assign]
        worker.send(b"".join(b"c\r\nid: %d\ndata\n\n\r\n" % number for number in range(2, 8)))
        assert writes == []
        del client.write, client.is_closing
