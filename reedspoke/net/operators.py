"""The operators' door: a further listener, one call to a connection, each answered at once.

It has descriptors of its own, and the reducer bounds how many callers there are and for how long, so that
callers that never end their call take nothing from the clients and delay no other caller.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from contextlib import suppress
from itertools import count
from typing import Any
from urllib.parse import unquote_to_bytes

from tornado.iostream import IOStream, StreamClosedError

from reedspoke.net import effects as fx
from reedspoke.net import metrics
from reedspoke.net.http import Buffer, Head, MalformedError, Requests
from reedspoke.net.message import path
from reedspoke.net.runtime import Runtime
from reedspoke.net.streams import drain, listen, read, stream

log = logging.getLogger("reedspoke")

BACKLOG = 128
AT_ONCE = 8  # callers taken in between two looks at what has come
MOST_HEAD = 4 * 1024
MOST_BODY = 4 * 1024  # no call needs one; a small one is read and forgotten
MOST_LINGER = 64 * 1024
LINGER = 0.5  # s that a connection stays half open, so that its answer is not lost to a reset
REASONS = {
    200: "OK", 400: "Bad Request", 404: "Not Found", 405: "Method Not Allowed", 408: "Request Timeout",
    413: "Content Too Large", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
}  # fmt: skip
STATUS = {fx.Word.YES: 200, fx.Word.UNKNOWN: 404, fx.Word.ABSENT: 404, fx.Word.NO: 503}
ORDERS = {
    (b"v1", b"readyz"): (b"GET", fx.Order.READY),
    (b"v1", b"metrics"): (b"GET", fx.Order.FIGURES),
    (b"v1", b"fleet"): (b"GET", fx.Order.FLEET),
    (b"v1", b"scheduler", b"drain"): (b"POST", fx.Order.DRAIN),
    (b"v1", b"scheduler", b"activate"): (b"POST", fx.Order.ACTIVATE),
}
NAMED_ORDERS = {
    (b"workers", b"suspend"): fx.Order.SUSPEND, (b"workers", b"resume"): fx.Order.RESUME,
    (b"fleet", b"release"): fx.Order.RELEASE,
}  # fmt: skip


class NoSuchCallError(Exception):
    def __init__(self, status: int, text: str, allow: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.allow = status, allow


def name_of(part: bytes) -> str:
    try:
        return unquote_to_bytes(part).decode()
    except UnicodeDecodeError:
        raise MalformedError(400, "the name is no text") from None


def order_of(head: Head) -> tuple[fx.Order, str]:
    """What a call asks for, and of which host or duty."""
    parts = tuple(path(head).split(b"/")[1:])
    host = heir = ""  # heir: who shall have a duty next
    if parts in ORDERS:
        method, order = ORDERS[parts]
    elif len(parts) == 4 and parts[0] == b"v1" and parts[1::2] in NAMED_ORDERS and parts[2]:
        method, order = b"POST", NAMED_ORDERS[parts[1::2]]
        host = name_of(parts[2])
    elif len(parts) == 5 and parts[:2] == (b"v1", b"fleet") and parts[3] == b"release" and parts[2]:
        method, order = b"POST", fx.Order.RELEASE
        heir = parts[4].decode("ascii", "replace")
        host = name_of(parts[2])
    else:
        raise NoSuchCallError(404, "no such call")
    if head.method != method:
        raise NoSuchCallError(405, f"call it by {method.decode()}", method)
    return order, f"{host}/{heir}" if heir else host


def reply(status: int, text: str, allow: bytes = b"") -> bytes:
    body = text.encode()
    lines = [
        b"HTTP/1.1 %d %b" % (status, REASONS[status].encode()),
        b"Content-Type: text/plain; version=0.0.4; charset=utf-8",
        b"Cache-Control: no-store",
        b"Content-Length: %d" % len(body),
        b"Connection: close",
    ]
    if allow:
        lines.append(b"Allow: " + allow)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Caller:
    """One connection at the door, served by one coroutine."""

    def __init__(self, door: Door, number: int, source: IOStream) -> None:
        self.door, self.number, self.stream = door, number, source
        self.reply: asyncio.Future[tuple[fx.Word, str]] = asyncio.get_running_loop().create_future()

    async def serve(self) -> None:
        try:
            await self._serve_one()
        except NoSuchCallError as error:
            await self._end(reply(error.status, f"{error}\n", error.allow))
        except MalformedError as error:
            await self._end(reply(error.status, f"{error}\n"))
        except (StreamClosedError, OSError):
            pass
        except Exception:  # guards the other callers, and this one: it hears that something went wrong
            log.exception("fault: operators' door")
            await self._end(reply(500, "a defect: see the log\n"))
        finally:
            self.stream.close()
            self.door.runtime.emit(fx.Hungup(self.number))

    async def _serve_one(self) -> None:
        buffer = Buffer()
        requests = Requests(buffer)
        while (head := requests.head()) is None:
            if len(buffer) >= MOST_HEAD:
                raise MalformedError(431, "the head is too large")
            await read(self.stream, buffer)
        order, host = order_of(head)
        length = head.length() or 0
        if length > MOST_BODY:
            raise MalformedError(413, "the body is too large")
        requests.expect(length)
        while (body := requests.body()) is None:
            await read(self.stream, buffer)
        if len(body) > MOST_BODY:
            raise MalformedError(413, "the body is too large")
        self.door.runtime.emit(fx.Called(self.number, order, host))
        word, text = await self.reply
        await self._end(reply(STATUS[word], text or f"{word.value}\n"))

    async def _end(self, data: bytes) -> None:
        """Guards the answer: closing with bytes unread would reset the connection and take it along."""
        with suppress(StreamClosedError, OSError, TimeoutError):
            await asyncio.wait_for(self.stream.write(data), LINGER)
            if self.stream.closed():  # the caller was faster
                return
            self.stream.socket.shutdown(socket.SHUT_WR)
            await asyncio.wait_for(drain(self.stream, MOST_LINGER), LINGER)


class Door:
    def __init__(self, runtime: Runtime, address: tuple[str, int]) -> None:
        self.runtime = runtime
        self._address = address
        self._listener: socket.socket | None = None
        self._callers: dict[int, Caller] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = count(1)
        self.more: Callable[[], str] = lambda: ""  # figures of parts beyond the platform's program

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {fx.Reply: self._reply, fx.Dismiss: self._dismiss}

    def open(self) -> None:
        self._listener = listen(self._address, BACKLOG)
        asyncio.get_running_loop().add_reader(self._listener.fileno(), self._take_in)

    def _take_in(self) -> None:
        for _ in range(AT_ONCE):
            try:
                connection, _ = self._listener.accept()  # type: ignore[union-attr]
            except BlockingIOError:
                return
            except OSError as error:
                log.error("fault: accept at the operators' door: %s", error)
                return
            caller = Caller(self, next(self._numbers), stream(connection))
            self._callers[caller.number] = caller
            self.runtime.emit(fx.Rang(caller.number))
            task = asyncio.ensure_future(caller.serve())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            task.add_done_callback(lambda _, number=caller.number: self._callers.pop(number, None))  # type: ignore[misc]

    def _reply(self, effect: fx.Reply) -> None:
        caller = self._callers.get(effect.caller)
        if caller is not None and not caller.reply.done():
            told = effect.text
            if effect.figures:
                reducer = self.runtime.reducer
                classes = [cls.name for cls in reducer.settings.classes]
                told = metrics.text(reducer.state, classes, reducer.module.avoided(self.runtime.clock.now()))
                told += self.more()
            caller.reply.set_result((effect.word, told))

    def _dismiss(self, effect: fx.Dismiss) -> None:
        if (caller := self._callers.get(effect.caller)) is not None:
            caller.stream.close()

    def close(self) -> None:
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None
