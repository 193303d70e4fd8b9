"""The client-facing HTTP server: its listener, client requests and the responses to them."""

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
LINGER_S = 1.0  # s that a connection stays half open, so that a reset does not discard its last response
WRITE_TIMEOUT_S = 10.0  # s for a client to read its response
MAX_DISCARDED = 256 * 1024  # bytes discarded after a last response
MAX_PIPELINED = 16 * 1024  # bytes read ahead while a response is pending
DISCONNECT_POLL_S = 0.05  # s between checks for the disconnect of a client whose input is paused
REASONS = {
    200: "OK", 400: "Bad Request", 401: "Unauthorized", 403: "Forbidden", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 411: "Length Required", 413: "Content Too Large",
    417: "Expectation Failed", 429: "Too Many Requests", 431: "Request Header Fields Too Large",
    500: "Internal Server Error", 501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable",
    504: "Gateway Timeout", 505: "HTTP Version Not Supported",
}  # fmt: skip
STATUS = {
    fx.Outcome.SERVED: 200,
    fx.Outcome.REJECTED: 503,
    fx.Outcome.FAILED: 502,
    fx.Outcome.TIMED_OUT: 504,
    fx.Outcome.INVALID: 400,
    fx.Outcome.REVOKED: 401,
}


def answer_head(status: int, length: int, *, close: bool, more: bytes = b"") -> bytes:
    """Return the header of a response; `more`: further header lines."""
    end = b"Connection: close\r\n" if close else b"Connection: keep-alive\r\n"
    first = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {length}\r\n".encode()
    return first + more + end + b"\r\n"


class ForbiddenError(ReedspokeError):
    """A gate rejects a request; `after`: us until a retry may succeed, 0: waiting does not help."""

    code = "not-admitted"
    remedy = "authenticate the caller: docs/identity.md"

    def __init__(self, status: int, after: int = 0) -> None:
        super().__init__(str(status))
        self.status, self.after = status, after


class Gate(Protocol):
    """Authenticates client requests."""

    def admit(self, head: Head, message: Message, source: IOStream, number: int) -> Callable[[], None]:
        """Admit a request, or raise ForbiddenError.

        The returned function is called once the request is answered or its client has disconnected."""


class ClientDroppedError(ReedspokeError):
    """The connection of a client that is owed no response is being closed."""

    code = "client-sent-away"
    remedy = "nothing: an idle client was disconnected to make room, or at a shutdown"


