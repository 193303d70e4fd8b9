"""What a caller may do: tenants, classes, a rate and a number of open jobs. No I/O and no clock of its own.

A refusal here is told before the decision module hears of the job: it counts against no tenant's share.
Times are us.
"""

from __future__ import annotations

import hmac
from collections.abc import Iterable
from dataclasses import dataclass

from reedspoke.errors import ReedspokeError

SECOND = 1_000_000


@dataclass(slots=True, frozen=True)
class Caller:
    """`subjects`: (issuer, subject) of its tokens; `names`: in its certificates. `classes` None: all.
    `rate`: jobs a second, 0: no bound; `burst`: of them at once; `most_open`: 0: no bound."""

    name: str
    tenants: frozenset[str]
    subjects: frozenset[tuple[str, str]] = frozenset()
    names: frozenset[str] = frozenset()
    classes: frozenset[str] | None = None
    rate: float = 0.0
    burst: float = 1.0
    most_open: int = 0


class DeniedError(ReedspokeError):
    """`reason` is stable; `status` of the answer; `after`: us until it may be tried again, 0: not by
    waiting."""

    code = "caller-denied"
    remedy = "give the caller the right in identity.callers, or have it wait where a rate is passed"

    def __init__(self, reason: str, status: int = 403, caller: str = "", after: int = 0) -> None:
        super().__init__(reason)
        self.reason, self.status, self.caller, self.after = reason, status, caller, after


@dataclass(slots=True)
class Use:
    """What a caller holds now."""

    left: float
    at: int
    open: int = 0


class Rights:
    """Raises ValueError where two callers claim one subject or one name: who is meant would be a guess."""

    def __init__(self, callers: Iterable[Caller] = ()) -> None:
        self._callers: dict[str, Caller] = {}
        self._subjects: dict[tuple[str, str], Caller] = {}
        self._names: dict[str, Caller] = {}
        self._uses: dict[str, Use] = {}
        self.change(callers)

    def change(self, callers: Iterable[Caller]) -> None:
        """What the operator file names now. What callers hold goes on to be counted, also of one that comes
        back; nothing changes where this raises ValueError."""
        named: dict[str, Caller] = {}
        subjects: dict[tuple[str, str], Caller] = {}
        names: dict[str, Caller] = {}
        for caller in callers:
            if caller.name in named:
                raise ValueError(f"caller {caller.name!r} is there twice")
            named[caller.name] = caller
            for subject in caller.subjects:
                if subjects.setdefault(subject, caller) is not caller:
                    raise ValueError(f"subject {subject[1]!r} of {subject[0]!r} stands for two callers")
            for name in caller.names:
                if names.setdefault(name.lower(), caller) is not caller:
                    raise ValueError(f"name {name!r} stands for two callers")
        self._callers, self._subjects, self._names = named, subjects, names
        self._uses = {name: use for name, use in self._uses.items() if name in named or use.open}

    # ---- who ----

    def of_token(self, issuer: str, subject: str) -> Caller:
        """Raises DeniedError."""
        caller = self._subjects.get((issuer, subject))
        if caller is None:
            raise DeniedError("unknown_subject")
        return caller

    def of_certificate(self, names: Iterable[str]) -> Caller:
        """By the names in it; all that are known must mean the same caller. Raises DeniedError."""
        found = {
            caller.name: caller for name in names if (caller := self._names.get(name.lower())) is not None
        }
        if not found:
            raise DeniedError("unknown_certificate")
        if len(found) > 1:
            raise DeniedError("ambiguous_certificate")
        return next(iter(found.values()))

    def both(
        self, by_token: Caller | None, by_certificate: Caller | None, bound_to: str = "", thumbprint: str = ""
    ) -> Caller:
        """A token that is bound to a certificate is worth nothing without it (RFC 8705, 3). Raises
        DeniedError."""
        if bound_to and not hmac.compare_digest(bound_to.encode(), thumbprint.encode()):
            raise DeniedError("binding", 401, by_token.name if by_token is not None else "")
        if by_token is not None and by_certificate is not None and by_token.name != by_certificate.name:
            raise DeniedError("disagree", 403, by_certificate.name)
        caller = by_token or by_certificate
        if caller is None:
            raise DeniedError("nobody", 401)
        return caller

    # ---- what ----

    def tenant(self, caller: Caller, told: str, cls: str) -> str:
        """The tenant that is proven. Raises DeniedError."""
        current = self._callers.get(caller.name)
        if current is None:
            raise DeniedError("gone", 401, caller.name)
        if current.classes is not None and cls not in current.classes:
            raise DeniedError("class", 403, caller.name)
        if not told and len(current.tenants) == 1:
            return next(iter(current.tenants))
        if told not in current.tenants:
            raise DeniedError("tenant" if told else "tenant_missing", 403, caller.name)
        return told

    # ---- how much ----

    def take(self, caller: Caller, now: int) -> None:
        """One job more; `give` ends it. Raises DeniedError, and then nothing is taken."""
        use = self._uses.get(caller.name)
        if use is None:
            use = self._uses[caller.name] = Use(caller.burst, now)
        if caller.most_open and use.open >= caller.most_open:
            raise DeniedError("open", 429, caller.name)
        if caller.rate:
            since = max(0, now - use.at)
            left = min(max(1.0, caller.burst), use.left + since * caller.rate / SECOND)
            if left < 1:
                use.left, use.at = left, now
                raise DeniedError("rate", 429, caller.name, int((1 - left) / caller.rate * SECOND) + 1)
            use.left, use.at = left - 1, now
        use.open += 1

    def give(self, name: str) -> None:
        """A job of that caller has its final answer, or its client has gone."""
        use = self._uses.get(name)
        if use is not None:
            use.open = max(0, use.open - 1)
            if not use.open and name not in self._callers:
                del self._uses[name]

    def open(self, name: str) -> int:
        use = self._uses.get(name)
        return use.open if use is not None else 0
