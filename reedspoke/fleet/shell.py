"""The shell of `sharing` on sockets: datagrams to and from the peers of the configuration.

A word that comes is told to the module as the whole picture of the others; behind each event, what has
changed in what the module holds goes out. Datagrams may be lost, late, doubled or forged: what is not from an
address of `peers` is counted and dropped, and no datagram ends anything. A socket that cannot be opened is
told in the log, and the scheduler serves without it, as it does when no peer says a word.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import Any

from reedspoke import interface as api
from reedspoke.fleet.sharing import FORGET, Sharing, held_by
from reedspoke.fleet.words import MOST
from reedspoke.net import effects as fx
from reedspoke.net.config import Peers
from reedspoke.net.core import Concern, Core, Reactions, Rings
from reedspoke.net.operators import Door
from reedspoke.net.runtime import Runtime
from reedspoke.net.state import Life

LOOK = FORGET // 10  # us between looks at what no peer has confirmed
BATCH = 64  # datagrams read at once, so that a flood of them leaves time for the rest

log = logging.getLogger("reedspoke")


class Talk(Concern):
    """Reducer's side. It looks every LOOK from `Listening` until the end."""

    def __init__(self, core: Core, sharing: Sharing) -> None:
        super().__init__(core)
        self.sharing = sharing

    def reactions(self) -> Reactions:
        return {fx.Came: self._on_came, fx.Joining: lambda _: self._ring_look(0)}

    def rings(self) -> Rings:
        return {"peers": self._ring_look}

    def _on_came(self, event: fx.Came) -> None:
        if self.sharing.hear(self.core.now, event.body):
            self._tell()

    def _ring_look(self, _: int) -> None:
        if self.sharing.forget(self.core.now):
            self._tell()
        if self.state.life is not Life.OVER:
            self.core.ring(("peers", 0), self.core.now + LOOK)

    def _tell(self) -> None:
        self.core.tell(api.Others(self.sharing.others(self.state.hosts)))

    def after(self) -> None:
        if bodies := self.sharing.say(self.core.now, held_by(self.core.module)):
            self.core.ask(fx.Spread(tuple(bodies)))


class Socket:
    """The socket's side: one for all peers, not blocking; what cannot be sent at once is lost."""

    def __init__(self, runtime: Runtime, peers: Peers, me: int) -> None:
        """`me`: our own place among the peers."""
        self.runtime, self.peers = runtime, peers
        self._known = set(peers.each)
        each = tuple(address for at, address in enumerate(peers.each) if at != me)
        self._to = (peers.all,) if peers.all is not None else each
        self._socket: socket.socket | None = None
        self.strangers = self.sent = self.bytes = self.failed = 0

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {fx.Spread: self._spread}

    def open(self) -> None:
        try:
            self._socket = found = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            found.setblocking(False)
            # A process that replaces this one opens the same address beside it.
            found.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            found.bind(self.peers.listen)
        except OSError as error:
            log.warning("peers: no messages: %s:%d: %s", *self.peers.listen, error)
            self.close()
            return
        asyncio.get_running_loop().add_reader(found.fileno(), self._read)
        self.runtime.emit(fx.Joining())

    def reload(self) -> None:
        """Peers are the ones of the start."""

    def close(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None

    def _read(self) -> None:
        for _ in range(BATCH):
            if self._socket is None:
                return
            try:
                body, source = self._socket.recvfrom(MOST + 1)
            except OSError:  # nothing more, or word that an earlier datagram met nobody
                return
            if source in self._known:
                self.runtime.emit(fx.Came(body))
            else:
                self.strangers += 1

    def _spread(self, effect: fx.Spread) -> None:
        if self._socket is None:
            return
        for body in effect.bodies:
            for address in self._to:
                try:
                    self.bytes += self._socket.sendto(body.encode(), address)
                    self.sent += 1
                except OSError:  # full, or nobody there: it is told again
                    self.failed += 1


def join(runtime: Runtime, peers: Peers, door: Door | None) -> Socket:
    """Before `run`; the socket is opened with the other parts. Its figures stand behind the door's others."""
    settings = runtime.reducer.settings
    sharing = Sharing(settings.me, settings.schedulers, runtime.clock.now() // 1000)
    runtime.reducer.add(Talk(runtime.reducer.core, sharing))
    shell = Socket(runtime, peers, settings.me)
    if door is not None:
        door.more = lambda: text(sharing, shell)
    return shell


def text(sharing: Sharing, shell: Socket) -> str:
    """What has come and gone, for operators."""
    figures = {
        "words_heard": sharing.heard, "words_malformed": sharing.malformed, "words_stale": sharing.stale,
        "words_of_strangers": sharing.strangers + shell.strangers, "datagrams_sent": shell.sent,
        "bytes_sent": shell.bytes, "sends_failed": shell.failed,
    }  # fmt: skip
    return "".join(
        f"# TYPE scheduler_peer_{name}_total counter\nscheduler_peer_{name}_total {count}\n"
        for name, count in figures.items()
    )
