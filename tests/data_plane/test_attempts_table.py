"""What is done after each thing that can be seen of an attempt, over sockets; the page has this table."""

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
PATHS = (IDEMPOTENT, NON_IDEMPOTENT, RESUMABLE, STREAMING)  # in the order of the columns
PROMISES = (408, 421, 429, 503)
NOT_EXECUTED = "Reedspoke-Not-Executed: 1"
CONNECT_TIMEOUT_S = 0.2
LEAST_SILENCE_S = 0.4
LARGE = b"x" * 4_000_000  # more than the system takes for a worker that does not read
UNREAD_S = 0.05  # for which a worker does not read
DEADLINE_MS = "1500"
SHORT_DEADLINE_MS = "100"

# What is done and what the client gets.
SENT_AGAIN = "again"  # another attempt, whose answer the client gets
PASSED = "passed"  # the worker's answer
BROKEN_OFF = "broken off"  # a stream's connection ends, and is seen to be incomplete


class Case(Struct, frozen=True):
    """What is done, by kind of request: with another worker at hand, and without one."""

    seen: str
    script: Script
    with_other: tuple[str, str, str, str]
    alone: tuple[str, str, str, str]
    prepare: Callable[[Loopback], UnreadListener | None] | None = None
    deadline_ms: str = DEADLINE_MS
    asked_before: bool = False  # an earlier request leaves an idle connection behind
    body: bytes = b"the question"


NEVER_RAN = ((SENT_AGAIN,) * 4, ("503",) * 4)
MAY_HAVE_RUN = ((SENT_AGAIN, "502", SENT_AGAIN, "502"), ("503", "502", "503", "502"))
AFTER_EVENTS = ((SENT_AGAIN, "502", SENT_AGAIN, BROKEN_OFF), ("503", "502", BROKEN_OFF, BROKEN_OFF))
ANSWERED = ((PASSED,) * 4, (PASSED,) * 4)
WORKER_ERROR = ((SENT_AGAIN, PASSED, SENT_AGAIN, PASSED), (PASSED,) * 4)
UNPROVEN_REFUSAL = (("502",) * 4, ("502",) * 4)
SILENT = ((SENT_AGAIN, "504", SENT_AGAIN, "504"), ("503", "504", "503", "504"))
SILENT_AFTER_EVENTS = ((SENT_AGAIN, "504", SENT_AGAIN, BROKEN_OFF), ("503", "504", BROKEN_OFF, BROKEN_OFF))
UNSENT_AT_DEADLINE = (("503",) * 4, ("503",) * 4)


async def answer(side: WorkerSide) -> None:
    side.send(side.success_answer())


def says(make: Callable[[WorkerSide], bytes], then: str = "") -> Script:
    """The worker says this, and then ends the connection as told."""

    async def script(side: WorkerSide) -> None:
        data = make(side)
        if data:
            side.send(data)
        if then:
            await asyncio.sleep(0)
            getattr(side, then)()

    return script


def begun(side: WorkerSide) -> bytes:
    """An answer with a length or in chunks, cut in its body; of a stream the first event has come."""
    if side.streaming:
        return side.head() + b"Transfer-Encoding: chunked\r\n\r\n" + chunked(event(1), last=False)
    return side.complete_answer(body=b"the answer")[:-3]


def unframed(side: WorkerSide) -> bytes:
    return side.head() + b"\r\n" + side.body()


def unframed_begun(side: WorkerSide) -> bytes:
    return side.head() + b"\r\n" + (event(1) if side.streaming else b"the ans")


def not_run_success(side: WorkerSide) -> bytes:
    """It contradicts itself."""
    return side.complete_answer("200 OK", side.body(), NOT_EXECUTED)


def other_then_ours(side: WorkerSide) -> bytes:
    return of_another(side) + side.success_answer()


def of_another(side: WorkerSide) -> bytes:
    return side.success_answer().replace(side.attempt_id.encode(), b"another")


def status(line: str, *more: str) -> Script:
    return says(lambda side: side.complete_answer(line, b"why", *more))


