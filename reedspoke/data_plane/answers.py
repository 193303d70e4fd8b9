"""Answers that this program gives itself: JSON with a result code."""

from __future__ import annotations

import math

import msgspec
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.data_plane.headers import status_line
from reedspoke.decision.messages import Fail, FailReason, Refuse

KEY_IN_DOUBT_RETRY_S = 0.3


class CompleteAnswer(Struct, frozen=True):
    """An answer with its whole body; `fields` are header lines, each with its line end."""

    status_line: bytes
    fields: bytes
    body: bytes


def error_answer(
    status: int, code: ErrorCode, message: str, retry_after: float | None = None
) -> CompleteAnswer:
    """An answer of this program. `retry_after` is in seconds."""
    body = msgspec.json.encode({"error": {"code": int(code), "name": code.name.lower(), "message": message}})
    fields = b"Content-Type: application/json\r\n"
    if retry_after is not None:
        fields += b"Retry-After: %b\r\n" % format_seconds(retry_after)
    return CompleteAnswer(status_line(status), fields, body)


def status_of(answer: CompleteAnswer) -> int:
    """The status of an answer."""
    return int(answer.status_line[9:12])


def format_seconds(seconds: float) -> bytes:
    """Seconds rounded up to hundredths."""
    return f"{math.ceil(seconds * 100) / 100:.2f}".encode()


# ---- final answers to requests without one of a worker: 503 promises that it has not run, 502 and 504 don't


def refused(decision: Refuse) -> CompleteAnswer:
    """No worker took it, or it is harmless to repeat."""
    message = f"not served: {decision.reason.name.lower()}"
    return error_answer(503, ErrorCode.OVERLOADED, message, decision.retry_after_s)


def failed(decision: Fail) -> CompleteAnswer:
    """Its last attempt may have run."""
    code = ErrorCode.RETRY_BUDGET if decision.reason is FailReason.BUDGET else ErrorCode.WORKER_FAILED
    return error_answer(502, code, "the worker failed")


def worker_failed() -> CompleteAnswer:
    """The worker's answer cannot be passed on."""
    return error_answer(502, ErrorCode.WORKER_FAILED, "the worker failed")


def expired(*, ran: bool) -> CompleteAnswer:
    """Its time is over."""
    if ran:
        return error_answer(504, ErrorCode.DEADLINE, "no answer in time")
    return error_answer(503, ErrorCode.DEADLINE, "no worker in time", 0.0)


def unconfirmed_key_answer() -> CompleteAnswer:
    """Its key may have been taken away; it has not run."""
    message = "whether the key still counts is not certain"
    return error_answer(503, ErrorCode.KEY_IN_DOUBT, message, KEY_IN_DOUBT_RETRY_S)


def process_ends(*, ran: bool) -> CompleteAnswer:
    """This process ends first."""
    if ran:
        return error_answer(502, ErrorCode.SHUTTING_DOWN, "the scheduler ends")
    return error_answer(503, ErrorCode.SHUTTING_DOWN, "the scheduler ends", 0.0)
