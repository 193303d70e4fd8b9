"""Data plane schedulers reduced to their sessions with the control plane: the program's own code, no clients.

Many share a process. They count the bytes of their sessions and note when each configuration came into force.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import OrderedDict
from typing import Any

from msgspec import Struct, field

from reedspoke.cluster.configuration import Configuration
from reedspoke.cluster.messages import MemberList, Version, WorkerList, decode
from reedspoke.cluster.node_settings import Bounds, split_address
from reedspoke.cluster.transport import CONNECT_TIMEOUT_S, CONNECTION_ENDED, LENGTH, Channel
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.control_session import ControlSessions, OpenSession
from reedspoke.data_plane.conversation import OwnState
from reedspoke.data_plane.subscription import Listener, Subscription

Running = dict[str, tuple[int, int]]

MOST_REQUESTS = 4  # of one scheduler at one worker
MOST_PROMPT_TOKENS = 20_000
LEAST_SHARED = 100_000  # bytes of a message that is decoded once
MOST_SHARED = 4
CHANGED_SHARE = 0.1  # of the workers in use, between two signs of life


class Meter(Struct):
    """What all hollow schedulers of a process saw; times of the steady clock, which all processes share."""

    bytes_in: int = 0
    bytes_out: int = 0
    in_force: dict[int, list[float]] = field(default_factory=dict)  # by generation
    lists: dict[str, list[float]] = field(default_factory=dict)  # arrivals of each list of workers
    session_starts: list[float] = field(default_factory=list)
    session_ends: list[float] = field(default_factory=list)
    end_causes: dict[str, int] = field(default_factory=dict)

    def count_end(self, cause: str) -> None:
        """A session has ended with this error."""
        self.end_causes[cause] = self.end_causes.get(cause, 0) + 1


class CountingReader(asyncio.StreamReader):
    """Counts the bytes that arrive."""

    def __init__(self, meter: Meter) -> None:
        super().__init__()
        self._meter = meter

    def feed_data(self, data: Any) -> None:
        self._meter.bytes_in += len(data)
        super().feed_data(data)


class SharedDecoder:
    """Decodes a large message once for all hollow schedulers of a process.

    On real machines each would decode it beside the others; here they share a processor, and what is to be
    measured is the control plane. What it costs a scheduler is measured at the real ones of the run.
    """

    def __init__(self) -> None:
        self._kept: OrderedDict[bytes, Any] = OrderedDict()

    def decode(self, payload: bytes, expected: Any) -> Any:
        """As `messages.decode`; those who get a shared message must not change it."""
        if len(payload) < LEAST_SHARED:
            return decode(payload, expected)
        if payload not in self._kept:
            self._kept[payload] = decode(payload, expected)
            while len(self._kept) > MOST_SHARED:
                self._kept.popitem(last=False)
        return self._kept[payload]


DECODER = SharedDecoder()


class CountingChannel(Channel):
    """Counts the bytes that are sent, and shares the decoding of large messages."""

    def __init__(self, reader: CountingReader, writer: asyncio.StreamWriter, meter: Meter) -> None:
        super().__init__(reader, writer)
        self._meter = meter

    async def receive(self, expected: Any) -> Any:
        (length,) = LENGTH.unpack(await self._exactly(LENGTH.size))
        return DECODER.decode(await self._exactly(length), expected)

    def send_encoded(self, payload: bytes) -> None:
        self._meter.bytes_out += len(payload)
        super().send_encoded(payload)


async def open_counting_channel(address: str, meter: Meter) -> CountingChannel:
    """Connect to `ip:port`. Raises OSError or TimeoutError."""
    host, port = split_address(address)
    loop = asyncio.get_running_loop()
    reader = CountingReader(meter)
    protocol = asyncio.StreamReaderProtocol(reader)
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        transport, _ = await loop.create_connection(lambda: protocol, host, port)
    return CountingChannel(reader, asyncio.StreamWriter(transport, protocol, reader, loop), meter)


class CountingSessions(ControlSessions):
    """The sessions of a data plane scheduler, over channels that count."""

    meter: Meter

    async def _connect(self, address: str) -> Channel:
        return await open_counting_channel(address, self.meter)

    async def _converse(self, address: str, channel: Channel, session: OpenSession) -> None:
        self.meter.session_starts.append(time.monotonic())
        try:
            await super()._converse(address, channel, session)
        except CONNECTION_ENDED as error:
            self.meter.count_end(type(error).__name__)
            raise
        finally:
            self.meter.session_ends.append(time.monotonic())


class HollowEdge:
    """One hollow scheduler. `load_size` is at how many workers it says that it has requests."""

    def __init__(self, number: int, zone: str, seeds: tuple[str, ...], meter: Meter) -> None:
        self._name = f"hollow-{number}"
        self._zone = zone
        self._meter = meter
        self._random = random.Random(number)
        self._running: Running = {}
        self._workers: list[str] = []
        self.load_size = 0
        listener = Listener(self._on_configuration, self._on_workers, self._on_members, self._on_running)
        confirmation = Confirmation(Bounds().apply_ms / 1000, started=asyncio.get_running_loop().time())
        self._subscription = Subscription(listener, confirmation)
        self._sessions = CountingSessions(
            self._subscription, self._own_state, lambda: seeds, self._random
        )  # fmt: skip
        self._sessions.meter = meter

    async def run(self) -> None:
        """Until it is cancelled."""
        await self._sessions.run()

    def _own_state(self) -> OwnState:
        self._change_load()
        return OwnState(self._name, f"{self._name}-1", self._zone, False, self._running)

    def _change_load(self) -> None:
        wanted = min(self.load_size, len(self._workers))
        for name in list(self._running)[: int(len(self._running) * CHANGED_SHARE) + 1]:
            del self._running[name]
        if not wanted:
            self._running.clear()
        while len(self._running) < wanted:
            load = self._random.randint(1, MOST_REQUESTS), self._random.randrange(MOST_PROMPT_TOKENS)
            self._running[self._random.choice(self._workers)] = load

    def _on_configuration(self, configuration: Configuration, version: Version) -> None:
        self._meter.in_force.setdefault(configuration.generation, []).append(time.monotonic())

    def _on_workers(self, workers: WorkerList) -> None:
        self._workers = [worker.instance_id for worker in workers.workers]
        name = f"{workers.version[0]}.{workers.version[1]}"
        self._meter.lists.setdefault(name, []).append(time.monotonic())

    def _on_members(self, members: MemberList) -> None:
        """Who else is there does not matter to a hollow scheduler."""

    def _on_running(self, running: Running) -> None:
        """Nor does the load of others."""
