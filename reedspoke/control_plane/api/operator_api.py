"""The operations of the HTTP API: configuration, status, tallies and evacuation of zones.

`openapi/operator.json` describes them.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable

import msgspec
from msgspec import Struct

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.api.backend import OperatorBackend
from reedspoke.control_plane.api.call_log import CLIENT_CLOSED_REQUEST, UNKNOWN_PATH, CompletedCall
from reedspoke.control_plane.api.error_responses import (
    SERVICE_UNAVAILABLE,
    UNKNOWN_METHOD,
    error_response,
    method_not_allowed,
)
from reedspoke.control_plane.api.http_messages import Request, Response
from reedspoke.control_plane.api.schemas import Accepted, TallyTotal
from reedspoke.control_plane.api.tally_calls import TALLY_PATH, TALLY_PREFIX, parse_tally_add, tally_name

CONFIGURATION_PATH = "/reedspoke/configuration"
STATUS_PATH = "/reedspoke/status"
RESPONSE_TIMEOUT_S = 0.94  # Callers switch to another node after one second without a response.
MAX_PENDING_CALLS = 64
MAX_PENDING_TALLY_CALLS = 256  # a separate limit, so that applications cannot use up the operators' calls
EVACUATION_PREFIX = "/reedspoke/evacuation/"
EVACUATION_PATH = "/reedspoke/evacuation/{zone}"
MAX_GENERATION = 2**63 - 1
MAX_MATCH_DIGITS = 18


class Operation(Struct, frozen=True):
    """A method of a path, with the errors that it may return."""

    run: Callable[[OperatorApi, Request], Awaitable[Response]]
    errors: frozenset[ErrorCode] = frozenset()
    needs_majority: bool = True  # checked when the response is sent


PATH_TEMPLATES = {TALLY_PREFIX: TALLY_PATH, EVACUATION_PREFIX: EVACUATION_PATH}


def served_path(path: str) -> str:
    """Return the path template in OPERATIONS for a request's path, or the path itself without a match."""
    prefix, _, name = path.rpartition("/")
    return PATH_TEMPLATES.get(prefix + "/", path) if name else path


class OperatorApi:
    """Converts requests to calls of the backend, and their results to responses.

    It owns the counts of pending calls, which are bounded.
    """

    def __init__(self, backend: OperatorBackend) -> None:
        self._backend = backend
        self._pending: Counter[bool] = Counter()  # keyed by whether the calls are for tallies

    async def handle(self, request: Request) -> Response:
        """Handle one request and return its response within RESPONSE_TIMEOUT_S."""
        path = served_path(request.path)
        methods = OPERATIONS.get(path)
        if methods is None:
            error = FleetError(ErrorCode.NO_ROUTE, f"unknown path {request.path}")
            return self._reject_call(request, UNKNOWN_PATH, error, error_response(error))
        operation = methods.get(request.method)
        if operation is None:
            error = FleetError(ErrorCode.MALFORMED_REQUEST, UNKNOWN_METHOD)
            return self._reject_call(request, path, error, method_not_allowed(list(methods)))
        is_tally = path == TALLY_PATH
        if self._pending[is_tally] >= (MAX_PENDING_TALLY_CALLS if is_tally else MAX_PENDING_CALLS):
            error = FleetError(ErrorCode.OVERLOADED, "too many calls are pending")
            return self._reject_call(request, path, error, error_response(error))
        self._pending[is_tally] += 1
        try:
            return await self._run(operation, request, path)
        finally:
            self._pending[is_tally] -= 1

    def _reject_call(self, request: Request, path: str, error: FleetError, response: Response) -> Response:
        """Count and log a call that is rejected before any operation runs, and return its response."""
        self._backend.call_completed(CompletedCall(request, path, response.status, error, 0.0))
        return response

    async def _run(self, operation: Operation, request: Request, path: str) -> Response:
        clock = asyncio.get_running_loop()
        started_at = clock.time()
        error: FleetError | None = None
        try:
            response = await operation.run(self, request)
        except FleetError as raised:
            error = raised
            response = error_response(error)
        except asyncio.CancelledError:
            duration_s = clock.time() - started_at
            self._backend.call_completed(
                CompletedCall(request, path, CLIENT_CLOSED_REQUEST, None, duration_s)
            )
            raise
        # If the majority was lost while the call was pending, no definite response may be sent.
        definite = response.status != SERVICE_UNAVAILABLE
        if operation.needs_majority and definite and not self._backend.holds_majority():
            error = FleetError(ErrorCode.NO_QUORUM, "this node has no contact with a majority of voters")
            response = error_response(error)
        duration_s = clock.time() - started_at
        self._backend.call_completed(CompletedCall(request, path, response.status, error, duration_s))
        return response

    async def put_configuration(self, request: Request) -> Response:
        """Replace the configuration. Raises FleetError if it is invalid or not committed."""
        match = _match_number(request.headers.get("if-match"))
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                configuration = await self._backend.validate(request.body)
                generation = configuration.generation
                _check_generation(generation)
                answer = await self._backend.put(match, generation, request.body)
        except TimeoutError:
            raise FleetError(ErrorCode.WRITE_UNCLEAR, "no result in time; retry") from None
        if answer.error is not None:
            raise FleetError(answer.error, answer.message)
        return Response(200, msgspec.json.encode(Accepted(generation)))

    async def get_configuration(self, request: Request) -> Response:
        """Return the newest configuration, byte for byte as the operator sent it.

        Raises FleetError if this node cannot determine the newest configuration.
        """
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                answer = await self._backend.get()
        except TimeoutError:
            raise FleetError(ErrorCode.NO_QUORUM, "newest configuration not confirmed in time") from None
        if answer.error is not None:
            raise FleetError(answer.error, answer.message)
        if answer.committed is None:
            raise FleetError(ErrorCode.NO_CONFIGURATION, "no configuration has been accepted yet")
        headers = {"Content-Type": "application/json", "ETag": f'"{answer.committed.generation}"'}
        return Response(200, answer.committed.document, headers)

    async def add_to_tally(self, request: Request) -> Response:
        """Apply an addition to a tally exactly once, on either side of a network partition.

        Raises FleetError: with TALLY_UNCLEAR the addition may have been applied, with any other code it was
        not.
        """
        add = parse_tally_add(request)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await self._backend.add_to_tally(add)
        except TimeoutError:
            raise FleetError(ErrorCode.TALLY_UNCLEAR, "not stored on enough nodes in time; retry") from None
        return Response(200, b"{}")

    async def get_tally(self, request: Request) -> Response:
        """Return the total of a tally, 0 for an unused name.

        Raises FleetError while this node is still catching up.
        """
        total = self._backend.tally_total(tally_name(request.path))
        return Response(200, msgspec.json.encode(TallyTotal(total)))

    async def evacuate(self, request: Request) -> Response:
        """Stop sending requests to the workers of a zone.

        Raises FleetError if the order is not acknowledged.
        """
        return await self._order_evacuation(request, evacuated=True)

    async def withdraw_evacuation(self, request: Request) -> Response:
        """Allow requests to the workers of a zone again.

        Raises FleetError if the order is not acknowledged.
        """
        return await self._order_evacuation(request, evacuated=False)

    async def _order_evacuation(self, request: Request, evacuated: bool) -> Response:
        zone = request.path.removeprefix(EVACUATION_PREFIX)
        try:
            async with asyncio.timeout(RESPONSE_TIMEOUT_S):
                await self._backend.order_evacuation(zone, evacuated, request.is_abandoned)
        except TimeoutError:
            raise FleetError(ErrorCode.TALLY_UNCLEAR, "not stored on enough nodes in time; retry") from None
        return Response(200, b"{}")

    async def get_status(self, request: Request) -> Response:
        """Return the state of this node. It is also available without a majority.

        Raises FleetError STATE_UNKNOWN while the node starts.
        """
        return Response(200, msgspec.json.encode(self._backend.status()))


