"""Several real processes of the program, stand-ins for all that they talk to, and the relay in between.

Every verdict is the stand-ins' and the relay's: what hosts ran, what clients were answered, which acts of a
duty came to the registry in which order, which grants crossed between the schedulers. The processes are asked
nothing but what operators ask them at the door, and that decides nothing.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import time
from collections import Counter
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from reedspoke.fleet.messages.fields import name_hash
from reedspoke.fleet.transport.authentication import load_keys
from reedspoke.lab.clients import Client, Tally, Target
from reedspoke.lab.hosts import Discovery, Fleet, Host, Peer, message
from reedspoke.lab.program import LabError, Program, free_port
from reedspoke.lab.relay import Datagrams, Link
from reedspoke.lab.settings import PUSHED
from reedspoke.lab.watcher import Watcher

HOSTS = 4
PAUSE = 0.12  # s between a client's requests
CLIENTS = 2  # of each scheduler
NOTICED = 0.3  # s after which a front sends nothing more to a scheduler that leaves
DUTY = "nightly-export"


@dataclass(slots=True, frozen=True)
class Acted:
    when: float
    token: int
    holder: str
    accepted: bool


class Registry(Peer):
    """Carries out a duty's acts and refuses those of an older holder. It keeps all that came."""

    def __init__(self) -> None:
        super().__init__()
        self.acts: list[Acted] = []
        self._highest = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while (asked := await message(reader)) is not None:
            token, holder = int(asked.fields["fencing-token"]), asked.fields["x-holder"]
            accepted = token >= self._highest
            self._highest = max(self._highest, token)
            self.acts.append(Acted(time.monotonic(), token, holder, accepted))
            first = b"200 OK" if accepted else b"409 Conflict"
            writer.write(
                b"HTTP/1.1 %b\r\nFencing-Token: %d\r\nContent-Length: 0\r\n\r\n" % (first, self._highest)
            )
            with suppress(ConnectionError):
                await writer.drain()

    def stale_accepted(self) -> int:
        """Counted anew from the whole list: acts carried out behind a later holder's."""
        highest = stale = 0
        for act in self.acts:
            if act.accepted:
                stale += act.token < highest
                highest = max(highest, act.token)
        return stale

    def stale_refused(self) -> int:
        return sum(not act.accepted for act in self.acts)

    def holders(self) -> int:
        return len({act.token for act in self.acts if act.accepted})


class Agent(Discovery):
    """A scheduler's own agent, with the addresses at which that scheduler reaches the hosts. `mood`: serving,
    silent (nothing comes, connections stay), gone (connections are refused) or old (an older list)."""

    def __init__(self, hosts: list[Host], links: dict[str, Link]) -> None:
        super().__init__(hosts)
        self.links, self.mood, self.rev = links, "serving", 100

    def listed(self) -> dict[str, object]:
        targets = [{**host.entry(), "endpoint": self.links[host.uid].endpoint} for host in self.hosts]
        return {"rev": self.rev - 50 if self.mood == "old" else self.rev, "all": True, "targets": targets}

    def turn(self, mood: str) -> None:
        """From now on, for those that are connected as well."""
        self.mood = mood
        if mood in ("gone", "old"):
            for task in list(self._tasks):
                task.cancel()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.mood == "gone":
            writer.transport.abort()
            return
        if await message(reader) is None:
            return
        while self.mood == "silent":
            await asyncio.sleep(0.1)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches += 1
        told = 0
        while True:
            if self.mood != "silent":
                now = self.rev
                data = json.dumps(self.listed()).encode() + b"\n" if told != now else b"\n"
                told = now
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
            await asyncio.sleep(0.5)


@dataclass
class Scheduler:
    """One process, its links, and when it was disturbed by us: what is lost then is not its doing."""

    number: int
    program: Program
    agent: Agent
    links: dict[str, Link]  # to hosts
    registry: Link
    started: float = 0.0
    stopped: bool = False  # SIGSTOP
    leaving: bool = False
    drained: bool = False
    ready: bool = False
    disturbed: list[tuple[float, float]] = field(default_factory=list)

    def running(self) -> bool:
        return self.program.running()

    def disturb(self, since: float, until: float) -> None:
        self.disturbed.append((since, until))

    def was_disturbed(self, since: float, until: float) -> bool:
        return any(begin <= until and since <= end for begin, end in self.disturbed[-20:])


