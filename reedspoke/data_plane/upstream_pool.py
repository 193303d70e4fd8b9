"""Connections to workers: kept alive, and no more to one worker than this scheduler's share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from msgspec import Struct

from reedspoke.common.node_settings import split_address
from reedspoke.common.stall_tolerant_timer import YIELDS_WHEN_LATE
from reedspoke.common.unhandled_errors import unhandled_errors
from reedspoke.data_plane.upstream_connection import UpstreamConnection

MOST_IDLE = 16  # kept for one worker
CONNECT_TIMEOUT_S = 0.8  # an opening packet that was dropped is sent again after a second


class ConnectFailure(Struct, frozen=True):
    """No connection came up, as it was refused or nothing answered; nothing of a request was sent."""


ConnectResult = UpstreamConnection | ConnectFailure


class UpstreamPool:
    """Idle connections by instance id, so a new worker at an old address is never mixed up with the old."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self._listed: frozenset[str] | None = None  # workers on the list; None: no list has come yet
        self.most_idle: dict[str, int] = {}  # by instance id, where it is less than MOST_IDLE
        self._tasks: set[asyncio.Task[None]] = set()

    def take_idle(self, instance_id: str) -> UpstreamConnection | None:
        """An idle connection that has shown no sign of its end."""
        idle = self._idle.get(instance_id, [])
        while idle:
            connection = idle.pop()
            if self._loop.time() < connection.usable_until and connection.is_quiet():
                return connection
            connection.close()
        return None

    def connect(self, address: str, done: Callable[[ConnectResult], None]) -> None:
        """Open a connection and tell `done` of it."""
        task = self._loop.create_task(self._connect(address, done))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, address: str, done: Callable[[ConnectResult], None]) -> None:
        done(await self._open(address))

    async def _open(self, address: str) -> ConnectResult:
        opening = self._loop.create_task(self._create(address))
        try:
            await asyncio.wait({opening}, timeout=CONNECT_TIMEOUT_S)
            for _ in range(YIELDS_WHEN_LATE):  # it may have come up while the process stood still
                if opening.done():
                    break
                await asyncio.sleep(0)
        finally:
            if not (opening.done() or self._loop.is_closed()):
                opening.cancel()
        return opening.result() if opening.done() else ConnectFailure()

    async def _create(self, address: str) -> ConnectResult:
        try:
            host, port = split_address(address)
            _, connection = await self._loop.create_connection(self._make, host, port)
        except OSError:
            return ConnectFailure()
        except Exception as error:  # as an address that is none: the request that waits has to go elsewhere
            unhandled_errors.record("a connection to a worker fails", error, address=address)
            return ConnectFailure()
        return connection

    def _make(self) -> UpstreamConnection:
        return UpstreamConnection(self._loop)

    def give_back(self, instance_id: str, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer was read whole, or that was never used."""
        if not connection.open:
            return
        if self._listed is not None and instance_id not in self._listed:
            connection.close()
            return
        idle = self._idle.setdefault(instance_id, [])
        if len(idle) >= self.most_idle.get(instance_id, MOST_IDLE):
            connection.close()
            return
        idle.append(connection)

    def forget(self, instance_id: str) -> None:
        """Close what is idle to a worker that has gone."""
        for connection in self._idle.pop(instance_id, []):
            connection.close()

    def retain(self, instance_ids: frozenset[str]) -> None:
        """Forget all workers but these, and connections whose time is over."""
        self._listed = instance_ids
        for instance_id in list(self._idle):
            if instance_id not in instance_ids:
                self.forget(instance_id)
        now = self._loop.time()
        for idle in self._idle.values():
            for connection in [item for item in idle if now >= item.usable_until or not item.open]:
                idle.remove(connection)
                connection.close()
