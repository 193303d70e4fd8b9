"""Real sockets around a real data plane process: control schedulers, workers, settings, clients."""

from __future__ import annotations

import asyncio
import http.client
import json
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Coroutine
from concurrent.futures import Future
from pathlib import Path
from typing import Any, TypeVar

from reedspoke.common.messages import (
    CONFIGURATION,
    MEMBERS,
    WORKERS,
    ConfigurationSnapshot,
    EdgeMessage,
    FetchRequest,
    MemberList,
    UnconfirmedResponse,
    Version,
    WatchRequest,
    WatchResponse,
    WorkerEntry,
    WorkerList,
)
from reedspoke.common.node_settings import split_address
from reedspoke.common.transport import CONNECTION_ENDED, Channel
from tests.control_plane_process.stand_ins import wait_until
from tests.data_plane.wire import SeenRequest, chunked, event, read_requests

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 0.3
WAIT_TIMEOUT_S = 5.0
CALL_TIMEOUT_S = 3.0
SEAL = "1.2.3"
Result = TypeVar("Result")


class Background:
    """An event loop on a thread of its own, on which the stand-ins run."""

    def __init__(self) -> None:
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, work: Coroutine[Any, Any, Result]) -> Result:
        future: Future[Result] = asyncio.run_coroutine_threadsafe(work, self.loop)
        return future.result(CALL_TIMEOUT_S)

    def close(self) -> None:
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(CALL_TIMEOUT_S)


class ControlStandIn:
    """A control scheduler that serves the state set by the test."""

    def __init__(self, background: Background, host: str, port: int) -> None:
        self.background = background
        self.host, self.port = host, port
        self.document = b""
        self.versions: dict[str, Version] = {CONFIGURATION: (0, 0), WORKERS: (0, 0), MEMBERS: (0, 0)}
        self.workers: tuple[WorkerEntry, ...] = ()
        self.watches: list[WatchRequest] = []
        self.confirmed = True  # Whether a majority confirms it.
        self._channels: set[Channel] = set()
        self._waiting: list[tuple[Channel, WatchRequest]] = []
        self._sent_unconfirmed: set[Channel] = set()
        self._server: asyncio.Server | None = None

    def start(self) -> None:
        self.background.run(self._start())

    def stop(self) -> None:
        """Closes all connections and accepts no more."""
        self.background.run(self._stop())

    def lose_majority(self) -> None:
        """Answers watches as unconfirmed: the first on each connection at once, then after the heartbeat."""
        self.background.run(self._set_confirmed(False))

    def regain_majority(self) -> None:
        """Confirms again, and answers all waiting watches at once."""
        self.background.run(self._set_confirmed(True))

    def publish(self, sequence: int, document: bytes, workers: tuple[WorkerEntry, ...]) -> None:
        """Sets the state to serve, with version (sequence, 0) for each source."""
        self.background.run(self._tell(sequence, document, workers))

    async def _start(self) -> None:
        self._server = await asyncio.start_server(self._converse, self.host, self.port)

    async def _stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for channel in list(self._channels):
            channel.close()

    async def _set_confirmed(self, confirmed: bool) -> None:
        self.confirmed = confirmed
        self._sent_unconfirmed.clear()
        self._answer_all()

    def _answer_all(self) -> None:
        waiting, self._waiting = self._waiting, []
        for channel, watch in waiting:
            self._answer(channel, watch)

    async def _tell(self, sequence: int, document: bytes, workers: tuple[WorkerEntry, ...]) -> None:
        self.document, self.workers = document, workers
        self.versions = {CONFIGURATION: (sequence, 0), WORKERS: (sequence, 0), MEMBERS: (0, 1)}
        self._answer_all()

    async def _converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        channel = Channel(reader, writer)
        self._channels.add(channel)
        try:
            while True:
                self._received(channel, await channel.receive(EdgeMessage))
        except CONNECTION_ENDED:
            channel.close()
        finally:
            self._channels.discard(channel)

    def _received(self, channel: Channel, message: WatchRequest | FetchRequest) -> None:
        if isinstance(message, FetchRequest):
            served = self.confirmed or message.allow_unconfirmed
            channel.send(self._state(message.source) if served else self._unconfirmed(0))
            return
        self.watches.append(message)
        if self._has_update(channel, message):
            self._answer(channel, message)
            return
        self._waiting.append((channel, message))
        self.background.loop.call_later(HEARTBEAT_S, self._heartbeat, channel, message)

    def _has_update(self, channel: Channel, watch: WatchRequest) -> bool:
        if not self.confirmed:
            return channel not in self._sent_unconfirmed
        return any(version > watch.versions[source] for source, version in self.versions.items())

    def _heartbeat(self, channel: Channel, watch: WatchRequest) -> None:
        if (channel, watch) in self._waiting:
            self._waiting.remove((channel, watch))
            self._answer(channel, watch)

    def _answer(self, channel: Channel, watch: WatchRequest) -> None:
        if not self.confirmed:
            self._sent_unconfirmed.add(channel)
            channel.send(self._unconfirmed(watch.request_id))
            return
        channel.send(WatchResponse(watch.request_id, f"core-{self.host}", self.versions))

    def _unconfirmed(self, request_id: int) -> UnconfirmedResponse:
        return UnconfirmedResponse(request_id, f"core-{self.host}", (), self.versions)

    def _state(self, source: str) -> ConfigurationSnapshot | WorkerList | MemberList:
        if source == CONFIGURATION:
            return ConfigurationSnapshot(self.versions[source], self.document)
        if source == WORKERS:
            return WorkerList(self.versions[source], self.workers)
        return MemberList(self.versions[source], (), ())


