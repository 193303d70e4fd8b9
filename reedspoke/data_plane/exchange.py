"""One request of a client, from the moment it was read until its answer has ended.

An exchange does what the dispatcher decides and reports what it sees. What was seen becomes an `Evidence`,
and `decision.attempt_fate` alone says what that proves.
"""

from __future__ import annotations

import asyncio

from reedspoke.common.unhandled_errors import unhandled_errors
from reedspoke.data_plane.answer_reader import SUCCESS_STATUS
from reedspoke.data_plane.answers import (
    WholeAnswer,
    expired,
    failed,
    key_in_doubt,
    process_ends,
    refused,
    status_of,
    worker_failed,
)
from reedspoke.data_plane.attempt import Attempt
from reedspoke.data_plane.authorization import Authorization
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest
from reedspoke.data_plane.client_response import ClientResponse
from reedspoke.data_plane.event_stream import Events, EventSplitter, EventTooLargeError, last_event_id
from reedspoke.data_plane.exchange_invariants import (
    check_answer_head,
    check_drain,
    check_events,
    check_final_answer,
    check_send,
    check_success,
    check_tenant,
)
from reedspoke.data_plane.exchange_owner import Owner, isolated
from reedspoke.data_plane.headers import NOT_EXECUTED, RESPONSE_SEAL, forwarded_answer_fields, status_line
from reedspoke.data_plane.request_trace import RequestOutcome, RequestTrace
from reedspoke.data_plane.route_table import CompiledRoute
from reedspoke.data_plane.upstream_connection import Failure, UpstreamConnection
from reedspoke.data_plane.upstream_pool import ConnectFailure, ConnectResult, UpstreamPool
from reedspoke.data_plane.upstream_request import UpstreamRequest
from reedspoke.decision.answer_action import AnswerAction, action_for_answer, may_forward
from reedspoke.decision.attempt_fate import Ending, Evidence, Fate, fate_of, is_wrong_instance
from reedspoke.decision.attempt_timeout import OpenAttempt
from reedspoke.decision.messages import Expire, Fail, Job, Refuse, WorkerEntry
from reedspoke.net.http import Head

MOST_WHOLE_ANSWER = 8 * 1024 * 1024  # bytes of an answer that is read whole before it is passed on
SUCCESS = 200
KEY_IN_DOUBT = "key in doubt"


