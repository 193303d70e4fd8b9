"""Tests of the operator API with a fake backend."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable

import pytest

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.api import operator_api
from reedspoke.control_plane.api.call_log import CLIENT_CLOSED_REQUEST, UNKNOWN_PATH, CompletedCall
from reedspoke.control_plane.api.error_responses import http_status_of
from reedspoke.control_plane.api.http_messages import Request, Response
from reedspoke.control_plane.api.operator_api import EVACUATION_PATH, OPERATIONS, OperatorApi
from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.control_plane.api.tally_calls import TALLY_PATH
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.tallies.messages import TallyAdd
from tests.control_plane_process.stand_ins import configuration_document

PATH = "/reedspoke/configuration"


class FakeBackend:
    """A backend with results set by the test. A call whose result is None never completes."""

    def __init__(self) -> None:
        self.put_answer: PutCompleted | None = PutCompleted(1, None)
        self.get_answer: GetCompleted | None = GetCompleted(
            1, CommittedConfiguration(1, 3, configuration_document(3))
        )
        self.raises: FleetError | None = None
        self.majority = True
        self.loses_majority = False  # lose the majority while a call is pending
        self.puts: list[tuple[int, int]] = []
        self.adds: list[TallyAdd] = []
        self.orders: list[tuple[str, bool]] = []
        self.completed: list[CompletedCall] = []

    async def validate(self, document: bytes) -> Configuration:
        """Parse the document."""
        return parse_configuration(document)

    async def put(self, match: int, generation: int, document: bytes) -> PutCompleted:
        """Record the call and return the result set by the test."""
        self.puts.append((match, generation))
        self._raise()
        self.majority = self.majority and not self.loses_majority
        if self.put_answer is None:
            await asyncio.Event().wait()
        assert self.put_answer is not None
        return self.put_answer

    async def get(self) -> GetCompleted:
        """Return the result set by the test."""
        self._raise()
        self.majority = self.majority and not self.loses_majority
        if self.get_answer is None:
            await asyncio.Event().wait()
        assert self.get_answer is not None
        return self.get_answer

    async def add_to_tally(self, add: TallyAdd) -> None:
        """Record the addition."""
        self.adds.append(add)
        self._raise()
        if self.get_answer is None:
            await asyncio.Event().wait()

    async def order_evacuation(self, zone: str, evacuated: bool, is_abandoned: Callable[[], bool]) -> None:
        """Record the order."""
        assert not is_abandoned()
        self._raise()
        self.orders.append((zone, evacuated))
        if self.get_answer is None:
            await asyncio.Event().wait()

    def tally_total(self, tally: str) -> int:
        """Return the sum of the recorded additions."""
        self._raise()
        return sum(add.amount for add in self.adds if add.tally == tally)

    def _raise(self) -> None:
        if self.raises is not None:
            raise self.raises

    def holds_majority(self) -> bool:
        """Return whether there is a majority, as set by the test."""
        return self.majority

    def status(self) -> StatusAnswer:
        """Return a fixed status."""
        return StatusAnswer("n", "a", 1, (), (), None, 0, (), (), 0, (0, 0), False)

    def call_completed(self, call: CompletedCall) -> None:
        """Record the completed call."""
        self.completed.append(call)


def call_api(
    backend: FakeBackend, method: str, path: str = PATH, body: bytes = b"", match: str | None = "0"
) -> Response:
    """Handle one request with the backend, and return the response."""
    headers = {} if match is None else {"if-match": match}
    return asyncio.run(OperatorApi(backend).handle(Request(method, path, headers, body)))


def error_code(response: Response) -> int:
    """Return the error code in the response body."""
    code = json.loads(response.body)["error"]["code"]
    assert isinstance(code, int)
    return code


def test_a_configuration_is_accepted() -> None:
    backend = FakeBackend()
    response = call_api(backend, "PUT", body=configuration_document(3), match=' "2" ')
    assert (response.status, json.loads(response.body)) == (200, {"generation": 3})
    assert backend.puts == [(2, 3)]


@pytest.mark.parametrize("match", [None, "", "x", "-1", "1.5", "٣", "9" * 19, '"', "1,2"])
def test_a_match_that_is_missing_or_not_a_number_is_rejected(match: str | None) -> None:
    backend = FakeBackend()
    response = call_api(backend, "PUT", body=configuration_document(3), match=match)
    assert (response.status, error_code(response)) == (400, ErrorCode.CONFIGURATION_MATCH_MISSING)
    assert backend.puts == []


@pytest.mark.parametrize("generation", [0, -5, 2**63])
def test_a_generation_that_is_out_of_range_is_rejected(generation: int) -> None:
    response = call_api(FakeBackend(), "PUT", body=configuration_document(generation))
    assert (response.status, error_code(response)) == (400, ErrorCode.CONFIGURATION_FIELD)


@pytest.mark.parametrize("code", sorted(OPERATIONS[PATH]["PUT"].errors))
def test_each_error_of_a_put_has_its_status(code: ErrorCode) -> None:
    backend = FakeBackend()
    backend.put_answer = PutCompleted(1, code, "text")
    response = call_api(backend, "PUT", body=configuration_document(3))
    assert (response.status, error_code(response)) == (http_status_of(code), code)
    assert ("Retry-After" in response.headers) == (response.status == 503)


@pytest.mark.parametrize("code", sorted(OPERATIONS[PATH]["GET"].errors))
def test_each_error_of_a_get_has_its_status(code: ErrorCode) -> None:
    backend = FakeBackend()
    backend.get_answer = GetCompleted(1, None, code, "text")
    response = call_api(backend, "GET")
    assert (response.status, error_code(response)) == (http_status_of(code), code)


@pytest.mark.parametrize("loses", [False, True], ids=["before", "while it waits"])
@pytest.mark.parametrize("code", [None, *sorted(OPERATIONS[PATH]["PUT"].errors)])
def test_no_put_has_a_definite_answer_without_a_majority(code: ErrorCode | None, loses: bool) -> None:
    backend = FakeBackend()
    backend.majority, backend.loses_majority = loses, loses
    backend.put_answer = PutCompleted(1, code, "text")
    assert call_api(backend, "PUT", body=configuration_document(3)).status == 503


@pytest.mark.parametrize("loses", [False, True], ids=["before", "while it waits"])
@pytest.mark.parametrize("code", [None, *sorted(OPERATIONS[PATH]["GET"].errors)])
def test_no_get_has_a_definite_answer_without_a_majority(code: ErrorCode | None, loses: bool) -> None:
    backend = FakeBackend()
    backend.majority, backend.loses_majority = loses, loses
    if code is not None:
        backend.get_answer = GetCompleted(1, None, code, "text")
    assert call_api(backend, "GET").status == 503


@pytest.mark.parametrize("body", [b"", b"{", configuration_document(0)])
def test_not_even_an_invalid_document_is_rejected_without_a_majority(body: bytes) -> None:
    backend = FakeBackend()
    backend.majority = False
    assert call_api(backend, "PUT", body=body).status == 503
    backend.majority = True
    assert call_api(backend, "PUT", body=body).status == 400


def test_the_status_is_answered_without_a_majority() -> None:
    backend = FakeBackend()
    backend.majority = False
    assert call_api(backend, "GET", "/reedspoke/status").status == 200


def test_statuses_that_the_specification_requires() -> None:
    assert http_status_of(ErrorCode.CONFIGURATION_STALE_MATCH) == 412
    assert http_status_of(ErrorCode.CONFIGURATION_OLD_GENERATION) == 400
    for code in (
        ErrorCode.NO_QUORUM,
        ErrorCode.WRITE_UNCLEAR,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.STORAGE_FULL,
    ):
        assert http_status_of(code) == 503


def test_a_call_without_a_result_is_answered_within_a_second(monkeypatch: pytest.MonkeyPatch) -> None:
    assert operator_api.RESPONSE_TIMEOUT_S < 1.0
    monkeypatch.setattr(operator_api, "RESPONSE_TIMEOUT_S", 0.05)
    backend = FakeBackend()
    backend.put_answer = backend.get_answer = None
    began = time.monotonic()
    put = call_api(backend, "PUT", body=configuration_document(3))
    get = call_api(backend, "GET")
    assert time.monotonic() - began < 0.9
    assert (put.status, error_code(put)) == (503, ErrorCode.WRITE_UNCLEAR)
    assert (get.status, error_code(get)) == (503, ErrorCode.NO_QUORUM)


def test_a_process_that_shuts_down_rejects_calls() -> None:
    backend = FakeBackend()
    backend.raises = FleetError(ErrorCode.SHUTTING_DOWN, "text")
    for method in ("PUT", "GET"):
        response = call_api(backend, method, body=configuration_document(3))
        assert (response.status, error_code(response)) == (503, ErrorCode.SHUTTING_DOWN)


def test_the_newest_configuration_is_returned_byte_for_byte() -> None:
    response = call_api(FakeBackend(), "GET")
    assert (response.status, response.body, response.headers["ETag"]) == (
        200,
        configuration_document(3),
        '"3"',
    )


def test_a_missing_configuration_has_its_own_error() -> None:
    backend = FakeBackend()
    backend.get_answer = GetCompleted(1, None)
    response = call_api(backend, "GET")
    assert (response.status, error_code(response)) == (404, ErrorCode.NO_CONFIGURATION)


def test_calls_beyond_the_limit_are_rejected(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "MAX_PENDING_CALLS", 1)
    monkeypatch.setattr(operator_api, "RESPONSE_TIMEOUT_S", 0.1)

    async def two_calls() -> list[Response]:
        backend = FakeBackend()
        backend.get_answer = None
        api = OperatorApi(backend)
        return await asyncio.gather(*(api.handle(Request("GET", PATH, {}, b"")) for _ in range(2)))

    _, second = asyncio.run(two_calls())
    assert (second.status, error_code(second)) == (503, ErrorCode.OVERLOADED)


@pytest.mark.parametrize(
    ("method", "path", "label", "status", "code"),
    [
        ("POST", "/reedspoke/nothing/here", UNKNOWN_PATH, 404, ErrorCode.NO_ROUTE),
        ("PATCH", PATH, PATH, 405, ErrorCode.MALFORMED_REQUEST),
    ],
)
def test_a_call_without_an_operation_is_recorded(
    method: str, path: str, label: str, status: int, code: ErrorCode
) -> None:
    backend = FakeBackend()
    assert call_api(backend, method, path).status == status
    (call,) = backend.completed
    assert (call.request.path, call.path, call.status, call.code) == (path, label, status, code)


def test_a_call_beyond_the_limit_is_recorded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "MAX_PENDING_CALLS", 0)
    backend = FakeBackend()
    assert call_api(backend, "GET").status == 503
    assert [(call.status, call.code) for call in backend.completed] == [(503, ErrorCode.OVERLOADED)]


def test_a_call_whose_client_disconnects_is_recorded() -> None:
    backend = FakeBackend()
    backend.get_answer = None

    async def leave() -> None:
        call = asyncio.ensure_future(OperatorApi(backend).handle(Request("GET", PATH, {}, b"")))
        await asyncio.sleep(0)
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    asyncio.run(leave())
    assert [call.status for call in backend.completed] == [CLIENT_CLOSED_REQUEST]


TALLY = "/reedspoke/tallies/t3"
ADD = b'{"instance_id":"5c0e7a21d94b36f8","held_by":4}'


def test_a_tally_is_added_to_and_read() -> None:
    backend = FakeBackend()
    backend.majority = False  # Tallies accept additions on either side of a partition.
    assert call_api(backend, "POST", TALLY, ADD).status == 200
    assert backend.adds == [TallyAdd("t3", 0x5C0E7A21D94B36F8, 4)]
    read = call_api(backend, "GET", TALLY)
    assert (read.status, json.loads(read.body)) == (200, {"total": 4})
    assert json.loads(call_api(backend, "GET", TALLY + "x").body) == {"total": 0}


def test_different_ids_have_different_numbers() -> None:
    backend = FakeBackend()
    ids = ["5c0e7a21d94b36f8", "5C0E7A21D94B36F8", "a", "b", "\u00fc", "0" * 17]
    for one in ids:
        call_api(backend, "POST", TALLY, json.dumps({"instance_id": one, "held_by": 1}).encode())
    assert len({add.add_id for add in backend.adds}) == len(ids)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[1]",
        b'{"instance_id":"a"}',
        b'{"held_by":1}',
        b'{"instance_id":"","held_by":1}',
        b'{"instance_id":7,"held_by":1}',
        b'{"instance_id":"a","held_by":1.5}',
        b'{"instance_id":"a","held_by":9007199254740993}',
    ],
)
def test_an_invalid_tally_body_is_rejected(body: bytes) -> None:
    backend = FakeBackend()
    response = call_api(backend, "POST", TALLY, body)
    assert (response.status, error_code(response)) == (400, ErrorCode.TALLY_MALFORMED)
    assert backend.adds == []


@pytest.mark.parametrize("path", ["/reedspoke/tallies/", "/reedspoke/tallies/a/b", "/reedspoke/tallies"])
def test_a_path_without_a_tally_name_is_not_found(path: str) -> None:
    assert call_api(FakeBackend(), "GET", path).status == 404


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_each_error_of_a_tally_has_its_status(method: str) -> None:
    for code in OPERATIONS[TALLY_PATH][method].errors:
        backend = FakeBackend()
        backend.raises = FleetError(code, "text")
        response = call_api(backend, method, TALLY, ADD)
        assert (response.status, error_code(response)) == (http_status_of(code), code)
        assert ("Retry-After" in response.headers) == (response.status in (429, 503))


def test_a_tally_addition_without_a_result_in_time_is_reported_as_unclear(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(operator_api, "RESPONSE_TIMEOUT_S", 0.05)
    backend = FakeBackend()
    backend.get_answer = None
    response = call_api(backend, "POST", TALLY, ADD)
    assert (response.status, error_code(response)) == (504, ErrorCode.TALLY_UNCLEAR)
    assert backend.adds


def test_tally_calls_do_not_use_up_the_limit_of_operator_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "MAX_PENDING_TALLY_CALLS", 0)
    assert call_api(FakeBackend(), "POST", TALLY, ADD).status == 503
    assert call_api(FakeBackend(), "GET").status == 200


ZONE = "/reedspoke/evacuation/zone-a"


def test_an_evacuation_is_ordered_and_withdrawn() -> None:
    backend = FakeBackend()
    assert call_api(backend, "POST", ZONE).status == 200
    assert call_api(backend, "DELETE", ZONE).status == 200
    assert backend.orders == [("zone-a", True), ("zone-a", False)]
    assert call_api(backend, "POST", "/reedspoke/evacuation/").status == 404


@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_each_error_of_an_evacuation_has_its_status(method: str) -> None:
    for code in OPERATIONS[EVACUATION_PATH][method].errors:
        backend = FakeBackend()
        backend.raises = FleetError(code, "text")
        response = call_api(backend, method, ZONE)
        assert (response.status, error_code(response)) == (http_status_of(code), code)


def test_no_evacuation_is_acknowledged_without_a_majority() -> None:
    backend = FakeBackend()
    backend.majority = False
    assert call_api(backend, "POST", ZONE).status == 503


def test_an_evacuation_without_a_result_in_time_is_reported_as_unclear(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(operator_api, "RESPONSE_TIMEOUT_S", 0.05)
    backend = FakeBackend()
    backend.get_answer = None
    assert call_api(backend, "POST", ZONE).status == 504
