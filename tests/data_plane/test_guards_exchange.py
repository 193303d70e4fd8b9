"""Guards of an exchange, one at a time: the dispatcher, the worker and the client are the test."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.data_plane import exchange
from reedspoke.data_plane.answers import WholeAnswer
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
    """Notes what the exchange writes."""

    def __init__(self) -> None:
        self.answers: list[WholeAnswer] = []
        self.pieces: list[bytes] = []
        self.aborted = False

    def answer_whole(self, answer: WholeAnswer) -> None:
        self.answers.append(answer)

    def begin_stream(self, status_line: bytes, fields: bytes, first: bytes) -> None:
        self.pieces.append(first)

    def write_piece(self, piece: bytes) -> None:
        self.pieces.append(piece)

    def abort(self) -> None:
        self.aborted = True


class OwnerStandIn:
    """Notes how attempts have ended."""

    def __init__(self) -> None:
        self.ended: list[Evidence] = []

    def progress(self, exchange: Exchange) -> None:
        """Nothing is timed."""

    def first_event(self, exchange: Exchange) -> None:
        """Nothing is learned of workers."""

    def attempt_ended(self, exchange: Exchange, evidence: Evidence) -> None:
        self.ended.append(evidence)

    def finished(self, exchange: Exchange) -> None:
        """The test sees it at the client."""

    def called_off(self, exchange: Exchange) -> None:
        """The test sees it at the client."""

    def known_to_leave_since(self, instance_id: str) -> float | None:
        """No worker leaves."""
        return None


class ConnectionStandIn(UpstreamConnection):
    """A connection on which nothing has come; what is sent is kept."""

    def __init__(self, loop: VirtualLoop) -> None:
        super().__init__(loop)
        self.sent: list[bytes] = []

    def is_quiet(self) -> bool:
        return True

    def send(
        self, request: bytes, attempt_id: str, listener: AnswerListener, *, head_only: bool = False
    ) -> None:
        self.sent.append(request)

    def close(self) -> None:
        """There is no transport."""


class PoolStandIn:
    """Has no idle connection; those that are asked for come up when the test says so."""

    def __init__(self) -> None:
        self.connecting: list[Callable[[ConnectResult], None]] = []
        self.given_back: list[str] = []
        self.forgotten: list[str] = []

    def take_idle(self, instance_id: str) -> None:
        return None

    def connect(self, address: str, done: Callable[[ConnectResult], None]) -> None:
        self.connecting.append(done)

    def forget(self, instance_id: str) -> None:
        self.forgotten.append(instance_id)

    def give_back(self, instance_id: str, connection: UpstreamConnection) -> None:
        self.given_back.append(instance_id)


class Scene:
    """An exchange between stand-ins."""

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

    def connected(self) -> ConnectionStandIn:
        """The connection that was asked for first comes up."""
        connection = ConnectionStandIn(self.loop)
        self.pool.connecting.pop(0)(connection)
        return connection

    def worker_answers(self, status: int, body: bytes = b"why") -> None:
        """A worker answers whole, with this status and without any proof that it has not run the request."""
        self.exchange.send(FIRST)
        self.connected()
        self.exchange.on_head(Head(1, status=status))
        self.exchange.on_body(memoryview(body))
        self.exchange.on_end(framed=True)

    def worker_fails(self, body: bytes) -> None:
        """A worker answers 500; the exchange keeps that answer and asks for another attempt."""
        self.worker_answers(500, body)
        assert len(self.owner.ended) == 1
        assert self.client.answers == []

    def events_pass(self) -> None:
        """A worker's first event reaches the client, then its connection is given up."""
        self.exchange.send(FIRST)
        self.connected()
        sealed = [
            (b"reedspoke-response-seal", memoryview(b"seal")),
            (b"reedspoke-attempt-id", memoryview(b"a1")),
        ]
        self.exchange.on_head(Head(1, status=200, fields=sealed))
        self.exchange.on_body(memoryview(b"id: 1\ndata: x\n\n"))
        self.exchange.give_up_attempt()
        assert self.client.pieces == [b"id: 1\ndata: x\n\n"]


@pytest.fixture
def scenes() -> Iterator[Callable[[Repeat], Scene]]:
    made: list[Scene] = []

    def make(repeat: Repeat) -> Scene:
        made.append(Scene(repeat))
        return made[-1]

    yield make
    for scene in made:
        scene.loop.close()


@pytest.fixture
def scene(scenes: Callable[[Repeat], Scene]) -> Scene:
    return scenes(Repeat.RESUMABLE)


def _status(answer: WholeAnswer) -> int:
    return int(answer.status_line.split()[1])


def _error_code(answer: WholeAnswer) -> int:
    code = json.loads(answer.body)["error"]["code"]
    assert isinstance(code, int)
    return code


