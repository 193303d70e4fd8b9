"""A hollow scheduler against a scripted control scheduler, on loopback."""

from __future__ import annotations

import asyncio

from reedspoke.cluster.messages import (
    CONFIGURATION,
    WORKERS,
    ConfigurationSnapshot,
    EdgeMessage,
    Fetch,
    Versions,
    Watch,
    WorkerEntry,
    WorkerList,
)
from reedspoke.cluster.transport import CONNECTION_ENDED, Channel
from reedspoke.lab.fleet_emulator.hollow_edge import HollowEdge, Meter
from reedspoke.lab.fleet_emulator.hollow_host import cancel_all
from reedspoke.lab.fleet_emulator.layout import configuration, encode_configuration, request_kinds

VERSION = (1, 0)
WORKER = WorkerEntry("i1", "pool", "127.0.0.1:1", "z", "v1", 4, False)
DOCUMENT = encode_configuration(configuration(request_kinds(1.0), generation=9))


class ScriptedControl:
    """Has one configuration and one worker, and tells every `Watch` so."""

    def __init__(self) -> None:
        self.loads: list[int] = []
        self.loaded = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        try:
            while True:
                self.answer(channel, await channel.receive(EdgeMessage))
        except CONNECTION_ENDED:
            channel.close()

    def answer(self, channel: Channel, message: Watch | Fetch) -> None:
        if isinstance(message, Watch):
            self.loads.append(len(message.running))
            if message.running:
                self.loaded.set()
                return
            channel.send(Versions(message.request_id, "control", {CONFIGURATION: VERSION, WORKERS: VERSION}))
        elif message.source == CONFIGURATION:
            channel.send(ConfigurationSnapshot(VERSION, DOCUMENT))
        else:
            channel.send(WorkerList(VERSION, (WORKER,)))


def test_a_hollow_scheduler_takes_what_is_new_and_reports_loads() -> None:
    meter = Meter()

    async def story() -> ScriptedControl:
        control = ScriptedControl()
        server = await asyncio.start_server(control.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        seed = f"127.0.0.1:{port}"
        edge = HollowEdge(1, "z", (seed,), meter)
        edge.load_size = 5
        task = asyncio.create_task(edge.run())
        async with asyncio.timeout(5):
            await control.loaded.wait()
        await cancel_all([task])
        server.close()
        return control

    control = asyncio.run(story())
    assert list(meter.in_force) == [9]
    assert list(meter.lists) == ["1.0"]
    assert meter.session_starts
    assert control.loads[0] == 0
    assert control.loads[-1] == 1  # only one worker is known
    assert meter.bytes_in > len(DOCUMENT)
    assert meter.bytes_out > 0
