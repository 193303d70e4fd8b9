"""Closes a connection after its last response so that the client can still read that response.

Closing a socket with unread bytes resets the connection, and a reset can destroy a response that is still on
its way (RFC 9112, section 9.6). So the write side closes first, and what the client still sends is read and
discarded, up to a bound.
"""

from __future__ import annotations

import asyncio


class LingeringClose:
    """A connection whose write side is closed; its owner bounds the time."""

    def __init__(self, transport: asyncio.Transport, max_bytes: int) -> None:
        self._transport = transport
        self._remaining_bytes = max_bytes

    def begin(self) -> None:
        """Close the write side, and read on. A connection that the client has reset meanwhile is aborted."""
        try:
            self._transport.write_eof()
        except OSError:  # ENOTCONN: its reset has come, and the event loop has not noticed yet
            self._transport.abort()
            return
        self._transport.resume_reading()

    def discard(self, count: int) -> None:
        """Count received bytes that nobody reads; the connection is aborted once there are too many."""
        self._remaining_bytes -= count
        if self._remaining_bytes < 0:
            self._transport.abort()
