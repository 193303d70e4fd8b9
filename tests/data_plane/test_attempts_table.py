"""The action after each possible observation of an attempt, over sockets; the page has the same table."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from pathlib import Path

import pytest
from msgspec import Struct

from reedspoke.data_plane import upstream_pool
from reedspoke.decision import attempt_timeout
from tests.data_plane.loopback import LAST_EVENT, Loopback, Script, UnreadListener, WorkerSide, start
from tests.data_plane.wire import SeenAnswer, chunked, event, events
from tests.data_plane.world import IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, SEAL, STREAMING

PAGE = Path(__file__).resolve().parents[2] / "docs" / "attempts.md"
PATHS = (IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAMING)  # In the order of the columns.
NOT_RUN_STATUSES = (408, 421, 429, 503)
NOT_EXECUTED = "Reedspoke-Not-Executed: 1"
CONNECT_TIMEOUT_S = 0.2
MIN_STREAM_TIMEOUT_S = 0.4
LARGE = b"x" * 4_000_000  # More than the kernel buffers for a worker that does not read.
UNREAD_S = 0.05  # For how long a worker does not read.
DEADLINE_MS = "1500"
SHORT_DEADLINE_MS = "100"

# The action, and what the client gets.
RETRIED = "again"  # Another attempt, whose answer the client gets.
FORWARDED = "passed"  # The worker's answer.
BROKEN_OFF = "broken off"  # The client's connection is reset in a stream.


class Case(Struct, frozen=True):
    """An observation and the actions by kind of request, with another worker and without one."""

    observation: str
    script: Script
    with_other: tuple[str, str, str, str]
    alone: tuple[str, str, str, str]
    prepare: Callable[[Loopback], UnreadListener | None] | None = None
    deadline_ms: str = DEADLINE_MS
    has_idle_connection: bool = False  # An earlier request leaves an idle connection.
    body: bytes = b"the question"


NEVER_RAN = ((RETRIED,) * 4, ("503",) * 4)
MAY_HAVE_RUN = ((RETRIED, "502", RETRIED, "502"), ("503", "502", "503", "502"))
AFTER_EVENTS = ((RETRIED, "502", RETRIED, BROKEN_OFF), ("503", "502", BROKEN_OFF, BROKEN_OFF))
ANSWERED = ((FORWARDED,) * 4, (FORWARDED,) * 4)
WORKER_ERROR = ((RETRIED, FORWARDED, RETRIED, FORWARDED), (FORWARDED,) * 4)
UNPROVEN_REFUSAL = (("502",) * 4, ("502",) * 4)
TIMED_OUT = ((RETRIED, "504", RETRIED, "504"), ("503", "504", "503", "504"))
TIMED_OUT_AFTER_EVENTS = ((RETRIED, "504", RETRIED, BROKEN_OFF), ("503", "504", BROKEN_OFF, BROKEN_OFF))
UNSENT_AT_DEADLINE = (("503",) * 4, ("503",) * 4)


async def answer(side: WorkerSide) -> None:
    side.send(side.success_answer())


def sends(make: Callable[[WorkerSide], bytes], then: str = "") -> Script:
    """The worker sends this, and then ends the connection in the given way."""

    async def script(side: WorkerSide) -> None:
        data = make(side)
        if data:
            side.send(data)
        if then:
            await asyncio.sleep(0)
            getattr(side, then)()

    return script


def cut_body(side: WorkerSide) -> bytes:
    """An answer cut in its body, or the first event of a stream."""
    if side.streaming:
        return side.head() + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(event(1), last=False)
    return side.complete_answer(body=b"the answer")[:-3]


def unframed(side: WorkerSide) -> bytes:
    return side.head() + b"\r\n" + side.body()


def unframed_cut_body(side: WorkerSide) -> bytes:
    return side.head() + b"\r\n" + (event(1) if side.streaming else b"the ans")


def not_run_success(side: WorkerSide) -> bytes:
    """A success that claims that the request has not run."""
    return side.complete_answer("200 OK", side.body(), NOT_EXECUTED)


def foreign_then_own(side: WorkerSide) -> bytes:
    return foreign_answer(side) + side.success_answer()


def foreign_answer(side: WorkerSide) -> bytes:
    return side.success_answer().replace(side.attempt_id.encode(), b"another")


def status(line: str, *more: str) -> Script:
    return sends(lambda side: side.complete_answer(line, b"why", *more))


async def end_the_idle_connection(side: WorkerSide) -> None:
    """Closes the connection after the first answer and before the second request."""
    side.send(side.success_answer())
    side.close()


def refuse(loopback: Loopback) -> UnreadListener | None:
    listener = UnreadListener()
    listener.close()
    loopback.pool.first_address = listener.address
    return None


def hang(loopback: Loopback) -> UnreadListener | None:
    listener = UnreadListener(full=True)
    loopback.pool.first_address = listener.address
    return listener


def reset_while_opened(loopback: Loopback) -> UnreadListener | None:
    listener = UnreadListener()
    loopback.pool.first_address = listener.address
    loopback.pool.on_connected = listener.close
    return listener


def reset_unread(loopback: Loopback) -> UnreadListener | None:
    """The kernel has accepted all bytes of the request, and the worker has read none."""
    listener = UnreadListener()
    loopback.pool.first_address = listener.address
    loop = asyncio.get_running_loop()

    def close_soon() -> None:
        loop.call_later(UNREAD_S, listener.close)

    loopback.pool.on_connected = close_soon
    return listener


CASES = [
    Case("connection refused", answer, *NEVER_RAN, prepare=refuse),
    Case("connection timed out", answer, *NEVER_RAN, prepare=hang),
    Case("deadline while connecting", answer, *UNSENT_AT_DEADLINE, hang, SHORT_DEADLINE_MS),
    Case("reset before a byte was sent", answer, *NEVER_RAN, prepare=reset_while_opened),
    Case(
        "idle connection ended before a byte was sent",
        end_the_idle_connection, (RETRIED,) * 4, (RETRIED,) * 4, has_idle_connection=True,
    ),
    Case("reset, all bytes taken by the system and none read", answer, *MAY_HAVE_RUN, prepare=reset_unread),
    Case("reset while the body was being sent", answer, *MAY_HAVE_RUN, prepare=reset_unread, body=LARGE),
    Case("reset after the whole request", sends(lambda side: b"", "reset"), *MAY_HAVE_RUN),
    Case("closed after the whole request", sends(lambda side: b"", "close"), *MAY_HAVE_RUN),
    Case("half-closed after the whole request", sends(lambda side: b"", "half_close"), *MAY_HAVE_RUN),
    Case("reset in the head", sends(lambda side: side.success_answer()[:30], "reset"), *MAY_HAVE_RUN),
    Case("closed in the head", sends(lambda side: side.success_answer()[:30], "close"), *MAY_HAVE_RUN),
    Case("reset in the body", sends(cut_body, "reset"), *AFTER_EVENTS),
    Case("closed in the body", sends(cut_body, "close"), *AFTER_EVENTS),
    Case("no length, reset", sends(unframed_cut_body, "reset"), *AFTER_EVENTS),
    Case("no length, closed in order", sends(unframed, "close"), *ANSWERED),
    Case("silence after the whole request", sends(lambda side: b""), *TIMED_OUT),
    Case("silence in the body", sends(cut_body), *TIMED_OUT_AFTER_EVENTS),
    Case("503 with Not-Executed", status("503 Service Unavailable", NOT_EXECUTED), *NEVER_RAN),
    Case("429 with Not-Executed", status("429 Too Many Requests", NOT_EXECUTED), *NEVER_RAN),
    Case("421", status("421 Misdirected Request"), *NEVER_RAN),
    Case("400 with Not-Executed", status("400 Bad Request", NOT_EXECUTED), *ANSWERED),
    Case("503 without it", status("503 Service Unavailable"), *MAY_HAVE_RUN),
    Case("429 without it", status("429 Too Many Requests"), *UNPROVEN_REFUSAL),
    Case("500", status("500 Internal Server Error"), *WORKER_ERROR),
    Case("504 of the worker", status("504 Gateway Timeout"), *ANSWERED),
    Case("404", status("404 Not Found"), *ANSWERED),
    Case("2xx without seal", sends(lambda side: side.complete_answer(seal=False)), *MAY_HAVE_RUN),
    Case("2xx with Not-Executed", sends(not_run_success), *ANSWERED),
    Case("bytes that are no answer", sends(lambda side: b"garbage\r\n"), *MAY_HAVE_RUN),
    Case("answer to another request, then the end", sends(foreign_answer, "close"), *MAY_HAVE_RUN),
    Case("answer to another request, then ours", sends(foreign_then_own), *ANSWERED),
    Case("bytes behind the whole answer", sends(lambda side: side.success_answer() + b"surplus"), *ANSWERED),
]  # fmt: skip


@pytest.fixture(autouse=True)
def _short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_pool, "CONNECT_TIMEOUT_S", CONNECT_TIMEOUT_S)
    monkeypatch.setattr(attempt_timeout, "MIN_STREAM_TIMEOUT_S", MIN_STREAM_TIMEOUT_S)


def is_complete_success(path: str, answer: SeenAnswer) -> bool:
    body = events(1, LAST_EVENT) if path in (STREAMING, RESUMABLE) else b"the answer"
    return (answer.status, answer.body, answer.is_complete) == (200, body, True)


def check(path: str, case: Case, expected: str, loopback: Loopback, answer: SeenAnswer | None) -> None:
    where = f"{case.observation}, {path}, {expected}: {answer}, {len(loopback.requests)} requests at workers"
    assert answer is not None, where
    if expected == RETRIED:
        assert is_complete_success(path, answer), where
        assert answer.get("reedspoke-response-seal") == SEAL
    elif expected == FORWARDED:
        assert answer.is_complete, where
        assert answer.get("reedspoke-response-seal") == SEAL
        assert answer.status in (200, 400, 404, 500, 504)
        assert answer.status >= 400 or is_complete_success(path, answer)
    elif expected == BROKEN_OFF:
        assert not answer.is_complete, where
        assert answer.body == event(1)
    else:
        assert (answer.status, answer.is_complete) == (int(expected), True), where
        assert answer.get("reedspoke-response-seal") is None
    if path in (NON_IDEMPOTENT, STREAMING) and (expected in ("502", "504", FORWARDED, BROKEN_OFF)):
        most = 0 if case.prepare is reset_unread else 1  # There the first worker reads nothing.
        assert len(loopback.requests) <= most, where
    assert loopback.forwarder.open_exchange_count() == 0, where


async def run_case(case: Case, path: str, expected: str, workers: int) -> None:
    loopback = await start(case.script, workers)
    try:
        if case.has_idle_connection:
            assert await loopback.request(path, "a0") is not None
        listener = case.prepare(loopback) if case.prepare is not None else None
        answer = await loopback.request(path, "a1", case.body, Reedspoke_Deadline_Ms=case.deadline_ms)
        check(path, case, expected, loopback, answer)
        if listener is not None:
            listener.close()
    finally:
        loopback.close()


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.observation.replace(" ", "_"))
def test_action_after_each_observation(case: Case) -> None:
    async def all_kinds() -> None:
        runs = [run_case(case, path, case.with_other[at], 2) for at, path in enumerate(PATHS)]
        runs += [run_case(case, path, case.alone[at], 1) for at, path in enumerate(PATHS)]
        await asyncio.gather(*runs)

    asyncio.run(all_kinds())


def test_no_case_claims_that_a_request_that_may_have_run_has_not() -> None:
    for case in CASES:
        for at, path in enumerate(PATHS):
            outcomes = (case.with_other[at], case.alone[at])
            claims_not_run = any(
                outcome.isdigit() and int(outcome) in NOT_RUN_STATUSES for outcome in outcomes
            )
            if path in (NON_IDEMPOTENT, STREAMING) and claims_not_run:
                proven = RETRIED in outcomes or case.prepare is hang
                assert proven, f"{case.observation}: {path}"


def rows_of_page() -> list[tuple[str, ...]]:
    table = re.findall(r"^\| (.+) \|$", PAGE.read_text(), re.MULTILINE)
    rows = [tuple(cell.strip() for cell in line.split(" | ")) for line in table]
    return rows[2:]  # Without the header row and its separator.


def test_the_page_has_the_same_table() -> None:
    expected = [
        (case.observation, *(f"{other}, {alone}" if other != alone else other for other, alone in pairs))
        for case in CASES
        for pairs in [zip(case.with_other, case.alone, strict=True)]
    ]
    assert rows_of_page() == expected
