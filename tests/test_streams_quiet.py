"""Whether a connection may carry something: one that has closed is told as such, and is no error."""

from __future__ import annotations

import asyncio
import socket

import pytest
from tornado.iostream import IOStream

from reedspoke.net.streams import nothing_to_read


@pytest.mark.parametrize(
    ("what", "quiet"), [("nothing", True), ("a byte", False), ("the end", False), ("closed here", False)]
)
def test_what_has_come_on_a_connection(what: str, quiet: bool) -> None:
    """Seen in `lab duties`, twice in 15 minutes: a stream that a reset had closed, as a job was to go out on
    it, failed with a TypeError in place of sending the job elsewhere."""

    async def play() -> bool:
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

    assert asyncio.run(play()) is quiet
