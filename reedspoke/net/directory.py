"""Service discovery: the list of issuer hosts, first from the configuration, then from a watch."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

import msgspec
from msgspec import Struct
from tornado.iostream import IOStream, StreamClosedError

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.config import ConfigError, address
from reedspoke.net.http import Buffer, Head, MalformedError, ResponseEnd, ResponseParser
from reedspoke.net.message import authority
from reedspoke.net.runtime import Runtime
from reedspoke.net.streams import connect, read
from reedspoke.net.values import JsonObjectSplitter

log = logging.getLogger("reedspoke")

STATES = {
    "Ready": api.WorkerState.UP,
    "Terminating": api.WorkerState.DRAINING,
    "Gone": api.WorkerState.GONE,
}
MAX_OBJECT_BYTES = 4 * 1024 * 1024  # limit of one JSON object of a watch
MIN_CAPACITY_HINT, MAX_CAPACITY_HINT = 0.01, 10_000.0  # a hint outside this range is ignored


class Entry(Struct):
    """One issuer host as the directory sends it; the field names are keys of the message."""

    uid: str
    state: str
    endpoint: str = ""
    az: str = ""
    model: str = ""
    pod_group: int = 0
    capacity_hint: float = 1.0
    boot_ms: float = 0


class TargetList(Struct):
    """A list of issuer hosts, complete (`all`) or only the changes, at a revision."""

    rev: int
    all: bool
    targets: list[msgspec.Raw] = []


ENTRY = msgspec.json.Decoder(Entry).decode
LIST = msgspec.json.Decoder(TargetList).decode


def parse_target(raw: msgspec.Raw) -> fx.ListedWorker | None:
    """Parse an entry. Returns None for an invalid one and logs it, so that the other entries still count."""
    try:
        found = ENTRY(raw)
        state = STATES[found.state]
        gone = state is api.WorkerState.GONE
        endpoint = ("", 0) if gone else address(found.endpoint, "endpoint")
    except (ValueError, KeyError, ConfigError) as error:
        log.warning("directory: entry skipped: %s: %s", error, bytes(raw)[:200].decode(errors="replace"))
        return None
    born = int(found.boot_ms * 1000)
    # The speed of the host is derived from its size.
    size = found.capacity_hint if MIN_CAPACITY_HINT <= found.capacity_hint <= MAX_CAPACITY_HINT else 1.0
    entry = api.WorkerEntry(found.uid, found.az, found.model, found.pod_group, state, size, born)
    return fx.ListedWorker(entry, endpoint)


def parse_list(raw: bytes | memoryview, kind: api.ListKind | None = None) -> fx.WorkersListed:
    """Parse a list of issuer hosts. Raises ValueError for a malformed one."""
    update = LIST(raw)
    targets = [found for entry in update.targets if (found := parse_target(entry)) is not None]
    return fx.WorkersListed(
        kind or (api.ListKind.FULL if update.all else api.ListKind.CHANGES), update.rev, targets
    )


class Directory:
    """Follows the directory: one watch at a time, whose updates become events."""

    def __init__(self, runtime: Runtime) -> None:
        self.runtime = runtime
        self._stream: IOStream | None = None
        self._task: asyncio.Task[None] | None = None

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """The handlers of the effects that this part executes."""
        return {fx.StartWatch: self._follow, fx.StopWatch: lambda _: self.close()}

    def _follow(self, effect: fx.StartWatch) -> None:
        self.close()
        self._task = asyncio.ensure_future(self._watch(effect.endpoint, effect.revision))

    def close(self) -> None:
        """End the watch, if there is one."""
        self._task = None
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _watch(self, endpoint: tuple[str, int], rev: int) -> None:
        task, why = asyncio.current_task(), "it ended"
        if self._task is not task:
            return  # replaced before it started: nothing would close a connection opened now
        try:
            self._stream = stream = connect(endpoint)
            await stream.connect(endpoint)
            request = b"GET /v1/endpoints?follow=1&since=%d HTTP/1.1\r\nHost: %b\r\n\r\n"
            await stream.write(request % (rev, authority(endpoint)))
            why = await self._read(stream, task)
        except (StreamClosedError, OSError) as error:
            why = f"connection ended ({error})"
        except (MalformedError, ValueError) as error:  # msgspec's errors are ValueErrors as well
            why = f"malformed: {error}"
        except Exception:
            log.exception("fault: directory")
        if self._task is task:
            self.close()
            self.runtime.emit(fx.WatchLost(why))

    async def _read(self, stream: IOStream, task: asyncio.Task[None] | None) -> str:
        buffer = Buffer()
        answers, values = ResponseParser(buffer), JsonObjectSplitter(MAX_OBJECT_BYTES)
        while True:
            buffer.recycle()
            await read(stream, buffer)
            if self._task is not task:
                return "another watch has started"
            for item in answers.feed():
                if isinstance(item, Head):
                    if item.status != 200:
                        return f"status {item.status}"
                elif isinstance(item, ResponseEnd):
                    return "the answer ended"
                else:
                    # A list may extend over several lines, so it cannot be read line by line.
                    for raw in values.feed(item):
                        self.runtime.emit(fx.DirectoryHeartbeat() if raw is None else parse_list(raw))