class Rig:
    """`size` schedulers; times in s."""

    def __init__(
        self, folder: Path, seed: int, size: int = 5, term: float = 1.0, drift: float = 0.05,
        period: float = 0.4, every: float = 0.1, held: bool = False,
        granters: tuple[int, ...] = (), bookings: dict[str, int] | None = None,
        kept: bool = False,
    ) -> None:  # fmt: skip
        """`held`: listeners outlive processes, so that one can be upgraded while it serves."""
        self.bookings = bookings or {}  # zones, and how many slots of each may be booked
        self.kept = kept  # in a folder that outlives the process
        self.held, self.keys = held, folder / "keys"
        self.keys.write_text(f"{random.Random(seed).randbytes(16).hex()}\n")
        self.keys.chmod(0o600)
        self.folder, self.seed, self.size, self.term, self.every = folder, seed, size, term, every
        self.drift, self.period = drift, period
        self.granters = granters or tuple(range(min(5, size)))
        self.fleet = Fleet(HOSTS, seed, PUSHED.work(), PUSHED.of("side_effect"), deployment=PUSHED)
        self.registry = Registry()
        self.watcher = Watcher(self.granters, term * (1 - drift) / (1 + drift), load_keys(self.keys))
        self.relay = Datagrams([free_port() for _ in range(size)], seed, self.watcher)
        self.schedulers: list[Scheduler] = []
        self.tally, self.excused = Tally(), 0
        self.random = random.Random(seed)
        self._over = False
        self._traffic: list[asyncio.Task[None]] = []

    async def open(self, started: bool = True) -> None:
        """All are started, and ready, unless each is to be by `start`. Raises LabError."""
        await self.fleet.open()
        await self.registry.open()
        await self.relay.open()
        for number in range(self.size):
            self.schedulers.append(await self._scheduler(number))
        if started:
            await asyncio.gather(*(self.start(one) for one in self.schedulers))
        for one in self.schedulers:
            self._traffic += [
                asyncio.ensure_future(self._ask(one, self.seed * 1000 + one.number * 10 + at))
                for at in range(CLIENTS)
            ]

    async def _scheduler(self, number: int) -> Scheduler:
        links = {host.uid: Link(lambda host=host: host.endpoint) for host in self.fleet.hosts}  # type: ignore[misc]
        registry = Link(lambda: self.registry.endpoint)
        agent = Agent(self.fleet.hosts, links)
        for peer in (*links.values(), registry, agent):
            await peer.open()
        folder = self.folder / f"n{number}"
        folder.mkdir()
        settings = PUSHED.settings()
        settings |= {
            "balancers": self.size, "me": number, "zone": PUSHED.zones[number % len(PUSHED.zones)],
            "ceilings": {**settings["ceilings"], "peer_messages": True},
        }  # fmt: skip
        more = {
            "name": f"n{number}", "settings": settings, "discovery": agent.endpoint,
            "known": agent.listed(), "peers": self.relay.peers,
            "peer_listen": f"127.0.0.1:{self.relay.listens[number]}",
        }  # fmt: skip
        call = {
            "url": f"http://{registry.endpoint}/run", "every": f"{self.every * 1000:.0f}ms", "limit": "500ms",
        }  # fmt: skip
        duty = {"name": DUTY, "call": call, "term": f"{self.term * 1000:.0f}ms"}
        operator: dict[str, Any] = {
            "version": 1,
            "fleet": {
                "key_file": str(self.keys),
                "drift": self.drift,
                "period": f"{self.period * 1000:.0f}ms",
                "granters": list(self.granters),
                "duties": [duty],
            },
        }
        if self.bookings:
            operator["bookings"] = {
                "zones": [{"name": name, "cap": cap} for name, cap in self.bookings.items()],
                "step": "1s", "horizon": "1d", "term": f"{self.term * 1000:.0f}ms",
                "folder": str(folder / "record") if self.kept else "",
            }  # fmt: skip
        program = Program(folder, self.fleet, operator, deployment=PUSHED, more=more)
        if self.held:
            program.hold()
        return Scheduler(number, program, agent, links, registry)

    # ---- processes ----

    async def start(self, one: Scheduler) -> None:
        one.program.start()
        one.started, one.stopped, one.leaving, one.drained = time.monotonic(), False, False, False
        await one.program.ready()
        one.ready = True
        one.disturb(one.started - 60 if not one.disturbed else one.started, time.monotonic())

    def kill(self, one: Scheduler) -> None:
        now = time.monotonic()
        one.ready = False
        one.program.kill()
        one.disturb(now, now + 60)
        self.watcher.dead(one.number, time.monotonic())

    async def restart(self, one: Scheduler, after: float) -> None:
        """Behind a kill."""
        await asyncio.sleep(after)
        killed = one.disturbed[-1]  # it stands until the process is back: clients hear of its end only now
        await self.start(one)
        one.disturbed.remove(killed)
        one.disturb(killed[0], time.monotonic())

    def stop(self, one: Scheduler) -> None:
        one.stopped = True
        one.disturb(time.monotonic(), time.monotonic() + 60)
        one.program.signal(signal.SIGSTOP)

    def resume(self, one: Scheduler) -> None:
        one.program.signal(signal.SIGCONT)
        one.stopped = False
        begin, _ = one.disturbed.pop()
        one.disturb(begin, time.monotonic() + 0.5)

    async def replace(self, one: Scheduler) -> int:
        """A planned restart; its exit status."""
        status = await self.leave(one)
        await self.start(one)
        return status

    async def leave(self, one: Scheduler) -> int:
        """A planned end; its exit status. Clients come for a moment still, then no more."""
        one.leaving = True
        one.program.signal(signal.SIGTERM)
        await asyncio.sleep(NOTICED)
        one.ready = False
        status = await one.program.stop()
        self.watcher.dead(one.number, time.monotonic())
        return status

    # ---- traffic ----

    async def _ask(self, one: Scheduler, seed: int) -> None:
        rng = random.Random(seed)
        tally = Tally()
        client = Client(Target("127.0.0.1", one.program.port), tally, seed, 40, PUSHED)
        while not self._over:
            if not one.ready:
                client.close()
                await asyncio.sleep(0.05)
                continue
            before, since = (tally.lost, tally.requests, Counter(tally.why)), time.monotonic()
            await client.one()
            if tally.lost > before[0] and one.was_disturbed(since, time.monotonic()):
                self.excused += tally.lost - before[0]
                tally.lost, tally.requests, tally.why = before
            await asyncio.sleep(rng.expovariate(1 / PAUSE))
        client.close()
        total = self.tally
        for name in ("requests", "served", "refused", "failed", "lost", "wrong"):
            setattr(total, name, getattr(total, name) + getattr(tally, name))
        total.why.update(tally.why)

    # ---- operators ----

    def holder(self) -> Scheduler | None:
        """By the relay's count."""
        number = self.watcher.holder(name_hash(DUTY), time.monotonic())
        return self.schedulers[number] if number is not None else None

    # ---- the end ----

    async def close(self) -> list[int]:
        """Exit statuses of those that were asked to end; others are killed."""
        self._over = True
        await asyncio.gather(*self._traffic, return_exceptions=True)
        for one in self.schedulers:
            if one.stopped:
                self.resume(one)
        statuses = await asyncio.gather(*(one.program.stop() for one in self.schedulers))
        for one in self.schedulers:
            one.program.kill()
            for peer in (*one.links.values(), one.registry, one.agent):
                await peer.close()
        self.relay.close()
        await self.registry.close()
        with suppress(LabError):
            await self.fleet.close()
        return statuses

    def faults_told(self) -> int:
        """Defects that the processes' own logs tell."""
        return len(self.defects())

    def defects(self) -> list[str]:
        """The same, each with the number of its scheduler."""
        return [f"n{one.number}: {text}" for one in self.schedulers for text in one.program.defects()]
