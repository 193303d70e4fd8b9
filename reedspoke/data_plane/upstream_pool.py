"""Opens connections to workers, and keeps idle ones up to this scheduler's share of each worker's limit."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.node_settings import split_address
from reedspoke.common.stall_tolerant_timer import YIELDS_WHEN_LATE
from reedspoke.common.unhandled_errors import unhandled_errors
from reedspoke.data_plane.upstream_connection import UpstreamConnection

MAX_IDLE_PER_WORKER = 16
CONNECT_TIMEOUT_S = 0.8  # The kernel retransmits a lost SYN only after a second.


class ConnectFailure(Struct, frozen=True):
    """A connection was refused, failed or timed out; nothing of a request was sent."""


ConnectResult = UpstreamConnection | ConnectFailure


class UpstreamPool:
    """Keeps idle connections by instance id, so that a new worker at a reused address gets new ones."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._listed_workers: frozenset[str] | None = None  # None until the first list of workers.
        self.max_idle: dict[str, int] = {}  # By instance id, if lower than MAX_IDLE_PER_WORKER.
        self._tasks: set[asyncio.Task[None]] = set()

    def take_idle(self, instance_id: str) -> UpstreamConnection | None:
        """Takes an idle connection that is healthy and within its idle time-out; None without one."""
        idle = self._idle.get(instance_id, [])
        while idle:
            connection = idle.pop()
            if self._loop.time() < connection.usable_until and connection.is_healthy():
                return connection
            connection.close()
        return None

    def connect(self, address: str, on_result: Callable[[ConnectResult], None]) -> None:
        """Opens a connection and passes the result to `on_result`."""
        task = self._loop.create_task(self._connect(address, on_result))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, address: str, on_result: Callable[[ConnectResult], None]) -> None:
        on_result(await self._open(address))

    async def _open(self, address: str) -> ConnectResult:
        connecting = self._loop.create_task(self._create(address))
        try:
            await asyncio.wait({connecting}, timeout=CONNECT_TIMEOUT_S)
            for _ in range(YIELDS_WHEN_LATE):  # The connection may have been opened during a stall.
                if connecting.done():
                    break
                await asyncio.sleep(0)
        finally:
            if not (connecting.done() or self._loop.is_closed()):
                connecting.cancel()
        return connecting.result() if connecting.done() else ConnectFailure()

    async def _create(self, address: str) -> ConnectResult:
        try:
            host, port = split_address(address)
            _, connection = await self._loop.create_connection(self._make_connection, host, port)
        except OSError:
            return ConnectFailure()
        except Exception as error:  # For example a malformed address: the request has to try another worker.
            unhandled_errors.record("connecting to a worker failed", error, address=address)
            return ConnectFailure()
        return connection

    def _make_connection(self) -> UpstreamConnection:
        return UpstreamConnection(self._loop)

    def release(self, instance_id: str, connection: UpstreamConnection) -> None:
        """Keeps a connection that was never used or whose answer was read completely, or closes it."""
        if not connection.is_open:
            return
        if self._listed_workers is not None and instance_id not in self._listed_workers:
            connection.close()
            return
        idle = self._idle.setdefault(instance_id, [])
        if len(idle) >= self.max_idle.get(instance_id, MAX_IDLE_PER_WORKER):
            connection.close()
            return
        idle.append(connection)

    def close_idle(self, instance_id: str) -> None:
        """Closes all idle connections to a worker."""
        for connection in self._idle.pop(instance_id, []):
            connection.close()

    def retain_workers(self, instance_ids: frozenset[str]) -> None:
        """Closes the idle connections to all other workers, and those that are expired or closed."""
        self._listed_workers = instance_ids
        for instance_id in list(self._idle):
            if instance_id not in instance_ids:
                self.close_idle(instance_id)
        now = self._loop.time()
        for idle in self._idle.values():
            for connection in [item for item in idle if now >= item.usable_until or not item.is_open]:
                idle.remove(connection)
                connection.close()
