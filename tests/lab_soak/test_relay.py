"""The relay carries connections, and holds back all of them that cross a cut."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from reedspoke.lab.fleet_soak.relay import REFUSED, UP, Relay, Way

LIMIT_S = 5.0
WAY = Way("edge-0", "far")


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """A server that says again what it hears."""
    while data := await reader.read(1000):
        writer.write(data)
        await writer.drain()
    writer.close()


class Scene:
    """A relay before an echoing server."""

    def __init__(self, relay: Relay, address: str) -> None:
        self.relay = relay
        self.address = address

    async def connect(self, address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.relay.endpoint.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"edge-0 {address}\n".encode())
        return reader, writer


def play(scene: Callable[[Scene], Awaitable[None]]) -> None:
    async def run() -> None:
        relay = Relay(lambda address: "far")
        await relay.open()
        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        async with asyncio.timeout(LIMIT_S):
            await scene(Scene(relay, f"{host}:{port}"))
        server.close()
        await relay.close()

    asyncio.run(run())


def test_bytes_and_the_end_cross_both_ways() -> None:
    async def scene(made: Scene) -> None:
        reader, writer = await made.connect(made.address)
        assert await reader.readexactly(1) == UP
        writer.write(b"hello")
        assert await reader.readexactly(5) == b"hello"
        writer.write_eof()
        assert await reader.read() == b""
        assert made.relay.carried == 1

    play(scene)


def test_a_dead_port_refuses() -> None:
    async def scene(made: Scene) -> None:
        reader, _ = await made.connect("127.0.0.1:9")
        assert await reader.read() == REFUSED

    play(scene)


@pytest.mark.parametrize("way", [WAY, WAY.back()])
def test_nothing_crosses_a_cut_until_it_is_joined(way: Way) -> None:
    async def scene(made: Scene) -> None:
        reader, writer = await made.connect(made.address)
        await reader.readexactly(1)
        made.relay.cut(way)
        made.relay.cut(way)
        writer.write(b"hello")
        made.relay.join(way)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readexactly(5)
        made.relay.join(way)
        assert await reader.readexactly(5) == b"hello"
        assert made.relay.cuts == {}

    play(scene)


def test_a_connection_that_is_opened_across_a_cut_hangs() -> None:
    async def scene(made: Scene) -> None:
        made.relay.cut(WAY)
        reader, _ = await made.connect(made.address)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.readexactly(1)
        made.relay.join(WAY)
        assert await reader.readexactly(1) == UP

    play(scene)


def test_a_reset_reaches_both_ends() -> None:
    async def scene(made: Scene) -> None:
        reader, _ = await made.connect(made.address)
        await reader.readexactly(1)
        made.relay.reset("edge-0")
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)

    play(scene)
