"""Ends a connection behind its last answer in a way that lets the client read that answer.

Closing with unread bytes would reset the connection, and a reset can destroy an answer that is still on its
way. So writing ends first, and what the client still sends is read and forgotten, in bounded number.
"""

from __future__ import annotations

import asyncio


class LingeringClose:
    """The last part of a connection's life; its owner bounds the time."""

    def __init__(self, transport: asyncio.Transport, most_bytes: int) -> None:
        self._transport = transport
        self._left = most_bytes

    def begin(self) -> None:
        """Write no more, and read on. Where the client has gone meanwhile, the connection just ends."""
        try:
            self._transport.write_eof()
        except OSError:  # ENOTCONN: its reset has come, and the event loop has not noticed yet
            self._transport.abort()
            return
        self._transport.resume_reading()

    def discard(self, count: int) -> None:
        """So many bytes have come and are forgotten."""
        self._left -= count
        if self._left < 0:
            self._transport.abort()