def test_an_answer_that_has_begun_is_broken_off_and_not_followed_by_a_refusal(scene: Scene) -> None:
    scene.events_pass()
    scene.exchange.refuse(OVERLOAD)
    assert scene.client.aborted
    assert scene.client.answers == []


def test_an_answer_that_has_begun_is_broken_off_when_the_budget_is_spent(scene: Scene) -> None:
    scene.events_pass()
    scene.exchange.fail(BUDGET_SPENT)
    assert scene.client.aborted
    assert scene.client.answers == []


def test_a_worker_s_error_is_passed_on_in_place_of_a_refusal(scene: Scene) -> None:
    scene.worker_fails(b"why")
    scene.exchange.refuse(OVERLOAD)
    (answer,) = scene.client.answers
    assert (answer.status_line.split()[1], answer.body) == (b"500", b"why")


def test_a_worker_s_error_is_passed_on_when_the_budget_is_spent(scene: Scene) -> None:
    scene.worker_fails(b"why")
    scene.exchange.fail(BUDGET_SPENT)
    (answer,) = scene.client.answers
    assert (answer.status_line.split()[1], answer.body) == (b"500", b"why")


def test_without_any_answer_a_spent_budget_is_told(scene: Scene) -> None:
    scene.exchange.fail(BUDGET_SPENT)
    (answer,) = scene.client.answers
    assert _error_code(answer) == ErrorCode.RETRY_BUDGET


def test_a_connection_that_comes_up_late_is_kept_for_its_own_worker(scene: Scene) -> None:
    scene.exchange.send(FIRST)
    scene.exchange.give_up_attempt()
    scene.exchange.send(SECOND)
    late = scene.connected()
    assert late.sent == []
    assert scene.pool.given_back == [FIRST.instance_id]
    assert len(scene.connected().sent) == 1


def test_nothing_of_a_request_has_left_before_its_connection_is_up(scene: Scene) -> None:
    scene.exchange.send(FIRST)
    attempt = scene.exchange.open_attempt()
    assert attempt is not None
    assert not attempt.connected
    scene.exchange.give_up_attempt()
    assert not scene.owner.ended[0].bytes_sent


def test_an_answer_that_is_too_long_ends_its_attempt(scene: Scene, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(exchange, "MOST_WHOLE_ANSWER", 10)
    scene.exchange.send(FIRST)
    scene.connected()
    scene.exchange.on_head(Head(1, status=500))
    scene.exchange.on_body(memoryview(b"0123456789"))
    assert scene.owner.ended == []
    scene.exchange.on_body(memoryview(b"0"))
    assert [evidence.ending for evidence in scene.owner.ended] == [Ending.MALFORMED]


def test_a_request_for_another_instance_goes_to_another_worker(scene: Scene) -> None:
    scene.worker_answers(421)
    assert scene.client.answers == []
    (evidence,) = scene.owner.ended
    assert cause_of(evidence) is Cause.WRONG_INSTANCE
    assert scene.pool.forgotten == [FIRST.instance_id], "its idle connections lead to the other instance too"


def test_an_error_of_a_worker_leaves_its_idle_connections(scene: Scene) -> None:
    scene.worker_answers(500)
    assert scene.pool.forgotten == []


def test_at_the_end_of_the_process_a_request_that_a_worker_has_is_promised_nothing(scene: Scene) -> None:
    scene.exchange.send(FIRST)
    scene.connected()
    scene.exchange.shut_down()
    assert [may_forward(_status(answer)) for answer in scene.client.answers] == [True]


def test_at_the_end_of_the_process_a_request_that_has_not_left_may_be_sent_again(scene: Scene) -> None:
    scene.exchange.send(FIRST)
    scene.exchange.shut_down()
    assert [_status(answer) for answer in scene.client.answers] == [503]


@pytest.mark.parametrize(("repeat", "passed_on"), [(Repeat.NEVER, True), (Repeat.IDEMPOTENT, False)])
def test_a_worker_s_error_is_passed_on_at_once_where_nothing_may_be_repeated(
    scenes: Callable[[Repeat], Scene], repeat: Repeat, passed_on: bool
) -> None:
    scene = scenes(repeat)
    scene.worker_answers(500)
    assert bool(scene.client.answers) is passed_on


@pytest.mark.parametrize(("repeat", "broken_off"), [(Repeat.IDEMPOTENT, True), (Repeat.RESUMABLE, False)])
def test_an_answer_that_has_begun_goes_on_only_where_it_can_be_resumed(
    scenes: Callable[[Repeat], Scene], repeat: Repeat, broken_off: bool
) -> None:
    scene = scenes(repeat)
    scene.events_pass()
    scene.worker_answers(500)
    assert scene.client.aborted is broken_off
    assert scene.client.answers == []


@pytest.mark.parametrize("status", [200, 404, 408, 421, 429, 500, 502, 503, 504])
def test_statuses_that_promise_are_not_passed_on(status: int) -> None:
    assert may_forward(status) is (status not in (408, 421, 429, 503))
