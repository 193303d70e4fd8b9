"""A connection to an issuer host, in the moment in which a leg is to be written on it."""

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

LEG = Message(Head(1, b"POST", memoryview(b"/quote")), "quote", "1a", 1_000_000, 0, 1, 0.0, "", "")


class Told:
    """What the reducer would hear."""

    def __init__(self) -> None:
        self.events: list[Any] = []

    def emit(self, event: fx.Event) -> None:
        self.events.append(event)


async def crossing(ends: str, present: bool) -> tuple[list[Any], bytes]:
    """The host ends its connection, or a client has gone, and the loop has not come to read it: what is told,
    and what the host reads."""
    told = Told()
    connector = WorkerConnector(cast(Runtime, told), (), lambda client: present)
    doing = connector.effects()
    with socket.create_server(("127.0.0.1", 0)) as host:
        doing[fx.ConnectWorker](fx.ConnectWorker(1, host.getsockname()))
        while not told.events:
            await asyncio.sleep(0)
        assert told.events == [fx.WorkerConnected(1)]
        wire, _ = host.accept()
        if ends == "fin":
            wire.shutdown(socket.SHUT_WR)
        elif ends == "bytes":
            wire.sendall(b"HTTP/1.1 408 Idle\r\n\r\n")
        ours = next(iter(connector._connections.values())).stream
        assert ours is not None
        if ends:
            assert select.select([ours.socket], [], [], 5)[0], "it lies there unread"
        doing[fx.SendAttempt](fx.SendAttempt(1, 7, LEG, 1_000_000))
        events = told.events[1:]
        doing[fx.DisconnectWorker](fx.DisconnectWorker(1))
        wire.settimeout(5)
        with wire:
            try:
                return events, wire.recv(65536)
            except ConnectionResetError:  # what it had said was never read
                return events, b""


@pytest.mark.parametrize(
    ("ends", "present", "event"),
    [
        ("", True, fx.AttemptWritten(1)),
        ("fin", True, fx.AttemptNotSent(1, ended=True)),
        ("bytes", True, fx.AttemptNotSent(1, ended=True)),
        ("", False, fx.AttemptNotSent(1)),
    ],
)
def test_nothing_is_written_where_either_end_has_gone(ends: str, present: bool, event: fx.Event) -> None:
    """Guards jobs that must never run twice, and hosts: the end of a kept connection, or of the client, may
    lie unread while others are served; a leg written then may have run, or runs for nobody."""
    events, sent = asyncio.run(crossing(ends, present))
    assert events == [event]
    assert (b"POST /quote" in sent) == isinstance(event, fx.AttemptWritten)
