"""Carries all connections that the processes of a run open, so that ways between machines can be cut.

A process connects to the relay and names itself and the address that it wants (`node.py`); one byte tells it
whether that address takes the connection. While a way is cut nothing crosses it: no byte, end or reset.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress

from msgspec import Struct

from reedspoke.lab.fleet_emulator.http_messages import NO_LINGER
from reedspoke.lab.hosts import Peer

UP, REFUSED = b"+", b"-"
CHUNK = 64 * 1024
LOOK_S = 0.01  # between two looks whether a cut is over
HEADER_S = 5.0
ENDED = (OSError, asyncio.IncompleteReadError)

MachineOf = Callable[[str], str]  # of an address `ip:port`


class Way(Struct, frozen=True):
    """From one machine to another."""

    source: str
    target: str

    def back(self) -> Way:
        """The other direction."""
        return Way(self.target, self.source)


class Link(Struct, eq=False):
    """One connection that is carried."""

    way: Way
    writers: tuple[asyncio.StreamWriter, asyncio.StreamWriter]


class Relay(Peer):
    """Listens on loopback; `cuts` are the ways that nothing crosses."""

    def __init__(self, machine_of: MachineOf) -> None:
        super().__init__()
        self.cuts: dict[Way, int] = {}  # how many cuts there are
        self.carried = 0
        self._machine_of = machine_of
        self._links: set[Link] = set()

    def cut(self, way: Way) -> None:
        """Let nothing cross this way until it is joined as often as it was cut."""
        self.cuts[way] = self.cuts.get(way, 0) + 1

    def join(self, way: Way) -> None:
        """End one cut of this way."""
        self.cuts[way] -= 1
        if not self.cuts[way]:
            del self.cuts[way]

    def reset(self, machine: str) -> None:
        """Reset every connection of a machine, at both ends."""
        for link in [link for link in self._links if machine in (link.way.source, link.way.target)]:
            for writer in link.writers:
                reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection until it is over at both ends."""
        with suppress(TimeoutError, ValueError):  # a header that is none
            await self._carry(reader, writer)

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with asyncio.timeout(HEADER_S):
            source, address = (await reader.readline()).decode().split()
        way = Way(source, self._machine_of(address))
        await self._until_joined(way, reader)
        await self._until_joined(way.back(), reader)
        host, _, port = address.rpartition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.write(REFUSED)
            await writer.drain()
            return
        writer.write(UP)
        link = Link(way, (writer, far_writer))
        self._links.add(link)
        self.carried += 1
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pump(reader, far_writer, way))
                group.create_task(self._pump(far_reader, writer, way.back()))
        except* ENDED:
            reset(far_writer)
            reset(writer)
        finally:
            self._links.discard(link)
            far_writer.transport.abort()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        try:
            while data := await reader.read(CHUNK):
                await self._until_joined(way)
                writer.write(data)
                await writer.drain()
        except ENDED:
            await self._until_joined(way)  # a reset does not cross a cut either
            raise
        await self._until_joined(way)
        with suppress(*ENDED):
            writer.write_eof()

    async def _until_joined(self, way: Way, reader: asyncio.StreamReader | None = None) -> None:
        while way in self.cuts:
            if reader is not None and reader.at_eof():
                raise ConnectionResetError
            await asyncio.sleep(LOOK_S)


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    raw = writer.get_extra_info("socket")
    if raw is not None and raw.fileno() >= 0:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    writer.transport.abort()