async def end_the_idle_connection(side: WorkerSide) -> None:
    """After the first answer, and before the second request."""
    side.send(side.success_answer())
    side.close()


def refuse(stage: Loopback) -> UnreadListener | None:
    listener = UnreadListener()
    listener.close()
    stage.pool.first_address = listener.address
    return None


def hang(stage: Loopback) -> UnreadListener | None:
    listener = UnreadListener(full=True)
    stage.pool.first_address = listener.address
    return listener


def reset_as_it_came_up(stage: Loopback) -> UnreadListener | None:
    listener = UnreadListener()
    stage.pool.first_address = listener.address
    stage.pool.on_connected = listener.close
    return listener


def reset_unread(stage: Loopback) -> UnreadListener | None:
    """The system has taken all bytes of the request, and the worker has read none."""
    listener = UnreadListener()
    stage.pool.first_address = listener.address
    loop = asyncio.get_running_loop()

    def close_soon() -> None:
        loop.call_later(UNREAD_S, listener.close)

    stage.pool.on_connected = close_soon
    return listener


CASES = [
    Case("connection refused", answer, *NEVER_RAN, prepare=refuse),
    Case("connection timed out", answer, *NEVER_RAN, prepare=hang),
    Case("deadline while connecting", answer, *UNSENT_AT_DEADLINE, hang, SHORT_DEADLINE_MS),
    Case("reset before a byte was sent", answer, *NEVER_RAN, prepare=reset_as_it_came_up),
    Case(
        "idle connection ended before a byte was sent",
        end_the_idle_connection, (SENT_AGAIN,) * 4, (SENT_AGAIN,) * 4, asked_before=True,
    ),
    Case("reset, all bytes taken by the system and none read", answer, *MAY_HAVE_RUN, prepare=reset_unread),
    Case("reset while the body was being sent", answer, *MAY_HAVE_RUN, prepare=reset_unread, body=LARGE),
    Case("reset after the whole request", says(lambda side: b"", "reset"), *MAY_HAVE_RUN),
    Case("closed after the whole request", says(lambda side: b"", "close"), *MAY_HAVE_RUN),
    Case("half-closed after the whole request", says(lambda side: b"", "half_close"), *MAY_HAVE_RUN),
    Case("reset in the head", says(lambda side: side.success_answer()[:30], "reset"), *MAY_HAVE_RUN),
    Case("closed in the head", says(lambda side: side.success_answer()[:30], "close"), *MAY_HAVE_RUN),
    Case("reset in the body", says(begun, "reset"), *AFTER_EVENTS),
    Case("closed in the body", says(begun, "close"), *AFTER_EVENTS),
    Case("no length, reset", says(unframed_begun, "reset"), *AFTER_EVENTS),
    Case("no length, closed in order", says(unframed, "close"), *ANSWERED),
    Case("silence after the whole request", says(lambda side: b""), *SILENT),
    Case("silence in the body", says(begun), *SILENT_AFTER_EVENTS),
    Case("503 with Not-Executed", status("503 Service Unavailable", NOT_EXECUTED), *NEVER_RAN),
    Case("429 with Not-Executed", status("429 Too Many Requests", NOT_EXECUTED), *NEVER_RAN),
    Case("421", status("421 Misdirected Request"), *NEVER_RAN),
    Case("400 with Not-Executed", status("400 Bad Request", NOT_EXECUTED), *ANSWERED),
    Case("503 without it", status("503 Service Unavailable"), *MAY_HAVE_RUN),
    Case("429 without it", status("429 Too Many Requests"), *UNPROVEN_REFUSAL),
    Case("500", status("500 Internal Server Error"), *WORKER_ERROR),
    Case("504 of the worker", status("504 Gateway Timeout"), *ANSWERED),
    Case("404", status("404 Not Found"), *ANSWERED),
    Case("2xx without seal", says(lambda side: side.complete_answer(seal=False)), *MAY_HAVE_RUN),
    Case("2xx with Not-Executed", says(not_run_success), *ANSWERED),
    Case("bytes that are no answer", says(lambda side: b"garbage\r\n"), *MAY_HAVE_RUN),
    Case("answer to another request, then the end", says(of_another, "close"), *MAY_HAVE_RUN),
    Case("answer to another request, then ours", says(other_then_ours), *ANSWERED),
    Case("bytes behind the whole answer", says(lambda side: side.success_answer() + b"surplus"), *ANSWERED),
]  # fmt: skip


