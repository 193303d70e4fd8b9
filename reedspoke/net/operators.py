"""The operator API: an HTTP listener of its own with one call per connection.

It has descriptors reserved for it, and the reducer limits the number of callers and their time. Callers that
never complete a call therefore take nothing from the clients and delay no other caller.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass
from itertools import count
from typing import Any
from urllib.parse import unquote_to_bytes

from tornado.iostream import IOStream, StreamClosedError

from reedspoke.errors import PROBLEM_CONTENT_TYPE, ReedspokeError
from reedspoke.net import effects as fx
from reedspoke.net import metrics
from reedspoke.net.http import Buffer, Head, MalformedError, RequestParser
from reedspoke.net.message import request_path
from reedspoke.net.runtime import Runtime
from reedspoke.net.streams import discard_input, listen, read, stream
from reedspoke.net.subsystem import Call

log = logging.getLogger("reedspoke")

BACKLOG = 128
ACCEPT_BATCH = 8  # connections accepted per turn of the event loop
MAX_HEAD_BYTES = 4 * 1024
MAX_BODY_BYTES = 4 * 1024  # no call of this module needs a body; a small one is read and ignored
MAX_LINGER_BYTES = 64 * 1024
LINGER_S = 0.5  # time that a connection stays half-open, so that a reset does not destroy its response
REASONS = {
    200: "OK", 201: "Created", 202: "Accepted", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict",
    413: "Content Too Large", 422: "Unprocessable Content", 431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    501: "Not Implemented", 503: "Service Unavailable", 505: "HTTP Version Not Supported",
}  # fmt: skip
PLAIN = "text/plain; version=0.0.4; charset=utf-8"
STATUS_BY_RESULT = {
    fx.CallResult.YES: 200,
    fx.CallResult.UNKNOWN_WORKER: 404,
    fx.CallResult.NOT_FOUND: 404,
    fx.CallResult.NO: 503,
}
CALLS = {
    (b"v1", b"readyz"): (b"GET", fx.OperatorCommand.READY),
    (b"v1", b"metrics"): (b"GET", fx.OperatorCommand.METRICS),
    (b"v1", b"scheduler", b"drain"): (b"POST", fx.OperatorCommand.DRAIN),
    (b"v1", b"scheduler", b"activate"): (b"POST", fx.OperatorCommand.ACTIVATE),
}
WORKER_CALLS = {
    (b"workers", b"suspend"): fx.OperatorCommand.SUSPEND, (b"workers", b"resume"): fx.OperatorCommand.RESUME,
}  # fmt: skip


class NoSuchCallError(ReedspokeError):
    """No call has this path, or none this method."""

    code = "no-such-call"
    remedy = "see docs/operators.md for the calls of the operator API and their methods"

    def __init__(self, status: int, text: str, allow: bytes = b"") -> None:
        super().__init__(text)
        self.status, self.allow = status, allow


def decode_name(part: bytes) -> str:
    """Decode a segment of a path. Raises MalformedError."""
    try:
        return unquote_to_bytes(part).decode()
    except UnicodeDecodeError:
        raise MalformedError(400, "the name is no text") from None


@dataclass(slots=True, frozen=True)
class ParsedCall:
    """A call: an order with its host, or the call of a subsystem (`which`) with the names in its path."""

    order: fx.OperatorCommand
    host: str = ""
    which: str = ""
    names: tuple[str, ...] = ()
    max_body_bytes: int = MAX_BODY_BYTES


def parse_call(head: Head, further: Iterable[Call] = ()) -> ParsedCall:
    """Find the call for a request head; `further` are the calls of subsystems.

    Raises NoSuchCallError, MalformedError.
    """
    parts = tuple(request_path(head).split(b"/")[1:])
    if parts in CALLS:
        method, order = CALLS[parts]
        parsed = ParsedCall(order)
    elif len(parts) == 4 and parts[0] == b"v1" and parts[1::2] in WORKER_CALLS and parts[2]:
        method, parsed = b"POST", ParsedCall(WORKER_CALLS[parts[1::2]], decode_name(parts[2]))
    else:
        found = [(call, names) for call in further if (names := call.names(parts[1:])) is not None]
        if parts[0] != b"v1" or not found:
            raise NoSuchCallError(404, "no such call")
        call, names = next((one for one in found if one[0].method == head.method), found[0])
        method = call.method
        parsed = ParsedCall(
            fx.OperatorCommand.EXTENSION,
            "",
            call.which,
            tuple(decode_name(name) for name in names),
            max(MAX_BODY_BYTES, call.max_body_bytes),
        )
    if head.method != method:
        raise NoSuchCallError(405, f"call it by {method.decode()}", method)
    return parsed


def reply(status: int, text: str, allow: bytes = b"", form: str = PLAIN) -> bytes:
    """Encode a response; `form` is its content type."""
    body = text.encode()
    lines = [
        b"HTTP/1.1 %d %b" % (status, REASONS[status].encode()),
        b"Content-Type: " + form.encode(),
        b"Cache-Control: no-store",
        b"Content-Length: %d" % len(body),
        b"Connection: close",
    ]
    if allow:
        lines.append(b"Allow: " + allow)
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


class Caller:
    """One connection to the operator API, served by one coroutine."""

    def __init__(self, operator_api: OperatorApi, number: int, source: IOStream) -> None:
        self.operator_api, self.number, self.stream = operator_api, number, source
        self.reply: asyncio.Future[tuple[int, str, str]] = asyncio.get_running_loop().create_future()

    async def serve(self) -> None:
        """Answer one call and close the connection."""
        try:
            await self._serve_one()
        except NoSuchCallError as error:
            await self._end(
                reply(error.status, error.problem(error.status), error.allow, PROBLEM_CONTENT_TYPE)
            )
        except MalformedError as error:
            await self._end(reply(error.status, error.problem(error.status), form=PROBLEM_CONTENT_TYPE))
        except (StreamClosedError, OSError):
            pass
        except Exception:  # a defect must not affect other callers, and this one gets a response
            log.exception("fault: operator API")
            await self._end(reply(500, "a defect: see the log\n"))
        finally:
            self.stream.close()
            self.operator_api.runtime.emit(fx.OperatorDisconnected(self.number))

    async def _serve_one(self) -> None:
        buffer = Buffer()
        requests = RequestParser(buffer)
        while (head := requests.head()) is None:
            if len(buffer) >= MAX_HEAD_BYTES:
                raise MalformedError(431, "the head is too large")
            await read(self.stream, buffer)
        parsed = parse_call(head, self.operator_api.calls)
        length = head.length() or 0
        if length > parsed.max_body_bytes:
            raise MalformedError(413, "the body is too large")
        requests.expect(length)
        while (body := requests.body()) is None:
            await read(self.stream, buffer, requests.wanted())
        if len(body) > parsed.max_body_bytes:
            raise MalformedError(413, "the body is too large")
        self.operator_api.runtime.emit(
            fx.OperatorCall(self.number, parsed.order, parsed.host, parsed.which, parsed.names, bytes(body))
        )
        status, text, form = await self.reply
        await self._end(reply(status, text, form=form))

    async def _end(self, data: bytes) -> None:
        """Send the response and read what still arrives: closing with unread bytes would cause a reset."""
        with suppress(StreamClosedError, OSError, TimeoutError):
            await asyncio.wait_for(self.stream.write(data), LINGER_S)
            if self.stream.closed():  # the caller has closed the connection already
                return
            self.stream.socket.shutdown(socket.SHUT_WR)
            await asyncio.wait_for(discard_input(self.stream, MAX_LINGER_BYTES), LINGER_S)


class OperatorApi:
    """The listener of the operator API and its connections."""

    def __init__(self, runtime: Runtime, address: tuple[str, int]) -> None:
        self.runtime = runtime
        self._address = address
        self._listener: socket.socket | None = None
        self._callers: dict[int, Caller] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._numbers = count(1)
        self.calls: list[Call] = []  # calls of subsystems
        self.figures: list[Callable[[], str]] = []  # further metrics, as Prometheus text

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """The handlers of the effects that this part executes."""
        return {fx.ReplyToOperator: self._reply, fx.DisconnectOperator: self._dismiss}

    def open(self) -> None:
        """Listen. Raises OSError."""
        self._listener = listen(self._address, BACKLOG)
        asyncio.get_running_loop().add_reader(self._listener.fileno(), self._accept)

    def _accept(self) -> None:
        for _ in range(ACCEPT_BATCH):
            try:
                connection, _ = self._listener.accept()  # type: ignore[union-attr]
            except BlockingIOError:
                return
            except OSError as error:
                log.error("fault: accept at the operator API: %s", error)
                return
            caller = Caller(self, next(self._numbers), stream(connection))
            self._callers[caller.number] = caller
            self.runtime.emit(fx.OperatorConnected(caller.number))
            task = asyncio.ensure_future(caller.serve())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            task.add_done_callback(lambda _, number=caller.number: self._callers.pop(number, None))  # type: ignore[misc]

    def _reply(self, effect: fx.ReplyToOperator) -> None:
        caller = self._callers.get(effect.caller)
        if caller is not None and not caller.reply.done():
            text = effect.text
            if effect.figures:
                reducer = self.runtime.reducer
                classes = [cls.name for cls in reducer.settings.classes]
                text = metrics.text(
                    reducer.state, classes, reducer.module.avoided_workers(self.runtime.clock.now())
                )
                text += "".join(figures() for figures in self.figures)
            status = effect.status or STATUS_BY_RESULT[effect.result]
            caller.reply.set_result(
                (status, text or f"{effect.result.value}\n", effect.content_type or PLAIN)
            )

    def _dismiss(self, effect: fx.DisconnectOperator) -> None:
        if (caller := self._callers.get(effect.caller)) is not None:
            caller.stream.close()

    def close(self) -> None:
        """Stop listening; open calls are still answered."""
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.fileno())
            self._listener.close()
            self._listener = None
