"""A harness around one dispatcher: passes events, carries out the actions, and asserts the rules on each."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke import interface as api
from reedspoke.logic import Dispatcher

MS = 1000
SECOND = 1000 * MS

SAFE = api.ClassSettings(
    "read", api.Idempotency.SAFE, api.DedupScope.ALL, 0, 200 * MS, 2.0, 5 * SECOND, 1.0, 0.5
)
UNSAFE = api.ClassSettings(
    "pay", api.Idempotency.UNSAFE, api.DedupScope.ALL, 0, 200 * MS, 2.0, 5 * SECOND, 2.0, 0.5
)


def keyed(group: api.DedupScope, name: str = "", window: int = 2 * SECOND) -> api.ClassSettings:
    name = name or f"order-{group.value}"
    return api.ClassSettings(name, api.Idempotency.KEYED, group, window, 200 * MS, 2.0, 5 * SECOND, 5.0, 0.5)


CLASSES = (SAFE, UNSAFE, *(keyed(group) for group in api.DedupScope))


def settings(
    *,
    classes: tuple[api.ClassSettings, ...] = CLASSES,
    tenants: dict[str, float] | None = None,
    max_attempts: int = 4,
    can_cancel: bool = True,
    can_probe: bool = True,
    list_on_request: bool = False,
    reports_start: bool = True,
    report_fields: tuple[str, ...] = (),
    scheduler_count: int = 1,
    progress_interval: int = SECOND,
) -> api.Settings:
    return api.Settings(
        scheduler_index=0,
        scheduler_count=scheduler_count,
        zone="here",
        classes=classes,
        tenants=tuple(api.TenantSettings(name, share) for name, share in (tenants or {}).items()),
        worker_kinds=("big", "small"),
        limits=api.Limits(max_attempts, can_cancel, can_probe, 0, 200 * MS),
        rules=api.Rules(
            500 * MS, 16 * MS, 10 * SECOND if list_on_request else 0, 0.25, 10 * SECOND, 3.0, 2 * SECOND
        ),
        min_event_interval=4 * MS,
        list_on_request=list_on_request,
        reports_start=reports_start,
        progress_interval=progress_interval,
        report_fields=report_fields,
        report_in_answers=bool(report_fields),
        value_by_work=True,
        cross_zone_cost=0.02,
    )


def entry(
    worker: str,
    state: api.WorkerState = api.WorkerState.UP,
    *,
    cell: int = 0,
    zone: str = "here",
    started_at: int = 0,
    weight: float = 1.0,
) -> api.WorkerEntry:
    return api.WorkerEntry(worker, zone, "big", cell, state, weight, started_at)


class Sent:
    """An attempt that the dispatcher has sent."""

    def __init__(self, request: int, number: int, worker: str, at: int) -> None:
        self.request, self.number, self.worker, self.sent_at = request, number, worker, at
        self.ended = False
        self.not_executed = False
        self.started = False
        self.taken_up_at = -1  # when a worker of the test began to run it


class World:
    """One dispatcher with its simulated surroundings."""

    def __init__(self, config: api.Settings, workers: Iterable[api.WorkerEntry] = (), seed: int = 7) -> None:
        self.config = config
        self.dispatcher = Dispatcher(config, seed)
        self.now = 1_000 * SECOND
        self.requests: dict[int, api.Request] = {}
        self.sent: dict[int, list[Sent]] = {}
        self.answers: dict[int, str] = {}
        self.unavailable_since: dict[str, int] = {}
        self.cells: dict[str, tuple[int, str]] = {}
        self.timers: list[tuple[int, str]] = []
        self.logs: list[str] = []
        self.actions: list[api.Action] = []
        self.list_requests = 0
        self.suspended: set[str] = set()
        self.probed: list[str] = []
        # Reason and load report of each probed worker, sent at once; None: probes get no result.
        self.probe_replies: dict[str, tuple[api.Reason, tuple[float, ...]]] | None = None
        entries = list(workers)
        if entries:
            self.update_workers(entries, api.ListKind.STALE)

    # ---- events ----

    def handle(self, event: api.Event) -> list[api.Action]:
        actions = self.dispatcher.handle(self.now, event)
        for action in actions:
            self.carry_out(action)
        for action in actions:
            if isinstance(action, api.Probe) and self.probe_replies is not None:
                reason, report = self.probe_replies.get(action.worker, (api.Reason.OK, ()))
                self.handle(api.ProbeResult(action.worker, reason, MS, report))
        return actions

    def update_workers(
        self, entries: list[api.WorkerEntry], kind: api.ListKind = api.ListKind.CHANGES
    ) -> None:
        if kind in (api.ListKind.FULL, api.ListKind.STALE):
            for worker in self.cells.keys() - {entry.worker for entry in entries}:
                self.unavailable_since.setdefault(worker, self.now)
        for entry in entries:
            self.cells[entry.worker] = entry.cell, entry.zone
            if entry.state is api.WorkerState.UP:
                self.unavailable_since.pop(entry.worker, None)
            else:
                self.unavailable_since.setdefault(entry.worker, self.now)
        self.handle(api.WorkerListUpdate(kind, entries))

    def request(
        self, number: int, cls: str = "read", *, hint: int = 100 * MS, tenant: str = "", slots: int = 1,
        time_left: int = 5 * SECOND,
    ) -> list[api.Action]:  # fmt: skip
        self.requests[number] = api.Request(number, cls, self.now + time_left, hint, slots, tenant=tenant)
        self.sent[number] = []
        return self.handle(self.requests[number])

    def finish(self, sent: Sent, reason: api.Reason, report: tuple[float, ...] = ()) -> None:
        sent.ended, sent.not_executed = True, reason.value in ("full", "connect_failed", "moot")
        if reason is api.Reason.OK:
            self.answers.setdefault(sent.request, "ok")
        ended = sent.request in self.answers
        took = self.now - sent.sent_at
        self.handle(api.AttemptOutcome(sent.request, sent.number, sent.worker, reason, took, ended, report))

    def set_suspended(self, worker: str, *, on: bool) -> None:
        (self.suspended.add if on else self.suspended.discard)(worker)
        self.handle(api.SuspensionChange(worker, on))

    def start(self, sent: Sent) -> None:
        sent.started = True
        self.handle(api.AttemptUpdate(sent.request, sent.number, sent.worker, api.UpdateKind.STARTED))

    def disconnect(self, number: int) -> None:
        self.answers.setdefault(number, "gone")
        self.handle(api.ClientDisconnected(number))

    def advance(self, span: int) -> None:
        """Let time pass: timers expire, and attempts time out at the client's deadline."""
        end = self.now + span
        while True:
            due = [(at, 0, token) for at, token in self.timers]
            due += [(self.requests[s.request].deadline, 1, "") for s in self.in_flight()]
            if not due or min(due)[0] > end:
                break
            at, _, token = min(due)
            self.now = max(self.now, at)
            if token:
                self.timers.remove((at, token))
                self.handle(api.Timer(token))
            for sent in [s for s in self.in_flight() if self.requests[s.request].deadline <= self.now]:
                self.finish(sent, api.Reason.TIMEOUT)
            self.check_deadlines()
        self.now = end
        self.check_deadlines()

    def in_flight(self) -> list[Sent]:
        return [s for attempts in self.sent.values() for s in attempts if not s.ended]

    def in_flight_at(self, worker: str) -> list[Sent]:
        return [s for s in self.in_flight() if s.worker == worker]

    def unanswered(self) -> list[int]:
        return [number for number in self.requests if number not in self.answers]

    # ---- assertions ----

    def carry_out(self, action: api.Action) -> None:
        self.actions.append(action)
        match action:
            case api.Send():
                self.check_send(action)
                assert action.worker not in self.suspended, "the worker is suspended"
                attempts = self.sent[action.id]
                attempts.append(Sent(action.id, len(attempts), action.worker, self.now))
            case api.Refuse() | api.Fail():
                self.check_answer(action)
            case api.Cancel():
                assert self.config.limits.can_cancel
                assert action.attempt < len(self.sent[action.id]), "an unknown attempt is cancelled"
            case api.SetTimer():
                assert action.delay > 0
                self.timers.append((self.now + action.delay, action.token))
            case api.Watch():
                self.list_requests += 1
            case api.Probe():
                assert self.config.limits.can_probe
                assert action.worker in self.cells, "a worker is probed that was never listed"
                self.probed.append(action.worker)
            case api.Log():
                self.logs.append(action.text)

    def probes(self) -> list[str]:
        """The workers probed since the last call."""
        asked, self.probed = self.probed, []
        return asked

    def may_have_run(self, number: int) -> list[Sent]:
        return [s for s in self.sent[number] if not s.not_executed]

    def check_send(self, action: api.Send) -> None:
        assert action.id in self.requests, "an unknown request is sent"
        assert action.id not in self.answers, "a request is sent that has its final answer"
        assert action.worker in self.cells, "a request is sent to a worker that was never listed"
        off = self.unavailable_since.get(action.worker)
        assert off is None or self.now - off <= self.config.rules.drain_grace, (
            "a request is sent to a worker after its drain grace time"
        )
        attempts = self.sent[action.id]
        assert len(attempts) < self.config.limits.max_attempts, "too many attempts"
        out = [s for s in attempts if not s.ended]
        assert not out, "a second attempt is sent while the first is in flight"
        cls = self.class_of(action.id)
        ran = self.may_have_run(action.id)
        if not ran or cls.idempotency is api.Idempotency.SAFE:
            return
        assert cls.idempotency is not api.Idempotency.UNSAFE, "an unsafe request that may have run is retried"
        assert self.now - ran[0].sent_at < cls.dedup_window, (
            "a keyed request is retried after its deduplication window"
        )
        (cell, zone), (old_cell, old_zone) = self.cells[action.worker], self.cells[ran[0].worker]
        if cls.dedup_scope is api.DedupScope.CELL:
            assert cell == old_cell, "a keyed request is retried outside of its cell"
        if cls.dedup_scope is api.DedupScope.ZONE:
            assert zone == old_zone, "a keyed request is retried outside of its zone"

    def check_answer(self, action: api.Refuse | api.Fail) -> None:
        assert action.id not in self.answers, "a request gets two final answers"
        self.answers[action.id] = "refused" if isinstance(action, api.Refuse) else "failed"
        cls = self.class_of(action.id)
        everywhere = cls.idempotency is api.Idempotency.KEYED and cls.dedup_scope is api.DedupScope.ALL
        if isinstance(action, api.Refuse) and cls.idempotency is not api.Idempotency.SAFE and not everywhere:
            assert not self.may_have_run(action.id), "a request that may have run is refused"

    def check_deadlines(self) -> None:
        slack = self.config.rules.answer_slack
        late = [n for n in self.unanswered() if self.requests[n].deadline + slack < self.now]
        assert not late, f"requests {late} got no final answer in time"

    def class_of(self, number: int) -> api.ClassSettings:
        return next(cls for cls in self.config.classes if cls.name == self.requests[number].class_name)

    def check_freed(self) -> None:
        """Assert that no state is kept of requests that have ended."""
        assert not self.dispatcher.jobs
        assert not self.dispatcher.in_flight
        for worker in self.dispatcher.workers.values():
            assert worker.used_slots == worker.running_slots == 0
            assert abs(worker.work_in_flight) < 1
        assert all(not flow.queue and not flow.out for flow in self.dispatcher.flows.values())
