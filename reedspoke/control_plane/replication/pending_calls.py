"""Operator calls that wait for an answer of the replica, as futures by request id."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted

Answer = TypeVar("Answer", PutCompleted, GetCompleted)


class PendingCalls(Generic[Answer]):
    """Owns the futures; a future that its caller cancels is removed."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._futures: dict[int, asyncio.Future[Answer]] = {}

    def __len__(self) -> int:
        return len(self._futures)

    def add(self, request_id: int) -> asyncio.Future[Answer]:
        """Create the future of a new request."""
        future: asyncio.Future[Answer] = self._loop.create_future()
        self._futures[request_id] = future
        future.add_done_callback(lambda _: self._futures.pop(request_id, None))
        return future

    def complete(self, answer: Answer) -> None:
        """Complete the future of an answered request, unless its caller has cancelled it."""
        future = self._futures.get(answer.request_id)
        if future is not None and not future.done():
            future.set_result(answer)
