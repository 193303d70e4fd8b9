"""Guards of an exchange, one at a time: the test acts as dispatcher, worker and client."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.data_plane import exchange
from reedspoke.data_plane.answers import CompleteAnswer
from reedspoke.data_plane.client_connection import ClientRequest
from reedspoke.data_plane.exchange import Exchange
from reedspoke.data_plane.route_table import CompiledRoute, SplitTarget
from reedspoke.data_plane.upstream_connection import AnswerListener, UpstreamConnection
from reedspoke.data_plane.upstream_pool import ConnectResult
from reedspoke.decision.answer_action import may_forward
from reedspoke.decision.attempt_fate import Ending, Evidence, cause_of
from reedspoke.decision.messages import (
    Cause,
    Fail,
    FailReason,
    Job,
    Refuse,
    RefuseReason,
    Repeat,
    WorkerEntry,
)
from reedspoke.net.http import Head
from tests.data_plane.virtual_loop import VirtualLoop

DEADLINE_S = 20.0
ROUTE = CompiledRoute("r", "/x/", True, True, True, DEADLINE_S, 1.0, 1, 3, False, (SplitTarget("u1", 1.0),))
FIRST, SECOND = (
    WorkerEntry(instance_id=name, upstream="u1", address=f"{name}:80", zone="za", capacity=8)
    for name in ("i-1", "i-2")
)
OVERLOAD = Refuse(1, 1.0, RefuseReason.OVERLOAD)
BUDGET_SPENT = Fail(1, FailReason.BUDGET)


class ClientStandIn:
    """Records what the exchange writes."""

    def __init__(self) -> None:
        self.answers: list[CompleteAnswer] = []
        self.pieces: list[bytes] = []
        self.aborted = False

    def send_answer(self, answer: CompleteAnswer) -> None:
        self.answers.append(answer)

    def start_stream(self, status_line: bytes, fields: bytes, first: bytes) -> None:
        self.pieces.append(first)

    def write_piece(self, piece: bytes) -> None:
        self.pieces.append(piece)

    def abort(self) -> None:
        self.aborted = True


class OwnerStandIn:
    """Records how attempts ended."""

    def __init__(self) -> None:
        self.ended: list[Evidence] = []

    def data_received(self, exchange: Exchange) -> None:
        """Does nothing: no time-outs are tested."""

    def answer_started(self, exchange: Exchange) -> None:
        """Does nothing: no worker statistics are tested."""

    def attempt_ended(self, exchange: Exchange, evidence: Evidence) -> None:
        self.ended.append(evidence)

    def exchange_finished(self, exchange: Exchange) -> None:
        """Does nothing: tests check what the client receives."""

    def exchange_aborted(self, exchange: Exchange) -> None:
        """Does nothing: tests check what the client receives."""

    def unavailable_since(self, instance_id: str) -> float | None:
        """Every worker is available."""
        return None


class ConnectionStandIn(UpstreamConnection):
    """A connection without received data; records what is sent."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.sent: list[bytes] = []

    def is_healthy(self) -> bool:
        return True

    def send(
        self, request: bytes, attempt_id: str, listener: AnswerListener, *, head_only: bool = False
    ) -> None:
        self.sent.append(request)

    def close(self) -> None:
        """Does nothing, as there is no transport."""


class PoolStandIn:
    """A pool without idle connections; the test establishes the requested ones."""

    def __init__(self) -> None:
        self.connecting: list[Callable[[ConnectResult], None]] = []
        self.released: list[str] = []
        self.closed_idle: list[str] = []

    def take_idle(self, instance_id: str) -> None:
        return None

    def connect(self, address: str, on_result: Callable[[ConnectResult], None]) -> None:
        self.connecting.append(on_result)

    def close_idle(self, instance_id: str) -> None:
        self.closed_idle.append(instance_id)

    def release(self, instance_id: str, connection: UpstreamConnection) -> None:
        self.released.append(instance_id)


