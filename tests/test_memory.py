"""Closed client and operator connections leave no objects that need a garbage collection."""

from __future__ import annotations

import asyncio
import gc
import json
from collections import Counter
from contextlib import suppress
from pathlib import Path

import pytest

from reedspoke.net.config import load
from reedspoke.net.node import Node
from tests.peers import SETTINGS, Peer, ask
from tests.ports import free_port

READY = b"GET /ready HTTP/1.1\r\nHost: n\r\n\r\n"
INPUTS = {
    "silent": b"", "answered": READY, "half": READY[:20], "malformed": b"nothing\r\n\r\n", "waiting": ask(),
    "pipelined": READY + ask(), "told to go": b"POST /none HTTP/1.1\r\nConnection: close\r\nHost: n\r\n\r\n",
}  # fmt: skip


def count_connections() -> Counter[str]:
    return Counter(
        name for thing in gc.get_objects() if (name := type(thing).__name__) in ("Client", "Caller")
    )


@pytest.mark.parametrize("as_operator", [False, True], ids=["client", "operator"])
@pytest.mark.parametrize("sent", INPUTS.values(), ids=INPUTS)
def test_closed_connections_are_freed_without_the_garbage_collector(
    tmp_path: Path, sent: bytes, as_operator: bool
) -> None:
    """Thousands of short connections outrun the garbage collector."""
    port, door, directory, host = free_port(), free_port(), Peer(), Peer("s-0")
    known = {"rev": 1, "all": True, "targets": [host.entry()]}
    config = {
        "name": "n0", "seed": "1", "listen": f"127.0.0.1:{port}", "ops": f"127.0.0.1:{door}",
        "discovery": directory.endpoint, "known": known, "settings": SETTINGS,
    }  # fmt: skip
    (tmp_path / "config.json").write_text(json.dumps(config))

    async def connect_and_close(times: int) -> None:
        for _ in range(times):
            reader, writer = await asyncio.open_connection("127.0.0.1", door if as_operator else port)
            writer.write(sent)
            if sent not in (b"", INPUTS["half"], INPUTS["waiting"]):
                await reader.read(1)
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()

    async def play() -> Counter[str]:
        node = Node(load({"PROXY_CONFIG": str(tmp_path / "config.json")}))
        running = asyncio.ensure_future(node.run())
        await asyncio.sleep(0)  # it is listening now
        await connect_and_close(1)
        while node.runtime.reducer.state.clients or node.runtime.reducer.state.operator_calls:
            await asyncio.sleep(0)
        gc.collect()
        gc.disable()
        try:
            before = count_connections()
            await connect_and_close(10)
            while node.runtime.reducer.state.clients or node.runtime.reducer.state.operator_calls:
                await asyncio.sleep(0)
            await asyncio.gather(*node.client_server._tasks, *node.operator_api._tasks)  # type: ignore[union-attr]
            await asyncio.sleep(0)
            return count_connections() - before
        finally:
            gc.enable()
            running.cancel()

    found = asyncio.run(play())
    assert found["Client"] + found["Caller"] == 0
