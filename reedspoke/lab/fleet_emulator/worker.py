"""An emulated worker: what all services share. `model_worker` and `plain_worker` add the work itself."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress
from enum import Enum

import msgspec
from msgspec import Struct

from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.answers import request_digest
from reedspoke.lab.fleet_emulator.faults import NO_FAULTS, FaultShares, FaultSource
from reedspoke.lab.fleet_emulator.http_messages import HttpConnection, Request
from reedspoke.lab.fleet_emulator.ledger import Ledger, Run
from reedspoke.lab.fleet_emulator.listener import HttpListener

REPORT_PATH = "/reedspoke/report"
REPORT_LAG_S = 0.2
LONGEST_DEADLINE_MS = 60_000.0


class WorkerState(Enum):
    """As the platform's list names them."""

    UP = "up"
    DRAINING = "draining"


class WorkerProfile(Struct, frozen=True):
    """One incarnation of a worker."""

    instance_id: str
    upstream: str
    address: str
    zone: str
    capacity: int
    generation: str = "v1"
    health_path: str = "/health"
    max_connections: int = 256
    idle_timeout_s: float = 5.0
    cold_left_ms: float = 0.0
    models: tuple[str, ...] = ()


class LoadReport(Struct):
    """Answer to `GET /reedspoke/report`."""

    stage: str
    models: list[dict[str, object]]
    saturated: bool
    sequence: int
    queued: int
    active: int
    kv_used: int
    kv_total: int
    handles: int = 0


class EmulatedWorker(HttpListener):
    """Serves one request at a time on each connection, and counts in the ledger what reaches it."""

    def __init__(
        self, profile: WorkerProfile, ledger: Ledger, faults: FaultShares = NO_FAULTS, seed: int = 0
    ) -> None:
        super().__init__(profile.address)
        self.profile = profile
        self.ledger = ledger
        self.faults = FaultSource(faults, seed)
        self.state = WorkerState.UP
        self.failing = False
        self.resets = 0
        self.probes = 0
        self._runs = 0
        self._responsive = asyncio.Event()
        self._responsive.set()
        self._report = b""
        self._report_at = float("-inf")

    # ---- what a service adds ----

    async def execute(self, connection: HttpConnection, request: Request) -> bool:
        """Run a request that is for this worker; whether the connection may be used again."""
        raise NotImplementedError

    def load(self) -> LoadReport:
        """The load at this moment."""
        raise NotImplementedError

    # ---- trouble ----

    def go_dark(self) -> None:
        """Say nothing any more; connections still open."""
        self._responsive.clear()

    def recover(self) -> None:
        self._responsive.set()

    def drain(self) -> None:
        """Begin to leave: answers close their connections, health checks fail."""
        self.state = WorkerState.DRAINING

    # ---- requests ----

    async def serve_connection(self, connection: HttpConnection) -> None:
        if len(self.connections) > self.profile.max_connections:
            self.resets += 1
            connection.reset()
            return
        while True:
            request = await self._next_request(connection)
            if request is None:
                return
            await self._responsive.wait()
            if not await self._answer(connection, request):
                return

    async def _next_request(self, connection: HttpConnection) -> Request | None:
        with suppress(TimeoutError):
            async with asyncio.timeout(self.profile.idle_timeout_s):
                return await connection.read_request()
        return None

    async def _answer(self, connection: HttpConnection, request: Request) -> bool:
        if request.method == "GET" and request.target == REPORT_PATH:
            return self._send(
                connection, 200, {http.CONTENT_TYPE: "application/json"}, self._current_report()
            )
        if request.method == "GET" and request.target == self.profile.health_path:
            return self._answer_health(connection)
        refusal = self._refusal(request)
        if refusal is not None:
            return self.refuse(connection, request, refusal)
        return await self._execute_while_connected(connection, request)

    def _refusal(self, request: Request) -> int | None:
        if not request.get(http.ATTEMPT_ID):
            return 400
        self.ledger.record_arrival(request.get(http.ATTEMPT_ID), self.profile.upstream)
        target = request.get(http.TARGET_INSTANCE)
        if target and target != self.profile.instance_id:
            return 421
        return None

    async def _execute_while_connected(self, connection: HttpConnection, request: Request) -> bool:
        """Run the request, but drop it when the other side closes the connection."""
        work = asyncio.ensure_future(self.execute(connection, request))
        watch = asyncio.ensure_future(connection.fill())
        try:
            await asyncio.wait((work, watch), return_when=asyncio.FIRST_COMPLETED)
            if not work.done() and not watch.result():
                return False
            return await work
        finally:
            for task in (work, watch):
                task.cancel()
            await asyncio.gather(work, watch, return_exceptions=True)

    def refuse(self, connection: HttpConnection, request: Request, status: int) -> bool:
        """Answer that the request has not run."""
        fields = {
            http.NOT_EXECUTED: "1",
            http.INSTANCE_ID: self.profile.instance_id,
            http.ATTEMPT_ID: request.get(http.ATTEMPT_ID),
        }
        return self._send(connection, status, fields)

    def fail(self, connection: HttpConnection, request: Request, status: int) -> bool:
        """Answer that the request has run and failed."""
        return self._send(connection, status, {http.ATTEMPT_ID: request.get(http.ATTEMPT_ID)})

    def _answer_health(self, connection: HttpConnection) -> bool:
        self.probes += 1
        healthy = self.state is WorkerState.UP and not self.failing
        return self._send(connection, 200 if healthy else 503, {http.INSTANCE_ID: self.profile.instance_id})

    def _current_report(self) -> bytes:
        now = time.monotonic()
        if now - self._report_at > REPORT_LAG_S:
            self._report = msgspec.json.encode(self.load())
            self._report_at = now
        return self._report

    def _send(self, connection: HttpConnection, status: int, fields: http.Fields, body: bytes = b"") -> bool:
        connection.write(http.render_answer(status, {**fields, **self.connection_fields()}, body))
        return self.state is WorkerState.UP

    def connection_fields(self) -> http.Fields:
        """The fields that say whether the connection stays."""
        if self.state is WorkerState.DRAINING:
            return {http.CONNECTION: "close"}
        return {http.KEEP_ALIVE: f"timeout={int(self.profile.idle_timeout_s)}"}

    # ---- for services ----

    def new_run_id(self) -> str:
        """Name of the next run, unique among all workers."""
        self._runs += 1
        return f"{self.profile.instance_id}-{self._runs:x}"

    def record_run(self, request: Request) -> None:
        """The work on this request has begun."""
        digest = request_digest(request.method, request.target, request.body)
        attempt_id = request.get(http.ATTEMPT_ID)
        tenant = request.get(http.TENANT_NAME)
        upstream, instance_id = self.profile.upstream, self.profile.instance_id
        run = Run(attempt_id, upstream, instance_id, digest, tenant, time.monotonic())
        self.ledger.record_run(run)


def deadline_s(request: Request) -> float:
    """How long the caller will wait."""
    text = request.get(http.DEADLINE_MS)
    try:
        return min(float(text), LONGEST_DEADLINE_MS) / 1000
    except ValueError:
        return LONGEST_DEADLINE_MS / 1000
