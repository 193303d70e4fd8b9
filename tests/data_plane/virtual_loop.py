"""An event loop in virtual time: waiting takes no real time, and connections lead to stand-ins of sockets."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

STARTED_AT = 1000.0  # Seconds on the clock of a new loop.
TICK_S = 0.001
Result = TypeVar("Result")
Connector = Callable[[asyncio.BaseProtocol, str], Awaitable[asyncio.Transport]]


class DeadlockError(Exception):
    """The loop has no timer left while a task is still waiting."""


class VirtualSelector(selectors.SelectSelector):
    """Reports no file as ready, and advances the clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = STARTED_AT

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise DeadlockError
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """`connector` handles `create_connection`; unhandled errors are collected in `errors`."""

    def __init__(self) -> None:
        self._virtual = VirtualSelector()
        super().__init__(self._virtual)
        self.connector: Connector | None = None
        self.errors: list[dict[str, Any]] = []
        self.set_exception_handler(lambda _, context: self.errors.append(context))

    def time(self) -> float:
        """The virtual time in seconds."""
        return self._virtual.now

    async def create_connection(  # type: ignore[override]
        self, protocol_factory: Callable[[], asyncio.BaseProtocol], host: str, port: int
    ) -> tuple[asyncio.Transport, asyncio.BaseProtocol]:
        assert self.connector is not None
        protocol = protocol_factory()
        return await self.connector(protocol, f"{host}:{port}"), protocol

    def run_for(self, seconds: float) -> None:
        """Lets virtual time pass."""
        self.run_until_complete(asyncio.sleep(seconds))

    def settle(self) -> None:
        """Runs all callbacks that are due without waiting."""
        self.run_for(TICK_S)
