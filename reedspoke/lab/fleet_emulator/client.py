"""Emulated clients: a request with its tries, its deadline and its fate."""

from __future__ import annotations

import asyncio
import random
import time

from msgspec import Struct

from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.answer_check import MixedAnswerError
from reedspoke.lab.fleet_emulator.client_pool import ClientPool
from reedspoke.lab.fleet_emulator.exchange import RequestState, TryResult, exchange, render_try
from reedspoke.lab.fleet_emulator.http_messages import HttpConnection
from reedspoke.lab.fleet_emulator.ledger import Ledger
from reedspoke.lab.fleet_emulator.tally import Outcome, Tally
from reedspoke.lab.fleet_emulator.workload import PlannedRequest, Workload
from reedspoke.net.http import MalformedError

FINAL_STATUSES = frozenset((400, 401, 404, 413, 431))
MOST_WAIT_SHARE = 1 / 3  # of the time left, that a client waits because it was told to
FIRST_WAIT_S = 0.05


class FailedTry(Struct, frozen=True):
    """A try without a success: the address it was sent to, and times of the steady clock in s."""

    attempt_id: str
    address: str
    cause: str
    sent_at: float
    ended_at: float


class Client:
    """Sends requests and judges their answers."""

    def __init__(self, pool: ClientPool, ledger: Ledger, tally: Tally, seed: int) -> None:
        self._pool = pool
        self._ledger = ledger
        self._tally = tally
        self._random = random.Random(seed)
        self.failed_tries: list[FailedTry] = []

    async def run(self, workload: Workload, seconds: float) -> None:
        """Send the requests of a workload at their times, and wait for all answers."""
        begun = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for planned in workload.arrivals(seconds):
                await asyncio.sleep(max(0.0, begun + planned.at_s - time.monotonic()))
                group.create_task(self.request(planned))

    async def request(self, planned: PlannedRequest) -> Outcome:
        """Send one request, with more tries where they are allowed."""
        now = time.monotonic()
        state = RequestState(planned, now, now + planned.kind.deadline_ms / 1000)
        tally = self._tally.kind(planned.kind.name)
        tally.requests += 1
        result = await self._try(state, fresh=False)
        for _ in range(planned.kind.retries):
            if not may_retry(planned, result):
                break
            await asyncio.sleep(retry_wait(state, result))
            result = await self._try(state, fresh=True)
        outcome = self._judge(state, result)
        tally.outcomes[outcome.value] += 1
        return outcome

    async def _try(self, state: RequestState, fresh: bool) -> TryResult:
        self._tally.kind(state.planned.kind.name).tries += 1
        try:
            connection, state.address = await self._pool.take(state.address if fresh else "", fresh)
        except (OSError, TimeoutError) as error:
            return TryResult(cause=f"connect: {type(error).__name__}", nothing_sent=True)
        attempt_id = f"{self._random.getrandbits(64):016x}"
        sent_at = time.monotonic()
        connection.write(render_try(state, attempt_id, self._ledger))
        result = await self._read(connection, state, attempt_id)
        if result.head is None:
            connection.close()
        else:
            self._pool.give_back(connection, state.address, result.head)
            self._record(attempt_id, result)
        if not result.success:
            cause = result.cause or f"status {result.status}"
            failed = FailedTry(attempt_id, state.address, cause, sent_at, time.monotonic())
            self.failed_tries.append(failed)
        return result

    async def _read(self, connection: HttpConnection, state: RequestState, attempt_id: str) -> TryResult:
        try:
            return await exchange(connection, state, attempt_id)
        except TimeoutError:
            return TryResult(cause="deadline")
        except OSError as error:
            return TryResult(cause=type(error).__name__)
        except (MixedAnswerError, MalformedError) as error:
            self._tally.mixed.append(f"{state.planned.kind.name}: {error}")
            return TryResult(cause="mixed")

    def _record(self, attempt_id: str, result: TryResult) -> None:
        if result.promise:
            self._ledger.record_promise(attempt_id)
        elif result.success and result.head is not None:
            self._ledger.record_success(attempt_id, result.head.get(http.RESPONSE_SEAL))

    def _judge(self, state: RequestState, result: TryResult) -> Outcome:
        if not result.success:
            self._tally.causes[result.cause or f"status {result.status}"] += 1
            return Outcome.REFUSED if result.promise else Outcome.FAILED
        kind = state.planned.kind
        times = state.stream.times
        first = times[0] if times else state.first_answer
        first_ms = 1000 * (first - state.begun)
        gaps = [1000 * (after - before) for before, after in zip(times, times[1:], strict=False)]
        tally = self._tally.kind(kind.name)
        tally.first_ms.append(first_ms)
        tally.gaps_ms.extend(gaps)
        longest_gap = kind.stream.gap_aim_ms if kind.stream else 0.0
        late = first_ms > kind.target_ms or any(gap > longest_gap for gap in gaps)
        return Outcome.LATE if late else Outcome.SERVED


def may_retry(planned: PlannedRequest, result: TryResult) -> bool:
    """Whether another try is allowed after this result."""
    if result.success or result.status in FINAL_STATUSES:
        return False
    return planned.kind.repeatable or result.promise or result.nothing_sent


def retry_wait(state: RequestState, result: TryResult) -> float:
    """How long a client waits before its next try, in s."""
    told = "" if result.head is None else result.head.get(http.RETRY_AFTER)
    try:
        wait = float(told) if told else FIRST_WAIT_S
    except ValueError:
        wait = FIRST_WAIT_S
    return min(wait, MOST_WAIT_SHARE * state.left)
