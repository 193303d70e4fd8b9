"""A worker that answers before it has read a long body never receives bytes of another request there."""

from __future__ import annotations

import asyncio

from tests.data_plane.loopback import WorkerSide, start
from tests.data_plane.wire import split_head

BODY = b"0123456789abcdef" * 250_000  # More than the kernel buffers for a worker that does not read.
PIECE = 65536


async def fail_if_called(side: WorkerSide) -> None:
    raise AssertionError(side.request)


class EarlyWorker:
    """Answers as soon as a head has arrived, and reads the rest once `may_read` is set."""

    def __init__(self) -> None:
        self.connections: list[bytearray] = []
        self.may_read = asyncio.Event()
        self.ended: list[asyncio.Event] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        received, ended = bytearray(), asyncio.Event()
        self.connections.append(received)
        self.ended.append(ended)
        while (parts := split_head(bytes(received))) is None:
            received += await reader.read(PIECE)
        attempt_id = dict(parts[1])["reedspoke-attempt-id"]
        echo = f"Reedspoke-Attempt-Id: {attempt_id}\r\nReedspoke-Response-Seal: s\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}Content-Length: 5\r\n\r\nearly".encode())
        await self.may_read.wait()
        try:
            while piece := await reader.read(PIECE):
                received += piece
        except ConnectionError:
            pass
        ended.set()
        writer.close()


def test_an_early_answer_is_forwarded_and_its_connection_carries_nothing_else() -> None:
    async def run() -> None:
        worker = EarlyWorker()
        server = await asyncio.start_server(worker.serve, "127.0.0.1", 0, limit=PIECE)
        loopback = await start(fail_if_called, 1)
        loopback.pool.first_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        answer = await loopback.request("/once/", "a1", BODY)
        assert answer is not None
        assert (answer.status, answer.body) == (200, b"early")
        loopback.pool.first_address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        later = await loopback.request("/once/", "a2", b"other bytes")
        assert later is not None
        assert (later.status, later.body) == (200, b"early")
        worker.may_read.set()
        loopback.close()
        async with asyncio.timeout(5):
            await worker.ended[0].wait()
        server.close()
        first, second = worker.connections
        parts = split_head(bytes(first))
        assert parts is not None
        assert BODY.startswith(parts[2])
        assert second.endswith(b"other bytes")

    asyncio.run(run())
