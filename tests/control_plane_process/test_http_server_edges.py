"""Tests of the HTTP server with truncated requests, and with clients that disconnect or keep sending."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
from msgspec import Struct, field

from reedspoke.common.node_settings import split_address
from reedspoke.control_plane.api import http_connection, http_server
from reedspoke.control_plane.api.error_responses import malformed_request_body
from reedspoke.control_plane.api.http_messages import Request, Response
from reedspoke.control_plane.api.http_server import HttpServer
from tests.ports import free_port

HOST = "127.0.0.1"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER enabled with a time of 0
PUT = b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789"
LARGE = b"z" * 300_000


class Operators(Struct):
    """A handler whose responses wait until the `proceed` event is set."""

    paths: list[str] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    proceed: asyncio.Event = field(default_factory=asyncio.Event)

    async def answer(self, request: Request) -> Response:
        """Record the path, wait for `proceed`, and echo the request."""
        self.paths.append(request.path)
        self.requests.append(request)
        await self.proceed.wait()
        return Response(200, f"{request.method} {request.path} ".encode() + request.body)


Scene = Callable[[Operators, tuple[str, int]], Awaitable[None]]


def with_server(scene: Scene) -> Operators:
    """Run the scene with a running server, and return its handler."""

    async def run() -> Operators:
        operators = Operators()
        operators.proceed.set()
        server = HttpServer(operators.answer, malformed_request_body)
        address = f"{HOST}:{free_port((HOST,))}"
        await server.listen(address)
        try:
            async with asyncio.timeout(8):
                await scene(operators, split_address(address))
        finally:
            server.close()
        return operators

    return asyncio.run(run())


def exchange(address: tuple[str, int], data: bytes, *, reset: bool = False) -> bytes:
    """Send everything, then read until the connection is closed, or reset the connection instead."""
    with socket.create_connection(address, timeout=5) as client:
        client.sendall(data)
        if reset:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            return b""
        raw = b""
        while piece := client.recv(65536):
            raw += piece
    return raw


async def keep_writing(writer: asyncio.StreamWriter) -> None:
    """Keep sending until the connection fails."""
    while True:
        writer.write(b"more")
        await writer.drain()
        await asyncio.sleep(0.02)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Wait until the condition is true."""
    while not condition():
        await asyncio.sleep(0.005)


@pytest.mark.parametrize("ending", ["close", "half-close", "reset"])
def test_a_handler_can_tell_that_its_client_is_gone(ending: str) -> None:
    """Guards against an order that is carried out for a caller that has sent a later one elsewhere since."""

    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        operators.proceed.clear()
        with socket.create_connection(address, timeout=5) as client:
            client.sendall(PUT)
            await wait_until(lambda: bool(operators.requests))
            (request,) = operators.requests
            assert not request.is_abandoned()
            if ending == "half-close":
                client.shutdown(socket.SHUT_WR)
            elif ending == "reset":
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            if ending != "half-close":
                client.close()
            await wait_until(request.is_abandoned)
        operators.proceed.set()

    with_server(scene)


@pytest.mark.parametrize("reset", [False, True])
def test_a_truncated_request_is_never_run(reset: bool) -> None:
    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        for length in range(len(PUT)):
            reader, writer = await asyncio.open_connection(*address)
            writer.write(PUT[:length])
            if reset:
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.close()
        found = await asyncio.to_thread(
            exchange, address, PUT.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        )
        assert found.endswith(b"PUT /a 0123456789")

    assert with_server(scene).paths == ["/a"]


REFUSED = {
    "a body by length": (b"PUT /a HTTP/1.1\r\nContent-Length: 9000000\r\n\r\n" + b"x" * 9_000_000, 413),
    "a body in chunks": (
        b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8FFFFF\r\n" + b"x" * 9_000_000,
        413,
    ),
    "a head": (b"GET /a HTTP/1.1\r\n" + b"X: y\r\n" * 200_000, 431),
    "no HTTP": (b"nonsense\r\n" * 100_000, 400),
}


@pytest.mark.parametrize("name", REFUSED)
def test_a_rejection_reaches_a_client_that_reads_only_at_the_end(name: str) -> None:
    data, status = REFUSED[name]

    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        found = await asyncio.to_thread(exchange, address, data)
        assert found.startswith(b"HTTP/1.1 %d " % status)
        assert b'"error"' in found

    assert with_server(scene).paths == []


def test_the_last_response_arrives_although_the_client_sent_more_data() -> None:
    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        last = b"GET /last HTTP/1.1\r\nConnection: close\r\n\r\n"
        found = await asyncio.to_thread(exchange, address, last + LARGE)
        assert found.endswith(b"GET /last ")

    assert with_server(scene).paths == ["/last"]


def test_a_client_that_never_stops_sending_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_connection, "MAX_DISCARDED_BYTES", 1024 * 1024)

    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        with pytest.raises(ConnectionError):
            await asyncio.to_thread(exchange, address, REFUSED["no HTTP"][0] * 40)

    with_server(scene)


