"""The outgoing connection to one other control plane node, reopened whenever it ends."""

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
MAX_BACKLOG_BYTES = 8 * 1024 * 1024  # of messages that the peer has not read yet
MAX_QUEUED_MESSAGES = 64  # while the connection is not open
QUEUE_TTL_S = 1.0  # older messages are outdated and are not sent


class QueuedMessage(Struct):
    """An encoded message that waits for the connection to be opened."""

    payload: bytes
    queued_at: float


class PeerLink:
    """Owns the connection to one peer and the queue of messages for it.

    Messages may be lost, but keep their order. `connect_timeouts_s` are the time-outs of successive attempts
    to connect, used in rotation.
    """

    def __init__(
        self, address: str, hello: Struct, connect_timeouts_s: tuple[float, ...] = (CONNECT_TIMEOUT_S,)
    ) -> None:
        self.address = address
        self._hello = hello
        self._connect_timeouts_s = cycle(connect_timeouts_s)
        self._channel: Channel | None = None
        self._queue: deque[QueuedMessage] = deque(maxlen=MAX_QUEUED_MESSAGES)
        self._loop = asyncio.get_running_loop()
        self.last_used_at = self._loop.time()
        self._task = self._loop.create_task(keep_running("the connection to a peer", self._run))

    def send(self, payload: bytes) -> None:
        """Send or queue an encoded message, or drop it if the backlog for the peer is full."""
        self.last_used_at = self._loop.time()
        if self._channel is None:
            self._enqueue(payload)
        elif self._channel.write_backlog_bytes() > MAX_BACKLOG_BYTES:
            log(INFO, "peer backlog full: connection closed", peer=self.address)
            self._channel.close()
            self._channel = None
        else:
            self._channel.send_encoded(payload)

    def close(self) -> None:
        """Close the connection and do not reopen it."""
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
                channel = await open_channel(self.address, next(self._connect_timeouts_s))
            except CONNECTION_ENDED:
                self._queue.clear()
                await asyncio.sleep(RECONNECT_BACKOFF_S)
                continue
            self._opened(channel)
            try:
                await channel.receive(PeerHello)  # peers send nothing here: returns when the connection ends
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
