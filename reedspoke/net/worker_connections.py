"""Connections to workers: attempts, probes and their responses. The reducer manages the pools."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Any

from tornado.iostream import IOStream, StreamClosedError

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net import message as words
from reedspoke.net.http import Buffer, Head, LineSplitter, MalformedError, ResponseEnd, ResponseParser
from reedspoke.net.message import Message
from reedspoke.net.runtime import Runtime
from reedspoke.net.streams import connect, nothing_to_read, read

MAX_REPORT = 4096  # bytes of a load report in the body of a probe response

log = logging.getLogger("reedspoke")


class Connection:
    """One connection to a worker, read by one coroutine."""

    def __init__(self, connector: WorkerConnector, number: int, endpoint: tuple[str, int]) -> None:
        self.connector, self.number, self.endpoint = connector, number, endpoint
        self.stream: IOStream | None = None
        self.request_id = ""  # the request id that responses must carry, "": a probe
        self.busy = False  # a response is pending
        self.reported = False  # the outcome of the current attempt or probe has been reported

    def emit(self, event: fx.Event) -> None:
        """Send an event to the reducer, unless this connection has been removed."""
        if self.connector.holds(self):
            self.connector.runtime.emit(event)

    async def serve(self) -> None:
        """Connect, and read responses until the connection ends."""
        if not self.connector.holds(self):
            return  # it was removed before it began, so nothing would close it
        try:
            self.stream = connect(self.endpoint)
            await self.stream.connect(self.endpoint)
            self.emit(fx.WorkerConnected(self.number))
            await self._read()
        except (StreamClosedError, OSError):
            pass
        except MalformedError as error:
            log.warning("worker %s:%d: malformed response: %s", *self.endpoint, error, extra=error.fields())
        except Exception:
            log.exception("fault: connection to a worker")
        finally:
            if self.stream is not None:
                self.stream.close()
            self.emit(fx.WorkerDisconnected(self.number))
            self.connector.forget(self)

    async def _read(self) -> None:
        assert self.stream is not None
        buffer = Buffer()
        answers, lines, status, body = ResponseParser(buffer), LineSplitter(), 0, bytearray()
        while True:
            buffer.recycle()
            await read(self.stream, buffer)
            if not self.busy:
                raise MalformedError(400, "unexpected bytes on an idle connection")
            for item in answers.feed():
                if isinstance(item, Head):
                    lines, status, body = LineSplitter(), item.status, bytearray()
                    self.emit(fx.ResponseStarted(self.number))
                    if status != 200 or not self.request_id and item.get(b"x-load") is not None:
                        self._conclude_by_status(item)
                elif isinstance(item, ResponseEnd):
                    free = item.reusable and not len(buffer)
                    if not self.request_id and not self.reported:
                        self._conclude_probe(body, free)
                        if free:  # it may carry an attempt by now
                            continue
                    if not self.reported or not free or (self.request_id and status != 200):
                        # Further bytes would be taken for the next attempt's response; so would a second copy
                        # of a rejection, which names no job and says that it never ran.
                        return
                    self.busy = False
                    self.emit(fx.ResponseCompleted(self.number))
                elif not self.request_id:
                    if len(body) + len(item) > MAX_REPORT:
                        raise MalformedError(400, "load report is too long")
                    body += item
                elif status == 200 and not self.reported:
                    for raw in lines.feed(item):
                        if raw and raw != b"\r":
                            self._take_line(raw)

    def _conclude_by_status(self, head: Head) -> None:
        self.reported, invalid = True, False
        report = words.ordered_report(
            words.parse_load_header(head.get(b"x-load")), self.connector.report_fields
        )
        if not self.request_id:
            reason = api.Reason.OK if head.status == 200 else api.Reason.FULL
        else:
            reason = words.reason_for_status(head.status, head.get(b"x-not-run") == b"1")
            if invalid := head.status in words.INVALID_REQUEST_STATUSES:
                self.emit(fx.RequestMalformed(head.status, "rejected by a worker"))
            elif reason is api.Reason.ERROR and head.status != 500:
                log.warning("worker %s:%d: unexpected status %d", *self.endpoint, head.status)
        self.emit(fx.OutcomeReceived(self.number, reason, report, invalid=invalid))

    def _conclude_probe(self, body: bytearray, free: bool) -> None:
        """Report the outcome of a probe; the body is a load report, ignored if it cannot be parsed."""
        self.reported, self.busy = True, not free
        report = words.ordered_report(words.parse_load_header(bytes(body)), self.connector.report_fields)
        self.emit(fx.OutcomeReceived(self.number, api.Reason.OK, report, reusable=free))

    def _take_line(self, raw: memoryview | bytes) -> None:
        if self.reported:
            return
        line = words.parse_line(raw)
        if line.id != self.request_id:
            raise MalformedError(400, "response names another request")
        if (kind := words.NOTES.get(line.state)) is not None:
            self.emit(fx.AttemptProgress(self.number, kind, line.share))
        elif (reason := words.REASONS.get(line.state)) is not None:
            self.reported = True
            report = words.ordered_report(line.load, self.connector.report_fields)
            result = words.result_body(line.result) if reason is api.Reason.OK else b""
            self.emit(fx.OutcomeReceived(self.number, reason, report, result))

    def transmit(self, client: int, message: Message, wait: int) -> None:
        """Write an attempt, unless the client or the connection is gone."""
        assert self.stream is not None
        if not self.connector.is_connected(client):
            self.emit(fx.AttemptNotSent(self.number))
            return
        if not nothing_to_read(self.stream):
            # The worker has closed this connection or sent unexpected bytes, which are still unread. No byte
            # of the attempt is written, so a job that must not run twice can be retried safely.
            self.emit(fx.AttemptNotSent(self.number, ended=True))
            return
        self.request_id, self.busy, self.reported = message.name, True, False
        try:
            written = self.stream.write(message.request_head(self.endpoint, wait))
            if len(message.body):
                written = self.stream.write(message.body)
        except StreamClosedError:
            return  # its coroutine reports the disconnect
        if written.done() and written.exception() is None:
            self.emit(fx.AttemptWritten(self.number))
        else:
            written.add_done_callback(self._written)

    def _written(self, written: asyncio.Future[None]) -> None:
        if not written.cancelled() and written.exception() is None:
            self.emit(fx.AttemptWritten(self.number))

    def probe(self) -> None:
        """Write a probe."""
        assert self.stream is not None
        self.request_id, self.busy, self.reported = "", True, False
        path = b"/status/load" if self.connector.report_fields else b"/health"
        try:
            self.stream.write(b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (path, words.authority(self.endpoint)))
        except StreamClosedError:
            return


class WorkerConnector:
    """All connections to workers."""

    def __init__(
        self, runtime: Runtime, report_fields: tuple[str, ...], is_connected: Callable[[int], bool]
    ) -> None:
        """`is_connected`: whether the client with a given id is still connected."""
        self.runtime, self.is_connected = runtime, is_connected
        self.report_fields = report_fields
        self._connections: dict[int, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """Return the effects that it carries out."""
        return {
            fx.ConnectWorker: self._connect,
            fx.SendAttempt: self._transmit,
            fx.SendProbe: lambda effect: self._connections[effect.conn].probe(),
            fx.DisconnectWorker: self._disconnect,
        }

    def holds(self, connection: Connection) -> bool:
        """Whether this connection is still in use."""
        return self._connections.get(connection.number) is connection

    def forget(self, connection: Connection) -> None:
        """Remove a closed connection."""
        self._connections.pop(connection.number, None)

    def _connect(self, effect: fx.ConnectWorker) -> None:
        connection = Connection(self, effect.conn, effect.endpoint)
        self._connections[effect.conn] = connection
        task = asyncio.ensure_future(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _transmit(self, effect: fx.SendAttempt) -> None:
        assert isinstance(effect.message, Message)
        self._connections[effect.conn].transmit(effect.client, effect.message, effect.timeout)

    def _disconnect(self, effect: fx.DisconnectWorker) -> None:
        if (
            connection := self._connections.pop(effect.conn, None)
        ) is not None and connection.stream is not None:
            connection.stream.close()
