"""The last answer on a client's connection arrives whatever the client still sends, over real sockets."""

from __future__ import annotations

import asyncio
import socket

import pytest

from reedspoke.data_plane import client_connection
from tests.data_plane.loopback import Loopback, WorkerSide, start
from tests.data_plane.wire import SeenAnswer, read_answers

HEAD = b"POST /once/ HTTP/1.1\r\nHost: a.example\r\nReedspoke-Attempt-Id: a1\r\n"
TOO_LARGE = 5 * 1024 * 1024
REFUSED_REQUESTS = {
    "a body by length": (HEAD + b"Content-Length: %d\r\n\r\n" % TOO_LARGE + b"x" * TOO_LARGE, 413),
    "a body in chunks": (
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % TOO_LARGE + b"x" * TOO_LARGE,
        413,
    ),
    "a head": (HEAD + b"X: y\r\n" * 200_000, 431),
    "no HTTP": (b"nonsense\r\n" * 100_000, 400),
}
COMPLETE_REQUEST = HEAD + b"Connection: close\r\nContent-Length: 0\r\n\r\n"


async def answer(side: WorkerSide) -> None:
    side.send(side.success_answer())


def send_all_then_read(address: tuple[str, int], data: bytes) -> SeenAnswer:
    """A client that reads only after it has sent everything."""
    with socket.create_connection(address, timeout=5) as client:
        client.sendall(data)
        raw = b""
        while piece := client.recv(65536):
            raw += piece
    (received,) = read_answers(raw)
    return received


def with_client(data: bytes) -> tuple[SeenAnswer, Loopback]:
    async def run() -> tuple[SeenAnswer, Loopback]:
        loopback = await start(answer, 1)
        received = await asyncio.to_thread(send_all_then_read, loopback.address, data)
        loopback.close()
        return received, loopback

    return asyncio.run(run())


@pytest.mark.parametrize("name", REFUSED_REQUESTS)
def test_a_refusal_reaches_a_client_that_continues_to_send(name: str) -> None:
    data, status = REFUSED_REQUESTS[name]
    received, loopback = with_client(data)
    assert (received.status, received.is_complete) == (status, True)
    assert loopback.requests == []


def test_the_last_answer_arrives_despite_bytes_after_its_request() -> None:
    received, loopback = with_client(COMPLETE_REQUEST + b"y" * 300_000)
    assert (received.status, received.body) == (200, b"the answer")
    assert len(loopback.requests) == 1


def test_a_client_that_never_stops_sending_is_reset(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(client_connection, "MAX_DISCARDED_BYTES", 1024 * 1024)
    with pytest.raises(ConnectionError):
        with_client(REFUSED_REQUESTS["no HTTP"][0] * 40)
