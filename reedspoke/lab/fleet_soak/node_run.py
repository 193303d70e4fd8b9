"""Runs a program of the fleet with stand-ins around it; started by `node`.

The file that NODE_VARIABLE names says where they are. The program itself is unchanged: its event loop opens
connections through the relay, and its disk calls go through `DiskLayer`.
"""

from __future__ import annotations

import asyncio
import os
import runpy
import socket
import sys
from pathlib import Path
from typing import Any

import msgspec
from msgspec import Struct

from reedspoke.lab.fleet_soak.disk_layer import DiskLayer
from reedspoke.lab.fleet_soak.relay import UP

NODE_VARIABLE = "REEDSPOKE_SOAK_NODE"


class NodeFile(Struct, frozen=True):
    """Where the stand-ins of a process are."""

    name: str
    relay: str
    data_dir: str = ""
    synced: str = ""
    trouble_file: str = ""


class RelayedLoop(asyncio.SelectorEventLoop):
    """An event loop whose outgoing connections pass through the relay."""

    node: NodeFile

    async def create_connection(  # type: ignore[override]
        self, factory: Any, host: Any = None, port: Any = None, **others: Any
    ) -> Any:
        if host is None:
            return await super().create_connection(factory, host, port, **others)
        raw = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        raw.setblocking(False)
        try:
            await self._through_relay(raw, f"{host}:{port}")
        except BaseException:
            raw.close()
            raise
        return await super().create_connection(factory, sock=raw)

    async def _through_relay(self, raw: socket.socket, address: str) -> None:
        relay_host, _, relay_port = self.node.relay.rpartition(":")
        await self.sock_connect(raw, (relay_host, int(relay_port)))
        await self.sock_sendall(raw, f"{self.node.name} {address}\n".encode())
        if await self.sock_recv(raw, 1) != UP:
            raise ConnectionRefusedError(address)


class RelayedPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes such loops."""

    _loop_factory = RelayedLoop


def main() -> None:
    """Run the module named on the command line."""
    node = msgspec.json.decode(Path(os.environ[NODE_VARIABLE]).read_bytes(), type=NodeFile)
    RelayedLoop.node = node
    asyncio.set_event_loop_policy(RelayedPolicy())
    if node.data_dir:
        DiskLayer(Path(node.data_dir), Path(node.synced), Path(node.trouble_file)).install()
    module = sys.argv[1]
    sys.argv = [module]
    runpy.run_module(module, run_name="__main__", alter_sys=True)
