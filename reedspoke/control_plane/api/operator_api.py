"""The operator's calls: put, get and status. `openapi/operator.json` describes them."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from zlib import crc32

import msgspec
from msgspec import Struct

from reedspoke.common.configuration import Configuration
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.api.http_server import Request, Response
from reedspoke.control_plane.replication.effects import GetCompleted, PutCompleted

CONFIGURATION_PATH = "/reedspoke/configuration"
STATUS_PATH = "/reedspoke/status"
ANSWER_S = 0.94  # callers go to another scheduler after a second of silence
RETRY_AFTER_S = "0.1"
MOST_CALLS = 64  # waiting at a time
LARGEST_NUMBER = 2**63 - 1
LARGEST_DIGITS = 18

STATUS_OF = {
    ErrorCode.CONFIGURATION_UNREADABLE: 400,
    ErrorCode.CONFIGURATION_FIELD: 400,
    ErrorCode.CONFIGURATION_UNKNOWN_UPSTREAM: 400,
    ErrorCode.CONFIGURATION_DUPLICATE_ROUTE: 400,
    ErrorCode.CONFIGURATION_ZERO_WEIGHT: 400,
    ErrorCode.CONFIGURATION_ZERO_TIMEOUT: 400,
    ErrorCode.CONFIGURATION_OLD_GENERATION: 400,
    ErrorCode.CONFIGURATION_STALE_MATCH: 412,
    ErrorCode.CONFIGURATION_MATCH_MISSING: 400,
    ErrorCode.CONFIGURATION_TOO_LARGE: 413,
    ErrorCode.CONFIGURATION_SHARED_KEY: 400,
    ErrorCode.CONFIGURATION_DUPLICATE_TENANT: 400,
    ErrorCode.NO_CONFIGURATION: 404,
    ErrorCode.NO_ROUTE: 404,
    ErrorCode.MALFORMED_REQUEST: 400,
}
UNAVAILABLE = 503  # for every other code: another scheduler, or a later try, may succeed


class Accepted(Struct):
    """Body of the answer to a change that is in force."""

    generation: int


class ErrorDetail(Struct):
    """What went wrong: a number that is never reused, its name and a sentence."""

    code: int
    name: str
    message: str


class ErrorAnswer(Struct):
    """Body of every answer that is not a 200."""

    error: ErrorDetail


class StatusAnswer(Struct):
    """The state of this scheduler, for the command line."""

    node_name: str
    address: str
    view: int
    voters: tuple[str, ...]
    chain: tuple[str, ...]
    generation: int | None
    sequence: int
    edges: tuple[str, ...]
    peers: tuple[str, ...]
    workers: int
    workers_version: tuple[int, int]
    holds_list_duty: bool
    holds_majority: bool = False


class Calls:
    """What the API asks of the process."""

    def put(self, match: int, generation: int, document: bytes) -> Awaitable[PutCompleted]:
        """Have the configuration replicated. Raises FleetError where that cannot be tried."""
        raise NotImplementedError

    def check(self, document: bytes) -> Awaitable[Configuration]:
        """Parse a configuration. Raises FleetError, when awaited, where it is invalid."""
        raise NotImplementedError

    def get(self) -> Awaitable[GetCompleted]:
        """The newest configuration. Raises FleetError where that cannot be tried."""
        raise NotImplementedError

    def holds_majority(self) -> bool:
        """Whether a majority of voters stands behind this scheduler at this instant."""
        raise NotImplementedError

    def status(self) -> StatusAnswer:
        """The state of this scheduler."""
        raise NotImplementedError

    def answered(self, call: AnsweredCall) -> None:
        """A call has its answer."""


class AnsweredCall(Struct, frozen=True):
    """A call of an operator with its answer."""

    method: str
    path: str
    status: int
    code: ErrorCode | None  # None: a success
    message: str
    match: str  # of If-Match, as it was sent
    size: int  # bytes of the document that was sent
    checksum: str  # CRC-32 of it, in hexadecimal
    took_s: float


class Operation(Struct, frozen=True):
    """A method of a path, with the errors that it may answer."""

    run: Callable[[OperatorApi, Request], Awaitable[Response]]
    errors: frozenset[ErrorCode] = frozenset()
    needs_majority: bool = True  # at the instant at which the answer is given


class OperatorApi:
    """Turns requests into calls, and their results into answers."""

    def __init__(self, calls: Calls) -> None:
        self._calls = calls
        self._waiting = 0

    async def handle(self, request: Request) -> Response:
        """Answer one request; never later than ANSWER_S."""
        methods = OPERATIONS.get(request.path)
        if methods is None:
            return error_response(FleetError(ErrorCode.NO_ROUTE, f"unknown path {request.path}"))
        operation = methods.get(request.method)
        if operation is None:
            return _method_not_allowed(methods)
        if self._waiting >= MOST_CALLS:
            return error_response(FleetError(ErrorCode.OVERLOADED, "too many calls are waiting"))
        clock = asyncio.get_running_loop()
        began = clock.time()
        self._waiting += 1
        error: FleetError | None = None
        try:
            response = await operation.run(self, request)
        except FleetError as found:
            error = found
            response = error_response(error)
        finally:
            self._waiting -= 1
        if operation.needs_majority and response.status != UNAVAILABLE and not self._calls.holds_majority():
            error = FleetError(ErrorCode.NO_QUORUM, "no majority stands behind this machine")
            response = error_response(error)
        self._calls.answered(answered_call(request, response, error, clock.time() - began))
        return response

    async def put_configuration(self, request: Request) -> Response:
        """Take a whole configuration."""
        match = _match_number(request.headers.get("if-match"))
        try:
            async with asyncio.timeout(ANSWER_S):
                configuration = await self._calls.check(request.body)
                generation = configuration.generation
                _check_range(generation)
                answer = await self._calls.put(match, generation, request.body)
        except TimeoutError:
            raise FleetError(ErrorCode.WRITE_UNCLEAR, "no final answer yet; send it again") from None
        if answer.error is not None:
            raise FleetError(answer.error, answer.message)
        return Response(200, msgspec.json.encode(Accepted(generation)))

    async def get_configuration(self, request: Request) -> Response:
        """The newest configuration, byte for byte as it was sent."""
        try:
            async with asyncio.timeout(ANSWER_S):
                answer = await self._calls.get()
        except TimeoutError:
            raise FleetError(ErrorCode.NO_QUORUM, "the newest configuration is not known yet") from None
        if answer.error is not None:
            raise FleetError(answer.error, answer.message)
        if answer.committed is None:
            raise FleetError(ErrorCode.NO_CONFIGURATION, "no configuration has been taken")
        headers = {"Content-Type": "application/json", "ETag": f'"{answer.committed.generation}"'}
        return Response(200, answer.committed.document, headers)

    async def get_status(self, request: Request) -> Response:
        """The state of this scheduler."""
        return Response(200, msgspec.json.encode(self._calls.status()))


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
STATUS_ERRORS = frozenset((ErrorCode.OVERLOADED, ErrorCode.MALFORMED_REQUEST))
GET_ERRORS = UNAVAILABLE_ERRORS | {ErrorCode.NO_CONFIGURATION, ErrorCode.MALFORMED_REQUEST}

OPERATIONS: dict[str, dict[str, Operation]] = {
    CONFIGURATION_PATH: {
        "GET": Operation(OperatorApi.get_configuration, GET_ERRORS),
        "PUT": Operation(OperatorApi.put_configuration, PUT_ERRORS),
    },
    STATUS_PATH: {
        "GET": Operation(
            OperatorApi.get_status,
            frozenset((ErrorCode.OVERLOADED, ErrorCode.MALFORMED_REQUEST)),
            needs_majority=False,
        )
    },
}


def answered_call(
    request: Request, response: Response, error: FleetError | None, took_s: float
) -> AnsweredCall:
    """What the log and the figures tell of a call."""
    return AnsweredCall(
        method=request.method,
        path=request.path,
        status=response.status,
        code=None if error is None else error.code,
        message="" if error is None else error.message,
        match=request.headers.get("if-match", ""),
        size=len(request.body),
        checksum=f"{crc32(request.body):08x}" if request.body else "",
        took_s=took_s,
    )


def status_of(code: ErrorCode) -> int:
    """The HTTP status for an error."""
    return STATUS_OF.get(code, UNAVAILABLE)


def error_response(error: FleetError) -> Response:
    """The answer for an error."""
    status = status_of(error.code)
    response = Response(status, _error_body(error.code, error.message))
    if status == UNAVAILABLE:
        response.headers["Retry-After"] = RETRY_AFTER_S
    return response


def http_error_body(status: int, message: str) -> bytes:
    """The body for a request that could not be read."""
    too_large = status == STATUS_OF[ErrorCode.CONFIGURATION_TOO_LARGE]
    code = ErrorCode.CONFIGURATION_TOO_LARGE if too_large else ErrorCode.MALFORMED_REQUEST
    return _error_body(code, message)


def _error_body(code: ErrorCode, message: str) -> bytes:
    return msgspec.json.encode(ErrorAnswer(ErrorDetail(int(code), code.name.lower(), message)))


def _method_not_allowed(methods: dict[str, Operation]) -> Response:
    response = Response(405, _error_body(ErrorCode.MALFORMED_REQUEST, "unknown method for this path"))
    response.headers["Allow"] = ", ".join(methods)
    return response


def _check_range(generation: int) -> None:
    if not 0 < generation <= LARGEST_NUMBER:
        raise FleetError(ErrorCode.CONFIGURATION_FIELD, f"generation {generation} is out of range")


def _match_number(value: str | None) -> int:
    text = (value or "").strip().strip('"')
    if not (text.isascii() and text.isdigit() and len(text) <= LARGEST_DIGITS):
        message = "If-Match must give the number of the configuration that this one builds on, or 0"
        raise FleetError(ErrorCode.CONFIGURATION_MATCH_MISSING, message)
    return int(text)
