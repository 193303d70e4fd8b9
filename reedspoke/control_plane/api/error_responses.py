"""Maps errors of the operator API to HTTP responses."""

from __future__ import annotations

import msgspec

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.api.http_messages import Response
from reedspoke.control_plane.api.schemas import ErrorAnswer, ErrorDetail

SERVICE_UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504  # The call may have taken effect, or may still take effect.
TOO_MANY_REQUESTS = 429  # The call had no effect, and a retry fails until there is capacity.
RETRY_AFTER_S = "0.1"
UNKNOWN_METHOD = "method not allowed for this path"

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
    """Return the HTTP status for an error.

    Errors that may not occur at another node or on a later attempt have status 503.
    """
    return STATUS_BY_CODE.get(code, SERVICE_UNAVAILABLE)


def error_response(error: FleetError) -> Response:
    """Return the response for an error.

    It has Retry-After if its status is 429 or 503, which tell the client to retry.
    """
    status = http_status_of(error.code)
    response = Response(status, _error_body(error.code, error.message))
    if status in (SERVICE_UNAVAILABLE, TOO_MANY_REQUESTS):
        response.headers["Retry-After"] = RETRY_AFTER_S
    return response


def malformed_request_body(status: int, message: str) -> bytes:
    """Return the response body for a malformed request, from the HTTP status and the parser's message."""
    too_large = status == STATUS_BY_CODE[ErrorCode.CONFIGURATION_TOO_LARGE]
    code = ErrorCode.CONFIGURATION_TOO_LARGE if too_large else ErrorCode.MALFORMED_REQUEST
    return _error_body(code, message)


def method_not_allowed(allowed: list[str]) -> Response:
    """Return the response to a request whose method the path does not support."""
    response = Response(405, _error_body(ErrorCode.MALFORMED_REQUEST, UNKNOWN_METHOD))
    response.headers["Allow"] = ", ".join(allowed)
    return response


def _error_body(code: ErrorCode, message: str) -> bytes:
    return msgspec.json.encode(ErrorAnswer(ErrorDetail(int(code), code.name.lower(), message)))
