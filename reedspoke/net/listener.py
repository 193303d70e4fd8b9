"""A listening socket that accepts connections in batches and can be paused."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
from collections.abc import Callable

from reedspoke.net.streams import listen

log = logging.getLogger("reedspoke")

ACCEPT_BATCH = 16  # connections accepted per turn of the event loop
OUT_OF_RESOURCES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
ACCEPT_RETRY_S = 0.1  # s until accept is retried after the system ran out of descriptors or memory


class Listener:
    """`take` is called with each connection, `scarce` when the system lacks a descriptor for the next one.

    `where` names the listener in log lines about a failed accept.
    """

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
        self._hold_reasons: set[str] = set()  # reasons why accepting is paused

    def open(self, inherited: socket.socket | None = None) -> None:
        """Listen on a new socket, or on an inherited one that the platform owns. Raises OSError."""
        self._socket = inherited or listen(self.address, self.backlog)
        self._inherited = inherited is not None
        self._update_reader()

    def hold(self, why: str, on: bool) -> None:
        """Set or clear a reason to pause; while there is one, new connections wait in the backlog."""
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
        """Accept a batch, so that the first bytes of these connections are read before further ones."""
        for _ in range(ACCEPT_BATCH):
            if self._socket is None or self._hold_reasons:
                return
            try:
                connection, _ = self._socket.accept()
            except BlockingIOError:  # none waits, or a process that shares the listener has accepted it
                return
            except OSError as error:
                if error.errno in OUT_OF_RESOURCES:
                    # The socket stays readable, so without a pause the event loop would spin.
                    log.warning("accept%s: %s: tried again in %g s", self.where, error, ACCEPT_RETRY_S)
                    self.hold("descriptors", True)
                    asyncio.get_running_loop().call_later(ACCEPT_RETRY_S, self.hold, "descriptors", False)
                    self._scarce()
                elif error.errno != errno.ECONNABORTED:  # the client has closed the connection already
                    log.error("fault: accept%s: %s", self.where, error)
                return
            self._take(connection)

    def shut(self) -> None:
        """Accept the waiting connections, or leave those of an inherited socket to a successor, and close."""
        if not self._inherited:
            for _ in range(0, self.backlog, ACCEPT_BATCH):
                self._accept()
        self.close()

    def close(self) -> None:
        """Close the socket without accepting the waiting connections."""
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
