"""What clients and operators leave behind when they go: nothing that waits for the collector."""

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
MANNERS = {
    "silent": b"", "answered": READY, "half": READY[:20], "malformed": b"nothing\r\n\r\n", "waiting": ask(),
    "pipelined": READY + ask(), "told to go": b"POST /none HTTP/1.1\r\nConnection: close\r\nHost: n\r\n\r\n",
}  # fmt: skip


def left() -> Counter[str]:
    return Counter(
        name for thing in gc.get_objects() if (name := type(thing).__name__) in ("Client", "Caller")
    )


@pytest.mark.parametrize("at_door", [False, True], ids=["client", "operator"])
@pytest.mark.parametrize("sent", MANNERS.values(), ids=MANNERS)
def test_who_leaves_is_forgotten_without_the_collector(tmp_path: Path, sent: bytes, at_door: bool) -> None:
    """Guards the memory: thousands that connect and leave outrun the collector."""
    port, door, directory, host = free_port(), free_port(), Peer(), Peer("s-0")
    known = {"rev": 1, "all": True, "targets": [host.entry()]}
    told = {
        "name": "n0", "seed": "1", "listen": f"127.0.0.1:{port}", "ops": f"127.0.0.1:{door}",
        "discovery": directory.endpoint, "known": known, "settings": SETTINGS,
    }  # fmt: skip
    (tmp_path / "config.json").write_text(json.dumps(told))

    async def come_and_leave(times: int) -> None:
        for _ in range(times):
            reader, writer = await asyncio.open_connection("127.0.0.1", door if at_door else port)
            writer.write(sent)
            if sent not in (b"", MANNERS["half"], MANNERS["waiting"]):
                await reader.read(1)
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()

    async def play() -> Counter[str]:
        node = Node(load({"PROXY_CONFIG": str(tmp_path / "config.json")}))
        running = asyncio.ensure_future(node.run())
        await asyncio.sleep(0)  # it listens then
        await come_and_leave(1)
        while node.runtime.reducer.state.clients or node.runtime.reducer.state.callers:
            await asyncio.sleep(0)
        gc.collect()
        gc.disable()
        try:
            before = left()
            await come_and_leave(10)
            while node.runtime.reducer.state.clients or node.runtime.reducer.state.callers:
                await asyncio.sleep(0)
            await asyncio.gather(*node.acquirer._tasks, *node.operator_api._tasks)  # type: ignore[union-attr]
            await asyncio.sleep(0)
            return left() - before
        finally:
            gc.enable()
            running.cancel()

    found = asyncio.run(play())
    assert found["Client"] + found["Caller"] == 0
