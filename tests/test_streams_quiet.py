"""`nothing_to_read` on open, readable and closed connections."""

from __future__ import annotations

import asyncio
import socket

import pytest
from tornado.iostream import IOStream

from reedspoke.net.streams import nothing_to_read


@pytest.mark.parametrize(
    ("what", "expected"),
    [("nothing", True), ("a byte", False), ("the end", False), ("closed here", False)],
)
def test_a_connection_is_reported_as_readable_or_closed(what: str, expected: bool) -> None:
    """Guards against a TypeError for a stream that a reset closed just before a job was sent on it, seen
    twice in 15 minutes of `lab duties`. The job must be sent on another connection instead."""

    async def check() -> bool:
        near, far = socket.socketpair()
        stream = IOStream(near)
        if what == "a byte":
            far.send(b"x")
        elif what == "the end":
            far.close()
        elif what == "closed here":
            stream.close()
        await asyncio.sleep(0)
        found = nothing_to_read(stream)
        stream.close()
        far.close()
        return found

    assert asyncio.run(check()) is expected
