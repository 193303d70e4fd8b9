"""Callers: whom a token or a certificate means, and its tenants, classes, rate and number of open jobs.

Pure; no clock. A rejection here is made before the decision module hears of the job: it counts against no
tenant's share. Times are microseconds.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from dataclasses import dataclass

from reedspoke.errors import ReedspokeError

SECOND_US = 1_000_000
UNAUTHORIZED, FORBIDDEN, TOO_MANY_REQUESTS = 401, 403, 429  # HTTP statuses


@dataclass(slots=True, frozen=True)
class Caller:
    """A caller as the operator file names it.

    `subjects`: (issuer, subject) of its tokens; `names`: in its certificates. `classes` None: all. `rate`:
    jobs a second, 0: no limit; `burst`: of them at once; `max_open_jobs`: 0: no limit.
    """

    name: str
    tenants: frozenset[str]
    subjects: frozenset[tuple[str, str]] = frozenset()
    names: frozenset[str] = frozenset()
    classes: frozenset[str] | None = None
    rate: float = 0.0
    burst: float = 1.0
    max_open_jobs: int = 0


class CallerDeniedError(ReedspokeError):
    """A request may not come in.

    `reason` is stable; `status` of the response; `retry_after` in microseconds, 0: not by waiting.
    """

    code = "caller-denied"
    remedy = "give the caller the right in identity.callers, or have it wait where a rate is passed"

    def __init__(self, reason: str, status: int = FORBIDDEN, caller: str = "", retry_after: int = 0) -> None:
        super().__init__(reason)
        self.reason, self.status, self.caller, self.retry_after = reason, status, caller, retry_after


@dataclass(slots=True)
class CallerUsage:
    """What a caller uses now: the level of its token bucket as of a time, and its open jobs."""

    level: float
    refilled_at: int
    open_jobs: int = 0


class CallerRegistry:
    """All callers by token subject and by certificate name; owns what each of them uses.

    Raises ValueError where two callers claim one subject or one name: who is meant would be a guess.
    """

    def __init__(self, callers: Iterable[Caller] = ()) -> None:
        self._callers: dict[str, Caller] = {}
        self._by_subject: dict[tuple[str, str], Caller] = {}
        self._by_certificate_name: dict[str, Caller] = {}
        self._usage: dict[str, CallerUsage] = {}
        self.update(callers)

    def update(self, callers: Iterable[Caller]) -> None:
        """What the operator file names now. Raises ValueError, and then nothing changes.

        What callers use goes on to be counted, also for one that is removed and comes back.
        """
        by_name: dict[str, Caller] = {}
        by_subject: dict[tuple[str, str], Caller] = {}
        by_certificate_name: dict[str, Caller] = {}
        for caller in callers:
            if caller.name in by_name:
                raise ValueError(f"caller {caller.name!r} is there twice")
            by_name[caller.name] = caller
            for subject in caller.subjects:
                if by_subject.setdefault(subject, caller) is not caller:
                    raise ValueError(f"subject {subject[1]!r} of {subject[0]!r} stands for two callers")
            for name in caller.names:
                if by_certificate_name.setdefault(name.lower(), caller) is not caller:
                    raise ValueError(f"name {name!r} stands for two callers")
        self._callers, self._by_subject = by_name, by_subject
        self._by_certificate_name = by_certificate_name
        self._usage = {
            name: usage for name, usage in self._usage.items() if name in by_name or usage.open_jobs
        }

    # ---- who ----

    def find_by_token(self, issuer: str, subject: str) -> Caller:
        """The caller that a token's subject means. Raises CallerDeniedError."""
        caller = self._by_subject.get((issuer, subject))
        if caller is None:
            raise CallerDeniedError("unknown_subject")
        return caller

    def find_by_certificate(self, names: Iterable[str]) -> Caller:
        """By a certificate's names; all that are known must mean one caller. Raises CallerDeniedError."""
        matching = {
            caller.name: caller
            for name in names
            if (caller := self._by_certificate_name.get(name.lower())) is not None
        }
        if not matching:
            raise CallerDeniedError("unknown_certificate")
        if len(matching) > 1:
            raise CallerDeniedError("ambiguous_certificate")
        return next(iter(matching.values()))

    def combine(
        self, by_token: Caller | None, by_certificate: Caller | None, bound_to: str = "", thumbprint: str = ""
    ) -> Caller:
        """The caller that token and certificate, where both are there, agree on. Raises CallerDeniedError.

        A token that is bound to a certificate is worth nothing without it (RFC 8705, 3).
        """
        if bound_to and not hmac.compare_digest(bound_to.encode(), thumbprint.encode()):
            raise CallerDeniedError("binding", UNAUTHORIZED, by_token.name if by_token is not None else "")
        if by_token is not None and by_certificate is not None and by_token.name != by_certificate.name:
            raise CallerDeniedError("disagree", FORBIDDEN, by_certificate.name)
        caller = by_token or by_certificate
        if caller is None:
            raise CallerDeniedError("nobody", UNAUTHORIZED)
        return caller

    # ---- what ----

    def authorize_tenant(self, caller: Caller, requested: str, cls: str) -> str:
        """The tenant that the caller may act for, its only one where none is requested.

        Raises CallerDeniedError.
        """
        current = self._callers.get(caller.name)
        if current is None:
            raise CallerDeniedError("gone", UNAUTHORIZED, caller.name)
        if current.classes is not None and cls not in current.classes:
            raise CallerDeniedError("class", FORBIDDEN, caller.name)
        if not requested and len(current.tenants) == 1:
            return next(iter(current.tenants))
        if requested not in current.tenants:
            raise CallerDeniedError("tenant" if requested else "tenant_missing", FORBIDDEN, caller.name)
        return requested

    # ---- how much ----

    def open_job(self, caller: Caller, now: int) -> None:
        """One job more; `close_job` ends it. Raises CallerDeniedError, and then nothing is counted."""
        usage = self._usage.get(caller.name)
        if usage is None:
            usage = self._usage[caller.name] = CallerUsage(caller.burst, now)
        if caller.max_open_jobs and usage.open_jobs >= caller.max_open_jobs:
            raise CallerDeniedError("open", TOO_MANY_REQUESTS, caller.name)
        if caller.rate:
            self._take_token(caller, usage, now)
        usage.open_jobs += 1

    def close_job(self, name: str) -> None:
        """A job of that caller has its final response, or its client has gone."""
        usage = self._usage.get(name)
        if usage is not None:
            usage.open_jobs = max(0, usage.open_jobs - 1)
            if not usage.open_jobs and name not in self._callers:
                del self._usage[name]

    def open_jobs(self, name: str) -> int:
        """How many jobs of that caller are open."""
        usage = self._usage.get(name)
        return usage.open_jobs if usage is not None else 0

    def _take_token(self, caller: Caller, usage: CallerUsage, now: int) -> None:
        elapsed = max(0, now - usage.refilled_at)
        level = min(max(1.0, caller.burst), usage.level + elapsed * caller.rate / SECOND_US)
        usage.refilled_at = now
        if level < 1:
            usage.level = level
            retry_after = int((1 - level) / caller.rate * SECOND_US) + 1
            raise CallerDeniedError("rate", TOO_MANY_REQUESTS, caller.name, retry_after)
        usage.level = level - 1
