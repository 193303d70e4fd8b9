"""A worker that answers before it has read a long body, over sockets: it never reads other bytes there."""

from __future__ import annotations

import asyncio

from tests.data_plane.loopback import WorkerSide, start
from tests.data_plane.wire import split_head

BODY = b"0123456789abcdef" * 250_000  # more than the system takes for a worker that does not read
PIECE = 65536


async def unused(side: WorkerSide) -> None:
    raise AssertionError(side.request)


class EarlyWorker:
    """Answers as soon as a head is there, and reads the rest when it is told to."""

    def __init__(self) -> None:
        self.connections: list[bytearray] = []
        self.read_on = asyncio.Event()
        self.over: list[asyncio.Event] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        came, over = bytearray(), asyncio.Event()
        self.connections.append(came)
        self.over.append(over)
        while (parts := split_head(bytes(came))) is None:
            came += await reader.read(PIECE)
        attempt_id = dict(parts[1])["reedspoke-attempt-id"]
        echo = f"Reedspoke-Attempt-Id: {attempt_id}\r\nReedspoke-Response-Seal: s\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}Content-Length: 5\r\n\r\nearly".encode())
        await self.read_on.wait()
        try:
            while piece := await reader.read(PIECE):
                came += piece
        except ConnectionError:
            pass
        over.set()
        writer.close()


def test_an_early_answer_is_passed_on_and_its_connection_carries_nothing_else() -> None:
    async def run() -> None:
        worker = EarlyWorker()
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0, limit=PIECE)
        stage = await start(unused, 1)
        stage.pool.first_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        answer = await stage.request("/once/", "a1", BODY)
        assert answer is not None
        assert (answer.status, answer.body) == (200, b"early")
        stage.pool.first_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        later = await stage.request("/once/", "a2", b"other bytes")
        assert later is not None
        assert (later.status, later.body) == (200, b"early")
        worker.read_on.set()
        stage.close()
        async with asyncio.timeout(5):
            await worker.over[0].wait()
        server.close()
        first, second = worker.connections
        parts = split_head(bytes(first))
        assert parts is not None
        assert BODY.startswith(parts[2])
        assert second.endswith(b"other bytes")

    asyncio.run(run())
