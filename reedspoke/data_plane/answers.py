"""Final answers that the scheduler generates itself: JSON with an error code.

Status 503 tells the client that its request has not run, or may be repeated; 502 and 504 do not.
"""

from __future__ import annotations

import math

import msgspec
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.data_plane.headers import status_line
from reedspoke.decision.messages import Fail, FailReason, Refuse

UNCONFIRMED_KEY_RETRY_S = 0.3


class CompleteAnswer(Struct, frozen=True):
    """An answer with its complete body; `fields` are header lines, each with its line end."""

    status_line: bytes
    fields: bytes
    body: bytes


def error_answer(
    status: int, code: ErrorCode, message: str, retry_after: float | None = None
) -> CompleteAnswer:
    """An error answer of the scheduler. `retry_after` is in seconds; None omits the field."""
    body = msgspec.json.encode({"error": {"code": int(code), "name": code.name.lower(), "message": message}})
    fields = b"Content-Type: application/json\r\n"
    if retry_after is not None:
        fields += b"Retry-After: %b\r\n" % format_seconds(retry_after)
    return CompleteAnswer(status_line(status), fields, body)


def status_of(answer: CompleteAnswer) -> int:
    """The status code of an answer."""
    return int(answer.status_line[9:12])


def format_seconds(seconds: float) -> bytes:
    """Formats seconds, rounded up to hundredths."""
    return f"{math.ceil(seconds * 100) / 100:.2f}".encode()


def refused_answer(decision: Refuse) -> CompleteAnswer:
    """The answer to a request that has not run, or that may be repeated."""
    message = f"not served: {decision.reason.name.lower()}"
    return error_answer(503, ErrorCode.OVERLOADED, message, decision.retry_after_s)


def failed_answer(decision: Fail) -> CompleteAnswer:
    """The answer to a request whose last attempt may have run."""
    code = ErrorCode.RETRY_BUDGET if decision.reason is FailReason.BUDGET else ErrorCode.WORKER_FAILED
    return error_answer(502, code, "the worker failed")


def worker_failed_answer() -> CompleteAnswer:
    """The answer in place of a worker's answer that must not be forwarded."""
    return error_answer(502, ErrorCode.WORKER_FAILED, "the worker failed")


def expired_answer(*, may_have_run: bool) -> CompleteAnswer:
    """The answer to a request whose deadline has passed."""
    if may_have_run:
        return error_answer(504, ErrorCode.DEADLINE, "no answer in time")
    return error_answer(503, ErrorCode.DEADLINE, "no worker in time", 0.0)


def unconfirmed_key_answer() -> CompleteAnswer:
    """The answer to a request that has not run and whose key may have been revoked."""
    message = "the scheduler cannot confirm that the key is still valid"
    return error_answer(503, ErrorCode.KEY_IN_DOUBT, message, UNCONFIRMED_KEY_RETRY_S)


def shutdown_answer(*, may_have_run: bool) -> CompleteAnswer:
    """The answer to a request that is unfinished when the process ends."""
    if may_have_run:
        return error_answer(502, ErrorCode.SHUTTING_DOWN, "the scheduler is shutting down")
    return error_answer(503, ErrorCode.SHUTTING_DOWN, "the scheduler is shutting down", 0.0)