class Client:
    """One client connection, served by one coroutine."""

    def __init__(self, server: ClientServer, number: int, stream: IOStream) -> None:
        self.server, self.number, self.stream = server, number, stream
        self.buffer = Buffer()
        self.requests = RequestParser(self.buffer)
        self.answer: asyncio.Future[fx.SendResponse] | None = None
        self.begun = False  # bytes of a request have been received
        self.replied = False  # the response is being written
        self._reading: asyncio.Future[int] | None = None
        self._dropped: asyncio.Future[fx.CloseMode] = asyncio.get_running_loop().create_future()

    async def serve(self) -> None:
        """Serve requests until the connection ends."""
        emit = self.server.runtime.emit
        try:
            while await self._serve_one():
                pass
        except MalformedError as error:
            emit(fx.RequestMalformed(error.status, str(error)))
            await self._send_error(error.status, str(error))
        except ClientDroppedError:
            # A request that crosses the close stays unread, so that the client gets a reset and retries
            # elsewhere. Once read, it would count as accepted.
            if not self.stream.closed():
                end_sending(self.stream)
        except (StreamClosedError, TimeoutError):
            pass
        except Exception:
            # A defect must not affect other clients, and this client still gets a response.
            log.exception("fault: client connection")
            if not self.replied:  # a partial or second response would be worse than none
                await self._send_error(500)
        finally:
            self.stream.close()
            emit(fx.ClientDisconnected(self.number))

    async def _serve_one(self) -> bool:
        """Serve one request; return False if the connection ends with it."""
        while (head := self._head()) is None:
            await self._read()
        if not self.begun:
            self._begin()
        plain = self._plain_answer(head)
        if plain is not None:
            status, last, allow = plain
            ready = request_path(head) == b"/ready" and status != 405
            body = b"" if ready else problems.body_for_status(status)
            more = allow + b"Cache-Control: no-store\r\n" + (b"" if ready else problems.FIELD)
            data = answer_head(status, len(body), close=last, more=more)
            await self._write(data if head.method == b"HEAD" else data + body)
            self._answered()
            return await self._finish(last)
        length = head.length()
        if length is None:
            raise MalformedError(411, "no length")
        self.requests.expect(length)
        message = parse_authorisation(head, self.server.classes)
        done: Callable[[], None] | None = None
        forbidden: ForbiddenError | None = None
        if self.server.gate is not None:
            try:
                done = self.server.gate.admit(head, message, self.stream, self.number)
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
        if forbidden is not None:  # the next request on this connection may be another caller's
            return await self._send_forbidden(
                forbidden, not head.keeps_alive() or self.server.runtime.leaving()
            )
        message.body = body
        answer = await self._wait_for_answer(message)
        last = answer.last or not head.keeps_alive()
        result, more = answer.result, b""
        if answer.outcome is not fx.Outcome.SERVED:
            result, more = problems.BODY_BY_OUTCOME[answer.outcome], problems.FIELD
        if answer.retry_after > 0:
            more += b"Retry-After: %.3f\r\n" % (answer.retry_after / SECOND)
        self.replied = True
        await self._write(answer_head(STATUS[answer.outcome], len(result), close=last, more=more) + result)
        self._answered()
        return await self._finish(last)

    async def _send_forbidden(self, forbidden: ForbiddenError, last: bool) -> bool:
        """Reject a request before the decision module sees it; after a 401 the client must reconnect."""
        last = last or forbidden.status == 401
        body, more = problems.body_for_status(forbidden.status), problems.FIELD
        if forbidden.status == 401:
            more += b"WWW-Authenticate: Bearer\r\n"
        if forbidden.after:
            more += b"Retry-After: %.3f\r\n" % (forbidden.after / SECOND)
        self.replied = True
        await self._write(answer_head(forbidden.status, len(body), close=last, more=more) + body)
        self._answered()
        return await self._finish(last)

    def _head(self) -> Head | None:
        head = self.requests.head()
        if head is None and len(self.buffer) and not self.begun:
            self._begin()
        return head

    def _begin(self) -> None:
        self.begun, self.replied = True, False
        self.server.runtime.emit(fx.RequestStarted(self.number))

    def _answered(self) -> None:
        self.begun = False
        self.server.runtime.emit(fx.ResponseSent(self.number))

    def _plain_answer(self, head: Head) -> tuple[int, bool, bytes] | None:
        """Return the response to what is not a job request: its status, whether the connection ends with it,
        and the Allow field."""
        named = request_path(head)
        bare = head.length() in (None, 0)
        last = not head.keeps_alive() or not bare or self.server.runtime.leaving()
        if named == b"/ready":
            if head.method not in (b"GET", b"HEAD"):
                return 405, True, b"Allow: GET, HEAD\r\n"
            return (200 if self.server.runtime.ready() else 503), last, b""
        if class_of_path(named) not in self.server.classes:
            return 404, last, b""
        if head.method != b"POST":
            return 405, last, b"Allow: POST\r\n"
        return None

    async def _wait_for_answer(self, message: Message) -> fx.SendResponse:
        """Wait for the response; meanwhile read what the client sends ahead, and notice its disconnect."""
        self.answer = asyncio.get_running_loop().create_future()
        arrived = message.to_event(self.number)
        arrived.open_in_sibling = not self.server.claim(message.name)
        self.server.runtime.emit(arrived)
        try:
            while not self.answer.done():
                waits: set[asyncio.Future[Any]] = {self.answer}
                if reads := len(self.buffer) < MAX_PIPELINED:
                    waits.add(self._start_reading())
                await asyncio.wait(
                    waits, timeout=None if reads else DISCONNECT_POLL_S, return_when=asyncio.FIRST_COMPLETED
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
        """Take the bytes of a finished read.

        A failed read must not stay in a local variable: the frame and the error would refer to each other and
        keep the client's memory until a garbage collection, which many short connections outrun."""
        assert self._reading is not None
        reading, self._reading = self._reading, None
        try:
            self.buffer.filled(reading.result())
        finally:
            del reading

    async def _read(self, room: int = MIN_READ_BYTES) -> None:
        """Read more bytes; a read that began while the last response was pending is continued."""
        waits: set[asyncio.Future[Any]] = {self._start_reading(room), self._dropped}
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        waits.clear()
        if self._reading is not None and not self._reading.done():
            if self._dropped.result() is fx.CloseMode.IF_IDLE:
                raise ClientDroppedError
            raise MalformedError(408, "its bytes come too slowly")
        self._take_read()

    async def _write(self, data: bytes) -> None:
        await asyncio.wait_for(asyncio.shield(self.stream.write(data)), WRITE_TIMEOUT_S)

    async def _send_error(self, status: int, why: str = "") -> None:
        """Send an error response and close, if the client is still connected."""
        body = problems.body_for_status(status, why)
        with suppress(StreamClosedError, TimeoutError):
            await self._write(answer_head(status, len(body), close=True, more=problems.FIELD) + body)
            await self._finish(True)

    async def _finish(self, last: bool) -> bool:
        """End a connection after its last response.

        Closing with unread bytes would reset the connection and could discard the response."""
        if not last:
            return True
        if self.stream.closed():  # the client closed first, as happens at a shutdown
            return False
        self.server.runtime.emit(fx.ClientClosing(self.number))
        if self.stream.closed():  # it was evicted at once
            return False
        end_sending(self.stream)
        with suppress(TimeoutError):
            await asyncio.wait_for(self._drain(), LINGER_S)
        return False

    async def _drain(self) -> None:
        if self._reading is not None:
            await asyncio.wait({self._reading})
            if self._reading.exception() is not None:
                return
            self._reading = None
        await discard_input(self.stream, MAX_DISCARDED)

    def gone(self) -> bool:
        """Whether the client has disconnected, even if that is still unread."""
        return peer_has_closed(self.stream)

    def drop(self, mode: fx.CloseMode) -> None:
        """Close the connection in the given mode, unless a response is owed."""
        read = self._reading is not None and self._reading.done()
        if self.answer is not None or read:
            return  # bytes that were read count as accepted: the request is answered
        idle = not (self.begun or len(self.buffer))
        if mode is fx.CloseMode.IMMEDIATELY:
            self.stream.close()
        elif not self._dropped.done() and (
            not has_unread_bytes(self.stream) if idle else mode is fx.CloseMode.WITH_ERROR
        ):
            self._dropped.set_result(fx.CloseMode.IF_IDLE if idle else mode)


class ClientHandler(Protocol):
    """What handles a client id: a connection, or one still in its TLS handshake."""

    answer: asyncio.Future[fx.SendResponse] | None

    def gone(self) -> bool:
        """Whether the client has disconnected."""
        ...

    def drop(self, mode: fx.CloseMode) -> None:
        """Close the connection in the given mode."""
        ...


class ClientServer:
    """The clients of all listeners; `start` serves a connection of any of them."""

    def __init__(
        self,
        runtime: Runtime,
        classes: Mapping[str, api.ClassSettings],
        listen: tuple[str, int],
        claim: Callable[[str], bool] = lambda _: True,
    ) -> None:
        self.runtime = runtime
        self.claim = claim  # claims a request id; False: a sibling process holds it
        self.gate: Gate | None = None  # None: callers are not authenticated
        self.classes = classes
        self._plain = Listener(listen, BACKLOG, self._take, self.descriptors_exhausted)
        self._listeners = [self._plain]
        self._handlers: dict[int, ClientHandler] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = count(1)

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """Return the effects that it carries out."""
        return {
            fx.SendResponse: self._on_send_response,
            fx.CloseClient: self._on_close_client,
            fx.SetAccepting: self._on_set_accepting,
            fx.CloseListener: self._on_close_listener,
        }

    def add_listener(self, listener: Listener) -> None:
        """Add a listener that is held at the connection limit and closed with the others."""
        self._listeners.append(listener)

    def open(self, inherited: socket.socket | None = None) -> None:
        """Open a new listener or use an inherited one.

        An inherited listener accepts no client before a `SetAccepting` effect, since a sibling process may
        serve them until then."""
        if inherited is not None:
            self._on_set_accepting(fx.SetAccepting(False))
        self._plain.open(inherited)
        self.runtime.emit(fx.ListenerOpened())

    def _take(self, connection: socket.socket) -> None:
        number = self.number()
        client = Client(self, number, stream(connection))
        self.register(number, client)
        self.runtime.emit(fx.ClientConnected(number))
        self.start(number, client.serve())

    def descriptors_exhausted(self) -> None:
        """Report that no descriptor is left to accept a client."""
        self.runtime.emit(fx.DescriptorsExhausted())

    def number(self) -> int:
        """Return a new client id, unique over all listeners."""
        return next(self._numbers)

    def register(self, number: int, handler: ClientHandler) -> None:
        """Set the handler of a client id."""
        self._handlers[number] = handler

    def start(self, number: int, work: Coroutine[Any, Any, None]) -> None:
        """Run a client's coroutine, and remove its handler when it ends."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: self._handlers.pop(number, None))

    def is_connected(self, number: int) -> bool:
        """Whether a client is connected; its disconnect may be still unread by its coroutine."""
        return (handler := self._handlers.get(number)) is not None and not handler.gone()

    def _on_send_response(self, effect: fx.SendResponse) -> None:
        handler = self._handlers.get(effect.client)
        if handler is not None and handler.answer is not None and not handler.answer.done():
            handler.answer.set_result(effect)

    def _on_close_client(self, effect: fx.CloseClient) -> None:
        if (handler := self._handlers.get(effect.client)) is not None:
            handler.drop(effect.mode)

    def _on_set_accepting(self, effect: fx.SetAccepting) -> None:
        for listener in self._listeners:  # on all listeners, since they share one limit
            listener.hold("clients", not effect.on)

    def _on_close_listener(self, _: fx.CloseListener) -> None:
        for listener in self._listeners:
            listener.shut()

    def close(self) -> None:
        """Close all listeners."""
        for listener in self._listeners:
            listener.close()
