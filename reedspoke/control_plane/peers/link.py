"""The outgoing connection to one other control plane node, opened again whenever it ends."""

from __future__ import annotations

import asyncio
from collections import deque
from itertools import cycle

from msgspec import Struct

from reedspoke.common.background import keep_running
from reedspoke.common.json_log import DEBUG, INFO, log
from reedspoke.common.transport import CONNECT_TIMEOUT_S, CONNECTION_ENDED, Channel, open_channel
from reedspoke.control_plane.peers.messages import PeerHello

RECONNECT_BACKOFF_S = 0.15
MAX_BACKLOG_BYTES = 8 * 1024 * 1024  # for a peer that does not read them
MAX_QUEUED_MESSAGES = 64  # for a peer whose connection is not up yet
QUEUE_TTL_S = 1.0  # older messages are of no use to the peer


class QueuedMessage(Struct):
    """An encoded message that waits for the connection to come up."""

    payload: bytes
    queued_at: float


class PeerLink:
    """Owns the connection and the queue of messages for one peer. Messages may be lost; they keep their
    order. `connect_timeouts_s` are the limits of the attempts to connect, in turn.
    """

    def __init__(
        self, address: str, hello: Struct, connect_timeouts_s: tuple[float, ...] = (CONNECT_TIMEOUT_S,)
    ) -> None:
        self.address = address
        self._hello = hello
        self._timeouts_s = cycle(connect_timeouts_s)
        self._channel: Channel | None = None
        self._queue: deque[QueuedMessage] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._loop = asyncio.get_running_loop()
        self.used_at = self._loop.time()
        self._task = self._loop.create_task(keep_running("a link to a peer", self._run))

    def send(self, payload: bytes) -> None:
        """Send or queue an encoded message, or drop it where the peer does not read."""
        self.used_at = self._loop.time()
        if self._channel is None:
            self._enqueue(payload)
        elif self._channel.write_backlog_bytes() > MAX_BACKLOG_BYTES:
            log(INFO, "peer does not read", peer=self.address)
            self._channel.close()
            self._channel = None
        else:
            self._channel.send_encoded(payload)

    def close(self) -> None:
        """End the connection for good."""
        self._task.cancel()
        if self._channel is not None:
            self._channel.close()
            self._channel = None

    def _enqueue(self, payload: bytes) -> None:
        queued_bytes = sum(len(message.payload) for message in self._queue)
        if queued_bytes + len(payload) <= MAX_BACKLOG_BYTES:
            self._queue.append(QueuedMessage(payload, self._loop.time()))

    async def _run(self) -> None:
        while True:
            try:
                channel = await open_channel(self.address, next(self._timeouts_s))
            except CONNECTION_ENDED:
                self._queue.clear()
                await asyncio.sleep(RECONNECT_BACKOFF_S)
                continue
            self._opened(channel)
            try:
                await channel.receive(PeerHello)  # nothing comes: this returns when the connection ends
            except CONNECTION_ENDED:
                pass
            finally:
                channel.close()
                self._channel = None
            log(DEBUG, "peer connection ended", peer=self.address)
            await asyncio.sleep(RECONNECT_BACKOFF_S)

    def _opened(self, channel: Channel) -> None:
        channel.send(self._hello)
        oldest = self._loop.time() - QUEUE_TTL_S
        for message in self._queue:
            if message.queued_at >= oldest:
                channel.send_encoded(message.payload)
        self._queue.clear()
        self._channel = channel