class Exchange:
    """Listens to the worker's answer, and has the client's written."""

    def __init__(
        self,
        owner: Owner,
        loop: asyncio.AbstractEventLoop,
        pool: UpstreamPool,
        request: ClientRequest,
        client: ClientConnection,
        route: CompiledRoute,
        job: Job,
        trace: RequestTrace | None = None,
        authorization: Authorization | None = None,
    ) -> None:
        self.job = job
        self.route = route
        self._owner = owner
        self._loop = loop
        self._pool = pool
        self._authorization = Authorization(job.arrived) if authorization is None else authorization
        self._request = UpstreamRequest(request, self._authorization.tenant)
        self._response = ClientResponse(client, self._request.last_event_id)
        self._attempt: Attempt | None = None
        self._attempts = 0
        self._answer: WholeAnswer | None = None  # a worker's error, kept while other workers are tried
        self._ran = False  # whether an attempt that has ended may have run
        self._client_full = False  # its end takes no more for now
        self.trace = RequestTrace(self._request.attempt_id) if trace is None else trace

    # ---- what the dispatcher decides ----

    @isolated
    def send(self, worker: WorkerEntry, urgency: int | None = None, avoided: tuple[str, ...] = ()) -> None:
        """Begin an attempt at a worker, chosen while these others were avoided."""
        if not self._response.resumable:  # another run would begin at the first event again
            self._response.break_off()
            self._ended(RequestOutcome.BROKEN_OFF, 0, "its events have no ids to go on behind")
            self._owner.called_off(self)
            return
        self._attempts += 1
        now = self._loop.time()
        self.trace.began(worker.instance_id, worker.address, self._age_ms(), avoided)
        self._attempt = Attempt(worker, self._attempts, urgency, self._request.version_asked, now, now)
        connection = self._pool.take_idle(worker.instance_id)
        if connection is not None:
            self._transmit(connection)
            return
        number = self._attempts
        self._pool.connect(worker.address, lambda result: self._connected(number, worker, result))

    @isolated
    def refuse(self, decision: Refuse) -> None:
        """Give a final answer: not run, or harmless to repeat."""
        self._end_with(self._answer or refused(decision), RequestOutcome.REFUSED, decision.reason.name)

    @isolated
    def fail(self, decision: Fail) -> None:
        """Give a final answer that promises nothing."""
        self._end_with(self._answer or failed(decision), RequestOutcome.FAILED, decision.reason.name)

    @isolated
    def expire(self, decision: Expire) -> None:
        """The time for the request is over."""
        self._call_off()
        self._end_with(expired(ran=decision.may_have_run), RequestOutcome.EXPIRED, "deadline")

    @isolated
    def give_up_attempt(self) -> None:
        """The worker is silent: call the attempt off, and say so."""
        if self._attempt is not None:
            self._end_attempt(Ending.SILENCE)

    @property
    def stream_begun(self) -> bool:
        """Whether the client has got a part of a stream."""
        return self._response.begun

    def worker(self) -> WorkerEntry | None:
        """The worker of the attempt that is out."""
        return None if self._attempt is None else self._attempt.worker

    def open_attempt(self) -> OpenAttempt | None:
        """What tells whether the attempt that is out is overdue, or has gone silent."""
        attempt = self._attempt
        if attempt is None:
            return None
        heard_at = self._loop.time() if self._client_full else attempt.heard_at
        return attempt.open(
            self.job, self.route.event_gap_target_s, heard_at, may_have_run=self._may_have_run()
        )

    @isolated
    def shut_down(self) -> None:
        """The process ends: a request without an answer gets one, a stream is broken off."""
        ran = self._may_have_run()
        self._call_off()
        answer = self._answer or process_ends(ran=ran)
        self._end_with(answer, RequestOutcome.PROCESS_ENDED, "shutting down")

    def _may_have_run(self) -> bool:
        attempt = self._attempt
        return self._ran or attempt is not None and attempt.bytes_sent

    # ---- the client's connection ----

    @isolated
    def client_gone(self) -> None:
        self._response.client_gone()
        self._call_off()
        self._ended(RequestOutcome.CLIENT_LEFT, 0, "")
        self._owner.called_off(self)

    @isolated
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

    @isolated
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
        if not self._authorization.is_valid():
            self._pool.give_back(attempt.worker.instance_id, connection)
            self._withdraw()
            return
        check_tenant(self._request, self._authorization.tenant)
        check_send(self.job, self.trace, attempt, ran=self._ran)
        self._check_drain(attempt)
        attempt.connection = connection
        attempt.bytes_sent = True
        self.trace.sent(self._age_ms())
        now = attempt.sent_at = attempt.heard_at = self._loop.time()
        left_ms = max(1, int((self.job.deadline - now) * 1000))
        instance_id, urgency = attempt.worker.instance_id, attempt.urgency
        raw = self._request.render(instance_id, left_ms, self._response.last_event_id, urgency)
        connection.send(raw, self._request.attempt_id, self, head_only=self._request.head_only)
        if self._client_full:
            connection.pause()

    def _withdraw(self) -> None:
        """The request's key has been taken away, or may have been, since it came."""
        ran = self._may_have_run()
        self._call_off()
        answer = worker_failed() if ran else key_in_doubt()
        self._conclude(answer, RequestOutcome.REFUSED, KEY_IN_DOUBT)
        self._owner.called_off(self)

    def _check_drain(self, attempt: Attempt) -> None:
        instance_id = attempt.worker.instance_id
        since = self._owner.known_to_leave_since(instance_id)
        known_s = 0.0 if since is None else self._loop.time() - since
        check_drain(self._request.attempt_id, instance_id, known_s)

    # ---- the worker's answer ----

    @isolated
    def on_head(self, head: Head) -> None:
        attempt = self._attempt
        assert attempt is not None
        self._heard(attempt)
        check_answer_head(self._request.attempt_id, head)
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

    @isolated
    def on_body(self, piece: memoryview) -> None:
        attempt = self._attempt
        assert attempt is not None
        self._heard(attempt)
        if attempt.splitter is not None:
            self._pass_events(attempt, attempt.splitter, piece)
            return
        assert attempt.body is not None
        attempt.body += piece
        if len(attempt.body) > MOST_WHOLE_ANSWER:
            self._end_attempt(Ending.MALFORMED)

    @isolated
    def on_end(self, *, framed: bool) -> None:
        attempt = self._attempt
        assert attempt is not None
        if attempt.connection is not None:
            self._pool.give_back(attempt.worker.instance_id, attempt.connection)
            attempt.connection = None
        if attempt.splitter is None:
            self._end_of_body(attempt)
        elif framed or not attempt.splitter.pending():
            self._end_of_events(attempt, attempt.splitter)
        else:
            self._end_attempt(Ending.CLOSED)  # in the middle of an event

    @isolated
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
            self.trace.first_byte(self._age_ms())
            self._owner.first_event(self)

    def _pass_events(self, attempt: Attempt, splitter: EventSplitter, piece: memoryview) -> None:
        try:
            events = splitter.feed(piece)
        except EventTooLargeError:
            self._end_attempt(Ending.MALFORMED)
            return
        if events is not None:
            self._check_events(attempt, events)
            check_success(self._request.attempt_id, attempt.status, attempt.fields)
            self._response.pass_on(attempt.status, attempt.fields, events.data, events.last_id)
            self._started()

    def _check_events(self, attempt: Attempt, events: Events) -> None:
        check_events(self._request.attempt_id, self._response.last_event_id, events, goes_on=attempt.started)
        self.trace.last_event_id = events.last_id

    def _end_of_events(self, attempt: Attempt, splitter: EventSplitter) -> None:
        rest = splitter.rest()
        if rest or not self._response.begun:
            self._response.pass_on(attempt.status, attempt.fields, rest, last_event_id(rest))
        if rest:
            self._started()
        self._response.end_stream()
        self._attempt_over(attempt.evidence(Ending.COMPLETE))
        self._ended(RequestOutcome.SERVED, attempt.status, "")
        self._owner.finished(self)

    def _end_of_body(self, attempt: Attempt) -> None:
        evidence = attempt.evidence(Ending.COMPLETE)
        answer = WholeAnswer(status_line(attempt.status), attempt.fields, bytes(attempt.body or b""))
        if is_wrong_instance(evidence):
            self._pool.forget(attempt.worker.instance_id)  # they all lead to another worker
        use = action_for_answer(evidence, self.job.repeat, self._response.begun)
        if use is AnswerAction.NOT_RUN:
            self._attempt_over(evidence)
        elif use is AnswerAction.RETRY:
            self._answer = answer if may_forward(attempt.status) else self._answer
            self._attempt_over(Evidence(Ending.MALFORMED, True, attempt.status))
        else:
            self._attempt_over(Evidence(Ending.COMPLETE, True, attempt.status))
            self._end_with_worker_s(answer, use)

    def _end_with_worker_s(self, answer: WholeAnswer, use: AnswerAction) -> None:
        if use is AnswerAction.FORWARD:
            check_success(self._request.attempt_id, status_of(answer), answer.fields)
            self._end_with(answer, RequestOutcome.SERVED, "")
        else:
            self._end_with(worker_failed(), RequestOutcome.FAILED, "the worker's answer cannot be passed on")

    def _end_attempt(self, ending: Ending) -> None:
        attempt = self._attempt
        assert attempt is not None
        if attempt.connection is not None:
            attempt.connection.close()
        self._attempt_over(attempt.evidence(ending))

    def _attempt_over(self, evidence: Evidence) -> None:
        self._attempt = None
        self.trace.attempt_ended(evidence, self._age_ms())
        self._ran = self._ran or fate_of(evidence) is not Fate.NEVER_RAN
        self._owner.attempt_ended(self, evidence)

    def _call_off(self) -> None:
        attempt = self._attempt
        self._attempt = None
        if attempt is None:
            return
        self._ran = self._ran or attempt.bytes_sent
        self.trace.attempt_ended(attempt.evidence(Ending.ABANDONED), self._age_ms())
        if attempt.connection is not None:
            attempt.connection.close()

    # ---- the end ----

    def _end_with(self, answer: WholeAnswer, outcome: RequestOutcome, reason: str) -> None:
        """This answer, and the end of the request."""
        self._conclude(answer, outcome, reason)
        self._owner.finished(self)

    def _conclude(self, answer: WholeAnswer, outcome: RequestOutcome, reason: str) -> None:
        """This answer, unless a stream has begun: that is broken off."""
        status = status_of(answer)
        if self._response.begun:
            self._response.break_off()
            self._ended(RequestOutcome.BROKEN_OFF, 0, reason)
        else:
            check_final_answer(self.job, self.trace, status, ran=self._ran)
            self._response.answer(answer)
            self._ended(outcome, status, reason)

    def end_broken(self, error: Exception) -> None:
        """Something in here has failed: the client gets no answer, or no more of it."""
        unhandled_errors.record("a request is given up", error, attempt_id=self._request.attempt_id)
        self._call_off()
        self._response.break_off()
        self._ended(RequestOutcome.FAILED, 0, repr(error))
        self._owner.called_off(self)

    def _ended(self, outcome: RequestOutcome, status: int, reason: str) -> None:
        self.trace.ended(outcome, status, reason, self._age_ms())

    def _age_ms(self) -> float:
        return round((self._loop.time() - self.job.arrived) * 1000, 1)
