"""The scheduler in service, as a program or embedded: `await Node(config).run()`."""

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
from reedspoke.net.directory import Directory, parse_list
from reedspoke.net.handover import Handover, inherited_listener
from reedspoke.net.operators import OperatorApi
from reedspoke.net.reducer import Reducer
from reedspoke.net.runtime import Clock, Runtime
from reedspoke.net.subsystem import Extension, Subsystem
from reedspoke.net.worker_connections import WorkerConnector

log = logging.getLogger("reedspoke")


class Node:
    """One scheduler. Create it inside a running event loop.

    `further` is the share of the resource limits that subsystems need.
    """

    def __init__(self, config: Config, further: ExtensionLimits | None = None) -> None:
        self.config = config
        budget = Budget.of(
            config.sockets, config.memory_mb, OPERATOR_DESCRIPTORS if config.ops else 0, further
        )
        self._extensions: list[Extension] = []
        descriptor = config.inherited
        reducer = Reducer(
            config.settings, config.seed, budget, config.conn_idle, config.discovery, descriptor is not None
        )
        self.runtime = Runtime(Clock(), reducer)
        self.handover = Handover(
            self.runtime, config.name, Path(config.shared_folder) if config.shared_folder else None
        )
        classes = {cls.name: cls for cls in config.settings.classes}
        self.client_server = ClientServer(self.runtime, classes, config.listen, self.handover.claim)
        self.directory = Directory(self.runtime)
        worker_connector = WorkerConnector(
            self.runtime, config.settings.report_fields, self.client_server.is_connected
        )
        self.operator_api = OperatorApi(self.runtime, config.ops) if config.ops else None
        for part in (self.client_server, self.directory, worker_connector, self.handover, self):
            self.runtime.attach(part)
        if self.operator_api is not None:
            self.runtime.attach(self.operator_api)

    def add_extension(self, extension: Extension) -> None:
        """Attach a further part with sockets or threads; call it before `run`."""
        self.runtime.attach(extension)
        self._extensions.append(extension)

    def add_subsystem(self, part: Subsystem) -> None:
        """Attach a subsystem; call it before `run`.

        Raises ValueError if another subsystem has one of its events, timers or calls.
        """
        reducer = self.runtime.reducer
        for component in part.components:
            reducer.add(component)
        for extension in part.extensions:
            self.add_extension(extension)
        for call in part.calls:
            if call.which in reducer.administration.extension_calls:
                raise ValueError(f"two subsystems have the call {call.which}")
            reducer.administration.extension_calls[call.which] = call.answer
        if self.operator_api is not None:
            self.operator_api.calls += part.calls
            self.operator_api.figures += [part.figures] if part.figures is not None else []

    def stop(self) -> None:
        """Start a graceful shutdown: answer the accepted requests, then let `run` return."""
        self.runtime.emit(fx.ShutdownRequested())

    def reload(self) -> None:
        """Read the configuration again and apply what can change in service."""
        self.runtime.emit(fx.ReloadRequested())
        for extension in self._extensions:
            extension.reload()

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """The handlers of the effects that this part executes."""
        return {fx.ReloadConfiguration: self._reread}

    def _reread(self, _: fx.ReloadConfiguration) -> None:
        try:
            self.config = reload(self.config)
        except ConfigError as error:  # for example an incomplete file: the old configuration stays in force
            log.error("reload: the old configuration stays in force: %s", error, extra=error.fields())
            self.runtime.emit(fx.ConfigurationRejected())
        else:
            self.runtime.emit(fx.ConfigurationReloaded(self.config.discovery))

    async def run(self) -> None:
        """Serve until the shutdown is complete. Raises OSError if it cannot listen."""
        try:
            known = parse_list(self.config.known, api.ListKind.STALE)
        except ValueError as error:  # the known list is optional
            log.warning("directory: known list skipped: %s", error)
            known = fx.WorkersListed(api.ListKind.STALE, 0, [])
        self.runtime.emit(fx.TimerFired(("look", 0)))  # orders of operators apply before any list
        self.runtime.emit(known)
        if self.operator_api is not None:
            self.operator_api.open()
        for extension in self._extensions:
            extension.open()
        descriptor = self.config.inherited
        self.client_server.open(inherited_listener(descriptor) if descriptor is not None else None)
        log.info(
            "serving: %s on %s:%d, %d hosts known", self.config.name, *self.config.listen, len(known.targets)
        )
        await self.runtime.stopped.wait()
        self.client_server.close()
        for extension in self._extensions:
            extension.close()
        if self.operator_api is not None:
            self.operator_api.close()
        self.handover.close()
        self.runtime.log_counters()
        log.info("stopped")


async def serve(config: Config, make: Callable[[Config], Node] = Node) -> None:
    """Run a scheduler until a signal ends it; SIGHUP reloads its configuration."""
    node = make(config)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    loop.add_signal_handler(signal.SIGHUP, node.reload)
    gc.freeze()  # existing objects live until the end, so the collector need not visit them
    gc.enable()
    await node.run()


def run(load: Callable[[], Config], serve: Callable[[Config], Coroutine[Any, Any, None]]) -> int:
    """Run the program. Returns the exit status: 0 after a shutdown, 1: cannot listen, 2: misconfigured."""
    # SIGHUP is ignored until it is handled: the configuration is read at the start anyway.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    try:
        asyncio.run(serve(load()))
    except ConfigError as error:
        print(f"reedspoke: {error.one_line()}", file=sys.stderr)
        return 2
    except OSError as error:
        print(f"reedspoke: cannot listen: {error}", file=sys.stderr)
        return 1
    return 0
