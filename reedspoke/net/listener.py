"""A listening socket whose connections are taken in some at a time, and held back for as long as anyone
asks."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from reedspoke.net.streams import listen

log = logging.getLogger("reedspoke")

ACCEPT_BATCH = 16  # connections taken in between two looks at what has come
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_RETRY_S = 0.1  # s until accept is tried again where the system had no descriptor for it


class Listener:
    """`take` gets each connection; `scarce` hears that the system has no descriptor for the next one; `where`
    names the listener in the line about one that could not be taken."""

    def __init__(
        self,
        address: tuple[str, int],
        backlog: int,
        take: Callable[[socket.socket], None],
        scarce: Callable[[], None] = lambda: None,
        where: str = "",
    ) -> None:
        self.address, self.backlog, self.where = address, backlog, where
        self._take, self._scarce = take, scarce
        self._socket: socket.socket | None = None
        self._inherited = False
        self._hold_reasons: set[str] = set()  # why nobody is taken in now

    def open(self, inherited: socket.socket | None = None) -> None:
        """With a socket of its own, or with one that the platform holds. Raises OSError."""
        self._socket = inherited or listen(self.address, self.backlog)
        self._inherited = inherited is not None
        self._update_reader()

    def hold(self, why: str, on: bool) -> None:
        """Nobody is taken in while any reason to hold stands: the system holds who comes."""
        if on:
            self._hold_reasons.add(why)
        else:
            self._hold_reasons.discard(why)
        self._update_reader()

    def _update_reader(self) -> None:
        if self._socket is None:
            return
        loop = asyncio.get_running_loop()
        if self._hold_reasons:
            loop.remove_reader(self._socket.fileno())
        else:
            loop.add_reader(self._socket.fileno(), self._accept)

    def _accept(self) -> None:
        """Take in some of those who wait: their first bytes are read before others may crowd them out."""
        for _ in range(ACCEPT_BATCH):
            if self._socket is None or self._hold_reasons:
                return
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:  # nobody waits, or another process that shares the listener was faster
                return
            except OSError as error:
                if error.errno in OUT_OF_RESOURCES:
                    # Guards the loop: who waits stays acceptable, so it would turn at once, for ever.
                    log.warning("accept%s: %s: tried again in %g s", self.where, error, ACCEPT_RETRY_S)
                    self.hold("descriptors", True)
                    asyncio.get_running_loop().call_later(ACCEPT_RETRY_S, self.hold, "descriptors", False)
                    self._scarce()
                elif error.errno != errno.ECONNABORTED:  # else the peer is gone again
                    log.error("fault: accept%s: %s", self.where, error)
                return
            self._take(connection)

    def shut(self) -> None:
        """Take in who waits, unless they are a successor's, and close."""
        if not self._inherited:
            for _ in range(0, self.backlog, ACCEPT_BATCH):
                self._accept()
        self.close()

    def close(self) -> None:
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
