"""A real scheduler, for a program or to embed: `await Node(config).run()`."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.client_server import ClientServer
from reedspoke.net.config import Config, ConfigError, reload
from reedspoke.net.core import OPERATOR_DESCRIPTORS, Budget, ExtensionLimits
from reedspoke.net.directory import Directory, listed
from reedspoke.net.handover import Handover, inherited
from reedspoke.net.operators import Door
from reedspoke.net.reducer import Reducer
from reedspoke.net.runtime import Clock, Runtime
from reedspoke.net.subsystem import Extension, Subsystem
from reedspoke.net.worker_connections import WorkerConnector

log = logging.getLogger("reedspoke")


class Node:
    """Make it inside a running loop. `further`: what parts that will be attached take of the limits."""

    def __init__(self, config: Config, further: ExtensionLimits | None = None) -> None:
        self.config = config
        budget = Budget.of(
            config.sockets, config.memory_mb, OPERATOR_DESCRIPTORS if config.ops else 0, further
        )
        self._extensions: list[Extension] = []
        given = config.inherited
        reducer = Reducer(
            config.settings, config.seed, budget, config.conn_idle, config.discovery, given is not None
        )
        self.runtime = Runtime(Clock(), reducer)
        self.handover = Handover(self.runtime, config.name, Path(config.folder) if config.folder else None)
        classes = {cls.name: cls for cls in config.settings.classes}
        self.client_server = ClientServer(self.runtime, classes, config.listen, self.handover.claim)
        self.directory = Directory(self.runtime)
        worker_connector = WorkerConnector(
            self.runtime, config.settings.report_fields, self.client_server.is_connected
        )
        self.door = Door(self.runtime, config.ops) if config.ops else None
        for part in (self.client_server, self.directory, worker_connector, self.handover, self):
            self.runtime.attach(part)
        if self.door is not None:
            self.runtime.attach(self.door)

    def extend(self, extension: Extension) -> None:
        """Before `run`."""
        self.runtime.attach(extension)
        self._extensions.append(extension)

    def add(self, part: Subsystem) -> None:
        """Before `run`: all that it brings. Raises ValueError where another part has one of its events,
        timers or calls."""
        reducer = self.runtime.reducer
        for component in part.components:
            reducer.add(component)
        for extension in part.parts:
            self.extend(extension)
        for call in part.calls:
            if call.which in reducer.administration.extension_calls:
                raise ValueError(f"two parts for {call.which}")
            reducer.administration.extension_calls[call.which] = call.answer
        if self.door is not None:
            self.door.calls += part.calls
            self.door.figures += [part.figures] if part.figures is not None else []

    def stop(self) -> None:
        """Begin a planned end: answer what was taken, then let `run` return."""
        self.runtime.emit(fx.ShutdownRequested())

    def reload(self) -> None:
        """Read the configuration again and take up what can change in service."""
        self.runtime.emit(fx.ReloadRequested())
        for extension in self._extensions:
            extension.reload()

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {fx.ReloadConfiguration: self._reread}

    def _reread(self, _: fx.ReloadConfiguration) -> None:
        try:
            self.config = reload(self.config)
        except ConfigError as error:  # half a file, say: what is in force goes on
            log.error("reload: the old configuration stays in force: %s", error, extra=error.fields())
            self.runtime.emit(fx.ConfigurationRejected())
        else:
            self.runtime.emit(fx.ConfigurationReloaded(self.config.discovery))

    async def run(self) -> None:
        try:
            known = listed(self.config.known, api.ListKind.STALE)
        except ValueError as error:  # an old list is a help, not a need
            log.warning("directory: known list skipped: %s", error)
            known = fx.WorkersListed(api.ListKind.STALE, 0, [])
        self.runtime.emit(fx.TimerFired(("look", 0)))  # what operators have ordered comes before any list
        self.runtime.emit(known)
        if self.door is not None:
            self.door.open()
        for extension in self._extensions:
            extension.open()
        given = self.config.inherited
        self.client_server.open(inherited(given) if given is not None else None)
        log.info(
            "serving: %s on %s:%d, %d hosts known", self.config.name, *self.config.listen, len(known.targets)
        )
        await self.runtime.over.wait()
        self.client_server.close()
        for extension in self._extensions:
            extension.close()
        if self.door is not None:
            self.door.close()
        self.handover.close()
        self.runtime.tell_figures()
        log.info("stopped")


async def serve(config: Config, make: Callable[[Config], Node] = Node) -> None:
    node = make(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    gc.freeze()  # what stands now stays: the collector need not look at it
    gc.enable()
    await node.run()


def run(load: Callable[[], Config], serve: Callable[[Config], Coroutine[Any, Any, None]]) -> int:
    """The exit status: 0 ended as planned, 1 cannot listen, 2 cannot start as told."""
    # Until it is handled; what it would tell is read at the start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        asyncio.run(serve(load()))
    except ConfigError as error:
        print(f"reedspoke: {error.told()}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"reedspoke: cannot listen: {error}", file=sys.stderr)
        return 1
    return 0
