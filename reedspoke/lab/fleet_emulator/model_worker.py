"""A worker of a language model service: streams of events out of an engine model."""

from __future__ import annotations

import asyncio

from msgspec import Struct

from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.answers import event_count, make_event, make_seal
from reedspoke.lab.fleet_emulator.engine import DEFAULT_ENGINE, DEFAULT_PRIORITY, EngineProfile, GenerationJob
from reedspoke.lab.fleet_emulator.engine_runner import EngineRunner, JobHandle
from reedspoke.lab.fleet_emulator.faults import NO_FAULTS, AnswerFault, FaultShares
from reedspoke.lab.fleet_emulator.http_messages import HttpConnection, Request
from reedspoke.lab.fleet_emulator.ledger import Ledger
from reedspoke.lab.fleet_emulator.plain_worker import GARBAGE, SURPLUS_BODY
from reedspoke.lab.fleet_emulator.prefix_cache import PromptPart
from reedspoke.lab.fleet_emulator.worker import EmulatedWorker, LoadReport, WorkerProfile, deadline_s

MOST_PRIORITY = 9


class StreamProgress(Struct):
    """How far the answer to one request has got on its connection."""

    run_id: str
    total: int
    head_sent: bool = False


class ModelWorker(EmulatedWorker):
    """Answers with `text/event-stream`; takes a stream up behind `Last-Event-Id`."""

    def __init__(
        self, profile: WorkerProfile, ledger: Ledger, engine: EngineProfile = DEFAULT_ENGINE,
        faults: FaultShares = NO_FAULTS, seed: int = 0,
    ) -> None:  # fmt: skip
        super().__init__(profile, ledger, faults, seed)
        self.engine = EngineRunner(engine)

    async def close(self) -> None:
        self.engine.stop()
        await super().close()

    def load(self) -> LoadReport:
        model = self.engine.model
        models: list[dict[str, object]] = [
            {"name": name, "generation": 1, "adapters": []} for name in self.profile.models
        ]
        queued, active = len(model.waiting), len(model.running)
        return LoadReport(
            "dual", models, False, 0, queued, active, model.used_tokens, model.profile.kv_tokens
        )

    async def execute(self, connection: HttpConnection, request: Request) -> bool:
        job = parse_job(request, self.engine.model.profile.stride)
        if job is None:
            return self.refuse(connection, request, 400)
        if job.finished:
            return self._answer_empty(connection, request)
        handle = self.engine.submit(job, lambda: self.record_run(request))
        if handle is None:
            return self.refuse(connection, request, 503)
        total = event_count(job.output_tokens, self.engine.model.profile.stride)
        progress = StreamProgress(self.new_run_id(), total)
        try:
            async with asyncio.timeout(deadline_s(request)):
                return await self._stream(connection, request, handle, progress)
        except TimeoutError:
            return self._give_up(connection, request, job, progress)
        finally:
            self.engine.withdraw(handle)

    async def _stream(
        self, connection: HttpConnection, request: Request, handle: JobHandle, progress: StreamProgress
    ) -> bool:
        fault = self.faults.draw()
        attempt_id = request.get(http.ATTEMPT_ID)
        event_id = 0
        while event_id < progress.total:
            event_id = await handle.events.get()
            await self._responsive.wait()
            if fault in (AnswerFault.LOST, AnswerFault.GARBLED) and event_id > progress.total // 2:
                return break_off(connection, fault)
            if not progress.head_sent:
                connection.write(http.render_head(200, self._head_fields(attempt_id, progress)))
                progress.head_sent = True
            event = make_event(event_id, progress.run_id, progress.total, attempt_id)
            connection.write(http.render_chunk(event.render()))
        connection.write(http.LAST_CHUNK)
        if fault is AnswerFault.SURPLUS:
            connection.write(http.render_answer(200, {http.ATTEMPT_ID: attempt_id}, SURPLUS_BODY))
        return http.CONNECTION not in self.connection_fields()

    def _answer_empty(self, connection: HttpConnection, request: Request) -> bool:
        """The caller has every event already: a whole stream without any."""
        self.record_run(request)
        progress = StreamProgress(self.new_run_id(), 0)
        head = http.render_head(200, self._head_fields(request.get(http.ATTEMPT_ID), progress))
        connection.write(head + http.LAST_CHUNK)
        return http.CONNECTION not in self.connection_fields()

    def _head_fields(self, attempt_id: str, progress: StreamProgress) -> http.Fields:
        return {
            http.CONTENT_TYPE: "text/event-stream",
            http.TRANSFER_ENCODING: "chunked",
            http.ATTEMPT_ID: attempt_id,
            http.RESPONSE_SEAL: make_seal(progress.run_id, b""),
            **self.connection_fields(),
        }

    def _give_up(
        self, connection: HttpConnection, request: Request, job: GenerationJob, progress: StreamProgress
    ) -> bool:
        """The deadline has passed."""
        if not job.started:
            return self.refuse(connection, request, 503)
        if not progress.head_sent:
            return self.fail(connection, request, 504)
        connection.reset()
        return False


def break_off(connection: HttpConnection, fault: AnswerFault) -> bool:
    """End a stream in its middle."""
    if fault is AnswerFault.GARBLED:
        connection.write(GARBAGE)
        connection.close()
    else:
        connection.reset()
    return False


def parse_job(request: Request, stride: int) -> GenerationJob | None:
    """The job that a request describes; None where its fields are malformed."""
    try:
        prompt, output = (int(part) for part in request.get(http.TOKEN_COUNT).split(","))
        chain = parse_chain(request.get(http.PROMPT_PREFIX))
        priority = int(request.get(http.PRIORITY) or DEFAULT_PRIORITY)
        last_event = int(request.get(http.LAST_EVENT_ID) or 0)
    except ValueError:
        return None
    if not 0 <= priority <= MOST_PRIORITY or output < 1:
        return None
    produced = min(last_event * stride, output)
    return GenerationJob(request.get(http.MODEL_NAME), chain, prompt, output, priority, produced)


def parse_chain(text: str) -> tuple[PromptPart, ...]:
    """The parts of `ID:TOKENS,ID:TOKENS`. Raises ValueError."""
    parts = (part.split(":") for part in text.split(",") if part)
    return tuple(PromptPart(part_id, int(tokens)) for part_id, tokens in parts)