class WorkerStandIn:
    """A worker. A stream pauses after its first event until `resume_stream` is called."""

    def __init__(self, background: Background, name: str) -> None:
        self.background = background
        self.name = name
        self.requests: list[SeenRequest] = []
        self.address = ""
        self._may_resume = asyncio.Event()

    def start(self) -> None:
        self.address = self.background.run(self._start())

    def resume_stream(self) -> None:
        self.background.loop.call_soon_threadsafe(self._may_resume.set)

    def entry(self) -> WorkerEntry:
        return WorkerEntry(self.name, "u1", self.address, "za", "v1", 8, False)

    async def _start(self) -> str:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raw, answered = b"", 0
        while piece := await reader.read(65536):
            raw += piece
            for request in read_requests(raw)[answered:]:
                answered += 1
                self.requests.append(request)
                await self._answer(request, writer)
        writer.close()

    async def _answer(self, request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        echo = f"Reedspoke-Attempt-Id: {request.get('reedspoke-attempt-id')}\r\n"
        head = f"HTTP/1.1 200 OK\r\n{echo}Reedspoke-Response-Seal: {SEAL}\r\n".encode()
        if not request.target.startswith("/stream/"):
            body = f"{self.name} ran {request.target}".encode()
            writer.write(head + b"Content-Length: %d\r\n\r\n" % len(body) + body)
            return
        writer.write(head + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(event(1), last=False))
        await self._may_resume.wait()
        writer.write(chunked(event(2), event(3)))


class EdgeProcess:
    """A data plane process."""

    def __init__(self, folder: Path, frontend: str, readiness: str, internal_port: int) -> None:
        self.frontend, self.readiness = frontend, readiness
        self.internal_port = internal_port
        self.settings_file = folder / "edge.json"
        self.log_file = folder / "edge.log"
        self.process: subprocess.Popen[bytes] | None = None

    def write_settings(self, seeds: list[str]) -> None:
        settings = {
            "node_name": "edge-1",
            "ip_address": "127.0.0.1",
            "zone": "za",
            "bind": {"frontend": self.frontend, "readiness": self.readiness},
            "internal_ports": [self.internal_port, self.internal_port],
            "seed_nodes": [f"{seed}:9" for seed in seeds],
            "bounds": {"grace_s": 8},
            "a_field_of_later_times": 1,
        }
        self.settings_file.write_text(json.dumps(settings))

    def start(self) -> None:
        environment = os.environ | {
            "REEDSPOKE_NODE_FILE": str(self.settings_file),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "reedspoke.data_plane"], cwd=ROOT, env=environment, stderr=log
            )

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.process.send_signal(number)

    def wait(self, within: float) -> int:
        assert self.process is not None
        return self.process.wait(within)

    def kill(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait(CALL_TIMEOUT_S)

    def readiness_status(self) -> int:
        """The status of the readiness endpoint; 0 if nothing answers."""
        try:
            return call(self.readiness, "GET", "/reedspoke/readiness", "x", "")[0]
        except OSError:
            return 0

    def until_ready(self) -> None:
        wait_until(
            lambda: self.readiness_status() == 200,
            WAIT_TIMEOUT_S,
            f"ready; its log: {self.log_file.read_text()}",
        )


def call(address: str, method: str, path: str, host: str, attempt_id: str) -> tuple[int, bytes]:
    """Sends one request on a new connection; returns status and body."""
    name, port = split_address(address)
    connection = http.client.HTTPConnection(name, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(method, path, headers={"Host": host, "Reedspoke-Attempt-Id": attempt_id})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()
