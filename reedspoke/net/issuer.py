"""Connections to issuer hosts: dials, legs, probes, and their answers. The reducer keeps the pools."""

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

MOST_REPORT = 4096  # bytes of a load report as the body of a probe's answer

log = logging.getLogger("reedspoke")


class Connection:
    def __init__(self, side: Issuer, number: int, endpoint: tuple[str, int]) -> None:
        self.side, self.number, self.endpoint = side, number, endpoint
        self.stream: IOStream | None = None
        self.asked = ""  # the id that answers must bear, "": it is a probe
        self.busy = False  # an answer is due
        self.told = False  # the outcome of the leg in hand

    def emit(self, event: fx.Event) -> None:
        if self.side.holds(self):
            self.side.runtime.emit(event)

    async def serve(self) -> None:
        if not self.side.holds(self):
            return  # given up before it began: nothing would ever close what is opened now
        try:
            self.stream = connect(self.endpoint)
            await self.stream.connect(self.endpoint)
            self.emit(fx.Opened(self.number))
            await self._read()
        except (StreamClosedError, OSError):
            pass
        except MalformedError as error:
            log.warning(
                "issuer host %s:%d: malformed answer: %s", *self.endpoint, error, extra=error.fields()
            )
        except Exception:
            log.exception("fault: connection to an issuer host")
        finally:
            if self.stream is not None:
                self.stream.close()
            self.emit(fx.Broken(self.number))
            self.side.forget(self)

    async def _read(self) -> None:
        assert self.stream is not None
        buffer = Buffer()
        answers, lines, status, told = ResponseParser(buffer), LineSplitter(), 0, bytearray()
        while True:
            buffer.recycle()
            await read(self.stream, buffer)
            if not self.busy:
                raise MalformedError(400, "bytes that nobody asked for")
            for item in answers.feed():
                if isinstance(item, Head):
                    lines, status, told = LineSplitter(), item.status, bytearray()
                    self.emit(fx.Heard(self.number))
                    if status != 200 or not self.asked and item.get(b"x-load") is not None:
                        self._conclude_by_status(item)
                elif isinstance(item, ResponseEnd):
                    free = item.reusable and not len(buffer)
                    if not self.asked and not self.told:
                        self._conclude_probe(told, free)
                        if free:  # by now it may carry a leg
                            continue
                    if not self.told or not free or (self.asked and status != 200):
                        # Bytes behind an answer would be taken for the next leg's; and so would a second copy
                        # of one that names no job and says that it never ran.
                        return
                    self.busy = False
                    self.emit(fx.Freed(self.number))
                elif not self.asked:
                    if len(told) + len(item) > MOST_REPORT:
                        raise MalformedError(400, "a load report is too long")
                    told += item
                elif status == 200 and not self.told:
                    for raw in lines.feed(item):
                        if raw and raw != b"\r":
                            self._take_line(raw)

    def _conclude_by_status(self, head: Head) -> None:
        self.told, invalid = True, False
        report = words.ordered_report(words.parse_load_header(head.get(b"x-load")), self.side.report_fields)
        if not self.asked:
            reason = api.Reason.OK if head.status == 200 else api.Reason.FULL
        else:
            reason = words.reason_for_status(head.status, head.get(b"x-not-run") == b"1")
            if invalid := head.status in words.INVALID_REQUEST_STATUSES:
                self.emit(fx.Refused(head.status, "an issuer host says so"))
            elif reason is api.Reason.ERROR and head.status != 500:
                log.warning("issuer host %s:%d: status %d", *self.endpoint, head.status)
        self.emit(fx.Concluded(self.number, reason, report, invalid=invalid))

    def _conclude_probe(self, told: bytearray, free: bool) -> None:
        """A load report is the body of its answer; one that cannot be read is none."""
        self.told, self.busy = True, not free
        report = words.ordered_report(words.parse_load_header(bytes(told)), self.side.report_fields)
        self.emit(fx.Concluded(self.number, api.Reason.OK, report, free=free))

    def _take_line(self, raw: memoryview | bytes) -> None:
        if self.told:
            return
        told = words.parse_line(raw)
        if told.id != self.asked:
            raise MalformedError(400, "an answer to something else")
        if (kind := words.NOTES.get(told.state)) is not None:
            self.emit(fx.Noted(self.number, kind, told.share))
        elif (reason := words.REASONS.get(told.state)) is not None:
            self.told = True
            report = words.ordered_report(told.load, self.side.report_fields)
            result = words.result_body(told.result) if reason is api.Reason.OK else b""
            self.emit(fx.Concluded(self.number, reason, report, result))

    def transmit(self, client: int, message: Message, wait: int) -> None:
        assert self.stream is not None
        if not self.side.present(client):
            self.emit(fx.Unsent(self.number))
            return
        if not nothing_to_read(self.stream):
            # Guards jobs that must never run twice: the host has ended this connection, or speaks unasked,
            # and we have not read that yet. Not a byte of the leg goes out, so it never ran.
            self.emit(fx.Unsent(self.number, ended=True))
            return
        self.asked, self.busy, self.told = message.name, True, False
        try:
            written = self.stream.write(message.request_head(self.endpoint, wait))
            if len(message.body):
                written = self.stream.write(message.body)
        except StreamClosedError:
            return  # its coroutine tells
        if written.done() and written.exception() is None:
            self.emit(fx.Written(self.number))
        else:
            written.add_done_callback(self._written)

    def _written(self, written: asyncio.Future[None]) -> None:
        if not written.cancelled() and written.exception() is None:
            self.emit(fx.Written(self.number))

    def probe(self) -> None:
        assert self.stream is not None
        self.asked, self.busy, self.told = "", True, False
        path = b"/status/load" if self.side.report_fields else b"/health"
        try:
            self.stream.write(b"GET %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (path, words.authority(self.endpoint)))
        except StreamClosedError:
            return


class Issuer:
    def __init__(
        self, runtime: Runtime, report_fields: tuple[str, ...], present: Callable[[int], bool]
    ) -> None:
        """`present`: whether a client, by its number, is there still."""
        self.runtime, self.present = runtime, present
        self.report_fields = report_fields
        self._connections: dict[int, Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def effects(self) -> dict[type, Callable[[Any], None]]:
        return {
            fx.Dial: self._dial,
            fx.Transmit: self._transmit,
            fx.Ask: lambda effect: self._connections[effect.conn].probe(),
            fx.Hangup: self._hang_up,
        }

    def holds(self, connection: Connection) -> bool:
        return self._connections.get(connection.number) is connection

    def forget(self, connection: Connection) -> None:
        self._connections.pop(connection.number, None)

    def _dial(self, effect: fx.Dial) -> None:
        connection = Connection(self, effect.conn, effect.endpoint)
        self._connections[effect.conn] = connection
        task = asyncio.ensure_future(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _transmit(self, effect: fx.Transmit) -> None:
        assert isinstance(effect.message, Message)
        self._connections[effect.conn].transmit(effect.client, effect.message, effect.wait)

    def _hang_up(self, effect: fx.Hangup) -> None:
        if (
            connection := self._connections.pop(effect.conn, None)
        ) is not None and connection.stream is not None:
            connection.stream.close()
