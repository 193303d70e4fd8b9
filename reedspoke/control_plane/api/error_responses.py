"""Errors of the operator API as HTTP responses."""

from __future__ import annotations

import msgspec

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.api.http_messages import Response
from reedspoke.control_plane.api.schemas import ErrorAnswer, ErrorDetail

SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504  # the call may have taken effect, or may yet
TOO_MANY_REQUESTS = 429  # nothing was done, and nothing will be until there is room
RETRY_AFTER_S = "0.1"
UNKNOWN_METHOD = "unknown method for this path"

STATUS_BY_CODE = {
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
    ErrorCode.TALLY_MALFORMED: 400,
    ErrorCode.UNKNOWN_ZONE: 400,
    ErrorCode.TALLY_UNCLEAR: GATEWAY_TIMEOUT,
    ErrorCode.TALLIES_FULL: TOO_MANY_REQUESTS,
}


def http_status_of(code: ErrorCode) -> int:
    """The HTTP status for an error: 503 unless another node, or a later attempt, would fail as well."""
    return STATUS_BY_CODE.get(code, SERVICE_UNAVAILABLE)


def error_response(error: FleetError) -> Response:
    """The response for an error; one that promises that nothing was done has Retry-After."""
    status = http_status_of(error.code)
    response = Response(status, _error_body(error.code, error.message))
    if status in (SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS):
        response.headers["Retry-After"] = RETRY_AFTER_S
    return response


def malformed_request_body(status: int, message: str) -> bytes:
    """The body of the response to a request that could not be read, by the HTTP status and its cause."""
    too_large = status == STATUS_BY_CODE[ErrorCode.CONFIGURATION_TOO_LARGE]
    code = ErrorCode.CONFIGURATION_TOO_LARGE if too_large else ErrorCode.MALFORMED_REQUEST
    return _error_body(code, message)


def method_not_allowed(allowed: list[str]) -> Response:
    """The response to a method that the path does not have."""
    response = Response(405, _error_body(ErrorCode.MALFORMED_REQUEST, UNKNOWN_METHOD))
    response.headers["Allow"] = ", ".join(allowed)
    return response


def _error_body(code: ErrorCode, message: str) -> bytes:
    return msgspec.json.encode(ErrorAnswer(ErrorDetail(int(code), code.name.lower(), message)))
