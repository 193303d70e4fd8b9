"""A worker connection at the time when an attempt is to be written on it."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any, cast

import pytest

from reedspoke.net import effects as fx
from reedspoke.net.http import Head
from reedspoke.net.message import Message
from reedspoke.net.runtime import Runtime
from reedspoke.net.worker_connections import WorkerConnector

ATTEMPT = Message(Head(1, b"POST", memoryview(b"/quote")), "quote", "1a", 1_000_000, 0, 1, 0.0, "", "")


class RecordedEvents:
    """Records the events for the reducer."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def emit(self, event: fx.Event) -> None:
        self.events.append(event)


async def write_attempt(ends: str, connected: bool) -> tuple[list[Any], bytes]:
    """Return the events, and the bytes that the worker receives, after the worker has closed its connection
    or the client has disconnected, and before the event loop has read that."""
    recorded = RecordedEvents()
    connector = WorkerConnector(cast(Runtime, recorded), (), lambda client: connected)
    doing = connector.effects()
    with socket.create_server(("127.0.0.1", 0)) as host:
        doing[fx.ConnectWorker](fx.ConnectWorker(1, host.getsockname()))
        while not recorded.events:
            await asyncio.sleep(0)
        assert recorded.events == [fx.WorkerConnected(1)]
        wire, _ = host.accept()
        if ends == "fin":
            wire.shutdown(socket.SHUT_WR)
        elif ends == "bytes":
            wire.sendall(b"HTTP/1.1 408 Idle\r\n\r\n")
        ours = next(iter(connector._connections.values())).stream
        assert ours is not None
        if ends:
            assert select.select([ours.socket], [], [], 5)[0], "the event is unread"
        doing[fx.SendAttempt](fx.SendAttempt(1, 7, ATTEMPT, 1_000_000))
        events = recorded.events[1:]
        doing[fx.DisconnectWorker](fx.DisconnectWorker(1))
        wire.settimeout(5)
        with wire:
            try:
                return events, wire.recv(65536)
            except ConnectionResetError:  # the worker's bytes were never read
                return events, b""


@pytest.mark.parametrize(
    ("ends", "connected", "event"),
    [
        ("", True, fx.AttemptWritten(1)),
        ("fin", True, fx.AttemptNotSent(1, ended=True)),
        ("bytes", True, fx.AttemptNotSent(1, ended=True)),
        ("", False, fx.AttemptNotSent(1)),
    ],
)
def test_no_attempt_is_written_after_either_side_has_closed(
    ends: str, connected: bool, event: fx.Event
) -> None:
    """The close of an idle connection or of the client may be unread while other events are handled. An
    attempt written then may run twice, or for no client."""
    events, sent = asyncio.run(write_attempt(ends, connected))
    assert events == [event]
    assert (b"POST /quote" in sent) == isinstance(event, fx.AttemptWritten)
