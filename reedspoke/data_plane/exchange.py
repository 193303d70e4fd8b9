"""One client request and its attempts at workers, from the complete request to the end of its answer.

An exchange executes the decisions of the dispatcher, and reports to its owner what it observed of each
attempt: an `Evidence`. Only `decision.attempt_fate` decides from it whether the request ran at the worker.
"""

from __future__ import annotations

import asyncio

from reedspoke.common.unhandled_errors import unhandled_errors
from reedspoke.data_plane.answer_reader import SUCCESS_STATUS
from reedspoke.data_plane.answers import (
    CompleteAnswer,
    expired_answer,
    failed_answer,
    refused_answer,
    shutdown_answer,
    status_of,
    unconfirmed_key_answer,
    worker_failed_answer,
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
from reedspoke.data_plane.exchange_owner import ExchangeOwner, contain_errors
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

# Answers other than streams are buffered completely before they are forwarded; larger ones are malformed.
MAX_BUFFERED_ANSWER_BYTES = 8 * 1024 * 1024
STATUS_OK = 200
# The reason in the request log if it cannot be confirmed that the API key is still valid.
KEY_IN_DOUBT_REASON = "key in doubt"


class Exchange:
    """Sends a request to workers, one attempt at a time, and forwards a worker's answer to the client."""

    def __init__(
        self,
        owner: ExchangeOwner,
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
        self._attempts = 0  # The number of attempts started, which is also the number of the latest one.
        # The latest worker error that may be forwarded. If all further attempts fail, the client gets it in
        # place of an error of this scheduler.
        self._last_error_answer: CompleteAnswer | None = None
        self._earlier_may_have_run = False  # Whether an attempt that has ended may have run.
        self._client_paused = False  # The write buffer towards the client is full.
        self.trace = RequestTrace(self._request.attempt_id) if trace is None else trace

    # ---- decisions of the dispatcher ----

    @contain_errors
    def send(self, worker: WorkerEntry, urgency: int | None = None, avoided: tuple[str, ...] = ()) -> None:
        """Starts an attempt at a worker.

        `urgency` is sent to the worker in the Priority field; None sends no field. `avoided` are the workers
        that the dispatcher passed over as suspect, for the request log. A stream that cannot be resumed is
        aborted, because another run would start again at the first event.
        """
        if not self._response.resumable:
            self._response.abort()
            self._record_end(RequestOutcome.BROKEN_OFF, 0, "the stream has no event ids to resume after")
            self._owner.exchange_aborted(self)
            return
        self._attempts += 1
        now = self._loop.time()
        self.trace.attempt_started(worker.instance_id, worker.address, self._age_ms(), avoided)
        self._attempt = Attempt(worker, self._attempts, urgency, self._request.version_requested, now, now)
        connection = self._pool.take_idle(worker.instance_id)
        if connection is not None:
            self._transmit(connection)
            return
        number = self._attempts
        self._pool.connect(worker.address, lambda result: self._connected(number, worker, result))

    @contain_errors
    def refuse(self, decision: Refuse) -> None:
        """Sends the final answer to a request that has not run or may be repeated."""
        self._finish_with(
            self._last_error_answer or refused_answer(decision), RequestOutcome.REFUSED, decision.reason.name
        )

    @contain_errors
    def fail(self, decision: Fail) -> None:
        """Sends the final answer to a request that may have run and must not be repeated."""
        self._finish_with(
            self._last_error_answer or failed_answer(decision), RequestOutcome.FAILED, decision.reason.name
        )

    @contain_errors
    def expire(self, decision: Expire) -> None:
        """Cancels the attempt and sends the final answer, as the deadline has passed."""
        self._cancel_attempt()
        self._finish_with(
            expired_answer(may_have_run=decision.may_have_run), RequestOutcome.EXPIRED, "deadline"
        )

    @contain_errors
    def time_out_attempt(self) -> None:
        """Ends the attempt in flight, which has timed out without data from the worker."""
        if self._attempt is not None:
            self._abort_attempt(Ending.SILENCE)

    @property
    def stream_started(self) -> bool:
        """Whether a part of a stream has been forwarded to the client."""
        return self._response.started

    def worker(self) -> WorkerEntry | None:
        """The worker of the attempt in flight; None without one."""
        return None if self._attempt is None else self._attempt.worker

    def open_attempt(self) -> OpenAttempt | None:
        """The attempt in flight, for the checks of time-outs and deadlines; None without one.

        While the client's buffer is full nothing is read from the worker, so the attempt does not time out.
        """
        attempt = self._attempt
        if attempt is None:
            return None
        last_received_at = self._loop.time() if self._client_paused else attempt.last_received_at
        return attempt.as_open_attempt(
            self.job, self.route.event_gap_target_s, last_received_at, may_have_run=self._may_have_run()
        )

    @contain_errors
    def shut_down(self) -> None:
        """Ends the request at process shutdown: sends a final answer, or aborts a stream that has started."""
        may_have_run = self._may_have_run()
        self._cancel_attempt()
        answer = self._last_error_answer or shutdown_answer(may_have_run=may_have_run)
        self._finish_with(answer, RequestOutcome.PROCESS_ENDED, "shutting down")

    def _may_have_run(self) -> bool:
        attempt = self._attempt
        return self._earlier_may_have_run or attempt is not None and attempt.bytes_sent

    # ---- events of the client's connection ----

    @contain_errors
    def client_disconnected(self) -> None:
        """Cancels the request."""
        self._response.client_disconnected()
        self._cancel_attempt()
        self._record_end(RequestOutcome.CLIENT_LEFT, 0, "")
        self._owner.exchange_aborted(self)

    @contain_errors
    def set_writable(self, writable: bool) -> None:
        """Pauses reading from the worker while the client's write buffer is full."""
        self._client_paused = not writable
        attempt = self._attempt
        if attempt is None or attempt.connection is None:
            return
        if writable:
            attempt.last_received_at = self._loop.time()
            attempt.connection.resume()
        else:
            attempt.connection.pause()

    # ---- the attempt ----

    @contain_errors
    def _connected(self, number: int, worker: WorkerEntry, result: ConnectResult) -> None:
        attempt = self._attempt
        if attempt is None or attempt.number != number:
            if isinstance(result, UpstreamConnection):
                self._pool.release(worker.instance_id, result)
            return
        if isinstance(result, ConnectFailure):
            self._abort_attempt(Ending.CONNECT_FAILED)
            return
        # The connection was reset while it was being opened. Nothing was sent on it, and no later event would
        # report its end.
        if not result.is_healthy():
            result.close()
            self._abort_attempt(Ending.CONNECT_FAILED)
            return
        self._transmit(result)

    def _transmit(self, connection: UpstreamConnection) -> None:
        attempt = self._attempt
        assert attempt is not None
        if not self._authorization.is_valid():
            self._pool.release(attempt.worker.instance_id, connection)
            self._refuse_unconfirmed_key()
            return
        check_tenant(self._request, self._authorization.tenant)
        check_send(self.job, self.trace, attempt, may_have_run=self._earlier_may_have_run)
        self._check_drain(attempt)
        attempt.connection = connection
        attempt.bytes_sent = True
        self.trace.attempt_sent(self._age_ms())
        now = attempt.sent_at = attempt.last_received_at = self._loop.time()
        remaining_ms = max(1, int((self.job.deadline - now) * 1000))
        instance_id, urgency = attempt.worker.instance_id, attempt.urgency
        raw = self._request.render(instance_id, remaining_ms, self._response.last_event_id, urgency)
        connection.send(raw, self._request.attempt_id, self, head_only=self._request.head_only)
        if self._client_paused:
            connection.pause()

    def _refuse_unconfirmed_key(self) -> None:
        """Refuses a request whose key has been, or may have been, revoked since the request arrived."""
        may_have_run = self._may_have_run()
        self._cancel_attempt()
        # The answer about the key says that the request has not run, so it is sent only if that is certain.
        answer = worker_failed_answer() if may_have_run else unconfirmed_key_answer()
        self._answer_or_abort(answer, RequestOutcome.REFUSED, KEY_IN_DOUBT_REASON)
        self._owner.exchange_aborted(self)

    def _check_drain(self, attempt: Attempt) -> None:
        """Checks that the worker has not long been known to drain or to be gone."""
        instance_id = attempt.worker.instance_id
        since = self._owner.unavailable_since(instance_id)
        known_s = 0.0 if since is None else self._loop.time() - since
        check_drain(self._request.attempt_id, instance_id, known_s)

    # ---- events of the worker's answer ----

    @contain_errors
    def on_head(self, head: Head) -> None:
        """Handles the head of the answer; a success without Reedspoke-Response-Seal ends the attempt."""
        attempt = self._attempt
        assert attempt is not None
        self._note_received(attempt)
        check_answer_head(self._request.attempt_id, head)
        attempt.status = head.status
        attempt.not_executed = head.get(NOT_EXECUTED) is not None
        attempt.fields = forwarded_answer_fields(head)
        if head.status in SUCCESS_STATUS and head.get(RESPONSE_SEAL) is None:
            # Workers add this field to every success. Without it, any other server may have answered.
            self._abort_attempt(Ending.MALFORMED)
            return
        if head.status == STATUS_OK and self.route.streaming:
            attempt.splitter = EventSplitter()
            return
        attempt.body = bytearray()
        if head.status in SUCCESS_STATUS:
            self._note_answer_started()

    @contain_errors
    def on_body(self, piece: memoryview) -> None:
        """Forwards complete events of a stream; buffers any other body up to its limit."""
        attempt = self._attempt
        assert attempt is not None
        self._note_received(attempt)
        if attempt.splitter is not None:
            self._forward_events(attempt, attempt.splitter, piece)
            return
        assert attempt.body is not None
        attempt.body += piece
        if len(attempt.body) > MAX_BUFFERED_ANSWER_BYTES:
            self._abort_attempt(Ending.MALFORMED)

    @contain_errors
    def on_end(self, *, framed: bool) -> None:
        """Handles a complete body.

        `framed` is false if only the end of the connection delimits the body; a stream must then end at the
        end of an event.
        """
        attempt = self._attempt
        assert attempt is not None
        if attempt.connection is not None:
            self._pool.release(attempt.worker.instance_id, attempt.connection)
            attempt.connection = None
        if attempt.splitter is None:
            self._handle_complete_body(attempt)
        elif framed or not attempt.splitter.pending_bytes():
            self._finish_stream(attempt, attempt.splitter)
        else:
            self._abort_attempt(Ending.CLOSED)

    @contain_errors
    def on_failure(self, failure: Failure) -> None:
        """Handles a connection that failed before the answer was complete."""
        attempt = self._attempt
        if attempt is None:
            return
        attempt.connection = None
        self._abort_attempt(Ending.MALFORMED if failure is Failure.MALFORMED else Ending.CLOSED)

    def _note_received(self, attempt: Attempt) -> None:
        attempt.last_received_at = self._loop.time()
        self._owner.data_received(self)

    def _note_answer_started(self) -> None:
        attempt = self._attempt
        if attempt is not None and not attempt.started:
            attempt.started = True
            self.trace.answer_started(self._age_ms())
            self._owner.answer_started(self)

    def _forward_events(self, attempt: Attempt, splitter: EventSplitter, piece: memoryview) -> None:
        try:
            events = splitter.feed(piece)
        except EventTooLargeError:
            self._abort_attempt(Ending.MALFORMED)
            return
        if events is not None:
            self._check_events(attempt, events)
            check_success(self._request.attempt_id, attempt.status, attempt.fields)
            self._response.forward_events(attempt.status, attempt.fields, events.data, events.last_id)
            self._note_answer_started()

    def _check_events(self, attempt: Attempt, events: Events) -> None:
        check_events(
            self._request.attempt_id, self._response.last_event_id, events, same_attempt=attempt.started
        )
        self.trace.last_event_id = events.last_id

    def _finish_stream(self, attempt: Attempt, splitter: EventSplitter) -> None:
        remainder = splitter.remainder()
        if remainder or not self._response.started:
            self._response.forward_events(attempt.status, attempt.fields, remainder, last_event_id(remainder))
        if remainder:
            self._note_answer_started()
        self._response.end_stream()
        self._record_attempt_end(attempt.evidence(Ending.COMPLETE))
        self._record_end(RequestOutcome.SERVED, attempt.status, "")
        self._owner.exchange_finished(self)

    def _handle_complete_body(self, attempt: Attempt) -> None:
        evidence = attempt.evidence(Ending.COMPLETE)
        answer = CompleteAnswer(status_line(attempt.status), attempt.fields, bytes(attempt.body or b""))
        if is_wrong_instance(evidence):
            # The pool's idle connections for this worker lead to the other instance as well.
            self._pool.close_idle(attempt.worker.instance_id)
        action = action_for_answer(evidence, self.job.repeat, self._response.started)
        if action is AnswerAction.NOT_RUN:
            self._record_attempt_end(evidence)
        elif action is AnswerAction.RETRY:
            self._last_error_answer = answer if may_forward(attempt.status) else self._last_error_answer
            # A complete answer would count as final. Reported as malformed, the attempt may have run, and the
            # dispatcher may retry.
            self._record_attempt_end(Evidence(Ending.MALFORMED, True, attempt.status))
        else:
            # The answer is final. So the mark `not_executed` is left out, which would permit another attempt.
            self._record_attempt_end(Evidence(Ending.COMPLETE, True, attempt.status))
            self._finish_with_worker_answer(answer, action)

    def _finish_with_worker_answer(self, answer: CompleteAnswer, action: AnswerAction) -> None:
        if action is AnswerAction.FORWARD:
            check_success(self._request.attempt_id, status_of(answer), answer.fields)
            self._finish_with(answer, RequestOutcome.SERVED, "")
        else:
            self._finish_with(
                worker_failed_answer(), RequestOutcome.FAILED, "the worker's answer must not be forwarded"
            )

    def _abort_attempt(self, ending: Ending) -> None:
        attempt = self._attempt
        assert attempt is not None
        if attempt.connection is not None:
            attempt.connection.close()
        self._record_attempt_end(attempt.evidence(ending))

    def _record_attempt_end(self, evidence: Evidence) -> None:
        self._attempt = None
        self.trace.attempt_ended(evidence, self._age_ms())
        self._earlier_may_have_run = self._earlier_may_have_run or fate_of(evidence) is not Fate.NEVER_RAN
        self._owner.attempt_ended(self, evidence)

    def _cancel_attempt(self) -> None:
        attempt = self._attempt
        self._attempt = None
        if attempt is None:
            return
        self._earlier_may_have_run = self._earlier_may_have_run or attempt.bytes_sent
        self.trace.attempt_ended(attempt.evidence(Ending.ABANDONED), self._age_ms())
        if attempt.connection is not None:
            attempt.connection.close()

    # ---- the end of the request ----

    def _finish_with(self, answer: CompleteAnswer, outcome: RequestOutcome, reason: str) -> None:
        """Sends the final answer and reports the end of the request."""
        self._answer_or_abort(answer, outcome, reason)
        self._owner.exchange_finished(self)

    def _answer_or_abort(self, answer: CompleteAnswer, outcome: RequestOutcome, reason: str) -> None:
        """Sends the answer, or aborts a stream that has started, and records the end of the request."""
        status = status_of(answer)
        if self._response.started:
            self._response.abort()
            self._record_end(RequestOutcome.BROKEN_OFF, 0, reason)
        else:
            check_final_answer(self.job, self.trace, status, may_have_run=self._earlier_may_have_run)
            self._response.send_answer(answer)
            self._record_end(outcome, status, reason)

    def abort_on_error(self, error: Exception) -> None:
        """Ends the request after an unexpected error; the client's connection is aborted."""
        unhandled_errors.record("a request is aborted", error, attempt_id=self._request.attempt_id)
        self._cancel_attempt()
        self._response.abort()
        self._record_end(RequestOutcome.FAILED, 0, repr(error))
        self._owner.exchange_aborted(self)

    def _record_end(self, outcome: RequestOutcome, status: int, reason: str) -> None:
        self.trace.request_ended(outcome, status, reason, self._age_ms())

    def _age_ms(self) -> float:
        return round((self._loop.time() - self.job.arrived) * 1000, 1)
