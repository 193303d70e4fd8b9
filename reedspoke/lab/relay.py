"""Our own relay between real processes: datagrams between schedulers, connections from a scheduler to others.

Each scheduler sees every other party at an address of the relay's, so that each way of each pair can be cut,
delayed, made to lose or to double by itself. Loopback alone. The relay counts what crosses it.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from reedspoke.lab.hosts import Peer

CHUNK = 1 << 16


class Observer(Protocol):
    """Is told of each datagram; times are those of the steady clock."""

    def came(self, sender: int, body: bytes, when: float) -> None: ...

    def passed_on(self, sender: int, to: int, body: bytes, when: float) -> None: ...


@dataclass(slots=True)
class Weather:
    """Of all ways between schedulers. Delays in s; who is delayed overtakes and is overtaken."""

    loss: float = 0.0
    delay: float = 0.0
    twice: float = 0.0


class _Door(asyncio.DatagramProtocol):
    def __init__(self, relay: Datagrams, at: int) -> None:
        self.relay, self.at = relay, at

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self.relay.came(self.at, data, addr)


class Datagrams:
    """`doors[n]` is scheduler n as the others see it; `listens[n]` is where it really listens."""

    def __init__(self, listens: list[int], seed: int, observer: Observer | None = None) -> None:
        self.listens, self.observer = listens, observer
        self.weather = Weather()
        self.weathers: dict[int, Weather] = {}  # of what these send, in place of the common one
        self.cuts: set[tuple[int, int]] = set()  # one way
        self.bytes = self.datagrams = self.largest = self.lost = 0
        self.kept: dict[int, list[bytes]] = {}  # old frames by sender, for replays
        self._random = random.Random(seed)
        self._doors: list[asyncio.DatagramTransport] = []
        self.peers: list[str] = []

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        for at in range(len(self.listens)):
            door, _ = await loop.create_datagram_endpoint(
                lambda at=at: _Door(self, at), local_addr=("127.0.0.1", 0)  # type: ignore[misc]
            )  # fmt: skip
            self._doors.append(door)
            self.peers.append(f"127.0.0.1:{door.get_extra_info('sockname')[1]}")

    def came(self, to: int, body: bytes, source: tuple[str, int]) -> None:
        if source[1] not in self.listens:
            return
        sender = self.listens.index(source[1])
        self.bytes += len(body)
        self.datagrams += 1
        self.largest = max(self.largest, len(body))
        kept = self.kept.setdefault(sender, [])
        if len(kept) < 64:
            kept.append(body)
        if self.observer is not None:
            self.observer.came(sender, body, time.monotonic())
        weather = self.weathers.get(sender, self.weather)
        for _ in range(1 + (self._random.random() < weather.twice)):
            if self._random.random() < weather.loss:
                self.lost += 1
            elif weather.delay:
                wait = self._random.random() * weather.delay
                asyncio.get_running_loop().call_later(wait, self.pass_on, sender, to, body)
            else:
                self.pass_on(sender, to, body)

    def pass_on(self, sender: int, to: int, body: bytes) -> None:
        if (sender, to) not in self.cuts:
            if self.observer is not None:
                self.observer.passed_on(sender, to, body, time.monotonic())
            self._doors[sender].sendto(body, ("127.0.0.1", self.listens[to]))
        else:
            self.lost += 1

    def stray(self, to: int, rng: random.Random) -> None:
        """Noise, and bytes from an address that nobody knows."""
        body = rng.randbytes(rng.randrange(1, 400))
        self._doors[(to + 1) % len(self._doors)].sendto(body, ("127.0.0.1", self.listens[to]))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            stranger.sendto(body[:200], ("127.0.0.1", self.listens[to]))

    def close(self) -> None:
        for door in self._doors:
            door.close()


class Link(Peer):
    """Connections of one scheduler to one other party. `stalled`: nothing passes until it ends, then all that
    was sent meanwhile does, whoever has closed since; `refusing`: connections are reset."""

    def __init__(self, target: Callable[[], str]) -> None:
        super().__init__()
        self.target, self.refusing = target, False
        self._open = asyncio.Event()
        self._open.set()

    @property
    def stalled(self) -> bool:
        return not self._open.is_set()

    def stall(self) -> None:
        self._open.clear()

    def resume(self) -> None:
        self._open.set()

    def reset(self) -> None:
        for task in list(self._tasks):
            task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.refusing:
            writer.transport.abort()
            return
        host, _, port = self.target().rpartition(":")
        far_reader, far_writer = await asyncio.open_connection(host, int(port))
        ways = [
            asyncio.ensure_future(self._pump(reader, far_writer)),
            asyncio.ensure_future(self._pump(far_reader, writer)),
        ]
        try:
            await asyncio.gather(*ways)
        finally:
            for way in ways:
                way.cancel()
            far_writer.close()

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(CHUNK):
            await self._open.wait()
            writer.write(data)
            with contextlib.suppress(
                ConnectionError
            ):  # the nearer side has gone; the farther one still hears
                await writer.drain()
        await self._open.wait()
        with contextlib.suppress(OSError):
            writer.write_eof()
