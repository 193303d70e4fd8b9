"""A worker of a service without a model: each request takes its time in one of a few places."""

from __future__ import annotations

import asyncio
import random

from msgspec import Struct

from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.answers import make_body, make_seal
from reedspoke.lab.fleet_emulator.faults import NO_FAULTS, AnswerFault, FaultShares
from reedspoke.lab.fleet_emulator.http_messages import HttpConnection, Request
from reedspoke.lab.fleet_emulator.ledger import Ledger
from reedspoke.lab.fleet_emulator.worker import EmulatedWorker, LoadReport, WorkerProfile, deadline_s

GARBAGE = b"\x00\x17 these bytes are no answer \xff\r\n\r\n"
SURPLUS_BODY = b"surplus"


class PlainProfile(Struct, frozen=True):
    """Size and speed of a plain worker."""

    queue: int = 24
    work_s: float = 0.02
    body_bytes: int = 800


DEFAULT_PLAIN = PlainProfile()


class PlainWorker(EmulatedWorker):
    """Works on `capacity` requests at once and queues a few more."""

    def __init__(
        self, profile: WorkerProfile, ledger: Ledger, plain: PlainProfile = DEFAULT_PLAIN,
        faults: FaultShares = NO_FAULTS, seed: int = 0,
    ) -> None:  # fmt: skip
        super().__init__(profile, ledger, faults, seed)
        self.plain = plain
        self.active = 0
        self.queued = 0
        self._slots = asyncio.Semaphore(profile.capacity)
        self._random = random.Random(seed)

    def load(self) -> LoadReport:
        return LoadReport("", [], False, 0, self.queued, self.active, 0, 0)

    async def execute(self, connection: HttpConnection, request: Request) -> bool:
        if self.active + self.queued >= self.profile.capacity + self.plain.queue:
            return self.refuse(connection, request, 503)
        end = asyncio.get_running_loop().time() + deadline_s(request)
        if not await self._acquire(end):
            return self.refuse(connection, request, 503)
        self.active += 1
        try:
            self.record_run(request)
            async with asyncio.timeout_at(end):
                await asyncio.sleep(self._random.expovariate(1 / self.plain.work_s))
        except TimeoutError:
            return self.fail(connection, request, 504)
        finally:
            self.active -= 1
            self._slots.release()
        return self._send_result(connection, request)

    async def _acquire(self, end: float) -> bool:
        self.queued += 1
        try:
            async with asyncio.timeout_at(end):
                await self._slots.acquire()
            return True
        except TimeoutError:
            return False
        finally:
            self.queued -= 1

    def _send_result(self, connection: HttpConnection, request: Request) -> bool:
        fault = self.faults.draw()
        if fault is AnswerFault.LOST:
            connection.reset()
            return False
        if fault is AnswerFault.GARBLED:
            connection.write(GARBAGE)
            return False
        attempt_id, run_id = request.get(http.ATTEMPT_ID), self.new_run_id()
        body = make_body(attempt_id, run_id, self.plain.body_bytes)
        fields = {http.ATTEMPT_ID: attempt_id, http.RESPONSE_SEAL: make_seal(run_id, body)}
        reusable = self._send(connection, 200, fields, body)
        if fault is AnswerFault.SURPLUS:
            connection.write(http.render_answer(200, fields, SURPLUS_BODY))
        return reusable