class ExchangeHarness:
    """An exchange with stand-ins of its owner, pool, client and workers."""

    def __init__(self, repeat: Repeat = Repeat.RESUMABLE) -> None:
        self.loop = VirtualLoop()
        self.client = ClientStandIn()
        self.owner = OwnerStandIn()
        self.pool = PoolStandIn()
        head = Head(1, b"POST", memoryview(b"/x/1"), fields=[(b"reedspoke-attempt-id", memoryview(b"a1"))])
        job = Job(
            job_id=1,
            route="r",
            upstream="u1",
            priority=1,
            repeat=repeat,
            latency_target_s=1.0,
            deadline=self.loop.time() + DEADLINE_S,
            max_attempts=2,
            arrived=self.loop.time(),
        )
        self.exchange = Exchange(
            self.owner,
            self.loop,
            self.pool,  # type: ignore[arg-type]
            ClientRequest(head, b"question", self.loop.time()),
            self.client,  # type: ignore[arg-type]
            ROUTE,
            job,
        )

    def establish_connection(self) -> ConnectionStandIn:
        """Establishes the connection that was requested first."""
        connection = ConnectionStandIn(self.loop)
        self.pool.connecting.pop(0)(connection)
        return connection

    def answer_from_worker(self, status: int, body: bytes = b"why") -> None:
        """A worker sends a complete answer of this status, without proof that the request has not run."""
        self.exchange.send(FIRST)
        self.establish_connection()
        self.exchange.on_head(Head(1, status=status))
        self.exchange.on_body(memoryview(body))
        self.exchange.on_end(framed=True)

    def fail_worker(self, body: bytes) -> None:
        """A worker answers 500; the exchange keeps that answer and reports the end of the attempt."""
        self.answer_from_worker(500, body)
        assert len(self.owner.ended) == 1
        assert self.client.answers == []

    def forward_event_then_time_out(self) -> None:
        """A worker's first event reaches the client, then the attempt times out."""
        self.exchange.send(FIRST)
        self.establish_connection()
        sealed = [
            (b"reedspoke-response-seal", memoryview(b"seal")),
            (b"reedspoke-attempt-id", memoryview(b"a1")),
        ]
        self.exchange.on_head(Head(1, status=200, fields=sealed))
        self.exchange.on_body(memoryview(b"id: 1\ndata: x\n\n"))
        self.exchange.time_out_attempt()
        assert self.client.pieces == [b"id: 1\ndata: x\n\n"]


@pytest.fixture
def make_harness() -> Iterator[Callable[[Repeat], ExchangeHarness]]:
    harnesses: list[ExchangeHarness] = []

    def make(repeat: Repeat) -> ExchangeHarness:
        harnesses.append(ExchangeHarness(repeat))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.loop.close()


@pytest.fixture
def harness(make_harness: Callable[[Repeat], ExchangeHarness]) -> ExchangeHarness:
    return make_harness(Repeat.RESUMABLE)


def _status(answer: CompleteAnswer) -> int:
    return int(answer.status_line.split()[1])


def _error_code(answer: CompleteAnswer) -> int:
    code = json.loads(answer.body)["error"]["code"]
    assert isinstance(code, int)
    return code


def test_a_started_answer_is_aborted_and_not_followed_by_a_refusal(harness: ExchangeHarness) -> None:
    harness.forward_event_then_time_out()
    harness.exchange.refuse(OVERLOAD)
    assert harness.client.aborted
    assert harness.client.answers == []


def test_a_started_answer_is_aborted_when_the_retry_budget_is_spent(harness: ExchangeHarness) -> None:
    harness.forward_event_then_time_out()
    harness.exchange.fail(BUDGET_SPENT)
    assert harness.client.aborted
    assert harness.client.answers == []


def test_a_workers_error_is_forwarded_in_place_of_a_refusal(harness: ExchangeHarness) -> None:
    harness.fail_worker(b"why")
    harness.exchange.refuse(OVERLOAD)
    (answer,) = harness.client.answers
    assert (answer.status_line.split()[1], answer.body) == (b"500", b"why")


def test_a_workers_error_is_forwarded_when_the_retry_budget_is_spent(harness: ExchangeHarness) -> None:
    harness.fail_worker(b"why")
    harness.exchange.fail(BUDGET_SPENT)
    (answer,) = harness.client.answers
    assert (answer.status_line.split()[1], answer.body) == (b"500", b"why")


