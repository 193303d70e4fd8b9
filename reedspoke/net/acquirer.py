"""The acquirer side: the listener, authorisations that come in over HTTP, and the answers to them."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Coroutine, Mapping
from contextlib import suppress
from itertools import count
from typing import Any, Protocol

from tornado.iostream import IOStream, StreamClosedError

from reedspoke import interface as api
from reedspoke.errors import ReedspokeError
from reedspoke.net import effects as fx
from reedspoke.net import problems
from reedspoke.net.core import SECOND
from reedspoke.net.http import MIN_READ_BYTES, Buffer, Head, MalformedError, RequestParser
from reedspoke.net.listener import Listener
from reedspoke.net.message import Message, class_of_path, parse_authorisation, request_path
from reedspoke.net.runtime import Runtime
from reedspoke.net.streams import (
    discard_input,
    end_sending,
    has_unread_bytes,
    peer_has_closed,
    start_read,
    stream,
)

log = logging.getLogger("reedspoke")

BACKLOG = 512
LINGER = 1.0  # s that a connection stays half open, so that its last answer is not lost to a reset
WRITING = 10.0  # s for a client to take its answer
MOST_LINGER = 256 * 1024  # bytes read and forgotten behind a last answer
MOST_PIPELINED = 16 * 1024  # bytes read ahead of the answer in hand
LOOK = 0.05  # s between looks for the end of a client of which no more is read ahead
REASONS = {
    200: "OK", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 411: "Length Required", 413: "Content Too Large",
    417: "Expectation Failed", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
    504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}  # fmt: skip
STATUS = {
    fx.Verdict.SERVED: 200,
    fx.Verdict.DECLINED: 503,
    fx.Verdict.FAILED: 502,
    fx.Verdict.LATE: 504,
    fx.Verdict.INVALID: 400,
    fx.Verdict.WITHDRAWN: 401,
}


def answer_head(status: int, length: int, *, close: bool, more: bytes = b"") -> bytes:
    end = b"Connection: close\r\n" if close else b"Connection: keep-alive\r\n"
    first = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {length}\r\n".encode()
    return first + more + end + b"\r\n"


class ForbiddenError(ReedspokeError):
    """A gate does not let an authorisation in; `after`: us until it may be tried again, 0: not by waiting."""

    code = "not-admitted"
    remedy = "the caller has to prove who it is: docs/identity.md"

    def __init__(self, status: int, after: int = 0) -> None:
        super().__init__(str(status))
        self.status, self.after = status, after


class Gate(Protocol):
    """Whether an authorisation may come in, and as whose."""

    def admit(self, head: Head, message: Message, source: IOStream, number: int) -> Callable[[], None]:
        """Raises ForbiddenError. What comes back is called once the authorisation has its answer, or its
        client is gone."""


class PartedError(ReedspokeError):
    """A client that is owed nothing is sent away."""

    code = "client-sent-away"
    remedy = "nothing: a client that was owed nothing made room, or the process ends"


class Client:
    """One connection of a client, served by one coroutine."""

    def __init__(self, side: Acquirer, number: int, stream: IOStream) -> None:
        self.side, self.number, self.stream = side, number, stream
        self.buffer = Buffer()
        self.requests = RequestParser(self.buffer)
        self.answer: asyncio.Future[fx.Answer] | None = None
        self.begun = False  # an authorisation has begun to come in
        self.replied = False  # the writing of its answer has begun
        self._reading: asyncio.Future[int] | None = None
        self._dropped: asyncio.Future[fx.Farewell] = asyncio.get_running_loop().create_future()

    async def serve(self) -> None:
        emit = self.side.runtime.emit
        try:
            while await self._serve_one():
                pass
        except MalformedError as error:
            emit(fx.Refused(error.status, str(error)))
            await self._last(error.status, str(error))
        except PartedError:
            # Guards what crosses the end of a client that is owed nothing: it is never read, so that its
            # other side hears of a reset and sends again elsewhere. To read and forget would be to take it.
            if not self.stream.closed():
                end_sending(self.stream)
        except (StreamClosedError, TimeoutError):
            pass
        except Exception:
            # Guards the others, and what this client has asked: it gets an answer whatever went wrong here.
            log.exception("fault: client connection")
            if not self.replied:  # half an answer, or one and a half, would be worse than none
                await self._last(500)
        finally:
            self.stream.close()
            emit(fx.Parted(self.number))

    async def _serve_one(self) -> bool:
        """One authorisation and its answer; False where the connection ends with it."""
        while (head := self._head()) is None:
            await self._read()
        if not self.begun:
            self._begin()
        plain = self._plain(head)
        if plain is not None:
            status, last, allow = plain
            ready = request_path(head) == b"/ready" and status != 405
            told = b"" if ready else problems.body_for_status(status)
            more = allow + b"Cache-Control: no-store\r\n" + (b"" if ready else problems.FIELD)
            data = answer_head(status, len(told), close=last, more=more)
            await self._write(data if head.method == b"HEAD" else data + told)
            self._answered()
            return await self._end(last)
        length = head.length()
        if length is None:
            raise MalformedError(411, "no length")
        self.requests.expect(length)
        message = parse_authorisation(head, self.side.classes)
        done: Callable[[], None] | None = None
        forbidden: ForbiddenError | None = None
        if self.side.gate is not None:
            try:
                done = self.side.gate.admit(head, message, self.stream, self.number)
            except ForbiddenError as error:
                forbidden = error
        try:
            return await self._serve_message(head, message, forbidden)
        finally:
            if done is not None:
                done()

    async def _serve_message(self, head: Head, message: Message, forbidden: ForbiddenError | None) -> bool:
        expected = head.tokens(b"expect")
        if expected and expected != [b"100-continue"]:
            raise MalformedError(417, "unknown expectation")
        body = self.requests.body()
        if body is None and expected and head.version == 1:
            await self._write(b"HTTP/1.1 100 Continue\r\n\r\n")
        while body is None:
            await self._read(self.requests.wanted())
            body = self.requests.body()
        if forbidden is not None:  # the next authorisation on the connection may be another caller's
            return await self._forbid(forbidden, not head.keeps_alive() or self.side.runtime.leaving())
        message.body = body
        answer = await self._ask(message)
        last = answer.last or not head.keeps_alive()
        result, more = answer.result, b""
        if answer.verdict is not fx.Verdict.SERVED:
            result, more = problems.BODY_BY_VERDICT[answer.verdict], problems.FIELD
        if answer.retry_after > 0:
            more += b"Retry-After: %.3f\r\n" % (answer.retry_after / SECOND)
        self.replied = True
        await self._write(answer_head(STATUS[answer.verdict], len(result), close=last, more=more) + result)
        self._answered()
        return await self._end(last)

    async def _forbid(self, forbidden: ForbiddenError, last: bool) -> bool:
        """The decision module never hears of it. Who is not believed has to connect again."""
        last = last or forbidden.status == 401
        told, more = problems.body_for_status(forbidden.status), problems.FIELD
        if forbidden.status == 401:
            more += b"WWW-Authenticate: Bearer\r\n"
        if forbidden.after:
            more += b"Retry-After: %.3f\r\n" % (forbidden.after / SECOND)
        self.replied = True
        await self._write(answer_head(forbidden.status, len(told), close=last, more=more) + told)
        self._answered()
        return await self._end(last)

    def _head(self) -> Head | None:
        head = self.requests.head()
        if head is None and len(self.buffer) and not self.begun:
            self._begin()
        return head

    def _begin(self) -> None:
        self.begun, self.replied = True, False
        self.side.runtime.emit(fx.Reading(self.number))

    def _answered(self) -> None:
        self.begun = False
        self.side.runtime.emit(fx.Answered(self.number))

    def _plain(self, head: Head) -> tuple[int, bool, bytes] | None:
        """The answer to what is no authorisation: its status, whether the connection ends with it, and the
        field that says which method is taken."""
        named = request_path(head)
        bare = head.length() in (None, 0)
        last = not head.keeps_alive() or not bare or self.side.runtime.leaving()
        if named == b"/ready":
            if head.method not in (b"GET", b"HEAD"):
                return 405, True, b"Allow: GET, HEAD\r\n"
            return (200 if self.side.runtime.ready() else 503), last, b""
        if class_of_path(named) not in self.side.classes:
            return 404, last, b""
        if head.method != b"POST":
            return 405, last, b"Allow: POST\r\n"
        return None

    async def _ask(self, message: Message) -> fx.Answer:
        """The answer; meanwhile what the client sends ahead is read, and so is its leaving."""
        self.answer = asyncio.get_running_loop().create_future()
        arrived = message.to_event(self.number)
        arrived.elsewhere = not self.side.claim(message.name)
        self.side.runtime.emit(arrived)
        try:
            while not self.answer.done():
                waits: set[asyncio.Future[Any]] = {self.answer}
                if reads := len(self.buffer) < MOST_PIPELINED:
                    waits.add(self._start_reading())
                await asyncio.wait(
                    waits, timeout=None if reads else LOOK, return_when=asyncio.FIRST_COMPLETED
                )
                waits.clear()
                if not reads and not self.answer.done() and self.gone():
                    raise StreamClosedError
                if self._reading is not None and self._reading.done() and not self.answer.done():
                    self._take_read()
            return self.answer.result()
        finally:
            self.answer = None

    def _start_reading(self, room: int = MIN_READ_BYTES) -> asyncio.Future[int]:
        if self._reading is None:
            self._reading = start_read(self.stream, self.buffer, room)
        return self._reading

    def _take_read(self) -> None:
        """Guards the memory: a read that failed, kept in a frame that its error keeps, would stay with all of
        its client until the collector comes by, which many clients that come and go outrun."""
        assert self._reading is not None
        reading, self._reading = self._reading, None
        try:
            self.buffer.filled(reading.result())
        finally:
            del reading

    async def _read(self, room: int = MIN_READ_BYTES) -> None:
        """More bytes. A read that began while the last answer was awaited goes on where it was to go."""
        waits: set[asyncio.Future[Any]] = {self._start_reading(room), self._dropped}
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        waits.clear()
        if self._reading is not None and not self._reading.done():
            if self._dropped.result() is fx.Farewell.IDLE:
                raise PartedError
            raise MalformedError(408, "its bytes come too slowly")
        self._take_read()

    async def _write(self, data: bytes) -> None:
        await asyncio.wait_for(asyncio.shield(self.stream.write(data)), WRITING)

    async def _last(self, status: int, why: str = "") -> None:
        """Tell a client what is wrong with what it sent, as far as it still listens."""
        told = problems.body_for_status(status, why)
        with suppress(StreamClosedError, TimeoutError):
            await self._write(answer_head(status, len(told), close=True, more=problems.FIELD) + told)
            await self._end(True)

    async def _end(self, last: bool) -> bool:
        """Guards the last answer: closing with bytes unread would reset the connection and take it along."""
        if not last:
            return True
        if self.stream.closed():  # the client was faster: seen at a planned end, when all leave at once
            return False
        self.side.runtime.emit(fx.Ending(self.number))
        if self.stream.closed():  # its place was needed at once
            return False
        end_sending(self.stream)
        with suppress(TimeoutError):
            await asyncio.wait_for(self._drain(), LINGER)
        return False

    async def _drain(self) -> None:
        if self._reading is not None:
            await asyncio.wait({self._reading})
            if self._reading.exception() is not None:
                return
            self._reading = None
        await discard_input(self.stream, MOST_LINGER)

    def gone(self) -> bool:
        return peer_has_closed(self.stream)

    def drop(self, how: fx.Farewell) -> None:
        read = self._reading is not None and self._reading.done()
        if self.answer is not None or read:
            return  # what has been read is taken: it gets its answer
        idle = not (self.begun or len(self.buffer))
        if how is fx.Farewell.NOW:
            self.stream.close()
        elif not self._dropped.done() and (
            not has_unread_bytes(self.stream) if idle else how is fx.Farewell.TOLD
        ):
            self._dropped.set_result(fx.Farewell.IDLE if idle else how)


class Party(Protocol):
    """Whoever stands behind a client's number: a connection that is served, or one that is not so far yet."""

    answer: asyncio.Future[fx.Answer] | None

    def gone(self) -> bool: ...

    def drop(self, how: fx.Farewell) -> None: ...