UNAVAILABLE_ERRORS = frozenset(
    (
        ErrorCode.NO_QUORUM,
        ErrorCode.NOT_MEMBER,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.OVERLOADED,
    )
)
PUT_ERRORS = UNAVAILABLE_ERRORS | {
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
    ErrorCode.WRITE_UNCLEAR,
    ErrorCode.STORAGE_FULL,
    ErrorCode.STORAGE_FAILED,
}
STATUS_ERRORS = frozenset((ErrorCode.OVERLOADED, ErrorCode.MALFORMED_REQUEST, ErrorCode.STATE_UNKNOWN))
GET_ERRORS = UNAVAILABLE_ERRORS | {ErrorCode.NO_CONFIGURATION, ErrorCode.MALFORMED_REQUEST}
TALLY_ERRORS = frozenset(
    (
        ErrorCode.TALLY_MALFORMED,
        ErrorCode.TALLIES_BEHIND,
        ErrorCode.SHUTTING_DOWN,
        ErrorCode.OVERLOADED,
        ErrorCode.MALFORMED_REQUEST,
    )
)
ADD_ERRORS = TALLY_ERRORS | {ErrorCode.TALLY_UNCLEAR, ErrorCode.TALLIES_FULL, ErrorCode.STORAGE_FAILED}
EVACUATION_ERRORS = UNAVAILABLE_ERRORS | {
    ErrorCode.MALFORMED_REQUEST,
    ErrorCode.STORAGE_FAILED,
    ErrorCode.TALLIES_BEHIND,
    ErrorCode.TALLY_UNCLEAR,
    ErrorCode.UNKNOWN_ZONE,
    ErrorCode.CALLER_GONE,
}

OPERATIONS: dict[str, dict[str, Operation]] = {
    CONFIGURATION_PATH: {
        "GET": Operation(OperatorApi.get_configuration, GET_ERRORS),
        "PUT": Operation(OperatorApi.put_configuration, PUT_ERRORS),
    },
    STATUS_PATH: {
        "GET": Operation(OperatorApi.get_status, STATUS_ERRORS, needs_majority=False),
    },
    # A path that is missing here is answered with 404, even if another table or document describes it.
    # Tallies accept additions on either side of a network partition, so they need no majority.
    TALLY_PATH: {
        "GET": Operation(OperatorApi.get_tally, TALLY_ERRORS, needs_majority=False),
        "POST": Operation(OperatorApi.add_to_tally, ADD_ERRORS, needs_majority=False),
    },
    EVACUATION_PATH: {
        "POST": Operation(OperatorApi.evacuate, EVACUATION_ERRORS),
        "DELETE": Operation(OperatorApi.withdraw_evacuation, EVACUATION_ERRORS),
    },
}


def _check_generation(generation: int) -> None:
    if not 0 < generation <= MAX_GENERATION:
        raise FleetError(ErrorCode.CONFIGURATION_FIELD, f"generation {generation} is out of range")


def _match_number(value: str | None) -> int:
    text = (value or "").strip().strip('"')
    if not (text.isascii() and text.isdigit() and len(text) <= MAX_MATCH_DIGITS):
        message = "If-Match must be the generation that this configuration replaces, or 0 for the first"
        raise FleetError(ErrorCode.CONFIGURATION_MATCH_MISSING, message)
    return int(text)