def test_without_any_answer_a_spent_retry_budget_is_reported(harness: ExchangeHarness) -> None:
    harness.exchange.fail(BUDGET_SPENT)
    (answer,) = harness.client.answers
    assert _error_code(answer) == ErrorCode.RETRY_BUDGET


def test_a_connection_established_late_is_kept_for_its_own_worker(harness: ExchangeHarness) -> None:
    harness.exchange.send(FIRST)
    harness.exchange.time_out_attempt()
    harness.exchange.send(SECOND)
    late = harness.establish_connection()
    assert late.sent == []
    assert harness.pool.released == [FIRST.instance_id]
    assert len(harness.establish_connection().sent) == 1


def test_no_byte_counts_as_sent_before_the_connection_is_established(harness: ExchangeHarness) -> None:
    harness.exchange.send(FIRST)
    attempt = harness.exchange.open_attempt()
    assert attempt is not None
    assert not attempt.connected
    harness.exchange.time_out_attempt()
    assert not harness.owner.ended[0].bytes_sent


def test_an_answer_that_is_too_long_ends_its_attempt(
    harness: ExchangeHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(exchange, "MAX_BUFFERED_ANSWER_BYTES", 10)
    harness.exchange.send(FIRST)
    harness.establish_connection()
    harness.exchange.on_head(Head(1, status=500))
    harness.exchange.on_body(memoryview(b"0123456789"))
    assert harness.owner.ended == []
    harness.exchange.on_body(memoryview(b"0"))
    assert [evidence.ending for evidence in harness.owner.ended] == [Ending.MALFORMED]


def test_a_request_for_another_instance_goes_to_another_worker(harness: ExchangeHarness) -> None:
    harness.answer_from_worker(421)
    assert harness.client.answers == []
    (evidence,) = harness.owner.ended
    assert cause_of(evidence) is Cause.WRONG_INSTANCE
    assert harness.pool.closed_idle == [FIRST.instance_id], (
        "its idle connections lead to the other instance too"
    )


def test_a_workers_error_does_not_close_its_idle_connections(harness: ExchangeHarness) -> None:
    harness.answer_from_worker(500)
    assert harness.pool.closed_idle == []


def test_at_shutdown_a_request_that_was_sent_may_have_run(harness: ExchangeHarness) -> None:
    harness.exchange.send(FIRST)
    harness.establish_connection()
    harness.exchange.shut_down()
    assert [may_forward(_status(answer)) for answer in harness.client.answers] == [True]


def test_at_shutdown_a_request_that_was_not_sent_gets_a_503(harness: ExchangeHarness) -> None:
    harness.exchange.send(FIRST)
    harness.exchange.shut_down()
    assert [_status(answer) for answer in harness.client.answers] == [503]


@pytest.mark.parametrize(("repeat", "forwarded"), [(Repeat.NEVER, True), (Repeat.IDEMPOTENT, False)])
def test_a_workers_error_is_forwarded_at_once_if_nothing_may_be_repeated(
    make_harness: Callable[[Repeat], ExchangeHarness], repeat: Repeat, forwarded: bool
) -> None:
    harness = make_harness(repeat)
    harness.answer_from_worker(500)
    assert bool(harness.client.answers) is forwarded


@pytest.mark.parametrize(("repeat", "aborted"), [(Repeat.IDEMPOTENT, True), (Repeat.RESUMABLE, False)])
def test_a_started_answer_continues_only_if_it_can_be_resumed(
    make_harness: Callable[[Repeat], ExchangeHarness], repeat: Repeat, aborted: bool
) -> None:
    harness = make_harness(repeat)
    harness.forward_event_then_time_out()
    harness.answer_from_worker(500)
    assert harness.client.aborted is aborted
    assert harness.client.answers == []


@pytest.mark.parametrize("status", [200, 404, 408, 421, 429, 500, 502, 503, 504])
def test_statuses_that_claim_not_run_are_not_forwarded(status: int) -> None:
    assert may_forward(status) is (status not in (408, 421, 429, 503))
