"""One request of a client, from the moment it was read until its answer has ended.

An exchange does what the dispatcher decides and reports what it sees. What was seen becomes an `Evidence`,
and `decision.attempt_fate` alone says what that proves.
"""

from __future__ import annotations

import asyncio
from typing import Protocol

from reedspoke.cluster.errors import ErrorCode
from reedspoke.data_plane.answers import WholeAnswer, own_answer
from reedspoke.data_plane.attempt import Attempt, may_pass
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest
from reedspoke.data_plane.event_stream import EventSplitter, EventTooLargeError, last_event_id
from reedspoke.data_plane.headers import (
    ATTEMPT_ID,
    LAST_EVENT_ID,
    NOT_EXECUTED,
    RESPONSE_SEAL,
    forwarded_answer_fields,
    forwarded_request_fields,
    status_line,
    text_of,
)
from reedspoke.data_plane.route_table import CompiledRoute
from reedspoke.data_plane.upstream_connection import SUCCESS_STATUS, Failure, UpstreamConnection
from reedspoke.data_plane.upstream_pool import ConnectFailure, ConnectResult, UpstreamPool
from reedspoke.decision.attempt_fate import STATUS_WRONG_INSTANCE, Ending, Evidence
from reedspoke.decision.messages import Expire, Fail, FailReason, Job, Refuse, Repeat, WorkerEntry
from reedspoke.decision.silence import OpenAttempt
from reedspoke.net.http import Head

MOST_WHOLE_ANSWER = 8 * 1024 * 1024  # bytes of an answer that is read whole before it is passed on
SUCCESS = 200
STATUS_BAD_REQUEST = 400
STATUS_WORKER_TIMEOUT = 504  # the worker's own, at the deadline: there is no time for another attempt


class Owner(Protocol):
    """Who holds the exchanges and asks the dispatcher."""

    def progress(self, exchange: Exchange) -> None: ...

    def first_event(self, exchange: Exchange) -> None: ...

    def attempt_ended(self, exchange: Exchange, evidence: Evidence, output_tokens: int) -> None: ...

    def finished(self, exchange: Exchange) -> None: ...

    def client_left(self, exchange: Exchange) -> None: ...


