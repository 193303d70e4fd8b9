"""Calls to the replica that wait for their answer: futures by the number of the request."""

from __future__ import annotations

import asyncio
from typing import Generic, TypeVar

from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted

Answer = TypeVar("Answer", PutCompleted, GetCompleted)


class PendingCalls(Generic[Answer]):
    """Owns the futures; a caller that gives up (cancels its future) is forgotten."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._futures: dict[int, asyncio.Future[Answer]] = {}

    def __len__(self) -> int:
        return len(self._futures)

    def add(self, request_id: int) -> asyncio.Future[Answer]:
        """The future of a new request."""
        future: asyncio.Future[Answer] = self._loop.create_future()
        self._futures[request_id] = future
        future.add_done_callback(lambda _: self._futures.pop(request_id, None))
        return future

    def complete(self, answer: Answer) -> None:
        """The replica has answered; nothing happens where the caller has given up."""
        future = self._futures.get(answer.request_id)
        if future is not None and not future.done():
            future.set_result(answer)