@pytest.fixture(autouse=True)
def _short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(upstream_pool, "CONNECT_TIMEOUT_S", CONNECT_TIMEOUT_S)
    monkeypatch.setattr(attempt_timeout, "MIN_STREAM_TIMEOUT_S", LEAST_SILENCE_S)


def is_whole_success(path: str, answer: SeenAnswer) -> bool:
    body = events(1, LAST_EVENT) if path in (STREAMING, RESUMABLE) else b"the answer"
    return (answer.status, answer.body, answer.is_complete) == (200, body, True)


def check(path: str, case: Case, expected: str, stage: Loopback, answer: SeenAnswer | None) -> None:
    where = f"{case.seen}, {path}, {expected}: {answer}, {len(stage.requests)} requests at workers"
    assert answer is not None, where
    if expected == SENT_AGAIN:
        assert is_whole_success(path, answer), where
        assert answer.get("reedspoke-response-seal") == SEAL
    elif expected == PASSED:
        assert answer.is_complete, where
        assert answer.get("reedspoke-response-seal") == SEAL
        assert answer.status in (200, 400, 404, 500, 504)
        assert answer.status >= 400 or is_whole_success(path, answer)
    elif expected == BROKEN_OFF:
        assert not answer.is_complete, where
        assert answer.body == event(1)
    else:
        assert (answer.status, answer.is_complete) == (int(expected), True), where
        assert answer.get("reedspoke-response-seal") is None
    if path in (NON_IDEMPOTENT, STREAMING) and (expected in ("502", "504", PASSED, BROKEN_OFF)):
        most = 0 if case.prepare is reset_unread else 1  # there the first worker reads nothing
        assert len(stage.requests) <= most, where
    assert stage.forwarder.open_exchange_count() == 0, where


async def play(case: Case, path: str, expected: str, workers: int) -> None:
    stage = await start(case.script, workers)
    try:
        if case.asked_before:
            assert await stage.request(path, "a0") is not None
        listener = case.prepare(stage) if case.prepare is not None else None
        answer = await stage.request(path, "a1", case.body, Reedspoke_Deadline_Ms=case.deadline_ms)
        check(path, case, expected, stage, answer)
        if listener is not None:
            listener.close()
    finally:
        stage.close()


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.seen.replace(" ", "_"))
def test_what_is_done(case: Case) -> None:
    async def all_kinds() -> None:
        plays = [play(case, path, case.with_other[at], 2) for at, path in enumerate(PATHS)]
        plays += [play(case, path, case.alone[at], 1) for at, path in enumerate(PATHS)]
        await asyncio.gather(*plays)

    asyncio.run(all_kinds())


def test_no_case_promises_what_may_have_run() -> None:
    for case in CASES:
        for at, path in enumerate(PATHS):
            outcomes = (case.with_other[at], case.alone[at])
            promised = any(outcome.isdigit() and int(outcome) in PROMISES for outcome in outcomes)
            if path in (NON_IDEMPOTENT, STREAMING) and promised:
                proven = SENT_AGAIN in outcomes or case.prepare is hang
                assert proven, f"{case.seen}: {path}"


def rows_of_page() -> list[tuple[str, ...]]:
    table = re.findall(r"^\| (.+) \|$", PAGE.read_text(), re.MULTILINE)
    rows = [tuple(cell.strip() for cell in line.split(" | ")) for line in table]
    return rows[2:]  # behind the head and its line


def test_the_page_has_the_same_table() -> None:
    expected = [
        (case.seen, *(f"{other}, {alone}" if other != alone else other for other, alone in pairs))
        for case in CASES
        for pairs in [zip(case.with_other, case.alone, strict=True)]
    ]
    assert rows_of_page() == expected