class Exchange:
    """Listens to the worker's answer, and writes the client's."""

    def __init__(
        self,
        owner: Owner,
        loop: asyncio.AbstractEventLoop,
        pool: UpstreamPool,
        request: ClientRequest,
        client: ClientConnection,
        route: CompiledRoute,
        job: Job,
    ) -> None:
        self.job = job
        self.route = route
        self._owner = owner
        self._loop = loop
        self._pool = pool
        self._request = request
        self._client: ClientConnection | None = client
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._fields = forwarded_request_fields(request.head)
        self._attempt_id = text_of(request.head, ATTEMPT_ID)
        self._last_event_id = text_of(request.head, LAST_EVENT_ID)
        self._answer: WholeAnswer | None = None  # a worker's error, kept while other workers are tried
        self._sent = False  # whether a request may have reached a worker
        self._client_full = False  # its end takes no more for now
        self.events_passed = False

    # ---- what the dispatcher decides ----

    def send(self, worker: WorkerEntry, urgency: int | None = None) -> None:
        """Begin an attempt at a worker."""
        self._attempts += 1
        now = self._loop.time()
        self._attempt = Attempt(worker, self._attempts, urgency, now, now)
        connection = self._pool.take_idle(worker.instance_id)
        if connection is not None:
            self._transmit(connection)
            return
        number = self._attempts
        self._pool.connect(worker.address, lambda result: self._connected(number, worker, result))

    def refuse(self, decision: Refuse) -> None:
        """Give a final answer: not run, or harmless to repeat."""
        if self.events_passed or self._answer is not None:
            self._end_without_promise()
            return
        message = f"not served: {decision.reason.name.lower()}"
        self._finish(own_answer(503, ErrorCode.OVERLOADED, message, decision.retry_after_s))

    def fail(self, decision: Fail) -> None:
        """Give a final answer that promises nothing."""
        if decision.reason is FailReason.BUDGET and not self.events_passed and self._answer is None:
            self._finish(own_answer(502, ErrorCode.RETRY_BUDGET, "the worker failed"))
            return
        self._end_without_promise()

    def expire(self, decision: Expire) -> None:
        """The time for the request is over."""
        self._call_off()
        if self.events_passed:
            self._break_off()
        elif decision.ran:
            self._finish(own_answer(504, ErrorCode.DEADLINE, "no answer in time"))
        else:
            self._finish(own_answer(503, ErrorCode.DEADLINE, "no worker in time", 0.0))

    def is_overdue(self, now: float) -> bool:
        """Whether the time for the request is over while an attempt is out."""
        return self._attempt is not None and now >= self.job.deadline

    def give_up_attempt(self) -> None:
        """The worker is silent: call the attempt off, and say so."""
        if self._attempt is not None:
            self._end_attempt(Ending.SILENCE)

    def worker(self) -> WorkerEntry | None:
        """The worker of the attempt that is out."""
        return None if self._attempt is None else self._attempt.worker

    def open_attempt(self) -> OpenAttempt | None:
        """What tells whether the attempt that is out has gone silent."""
        attempt = self._attempt
        if attempt is None or not attempt.bytes_sent:
            return None
        return OpenAttempt(
            job_id=self.job.job_id,
            instance_id=attempt.worker.instance_id,
            repeat=self.job.repeat,
            streaming=self.job.streaming,
            aim_s=self.job.aim_s,
            pause_s=self.route.pause,
            sent_at=attempt.sent_at,
            heard_at=self._loop.time() if self._client_full else attempt.heard_at,
            deadline=self.job.deadline,
        )

    def shut_down(self) -> None:
        """The process ends: a request without an answer gets one, a stream is broken off."""
        self._call_off()
        if self.events_passed:
            self._break_off()
        elif self._sent:
            self._finish(self._answer or own_answer(502, ErrorCode.SHUTTING_DOWN, "the scheduler ends"))
        else:
            self._finish(own_answer(503, ErrorCode.SHUTTING_DOWN, "the scheduler ends", 0.0))

    # ---- the client's connection ----

    def client_gone(self) -> None:
        self._client = None
        self._call_off()
        self._owner.client_left(self)

    def writable(self, on: bool) -> None:
        self._client_full = not on
        attempt = self._attempt
        if attempt is None or attempt.connection is None:
            return
        if on:
            attempt.heard_at = self._loop.time()
            attempt.connection.resume()
        else:
            attempt.connection.pause()

    # ---- the attempt ----

    def _connected(self, number: int, worker: WorkerEntry, result: ConnectResult) -> None:
        attempt = self._attempt
        if attempt is None or attempt.number != number:
            if isinstance(result, UpstreamConnection):
                self._pool.give_back(worker.instance_id, result)
            return
        if isinstance(result, ConnectFailure):
            self._end_attempt(Ending.CONNECT_FAILED)
            return
        if not result.is_quiet():  # reset as it came up: nothing was sent on it, nor would its end be told
            result.close()
            self._end_attempt(Ending.CONNECT_FAILED)
            return
        self._transmit(result)

    def _transmit(self, connection: UpstreamConnection) -> None:
        attempt = self._attempt
        assert attempt is not None
        attempt.connection = connection
        attempt.bytes_sent = self._sent = True
        attempt.sent_at = attempt.heard_at = self._loop.time()
        head_only = self._request.head.method == b"HEAD"
        connection.send(self._render(attempt), self._attempt_id, self, head_only=head_only)
        if self._client_full:
            connection.pause()

    def _render(self, attempt: Attempt) -> bytes:
        head = self._request.head
        left_ms = max(1, int((self.job.deadline - self._loop.time()) * 1000))
        lines = [
            b"%b %b HTTP/1.1\r\n" % (head.method, bytes(head.target)),
            self._fields,
            b"Reedspoke-Deadline-Ms: %d\r\n" % left_ms,
            b"Reedspoke-Target-Instance: %b\r\n" % attempt.worker.instance_id.encode(),
        ]
        if self._last_event_id:
            lines.append(b"Last-Event-Id: %b\r\n" % self._last_event_id.encode("latin-1"))
        if attempt.urgency is not None:
            lines.append(b"Priority: %d\r\n" % attempt.urgency)
        if self._request.body or head.method not in (b"GET", b"HEAD"):
            lines.append(b"Content-Length: %d\r\n" % len(self._request.body))
        lines.append(b"\r\n")
        lines.append(self._request.body)
        return b"".join(lines)

    # ---- the worker's answer ----

    def on_head(self, head: Head) -> None:
        attempt = self._attempt
        assert attempt is not None
        self._heard(attempt)
        attempt.status = head.status
        attempt.not_executed = head.get(NOT_EXECUTED) is not None
        attempt.fields = forwarded_answer_fields(head)
        if head.status in SUCCESS_STATUS and head.get(RESPONSE_SEAL) is None:
            self._end_attempt(Ending.MALFORMED)  # no worker has sealed it: it may be anybody's answer
            return
        if head.status == SUCCESS and self.route.streaming:
            attempt.splitter = EventSplitter()
            return
        attempt.body = bytearray()
        if head.status in SUCCESS_STATUS:
            self._started()

    def on_body(self, piece: memoryview) -> None:
        attempt = self._attempt
        assert attempt is not None
        self._heard(attempt)
        if attempt.splitter is not None:
            self._pass_events(attempt.splitter, piece)
            return
        assert attempt.body is not None
        attempt.body += piece
        if len(attempt.body) > MOST_WHOLE_ANSWER:
            self._end_attempt(Ending.MALFORMED)

    def on_end(self) -> None:
        attempt = self._attempt
        assert attempt is not None
        if attempt.connection is not None:
            self._pool.give_back(attempt.worker.instance_id, attempt.connection)
            attempt.connection = None
        if attempt.splitter is not None:
            self._end_of_events(attempt, attempt.splitter)
            return
        self._end_of_body(attempt)

    def on_failure(self, failure: Failure) -> None:
        attempt = self._attempt
        if attempt is None:
            return
        attempt.connection = None
        self._end_attempt(Ending.MALFORMED if failure is Failure.MALFORMED else Ending.CLOSED)

    def _heard(self, attempt: Attempt) -> None:
        attempt.heard_at = self._loop.time()
        self._owner.progress(self)

    def _started(self) -> None:
        attempt = self._attempt
        if attempt is not None and not attempt.started:
            attempt.started = True
            self._owner.first_event(self)

    def _pass_events(self, splitter: EventSplitter, piece: memoryview) -> None:
        try:
            events = splitter.feed(piece)
        except EventTooLargeError:
            self._end_attempt(Ending.MALFORMED)
            return
        if events is not None:
            self._pass_on(events.data, events.last_id)

    def _pass_on(self, data: bytes, last_id: str) -> None:
        if last_id:
            self._last_event_id = last_id
        if self.events_passed:
            if self._client is not None:
                self._client.write_piece(data)
            self._started()
            return
        self.events_passed = True
        attempt = self._attempt
        assert attempt is not None
        if self._client is not None:
            self._client.begin_stream(status_line(attempt.status), attempt.fields, data)
        self._started()

    def _end_of_events(self, attempt: Attempt, splitter: EventSplitter) -> None:
        rest = splitter.rest()
        if rest:
            self._pass_on(rest, last_event_id(rest))
        elif not self.events_passed:
            self._pass_empty(attempt)
        evidence = attempt.evidence(Ending.COMPLETE)
        self._attempt = None
        client = self._client
        self._client = None
        if client is not None:
            client.end_stream()
        self._owner.attempt_ended(self, evidence, 0)
        self._owner.finished(self)

    def _pass_empty(self, attempt: Attempt) -> None:
        self.events_passed = True
        if self._client is not None:
            self._client.begin_stream(status_line(attempt.status), attempt.fields, b"")

    def _end_of_body(self, attempt: Attempt) -> None:
        evidence = attempt.evidence(Ending.COMPLETE)
        status = attempt.status
        answer = WholeAnswer(status_line(status), attempt.fields, bytes(attempt.body or b""))
        if status == STATUS_BAD_REQUEST:  # no worker would take it
            evidence = Evidence(Ending.COMPLETE, attempt.bytes_sent, status)
        if evidence.not_executed or status == STATUS_WRONG_INSTANCE:
            self._attempt = None
            self._owner.attempt_ended(self, evidence, 0)
            return
        if self._try_elsewhere(status):
            self._attempt = None
            self._answer = answer if may_pass(status) else self._answer
            failed = Evidence(Ending.MALFORMED, True, status)
            self._owner.attempt_ended(self, failed, 0)
            return
        self._attempt = None
        self._owner.attempt_ended(self, evidence, 0)
        if self.events_passed:
            self._break_off()
        elif may_pass(status):
            self._finish(answer)
        else:
            self._finish(own_answer(502, ErrorCode.WORKER_FAILED, "the worker failed"))

    def _try_elsewhere(self, status: int) -> bool:
        """Whether a worker's error is worth another attempt."""
        if self.events_passed:
            return self.job.repeat is Repeat.RESUMABLE
        worth = status >= 500 and status != STATUS_WORKER_TIMEOUT
        return worth and self.job.repeat is not Repeat.NEVER

    def _end_attempt(self, ending: Ending) -> None:
        attempt = self._attempt
        self._attempt = None
        assert attempt is not None
        if attempt.connection is not None:
            attempt.connection.close()
        self._owner.attempt_ended(self, attempt.evidence(ending), 0)

    def _call_off(self) -> None:
        attempt = self._attempt
        self._attempt = None
        if attempt is not None and attempt.connection is not None:
            attempt.connection.close()

    # ---- the end ----

    def _end_without_promise(self) -> None:
        if self.events_passed:
            self._break_off()
            return
        kept = self._answer
        self._finish(kept or own_answer(502, ErrorCode.WORKER_FAILED, "the worker failed"))

    def _break_off(self) -> None:
        client = self._client
        self._client = None
        if client is not None:
            client.abort()
        self._owner.finished(self)

    def _finish(self, answer: WholeAnswer) -> None:
        client = self._client
        self._client = None
        if client is not None:
            client.answer_whole(answer)
        self._owner.finished(self)
