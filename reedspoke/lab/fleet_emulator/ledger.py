"""What clients sent and what workers ran, by attempt id: the judge of requests that were lost or doubled."""

from __future__ import annotations

from collections import Counter, defaultdict

from msgspec import Struct


class SentRequest(Struct, frozen=True):
    """An attempt as a client sent it."""

    attempt_id: str
    upstreams: frozenset[str]
    repeatable: bool
    digest: int
    tenants: frozenset[str] = frozenset()  # for which it may run; empty with a key: for none
    key: str = ""


class Run(Struct, frozen=True):
    """A worker began to work on an attempt."""

    attempt_id: str
    upstream: str
    instance_id: str
    digest: int
    tenant: str = ""  # as the worker was told
    at: float = 0.0  # of the steady clock


class Findings(Struct):
    """Broken rules, as attempt ids."""

    unasked: list[str] = []
    changed: list[str] = []
    misrouted: list[str] = []
    doubled: list[str] = []
    refused_but_ran: list[str] = []
    invented: list[str] = []
    wrong_tenant: list[str] = []

    def counts(self) -> dict[str, int]:
        return {name: len(getattr(self, name)) for name in self.__struct_fields__}

    def any(self) -> bool:
        return any(self.counts().values())


class Ledger:
    """One for all clients and workers of an experiment."""

    def __init__(self) -> None:
        self.sent: dict[str, SentRequest] = {}
        self.runs: defaultdict[str, list[Run]] = defaultdict(list)
        self.arrivals: Counter[str] = Counter()
        self.arrivals_by_upstream: Counter[str] = Counter()
        self.promised_unrun: set[str] = set()
        self.succeeded: dict[str, str] = {}

    def record_sent(self, request: SentRequest) -> None:
        """A client is about to send this attempt."""
        self.sent[request.attempt_id] = request

    def record_arrival(self, attempt_id: str, upstream: str) -> None:
        """A worker has read the request, whether it runs or not."""
        self.arrivals[attempt_id] += 1
        self.arrivals_by_upstream[upstream] += 1

    def record_run(self, run: Run) -> None:
        """A worker has begun to work on it."""
        self.runs[run.attempt_id].append(run)

    def record_promise(self, attempt_id: str) -> None:
        """A client was told that this attempt has not run and never will."""
        self.promised_unrun.add(attempt_id)

    def record_success(self, attempt_id: str, seal: str) -> None:
        """A client got a whole, verified answer."""
        self.succeeded[attempt_id] = seal

    def repeats(self) -> int:
        """Arrivals beyond the first of each attempt."""
        return sum(count - 1 for count in self.arrivals.values())

    def findings(self) -> Findings:
        """The broken rules, to be read when nothing runs any more."""
        found = Findings()
        for attempt_id, runs in self.runs.items():
            self._judge(attempt_id, runs, found)
        found.invented = [attempt_id for attempt_id in self.succeeded if not self.runs.get(attempt_id)]
        return found

    def _judge(self, attempt_id: str, runs: list[Run], found: Findings) -> None:
        sent = self.sent.get(attempt_id)
        if sent is None:
            found.unasked.append(attempt_id)
            return
        if any(run.digest != sent.digest for run in runs):
            found.changed.append(attempt_id)
        if any(not may_name(sent, run.tenant) for run in runs):
            found.wrong_tenant.append(attempt_id)
        if any(run.upstream not in sent.upstreams for run in runs):
            found.misrouted.append(attempt_id)
        if len(runs) > 1 and not sent.repeatable:
            found.doubled.append(attempt_id)
        if attempt_id in self.promised_unrun and not sent.repeatable:
            found.refused_but_ran.append(attempt_id)


def may_name(sent: SentRequest, tenant: str) -> bool:
    """Whether a worker may be told this tenant of an attempt."""
    return tenant in sent.tenants if sent.key else not tenant
