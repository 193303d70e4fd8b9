"""Emulated clients against emulated workers directly, and the workers' answers byte by byte, on loopback."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress

import msgspec
import pytest

from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.client import Client
from reedspoke.lab.fleet_emulator.client_pool import ClientPool
from reedspoke.lab.fleet_emulator.engine import EngineProfile
from reedspoke.lab.fleet_emulator.faults import NO_FAULTS, FaultShares
from reedspoke.lab.fleet_emulator.http_messages import AnswerEnd, AnswerHead, HttpConnection
from reedspoke.lab.fleet_emulator.ingress import EdgeAddress, Ingress
from reedspoke.lab.fleet_emulator.layout import MODEL_UPSTREAM, PLAIN_UPSTREAM, draw_layout, request_kinds
from reedspoke.lab.fleet_emulator.ledger import Ledger
from reedspoke.lab.fleet_emulator.model_worker import ModelWorker
from reedspoke.lab.fleet_emulator.plain_worker import PlainProfile, PlainWorker
from reedspoke.lab.fleet_emulator.tally import Outcome, Tally
from reedspoke.lab.fleet_emulator.worker import EmulatedWorker, LoadReport, WorkerProfile
from reedspoke.lab.fleet_emulator.worker_list import RateLimit, WorkerListServer, WorkerPage, WorkerRegistry
from reedspoke.lab.fleet_emulator.workload import RequestKind, Workload
from reedspoke.net.http import MalformedError

ENGINE = EngineProfile(capacity=2, queue=1, step_s=0.002)
CHAT, REVIEW, LOOKUP, BOOKING = request_kinds(80.0)


class Answered(msgspec.Struct):
    """One answer; `complete` where it came to its end."""

    status: int = 0
    fields: dict[str, str] = {}
    body: bytes = b""
    complete: bool = False

    def get(self, name: str) -> str:
        return self.fields.get(name.lower(), "")


async def read(connection: HttpConnection) -> Answered:
    answered = Answered()
    try:
        async with asyncio.timeout(3):
            async for part in connection.read_answer():
                if isinstance(part, AnswerHead):
                    answered.status, answered.fields = part.status, part.fields
                elif isinstance(part, AnswerEnd):
                    answered.complete = True
                else:
                    answered.body += part
    except ConnectionError:
        pass
    return answered


async def ask(address: str, fields: dict[str, str], target: str = "/x/", method: str = "POST") -> Answered:
    connection = await http.open_connection(address, 1.0)
    connection.write(http.render_request(method, target, {"Host": "h", **fields}))
    try:
        return await read(connection)
    finally:
        connection.close()


def attempt(number: int = 1, **fields: str) -> dict[str, str]:
    named = {name.replace("_", "-"): text for name, text in fields.items()}
    prompt = {"Reedspoke-Token-Count": "20,8", "Reedspoke-Model-Name": "m"}
    return {"Reedspoke-Attempt-Id": f"a{number}", **prompt, **named}


def model_worker(ledger: Ledger, faults: FaultShares = NO_FAULTS, connections: int = 64) -> ModelWorker:
    address = draw_layout().worker(0)
    profile = WorkerProfile("i0", MODEL_UPSTREAM, address, "z", 2, max_connections=connections, models=("m",))
    return ModelWorker(profile, ledger, ENGINE, faults)


def plain_worker(ledger: Ledger, faults: FaultShares = NO_FAULTS, capacity: int = 6) -> PlainWorker:
    profile = WorkerProfile("i1", PLAIN_UPSTREAM, draw_layout().worker(1), "z", capacity)
    return PlainWorker(profile, ledger, PlainProfile(work_s=0.005, queue=1), faults)


def play(worker: EmulatedWorker, story: Callable[[str], Awaitable[None]]) -> None:
    async def run() -> None:
        await worker.open()
        try:
            await story(worker.endpoint)
        finally:
            await worker.close()

    asyncio.run(run())


def test_a_stream_has_rising_ids_and_is_resumed_behind_the_last() -> None:
    ledger = Ledger()

    async def story(address: str) -> None:
        whole = await ask(address, attempt(1))
        assert (whole.status, whole.complete) == (200, True)
        assert whole.get("reedspoke-attempt-id") == "a1"
        assert whole.get("content-type") == "text/event-stream"
        assert [line for line in whole.body.split(b"\n") if line.startswith(b"id")] == [b"id: 1", b"id: 2"]
        rest = await ask(address, attempt(2, Last_Event_Id="1"))
        assert rest.body.startswith(b"id: 2\n")
        nothing = await ask(address, attempt(3, Last_Event_Id="2"))
        assert (nothing.status, nothing.body, nothing.complete) == (200, b"", True)

    play(model_worker(ledger), story)
    assert [len(ledger.runs[f"a{number}"]) for number in (1, 2, 3)] == [1, 1, 1]


def test_requests_for_another_instance_or_without_an_id_do_not_run() -> None:
    ledger = Ledger()

    async def story(address: str) -> None:
        other = await ask(address, attempt(Reedspoke_Target_Instance="i9"))
        assert (other.status, other.get("reedspoke-instance-id")) == (421, "i0")
        nameless = await ask(address, {})
        assert nameless.status == 400
        assert other.get("reedspoke-not-executed")
        assert nameless.get("reedspoke-not-executed")

    play(model_worker(ledger), story)
    assert not ledger.runs


def test_a_full_worker_says_that_the_request_has_not_run() -> None:
    ledger = Ledger()

    async def story(address: str) -> None:
        busy = [asyncio.create_task(ask(address, attempt(number))) for number in range(6)]
        statuses = sorted([(await task).status for task in busy])
        assert statuses == [200, 200, 200, 503, 503, 503]

    play(model_worker(ledger), story)
    assert len(ledger.runs) == 3


def test_a_request_is_dropped_when_its_connection_closes() -> None:
    ledger = Ledger()
    worker = model_worker(ledger)

    async def story(address: str) -> None:
        connection = await http.open_connection(address, 1.0)
        long = attempt(Reedspoke_Token_Count="20,4000")
        connection.write(http.render_request("POST", "/x/", {"Host": "h", **long}))
        async for _ in connection.read_answer():
            break
        connection.close()
        async with asyncio.timeout(2):
            while worker.engine.model.busy:
                await asyncio.sleep(0.005)

    play(worker, story)


def test_a_deadline_ends_a_stream_early_and_never_as_complete() -> None:
    async def story(address: str) -> None:
        long = attempt(Reedspoke_Token_Count="20,4000", Reedspoke_Deadline_Ms="100")
        answered = await ask(address, long)
        assert answered.status == 200
        assert not answered.complete

    play(model_worker(Ledger()), story)


def test_draining_closes_connections_and_fails_health_checks() -> None:
    worker = plain_worker(Ledger())

    async def story(address: str) -> None:
        healthy = await ask(address, {}, "/health", "GET")
        assert (healthy.status, healthy.get("reedspoke-instance-id")) == (200, "i1")
        assert "timeout=5" in healthy.get("keep-alive")
        worker.drain()
        answered = await ask(address, attempt())
        assert (answered.status, answered.get("connection")) == (200, "close")
        assert (await ask(address, {}, "/health", "GET")).status == 503

    play(worker, story)


def test_the_report_tells_the_load() -> None:
    async def story(address: str) -> None:
        answered = await ask(address, {}, "/reedspoke/report", "GET")
        report = msgspec.json.decode(answered.body, type=LoadReport)
        assert (report.stage, report.active, report.kv_total) == ("dual", 0, ENGINE.kv_tokens)
        assert report.models[0]["name"] == "m"

    play(model_worker(Ledger()), story)


def test_connections_beyond_the_limit_are_reset() -> None:
    worker = model_worker(Ledger(), connections=1)

    async def story(address: str) -> None:
        first = await http.open_connection(address, 1.0)
        while not worker.connections:
            await asyncio.sleep(0.001)
        assert (await ask(address, {}, "/health", "GET")).status == 0
        first.close()

    play(worker, story)
    assert worker.resets == 1


def test_a_dark_worker_says_nothing() -> None:
    worker = plain_worker(Ledger())

    async def story(address: str) -> None:
        worker.go_dark()
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await ask(address, attempt())

    play(worker, story)
    assert not worker.ledger.runs


@pytest.mark.parametrize("faults", [FaultShares(garbled=1.0), FaultShares(lost=1.0)])
def test_a_request_whose_answer_is_lost_has_run(faults: FaultShares) -> None:
    ledger = Ledger()

    async def story(address: str) -> None:
        connection = await http.open_connection(address, 1.0)
        connection.write(http.render_request("POST", "/x/", {"Host": "h", **attempt()}))
        answered = Answered()
        with suppress(MalformedError):
            answered = await read(connection)
        assert not answered.complete
        connection.close()

    play(plain_worker(ledger, faults), story)
    assert len(ledger.runs["a1"]) == 1


def test_a_surplus_answer_comes_behind_a_whole_one() -> None:
    async def story(address: str) -> None:
        connection = await http.open_connection(address, 1.0)
        connection.write(http.render_request("POST", "/x/", {"Host": "h", **attempt()}))
        assert (await read(connection)).complete
        surplus = await read(connection)
        assert (surplus.status, surplus.body) == (200, b"surplus")

    play(plain_worker(Ledger(), FaultShares(surplus=1.0)), story)


async def load(address: str, kinds: tuple[RequestKind, ...], ledger: Ledger, tally: Tally) -> None:
    ingress = Ingress((EdgeAddress(address, address),), 1)
    pool = ClientPool(ingress)
    await Client(pool, ledger, tally, 1).run(Workload(kinds, 1), 1.0)
    pool.close()


@pytest.mark.parametrize(
    ("kinds", "make"), [((CHAT, REVIEW), model_worker), ((LOOKUP, BOOKING), plain_worker)]
)
def test_clients_and_workers_agree(
    kinds: tuple[RequestKind, ...], make: Callable[..., EmulatedWorker]
) -> None:
    ledger, tally = Ledger(), Tally()
    play(make(ledger), lambda address: load(address, kinds, ledger, tally))
    assert tally.mixed == []
    assert not ledger.findings().any()
    assert tally.total(Outcome.SERVED) > 0
    assert tally.total(Outcome.FAILED) == 0
    assert sum(figures.requests for figures in tally.figures()) == tally.requests


def test_clients_take_no_lost_answer_for_a_success() -> None:
    ledger, tally = Ledger(), Tally()
    worker = plain_worker(ledger, FaultShares(lost=1.0))
    play(worker, lambda address: load(address, (BOOKING,), ledger, tally))
    assert tally.total(Outcome.FAILED) == tally.requests > 0
    assert not ledger.findings().any()


def test_the_list_is_served_in_pages_and_refused_beyond_the_rate() -> None:
    registry = WorkerRegistry(0.0, lambda: 1.0)
    server = WorkerListServer(draw_layout().platform(), registry, RateLimit(2, lambda: 1.0))

    async def run() -> None:
        await server.open()
        answers = [await ask(server.endpoint, {}, "/workers?zone=&page_token=", "GET") for _ in range(3)]
        await server.close()
        assert [answer.status for answer in answers] == [200, 200, 429]
        assert msgspec.json.decode(answers[0].body, type=WorkerPage) == WorkerPage((), None)

    asyncio.run(run())
    assert (server.calls, server.refused) == (3, 1)
