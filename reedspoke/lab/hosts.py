"""Emulated issuer hosts and discovery on loopback. They count what reaches them: experiments judge by
that."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from reedspoke.lab.settings import Deployment

BEAT = 1.0  # s between discovery's signs of life


@dataclass(slots=True)
class Message:
    first: str
    fields: dict[str, str]
    body: bytes


async def message(reader: asyncio.StreamReader) -> Message | None:
    """A request or an answer with a length; None where the connection has ended before one began."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("half a message") from None
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    body = await reader.readexactly(int(fields.get("content-length", "0")))
    return Message(first, fields, body)


class Peer:
    """A listening address whose connections are served until it is closed."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.endpoint = ""

    async def open(self) -> None:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.endpoint = f"{host}:{port}"

    async def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


@dataclass(slots=True)
class Ledger:
    """What ran where, by id or key, for all hosts together."""

    runs: Counter[str] = field(default_factory=Counter)
    unsafe_twice: int = 0  # also a keyed job that ran again
    dropped: int = 0  # repeats of keyed jobs that their zone has seen
    after_drain: int = 0  # legs to a host later than a drain's grace
    over_cap: int = 0  # connections that a host reset, as it held as many as it can
    legs: int = 0
    seen: dict[tuple[str, str], float] = field(default_factory=dict)  # (zone, key): when it ran first

    def run(self, name: str, unsafe: bool) -> None:
        self.legs += 1
        self.runs[name] += 1
        if unsafe and self.runs[name] > 1:
            self.unsafe_twice += 1

    def repeat(self, zone: str, key: str, window: float) -> bool:
        """Whether the hosts of that zone drop it; else it is theirs from now on."""
        now = time.monotonic()
        if now - self.seen.get((zone, key), -window) < window:
            self.dropped += 1
            return True
        self.seen[zone, key] = now
        return False


class Host(Peer):
    """Runs what fits its slots, queues some more in order, and hands back the rest as never run."""

    def __init__(
        self, uid: str, ledger: Ledger, work: Callable[[str], float], unsafe: frozenset[str],
        slots: int = 4, queue: int = 24, zone: str = "a", deployment: Deployment | None = None,
    ) -> None:  # fmt: skip
        """`work`: s that a job of a class takes. `deployment`: where its reports, keys, idle connections and
        drains are not those of the first one."""
        super().__init__()
        self.zone, self.deployment, self.drained_at = zone, deployment, 0.0
        self.uid, self.ledger, self.work, self.unsafe = uid, ledger, work, unsafe
        self.slots, self.queue = slots, queue
        self.busy = 0
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._mean = 0.02

    def entry(self) -> dict[str, object]:
        return {
            "uid": self.uid, "endpoint": self.endpoint, "az": self.zone, "model": "fast",
            "state": "Terminating" if self.drained_at else "Ready",
            "pod_group": 0, "capacity_hint": 1.0, "boot_ms": 0,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.deployment and 0 < self.deployment.most_connections < len(self._tasks):
            self.ledger.over_cap += 1
            writer.transport.abort()
            return
        idle = self.deployment.conn_idle / 1e6 if self.deployment else None
        while (asked := await asyncio.wait_for(message(reader), idle)) is not None:
            if asked.first.startswith("GET") and self.deployment is not None:
                load = self._load()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(load), load))
                continue
            if asked.first.startswith("GET"):
                writer.write(b"HTTP/1.1 200 OK\r\nX-Load: %b\r\nContent-Length: 0\r\n\r\n" % self._load())
                continue
            if self.busy >= self.slots and len(self._waiting) >= self.queue:
                writer.write(b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
                continue
            await self._run(asked, writer)

    async def _run(self, asked: Message, writer: asyncio.StreamWriter) -> None:
        name, cls = asked.fields["x-request-id"], asked.fields.get("x-class", "")
        key, told = asked.fields.get("idempotency-key", ""), self.deployment
        if told and self.drained_at and time.monotonic() > self.drained_at + told.drain_grace / 1e6:
            self.ledger.after_drain += 1
        repeated = bool(told and key) and self.ledger.repeat(self.zone, key, told.window / 1e6 if told else 0)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if self.busy >= self.slots:
            place: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self._waiting.append(place)
            await place
        else:
            self.busy += 1
        try:
            if not repeated:
                self.ledger.run(key or name, bool(key) or cls in self.unsafe)
            self._tell(writer, name, "started")
            since = time.monotonic()
            await asyncio.sleep(0 if repeated else self.work(cls))
            self._mean += 0.1 * (time.monotonic() - since - self._mean)
        finally:
            while self._waiting and (waiter := self._waiting.popleft()) is not None:
                if not waiter.done():
                    waiter.set_result(None)
                    break
            else:
                self.busy -= 1
        load = {} if told and told.report == "probe" else {"load": self._figures()}
        self._tell(writer, name, "done", result=f"{name} {cls}", **load)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _tell(self, writer: asyncio.StreamWriter, name: str, state: str, **more: object) -> None:
        data = json.dumps({"id": name, "from": self.uid, "state": state, **more}).encode() + b"\n"
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    def _figures(self) -> dict[str, float]:
        free = float(max(0, self.slots - self.busy))
        told = {"mean_ms": self._mean * 1000, "depth": float(len(self._waiting)), "x0": free, "x1": free}
        return {**told, "concurrent": float(self.busy + len(self._waiting))}

    def _load(self) -> bytes:
        names = {"mean_ms": "latency_ms", "depth": "queue", "concurrent": "inflight"}
        told = ", ".join(f"{names.get(name, name)}={value:.3f}" for name, value in self._figures().items())
        return f"TEXT {told}".encode()


class Discovery(Peer):
    """Tells the whole list once, then each change, and beats."""

    def __init__(self, hosts: list[Host]) -> None:
        super().__init__()
        self.hosts, self.rev, self.watches = hosts, 1, 0
        self._changed = asyncio.Event()

    def listed(self) -> dict[str, object]:
        return {"rev": self.rev, "all": True, "targets": [host.entry() for host in self.hosts]}

    def drain(self, host: Host) -> None:
        """From now on its list says that the host drains."""
        host.drained_at, self.rev = time.monotonic(), self.rev + 1
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if await message(reader) is None:
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches += 1
        told = 0
        while True:
            data = json.dumps(self.listed()).encode() + b"\n" if told != self.rev else b"\n"
            told = self.rev
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), BEAT)


class Fleet:
    """Some hosts and the discovery that lists them."""

    def __init__(
        self, hosts: int, seed: int, classes: dict[str, float], unsafe: frozenset[str], slots: int = 4,
        deployment: Deployment | None = None,
    ) -> None:  # fmt: skip
        """`classes`: mean work of each, s. `deployment`: see Host; its zones have the hosts in turn."""
        self.ledger = Ledger()
        self._random = random.Random(seed)
        self._classes = classes
        zones = deployment.zones if deployment else ("a",)
        self.hosts = [
            Host(
                f"s-{at}", self.ledger, self._work, unsafe, slots, zone=zones[at % len(zones)],
                deployment=deployment,
            )
            for at in range(hosts)
        ]  # fmt: skip
        self.discovery = Discovery(self.hosts)

    def _work(self, cls: str) -> float:
        return min(1.0, self._random.lognormvariate(0, 0.5) * self._classes.get(cls, 0.02))

    async def open(self) -> None:
        for host in self.hosts:
            await host.open()
        await self.discovery.open()

    async def close(self) -> None:
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*(peer.close() for peer in (*self.hosts, self.discovery)))
