"""A listening address of an emulated party."""

from __future__ import annotations

import asyncio

from reedspoke.lab.fleet_emulator.http_messages import HttpConnection
from reedspoke.lab.hosts import Peer
from reedspoke.net.http import MalformedError

BACKLOG = 512


class HttpListener(Peer):
    """Serves HTTP connections at an address that is given."""

    def __init__(self, address: str) -> None:
        super().__init__()
        self.endpoint = address
        self.connections: set[HttpConnection] = set()

    async def open(self) -> None:
        host, _, port = self.endpoint.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port), backlog=BACKLOG)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(reader, writer)
        self.connections.add(connection)
        try:
            await self.serve_connection(connection)
        except MalformedError:
            connection.reset()
        finally:
            self.connections.discard(connection)

    async def serve_connection(self, connection: HttpConnection) -> None:
        """Serve requests until the connection is over."""
        raise NotImplementedError

    async def crash(self) -> None:
        """Stop at once; every connection is reset."""
        for connection in list(self.connections):
            connection.reset()
        await self.close()