class Acquirer:
    """The clients of all fronts. Each front has a listener of its own and hands its connections on to
    `serve`."""

    def __init__(
        self,
        runtime: Runtime,
        classes: Mapping[str, api.ClassSettings],
        listen: tuple[str, int],
        claim: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.runtime = runtime
        self.claim = claim  # whether an authorisation of that id may be taken
        self.gate: Gate | None = None  # where callers have to prove who they are
        self.classes = classes
        self._plain = Listener(listen, BACKLOG, self._take, self.scarce)
        self._listeners = [self._plain]
        self._parties: dict[int, Party] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = count(1)

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {fx.Answer: self._answer, fx.Drop: self._drop, fx.Accept: self._accept, fx.Shut: self._shut}

    def join(self, listener: Listener) -> None:
        """A further front's listener: it takes nobody in while the budget is full, and ends with the
        others."""
        self._listeners.append(listener)

    def open(self, inherited: socket.socket | None = None) -> None:
        """With a listener of its own, or with one that is given; from that it takes nobody in before it is
        told to, as another process may serve them until then."""
        if inherited is not None:
            self._accept(fx.Accept(False))
        self._plain.open(inherited)
        self.runtime.emit(fx.Listening())

    def _take(self, connection: socket.socket) -> None:
        number = self.number()
        client = Client(self, number, stream(connection))
        self.enter(number, client)
        self.runtime.emit(fx.Joined(number))
        self.start(number, client.serve())

    def scarce(self) -> None:
        self.runtime.emit(fx.Scarce())

    def number(self) -> int:
        """Of a client, whatever its front."""
        return next(self._numbers)

    def enter(self, number: int, party: Party) -> None:
        """From now on this is who is meant by that number."""
        self._parties[number] = party

    def start(self, number: int, work: Coroutine[Any, Any, None]) -> None:
        """Serve a client to its end; then its number means nobody."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._parties.pop(number, None))

    def present(self, number: int) -> bool:
        """Guards what is about to begin for a client: it may have gone, and its end not have been read."""
        return (party := self._parties.get(number)) is not None and not party.gone()

    def _answer(self, effect: fx.Answer) -> None:
        party = self._parties.get(effect.client)
        if party is not None and party.answer is not None and not party.answer.done():
            party.answer.set_result(effect)

    def _drop(self, effect: fx.Drop) -> None:
        if (party := self._parties.get(effect.client)) is not None:
            party.drop(effect.how)

    def _accept(self, effect: fx.Accept) -> None:
        for listener in self._listeners:  # a place is free as soon as one answer is given
            listener.hold("clients", not effect.on)

    def _shut(self, _: fx.Shut) -> None:
        for listener in self._listeners:
            listener.shut()

    def close(self) -> None:
        for listener in self._listeners:
            listener.close()
