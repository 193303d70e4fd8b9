"""Metrics over HTTP."""

from __future__ import annotations

import asyncio

from reedspoke.telemetry.metrics_server import MAX_CONNECTIONS, MAX_HEAD_BYTES, MetricsServer

HOST = "127.0.0.1"


async def exchange(port: int, *requests: bytes) -> bytes:
    """What comes back on one connection until its end, or until it is idle after the last answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    for request in requests:
        writer.write(request)
    writer.write_eof()
    answer = await reader.read()
    writer.close()
    return answer


def port_of(server: MetricsServer) -> int:
    """The port that the system chose."""
    assert server._server is not None
    port: int = server._server.sockets[0].getsockname()[1]
    return port


def answers_to(*requests: bytes, text: str = "n 1\n") -> bytes:
    """Answers of a server to these requests on one connection."""

    async def run() -> bytes:
        server = MetricsServer("/metrics", lambda: text)
        await server.listen(HOST, 0)
        try:
            return await exchange(port_of(server), *requests)
        finally:
            server.close()

    return asyncio.run(run())


GET = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"


def test_metrics_are_served_at_their_path_alone() -> None:
    found = answers_to(GET)
    assert found.startswith(b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4")
    assert found.endswith(b"Content-Length: 4\r\n\r\nn 1\n")
    assert answers_to(b"GET /other HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 404 ")
    assert answers_to(b"POST /metrics HTTP/1.1\r\n\r\n").startswith(b"HTTP/1.1 404 ")
    assert answers_to(b"nonsense\r\n\r\n").startswith(b"HTTP/1.1 404 ")


def test_one_connection_carries_several_requests() -> None:
    assert answers_to(GET, GET).count(b"HTTP/1.1 200 OK") == 2


def test_a_head_without_an_end_is_limited() -> None:
    async def run() -> None:
        server = MetricsServer("/metrics", str)
        await server.listen(HOST, 0)
        reader, writer = await asyncio.open_connection(HOST, port_of(server))
        writer.write(b"x" * (MAX_HEAD_BYTES + 1))
        try:
            found = await reader.read()
        except ConnectionResetError:
            found = b""
        assert found == b""
        server.close()

    asyncio.run(run())


def test_the_number_of_connections_is_limited() -> None:
    async def run() -> None:
        server = MetricsServer("/metrics", str)
        await server.listen(HOST, 0)
        open_connections = []
        for _ in range(MAX_CONNECTIONS):
            reader, writer = await asyncio.open_connection(HOST, port_of(server))
            writer.write(GET)
            await reader.readuntil(b"\r\n\r\n")
            open_connections.append(writer)
        reader, writer = await asyncio.open_connection(HOST, port_of(server))
        try:
            refused = await reader.read()
        except ConnectionResetError:
            refused = b""
        assert refused == b""
        assert len(server.connections) == MAX_CONNECTIONS
        server.close()

    asyncio.run(run())
