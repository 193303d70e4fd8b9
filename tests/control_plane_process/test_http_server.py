"""Tests of the HTTP server on a loopback address, at the level of bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from reedspoke.common.node_settings import split_address
from reedspoke.control_plane.api import http_connection, http_server
from reedspoke.control_plane.api.error_responses import malformed_request_body
from reedspoke.control_plane.api.http_messages import Request, Response
from reedspoke.control_plane.api.http_server import HttpServer
from tests.ports import free_port

HOST = "127.0.0.1"
Conversation = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def echo(request: Request) -> Response:
    """Return the method, path and body of the request, or raise an error for one path."""
    if request.path == "/fails":
        raise ValueError("a fault")
    await asyncio.sleep(0)
    return Response(200, f"{request.method} {request.path} ".encode() + request.body)


def run_conversation(conversation: Conversation) -> HttpServer:
    """Run the conversation on a connection to a new server."""
    address = f"{HOST}:{free_port((HOST,))}"
    servers: list[HttpServer] = []

    async def run() -> None:
        server = HttpServer(echo, malformed_request_body)
        servers.append(server)
        await server.listen(address)
        reader, writer = await asyncio.open_connection(*split_address(address))
        async with asyncio.timeout(5):
            await conversation(reader, writer)
        server.close()

    asyncio.run(run())
    return servers[0]


async def answer(reader: asyncio.StreamReader) -> tuple[int, bytes, bytes]:
    """Read one response, and return its status, head and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])
    return int(head.split()[1]), head, await reader.readexactly(length)


def test_sequential_requests_on_one_connection() -> None:
    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for number in range(3):
            writer.write(f"GET /{number} HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            assert (await answer(reader))[::2] == (200, f"GET /{number} ".encode())

    run_conversation(conversation)


def test_pipelined_requests_are_answered_in_order() -> None:
    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b"PUT /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nxyzGET /b HTTP/1.1\r\n\r\nGET /c HTTP/1.1\r\n\r\n"
        )
        assert (await answer(reader))[2] == b"PUT /a xyz"
        assert (await answer(reader))[2] == b"GET /b "
        assert (await answer(reader))[2] == b"GET /c "

    run_conversation(conversation)


BODIES = {
    "length": b"PUT /a HTTP/1.1\r\nContent-Length: 10\r\n\r\n0123456789",
    "chunks": (
        b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"4\r\n0123\r\n6;x=y\r\n456789\r\n0\r\nT: v\r\n\r\n"
    ),
}


@pytest.mark.parametrize("kind", BODIES)
def test_a_request_may_be_split_at_any_byte(kind: str) -> None:
    data = BODIES[kind]

    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for cut in range(1, len(data)):
            writer.write(data[:cut])
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            writer.write(data[cut:])
            assert (await answer(reader))[2] == b"PUT /a 0123456789"

    run_conversation(conversation)


def test_a_large_body_is_received_completely() -> None:
    body = bytes(range(256)) * 20_000

    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"PUT /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        assert (await answer(reader))[2] == b"PUT /a " + body

    run_conversation(conversation)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"PUT /a HTTP/1.1\r\nContent-Length: 8388609\r\n\r\n", 413),
        (b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n8FFFFF\r\n" + b"x" * 9_000_000, 413),
        (b"nonsense\r\n\r\n", 400),
        (b"GET /a HTTP/2.0\r\n\r\n", 505),
        (b"GET /a HTTP/1.1\r\n" + b"X: y\r\n" * 5000, 431),
        (b"PUT /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", 501),
        (b"PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n", 400),
    ],
)
def test_a_malformed_request_is_answered_and_its_connection_closed(data: bytes, status: int) -> None:
    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(data)
        got, head, body = await answer(reader)
        assert got == status
        assert b"\r\nConnection: close\r\n" in head
        assert b'"error"' in body
        assert await reader.read() == b""

    run_conversation(conversation)


def test_an_error_in_a_handler_is_answered_with_500() -> None:
    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"GET /fails HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n")
        assert (await answer(reader))[0] == 500
        assert (await answer(reader))[0] == 200

    run_conversation(conversation)


def test_the_connection_is_closed_if_the_client_requests_it() -> None:
    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"GET /a HTTP/1.1\r\nConnection: close\r\n\r\n")
        assert (await answer(reader))[0] == 200
        assert await reader.read() == b""

    run_conversation(conversation)


def test_a_client_that_expects_100_continue_receives_it() -> None:
    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"PUT /a HTTP/1.1\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n")
        assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
        writer.write(b"xy")
        assert (await answer(reader))[2] == b"PUT /a xy"

    run_conversation(conversation)


def test_an_incomplete_request_times_out(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "SWEEP_INTERVAL_S", 0.02)
    monkeypatch.setattr(http_connection, "REQUEST_TIMEOUT_S", 0.1)

    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"PUT /a HTTP/1.1\r\nContent-Length: 5\r\n\r\nxy")
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)

    run_conversation(conversation)


def test_connections_beyond_the_limit_are_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(http_server, "MAX_CONNECTIONS", 1)

    async def conversation(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        assert (await answer(reader))[0] == 200
        other, _ = await asyncio.open_connection(*writer.get_extra_info("peername"))
        with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
            await other.readexactly(1)
        writer.write(b"GET /a HTTP/1.1\r\n\r\n")
        assert (await answer(reader))[0] == 200

    run_conversation(conversation)