def test_a_client_that_does_not_close_its_side_is_aborted(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.02)
    monkeypatch.setattr(http_connection, "LINGER_TIMEOUT_S", 0.1)

    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert (await reader.read()).endswith(b"GET /a ")
        with pytest.raises(ConnectionError):
            await keep_writing(writer)

    with_server(scene)


def test_pipelined_requests_are_not_run_after_the_client_has_disconnected() -> None:
    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        operators.proceed.clear()
        both = b"GET /first HTTP/1.1\r\n\r\nPUT /second HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
        await asyncio.to_thread(exchange, address, both, reset=True)
        await wait_until(lambda: operators.paths == ["/first"])
        operators.proceed.set()
        found = await asyncio.to_thread(
            exchange, address, b"GET /later HTTP/1.1\r\nConnection: close\r\n\r\n"
        )
        assert found.endswith(b"GET /later ")

    assert with_server(scene).paths == ["/first", "/later"]


def test_concurrent_calls_on_several_connections_get_their_own_answers() -> None:
    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        operators.proceed.clear()
        calls = [
            asyncio.create_task(
                asyncio.to_thread(
                    exchange, address, f"GET /{name} HTTP/1.1\r\nConnection: close\r\n\r\n".encode()
                )
            )
            for name in ("a", "b", "c")
        ]
        await wait_until(lambda: len(operators.paths) == 3)
        operators.proceed.set()
        answers = [found.rpartition(b"\r\n\r\n")[2] for found in await asyncio.gather(*calls)]
        assert answers == [b"GET /a ", b"GET /b ", b"GET /c "]

    with_server(scene)


def test_a_client_that_half_closes_after_its_request_gets_its_response() -> None:
    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        reader, writer = await asyncio.open_connection(*address)
        writer.write(PUT)
        writer.write_eof()
        assert (await reader.read()).endswith(b"PUT /a 0123456789")

    with_server(scene)


def test_a_client_that_disconnects_before_its_last_response_causes_no_error() -> None:
    errors: list[dict[str, object]] = []

    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: errors.append(context))
        operators.proceed.clear()
        _, writer = await asyncio.open_connection(*address)
        writer.write(PUT.replace(b"Host: h", b"Host: h\r\nConnection: close"))
        while not operators.paths:
            await asyncio.sleep(0)
        writer.transport.abort()
        await asyncio.sleep(0)
        operators.proceed.set()
        while len(asyncio.all_tasks()) > 1:
            await asyncio.sleep(0)

    with_server(scene)
    gc.collect()
    assert errors == []


@pytest.mark.parametrize(
    "line",
    [
        b"GET /\xc3\xa9 HTTP/1.1",
        b"GET /\xff HTTP/1.1",
        b"GET /a\x00 HTTP/1.1",
        b"G\xcbT / HTTP/1.1",
        b"GET http://\xe9/ HTTP/1.1",
    ],
)
def test_a_target_that_is_not_ascii_is_rejected_and_not_run(line: bytes) -> None:
    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        answer = await asyncio.to_thread(exchange, address, line + b"\r\nHost: h\r\n\r\n")
        assert answer.startswith(b"HTTP/1.1 400 ")

    assert with_server(scene).paths == []


def test_a_header_value_that_is_not_ascii_is_accepted() -> None:
    async def scene(operators: Operators, address: tuple[str, int]) -> None:
        raw = b"GET /a HTTP/1.1\r\nHost: h\r\nX-Name: \xe9\xff\r\nConnection: close\r\n\r\n"
        answer = await asyncio.to_thread(exchange, address, raw)
        assert answer.startswith(b"HTTP/1.1 200 ")

    assert with_server(scene).paths == ["/a"]


class Refusals:
    """Records the refused connections and malformed requests that a server reports."""

    def __init__(self) -> None:
        self.connections: list[int] = []
        self.malformed: list[int] = []

    def connection_refused(self, open_connections: int) -> None:
        """Record a refused connection."""
        self.connections.append(open_connections)

    def request_malformed(self, status: int, message: str) -> None:
        """Record the status of a malformed request."""
        assert message
        self.malformed.append(status)


def test_refused_connections_and_malformed_requests_are_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "MAX_CONNECTIONS", 1)
    refusals = Refusals()

    async def run() -> None:
        server = HttpServer(Operators().answer, malformed_request_body, refusals)
        address = f"{HOST}:{free_port((HOST,))}"
        await server.listen(address)
        try:
            async with asyncio.timeout(8):
                reader, writer = await asyncio.open_connection(*split_address(address))
                second, _ = await asyncio.open_connection(*split_address(address))
                with contextlib.suppress(ConnectionError):
                    await second.read()
                writer.write(b"nonsense\r\n\r\n")
                await reader.readline()
                writer.close()
        finally:
            server.close()

    asyncio.run(run())
    assert (refusals.connections, refusals.malformed) == ([1], [400])
