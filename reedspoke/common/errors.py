"""Numbered error codes of the router fleet, with a row for each in `docs/errors.md`; no number is ever
reused.

Names and numbers appear in responses and log lines, so neither may change.
"""

from __future__ import annotations

from enum import IntEnum


class ErrorCode(IntEnum):
    """1xx settings, 2xx configuration, 3xx control state, 4xx storage, 5xx requests."""

    SETTINGS_UNREADABLE = 101
    SETTINGS_INVALID = 102

    CONFIGURATION_UNREADABLE = 201
    CONFIGURATION_FIELD = 202
    CONFIGURATION_UNKNOWN_UPSTREAM = 203
    CONFIGURATION_DUPLICATE_ROUTE = 204
    CONFIGURATION_ZERO_WEIGHT = 205
    CONFIGURATION_ZERO_TIMEOUT = 206
    CONFIGURATION_OLD_GENERATION = 207
    CONFIGURATION_STALE_MATCH = 208
    CONFIGURATION_MATCH_MISSING = 209
    CONFIGURATION_TOO_LARGE = 210
    CONFIGURATION_SHARED_KEY = 211
    CONFIGURATION_DUPLICATE_TENANT = 212

    NO_QUORUM = 301
    NOT_MEMBER = 302
    WRITE_UNCLEAR = 303
    NO_CONFIGURATION = 304
    SHUTTING_DOWN = 305
    PLATFORM_FAILED = 306
    PLATFORM_RATE = 307
    FRAME_MALFORMED = 308
    TALLY_UNCLEAR = 309
    TALLIES_FULL = 310
    TALLIES_BEHIND = 311
    CALLER_GONE = 312
    STATE_UNKNOWN = 313

    STORAGE_CORRUPT = 401
    STORAGE_FULL = 402
    STORAGE_FAILED = 403

    NO_ROUTE = 501
    NO_WORKER = 502
    DEADLINE = 503
    WORKER_FAILED = 504
    OVERLOADED = 505
    MALFORMED_REQUEST = 506
    REQUEST_TOO_LARGE = 507
    NOT_READY = 508
    RETRY_BUDGET = 509
    EVENT_TOO_LARGE = 510
    CONFIGURATION_IN_DOUBT = 511
    UNKNOWN_KEY = 512
    KEY_IN_DOUBT = 513
    QUOTA_SPENT = 514
    QUOTA_UNAVAILABLE = 515
    TALLY_MALFORMED = 516
    UNKNOWN_ZONE = 517


class NumberedError(Exception):
    """The base of all errors of the fleet: an error code and one plain sentence for the operator."""

    def __init__(self, code: IntEnum, message: str) -> None:
        super().__init__(message)
        self.code = code
        self.message = message

    def __str__(self) -> str:
        return f"E{int(self.code)} {self.code.name.lower()}: {self.message}"


class FleetError(NumberedError):
    """An error of the control plane or the data plane, with a code of `ErrorCode`."""

    code: ErrorCode

    def __init__(self, code: ErrorCode, message: str) -> None:
        super().__init__(code, message)
