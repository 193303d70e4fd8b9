"""Invalid and stale documents submitted through the operator API are not stored."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest

from reedspoke.common.configuration import Configuration
from reedspoke.common.configuration_parsing import parse_configuration
from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.api.call_log import CompletedCall
from reedspoke.control_plane.api.error_responses import http_status_of
from reedspoke.control_plane.api.http_messages import Request
from reedspoke.control_plane.api.operator_api import CONFIGURATION_PATH, OPERATIONS, OperatorApi
from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted
from reedspoke.control_plane.replication.log_records import EntryRecord, decode_record
from reedspoke.control_plane.tallies.messages import TallyAdd
from tests.control_plane.direct_core import DirectCore
from tests.control_plane_process.stand_ins import configuration_document

FINAL = {  # a change that gets any other error may be in force
    ErrorCode.CONFIGURATION_UNREADABLE,
    ErrorCode.CONFIGURATION_FIELD,
    ErrorCode.CONFIGURATION_UNKNOWN_UPSTREAM,
    ErrorCode.CONFIGURATION_DUPLICATE_ROUTE,
    ErrorCode.CONFIGURATION_ZERO_WEIGHT,
    ErrorCode.CONFIGURATION_ZERO_TIMEOUT,
    ErrorCode.CONFIGURATION_OLD_GENERATION,
    ErrorCode.CONFIGURATION_STALE_MATCH,
    ErrorCode.CONFIGURATION_MATCH_MISSING,
    ErrorCode.CONFIGURATION_TOO_LARGE,
    ErrorCode.CONFIGURATION_SHARED_KEY,
    ErrorCode.CONFIGURATION_DUPLICATE_TENANT,
    ErrorCode.MALFORMED_REQUEST,
}


class CoreBackend:
    """A backend that submits changes to a `DirectCore`; reads are not used."""

    def __init__(self, core: DirectCore) -> None:
        self._core = core

    async def validate(self, document: bytes) -> Configuration:
        """Parse and validate a configuration."""
        return parse_configuration(document)

    def holds_majority(self) -> bool:
        """True, as there are no faults."""
        return True

    async def put(self, match: int, generation: int, document: bytes) -> PutCompleted:
        """Replicate the configuration."""
        return PutCompleted(1, self._core.put("m2", match, generation, document))

    async def get(self) -> GetCompleted:
        """Not used here."""
        raise NotImplementedError

    def status(self) -> StatusAnswer:
        """Not used here."""
        raise NotImplementedError

    async def add_to_tally(self, add: TallyAdd) -> None:
        """Not used here."""
        raise NotImplementedError

    async def order_evacuation(self, zone: str, evacuated: bool, is_abandoned: Callable[[], bool]) -> None:
        """Not used here."""
        raise NotImplementedError

    def tally_total(self, tally: str) -> int:
        """Not used here."""
        raise NotImplementedError

    def call_completed(self, call: CompletedCall) -> None:
        """Do nothing."""


def _status(core: DirectCore, match: str, document: bytes) -> int:
    request = Request("PUT", CONFIGURATION_PATH, {"if-match": match}, document)
    return asyncio.run(OperatorApi(CoreBackend(core)).handle(request)).status


def _stored(core: DirectCore) -> set[bytes]:
    records = [decode_record(payload) for _, payload in core.stored]
    return {record.entry.document for record in records if isinstance(record, EntryRecord)}


def _route(**fields: Any) -> dict[str, Any]:
    route: dict[str, Any] = json.loads(configuration_document(1))["routes"][0]
    return route | fields


def _with(**changes: Any) -> bytes:
    document: dict[str, Any] = json.loads(configuration_document(2))
    return json.dumps(document | changes).encode()


INVALID = {
    "not whole": configuration_document(2)[:-1],
    "nothing": b"",
    "not an object": b"[]",
    "two": configuration_document(2) + configuration_document(2),
    "unknown service": _with(routes=[_route(upstream="u9")]),
    "same host and prefix": _with(routes=[_route(), _route(name="r1")]),
    "weights of 0": _with(routes=[_route(upstream=None, traffic_split=[{"upstream": "u1", "weight": 0}])]),
    "no time": _with(routes=[_route(timeout_ms=0)]),
    "no generation": configuration_document(2).replace(b'"generation": 2', b'"generatio": 2'),
    "generation 0": configuration_document(0),
    "a negative generation": configuration_document(-2),
    "a generation too large": configuration_document(2**63),
    "the current generation": configuration_document(1, routes=1),
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_document_is_rejected_and_not_stored(name: str) -> None:
    core = DirectCore()
    assert _status(core, "0", configuration_document(1)) == 200
    for _ in range(2):
        assert _status(core, "1", INVALID[name]) == 400
        core.restart()
    assert _stored(core) == {configuration_document(1)}
    assert _status(core, "1", configuration_document(2)) == 200


def test_a_stale_document_is_rejected_and_not_stored() -> None:
    core = DirectCore()
    assert _status(core, "0", configuration_document(1)) == 200
    assert _status(core, "1", configuration_document(2)) == 200
    for match in ("0", "1"):
        assert _status(core, match, configuration_document(3)) == 412
    assert _status(core, "0", configuration_document(2, routes=3)) == 412
    core.restart()
    assert _stored(core) == {configuration_document(1), configuration_document(2)}
    assert _status(core, "7", configuration_document(8)) == 503
    assert _status(core, "0", configuration_document(1)) == 200


@pytest.mark.parametrize("code", ErrorCode)
def test_only_final_errors_have_a_final_status(code: ErrorCode) -> None:
    if code in OPERATIONS[CONFIGURATION_PATH]["PUT"].errors:
        assert (http_status_of(code) == 503) == (code not in FINAL)
