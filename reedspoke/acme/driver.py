"""Carries out the engine's steps: files and calls in threads, never on the event loop.

A name's steps go one after another; one that calls an authority is not waited for by the steps behind it,
as the engine may have given it up long before its thread comes back. Each authority has threads of its own.
"""

from __future__ import annotations

import asyncio
import logging
import os
import time
from collections.abc import Callable
from concurrent.futures import Executor, ThreadPoolExecutor
from functools import partial
from typing import Any

from reedspoke.acme import challenges, words
from reedspoke.acme.engine import AT_ONCE, Engine
from reedspoke.acme.network import Caller
from reedspoke.acme.record import packed
from reedspoke.acme.words import Trouble
from reedspoke.operator.types import Authority, DnsChallenge
from reedspoke.tls.certificate import Pair, UnfitError, fit, pair
from reedspoke.tls.meters import Meters
from reedspoke.tls.store import Store, StoreError
from reedspoke.units import parse_seconds

log = logging.getLogger("reedspoke")

SECOND = 1_000_000
AHEAD = 3600 * SECOND  # that an authority's clock may be before ours


def wall() -> int:
    return time.time_ns() // 1000


class Driver:
    """`install` puts a checked pair into service on the event loop; `ordered` says who orders
    certificates."""

    def __init__(
        self, engine: Engine, store: Store, meters: Meters, install: Callable[[str, Pair], None],
        now: Callable[[], int] = wall,
    ) -> None:  # fmt: skip
        self.engine, self.store, self.meters, self.install, self.now = engine, store, meters, install, now
        self.http: challenges.HttpAnswers | None = None
        self.shared = False  # the store is a fleet's: its other schedulers answer challenges as well
        self.dns: DnsChallenge | None = None
        self._callers: dict[str, Caller] = {}
        self._pools: dict[str, ThreadPoolExecutor] = {}
        self._files = ThreadPoolExecutor(1, "reedspoke-files")
        self._commands = ThreadPoolExecutor(4, "reedspoke-commands")
        self._queues: dict[str, asyncio.Queue[tuple[words.Step, bytes]]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._locks: dict[str, int] = {}

    def authorities(self, told: list[Authority]) -> None:
        """At the start and whenever the operator file has changed; one that is the same keeps its threads."""
        named = {one.name: one for one in told}
        for name in [name for name in self._callers if self._callers[name].authority != named.get(name)]:
            del self._callers[name]
            self._pools.pop(name).shutdown(wait=False)
        for name, one in named.items():
            if name not in self._callers:
                self._callers[name] = Caller(one, self.store)
                self._pools[name] = ThreadPoolExecutor(AT_ONCE + 2, f"reedspoke-{name}")

    def caller(self, name: str) -> Caller | None:
        return self._callers.get(name)

    def do(self, steps: list[words.Step]) -> None:
        """In order for each name. What is to be kept is taken as it is now."""
        for step in steps:
            match step:
                case words.Tell():
                    log.log(logging.ERROR if step.bad else logging.INFO, "%s", step.text)
                case words.Count():
                    self.meters.order(step.outcome, step.authority)
                case words.KeepLimits():
                    data = packed(self.engine.limits(step.authority))
                    self._queue(f"{step.authority}.rate", step, data)
                case words.Keep():
                    renewal = self.engine.renewals.get(step.name)
                    if renewal is not None:
                        self._queue(step.name, step, packed(renewal.record))
                case _:
                    self._queue(step.name, step, b"")

    def _queue(self, name: str, step: words.Step, data: bytes) -> None:
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = asyncio.Queue()
            self._spawn(self._work(name, queue))
        queue.put_nowait((step, data))

    def _spawn(self, work: Any) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _work(self, name: str, queue: asyncio.Queue[tuple[words.Step, bytes]]) -> None:
        unkept = ""
        while True:
            step, data = await queue.get()
            try:
                if isinstance(step, words.Keep | words.KeepLimits):
                    file = f"{name}.order" if isinstance(step, words.Keep) else name
                    unkept = await self._in(self._files, partial(self._keep, file, data))
                elif isinstance(step, words.Claim):
                    self._outcome(step, await self._in(self._files, partial(self._claim, step.name)))
                elif isinstance(step, words.Release):
                    if (fd := self._locks.pop(step.name, None)) is not None:
                        os.close(fd)
                elif isinstance(step, words.Withdraw):
                    self._spawn(self._withdraw(step))
                elif unkept:  # what the step rests on is not on disk
                    self._outcome(step, words.Failed(Trouble.LOCAL, unkept))  # type: ignore[arg-type]
                    unkept = ""
                else:
                    self._spawn(self._call(step))  # type: ignore[arg-type]
            except Exception:
                log.exception("fault: acme step %s", type(step).__name__)

    async def _in(self, pool: Executor, call: Callable[[], Any]) -> Any:
        return await asyncio.get_running_loop().run_in_executor(pool, call)

    def _keep(self, file: str, data: bytes) -> str:
        try:
            self.store.write(file, data)
        except (OSError, StoreError) as error:
            return f"{file} cannot be written: {getattr(error, 'strerror', None) or error}"
        return ""

    def _claim(self, name: str) -> words.Outcome:
        try:
            fd = self.store.lock(name)
        except (OSError, StoreError) as error:
            return words.Failed(Trouble.LOCAL, f"{name}.lock: {getattr(error, 'strerror', None) or error}")
        if fd is None:
            return words.Claimed(False)
        if (old := self._locks.get(name)) is not None:
            os.close(old)
        self._locks[name] = fd
        return words.Claimed(True, self._held(name))

    def _held(self, name: str) -> words.Installed | None:
        """The certificate in the store, as another process may have left it; None where it is unusable."""
        try:
            found = self.store.load(name)
            if found is None:
                return None
            fit(found, (), self.now(), AHEAD)
        except (UnfitError, OSError):
            return None
        return words.Installed(found.begins, found.ends, found.serial, found.hosts)

    def _outcome(self, step: words.Wait | words.Claim, outcome: words.Outcome) -> None:
        self.do(self.engine.outcome(step.name, step, outcome, self.now()))

    async def _call(self, step: words.Wait) -> None:
        try:
            outcome = await self._outcome_of(step)
        except asyncio.CancelledError:
            raise
        except Exception as error:  # a defect costs one try, and is told
            log.exception("fault: acme step %s", type(step).__name__)
            outcome = words.Failed(Trouble.UNREACHABLE, f"a defect: {type(error).__name__}")
        self._outcome(step, outcome)

    async def _outcome_of(self, step: words.Wait) -> words.Outcome:
        caller = self._callers.get(step.authority)
        if caller is None:
            return words.Failed(Trouble.DEAD, "the authority is not named any more")
        call, about = partial(self._blocking, caller, step), not isinstance(step, words.Begin | words.Enrol)
        if isinstance(step, words.Publish):
            return await self._publish(caller, step)
        pool = self._pools[step.authority]
        found = await self._in(pool, partial(caller.run, call, about_order=about))
        if isinstance(found, Pair):  # it is on disk already
            self.install(step.name, found)
            return words.Installed(found.begins, found.ends, found.serial, found.hosts)
        return found  # type: ignore[no-any-return]

    def _blocking(self, caller: Caller, step: words.Wait) -> Any:
        """In a thread of the authority's."""
        match step:
            case words.Enrol():
                caller.enrol()
                return words.Enrolled()
            case words.Begin():
                replaces = ""
                if step.replaces and (held := self.store.load(step.name)) is not None:
                    from reedspoke.acme.network import ari_id

                    replaces = ari_id(held.leaf)
                return caller.begin(step.hosts, replaces)
            case words.Check():
                return caller.check(step.order)
            case words.Look():
                return caller.look(step.url, step.challenge)
            case words.Respond():
                return caller.respond(step.url)
            case words.Finalize():
                return caller.finalize(step.url, step.hosts, step.key)
            case words.Ask():
                held = self.store.load(step.name)
                return caller.window(held.leaf) if held is not None else words.Window(0, 0, 0)
            case words.Fetch():
                try:
                    found = pair(step.key.encode(), caller.fetch(step.url))
                    fit(found, step.hosts, self.now(), AHEAD)
                except UnfitError as error:
                    return words.Failed(Trouble.UNFIT, f"what it issued is not installed: {error}")
                self.store.install(step.name, found)
                return found
        raise TypeError(type(step).__name__)

    async def _publish(self, caller: Caller, step: words.Publish) -> words.Outcome:
        pool = self._pools[step.authority]
        told = await self._in(pool, partial(caller.run, partial(caller.key_authorization, step.token)))
        if isinstance(told, words.Failed):
            return told
        if step.challenge == "http-01":
            if self.http is None:
                return words.Failed(Trouble.LOCAL, "http-01 is not configured any more")
            try:
                self.http.publish(step.token, told)
            except OSError as error:
                where = "{}:{}".format(*self.http.address)
                return words.Failed(Trouble.LOCAL, f"challenge listener {where}: {error.strerror}")
            if self.shared:
                file = challenges.shared_file(step.token.encode())
                if failed := await self._in(self._files, partial(self._keep, file, told.encode())):
                    return words.Failed(Trouble.LOCAL, failed)
            return words.Done()
        if self.dns is None:
            return words.Failed(Trouble.LOCAL, "dns-01 is not configured any more")
        dns = self.dns
        try:
            await self._in(self._commands, partial(self._command, dns, "add", step.host, told))
        except challenges.CommandError as error:
            return words.Failed(Trouble.LOCAL, str(error))
        await asyncio.sleep(parse_seconds(dns.settle))
        return words.Done()

    def _command(self, dns: DnsChallenge, verb: str, host: str, told: str) -> None:
        name, value = challenges.dns_name(host), challenges.dns_value(told)
        challenges.command(dns.command, verb, name, value, parse_seconds(dns.limit))

    async def _withdraw(self, step: words.Withdraw) -> None:
        if step.challenge == "http-01":
            if self.http is not None:
                self.http.withdraw(step.token)
            if self.shared:
                file = challenges.shared_file(step.token.encode())
                try:  # a new holder may have published it again
                    await self._in(self._files, partial(self.store.withdraw, file))
                except OSError as error:
                    log.warning("acme: %s: %s is left: %s", step.name, file, error.strerror)
            return
        caller, dns = self._callers.get(step.authority), self.dns
        if caller is None or dns is None:
            return
        told = await self._in(
            self._commands, partial(caller.run, partial(caller.key_authorization, step.token))
        )
        if isinstance(told, words.Failed):
            return
        try:
            await self._in(self._commands, partial(self._command, dns, "remove", step.host, told))
        except challenges.CommandError as error:
            log.warning("acme: %s: the record for %s may still stand: %s", step.name, step.host, error)

    def close(self) -> None:
        """What is under way is left; it goes on at the next start."""
        for task in self._tasks:
            task.cancel()
        for fd in self._locks.values():
            os.close(fd)
        self._locks.clear()
        if self.http is not None:
            self.http.close()
        for pool in (*self._pools.values(), self._files, self._commands):
            pool.shutdown(wait=False, cancel_futures=True)
