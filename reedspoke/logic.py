"""Every decision of reedspoke. Its settings, events and actions are named in reedspoke/interface.py.

The ordinary path is 2DFQ^E (Mace et al., SIGCOMM 2016); docs/design.md says what was kept and changed.
Symbols: f is a tenant (Flow), S_f its start tag, phi_f its share, v the virtual clock, L_max^f the largest
recent cost on an API of f, n the number of positions (slots for our jobs), i the rank of one of them.
"""

from __future__ import annotations

from bisect import insort
from collections.abc import Callable
from random import Random
from typing import Any
from zlib import crc32

from reedspoke.interface import (  # isort: skip
    Action, AttemptOutcome, AttemptUpdate, Cancel, ClientDisconnected, DedupScope, Event, Fail, Idempotency,
    LearnedState, ListKind, Log, PeerLoads, Probe, ProbeResult, Reason, Refuse, Request, ResponseStarted,
    Send, SetTimer, Settings, SiblingProcesses, SuspensionChange, Timer, UpdateKind, Watch, WorkerEntry,
    WorkerListUpdate, WorkerState,
)  # fmt: skip
from reedspoke.records import LEARN, OUTLIER, Attempt, Flow, Hints, Job, Worker, Zone, average

ALPHA = 0.99  # decay of L_max a completion, as in the paper
REFRESH = 10_000  # us between bills of running jobs, as in the paper
CLOCK_MEMORY = 2_000_000  # us over which the rate of finished work is averaged for v: some jobs' length
CAP_START = 2.0  # slots: a worker nothing is known of gets a job while another is on its way
CAP_GAIN = 0.2  # slots for a prompt start at a full cap: less than a cut, so at rest most starts are prompt
CAP_CUT = 0.7  # what a late start or 'full' leaves of a cap; halving starves a worker after one burst
CAP_LEAST = 1.0  # slots: each worker is a position, however busy others keep it
OVERDUE = 3.0  # an attempt is overdue at this multiple of its expected time: hints and speeds err by less
USUAL = 0.05  # weight of a new wait in the fleet's usual one: about the last forty count
FORGET = 2.0  # tightest aims until half of a wait is forgotten: a queue of some jobs has gone by then
REACH = 50  # workers looked at beyond one for each job out: a jam must not cost the whole fleet's ranking
COLD_PART = 0.6  # part of our share of a cold worker's budget that we use: sizes and speeds are estimates
FEW = 12  # schedulers: where more share the workers, none of them sees much of any by its own jobs
SPONSORS = 3  # schedulers that share a cold worker's budget where there are many: each part holds a usual job
SPARE = 1.5  # slots free in a report that the job and others will have taken before it starts
BETWEEN = 4_000_000  # us from a call for the list to the next: told is told 6 s after it could be had
FRESH = 500_000  # us that a look at a worker serves: reports are renewed about once a second
UNSEEN = 30_000  # us without an answer to a look: the worker is passed over until it comes
CROSS = 8.0  # a crossing is to save this many times its price: the wait that it saves is a guess
HOME = 0.5  # weight of a worker's distance from our part of the fleet: half of what it keeps a job waiting
TRUST = 0.75  # least soundness for a job that must not be repeated: one failure among results is usual
TRIAL = 0.5  # soundness under which a worker is tried with one job at a time
FAILED_FIRST = 0.125  # of a usual response, doubled for each failed connection: one is let be for a quarter
FAILED_MOST = 4.0  # usual responses: a worker that is back is tried again within about 2 s
ALIVE = (Reason.OK, Reason.ERROR, Reason.FULL)  # outcomes that a worker itself has sent
NOT_EXECUTED_REASONS = (Reason.FULL, Reason.CONNECT_FAILED, Reason.NOT_EXECUTED)  # the job has not run


class Dispatcher:
    """One scheduler: takes one event at a time and returns its actions, in the order to carry them out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.random = Random(seed)
        self.now, self.born = 0, -1  # born: the time of our first event
        self.actions: list[Action] = []
        self.classes = {cls.name: cls for cls in settings.classes}
        self.workers: dict[str, Worker] = {}
        self.siblings = SiblingProcesses(0, {}, LearnedState())
        self.suspended: dict[str, int] = {}  # left out by hand, since when: no list ends it
        self.available: list[Worker] = []  # may be sent to; the nearest on the rank ring come first
        self.zones: dict[str, Zone] = {}
        self.hints = {cls.name: Hints() for cls in settings.classes}
        self.jobs: dict[int, Job] = {}
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        mean = sum(tenant.share for tenant in settings.tenants) / max(1, len(settings.tenants))
        self.flows = {tenant.name: Flow(tenant.share / mean) for tenant in settings.tenants}
        self.v, self.v_at, self.finished, self.billed_at = 0.0, 0, 0.0, 0
        self.tightest = min(cls.latency_target for cls in settings.classes)
        self.forget = self.tightest * max(FORGET, settings.scheduler_count / 4)  # us: half-life of a wait
        self.thin = settings.scheduler_count > FEW and self.limits.can_probe and not self.limits.peer_messages
        self.blind = self.thin and not settings.report_fields  # queues show by our own jobs alone
        self.beat = max(settings.min_event_interval, self.tightest // 4)  # us between looks at what is late
        self.beating, self.list_requested, self.watch_at, self.losses = False, False, 0, 0
        self.norm = 1.0  # running time for each unit of work on a worker of weight 1
        self.usual, self.pace = 0.0, 1.0  # over the fleet: wait before a start, time for each unit of work
        self.response = 2.0 * self.tightest  # time from a send to its answer, lately
        self.reactions: dict[type, Callable[[Any], None]] = {
            Request: self.on_request, AttemptOutcome: self.on_outcome, AttemptUpdate: self.on_note,
            Timer: self.on_timer, WorkerListUpdate: self.on_members, ClientDisconnected: self.on_gone,
            ResponseStarted: self.on_gone, ProbeResult: self.on_probed, SuspensionChange: self.on_suspended,
            SiblingProcesses: self.on_partner, PeerLoads: self.on_others,
        }  # fmt: skip

    def handle(self, now: int, event: Event) -> list[Action]:
        self.now, self.actions, self.born = now, [], now if self.born < 0 else self.born
        self.reactions[type(event)](event)
        self.release()
        if not self.beating and (self.jobs or self.settings.list_on_request and not self.list_requested):
            self.beating = True
            self.actions.append(SetTimer(self.beat, "beat"))
        return self.actions

    def on_request(self, request: Request) -> None:
        cls, flow = self.classes[request.class_name], self.flows.setdefault(request.tenant, Flow(1.0))
        api, slots = request.job_key or cls.name, max(1, request.slots)
        if api not in flow.largest:
            flow.largest[api] = float(slots * request.work_hint) or max(flow.largest.values(), default=0.0)
        hint = request.work_hint or flow.largest[api] / slots or float(cls.latency_target)
        work = self.hints[cls.name].work(hint)  # rough hints are drawn to their class's usual one
        arrived = min(self.now, request.deadline - cls.deadline)  # a client's later try has less time left
        last_start = (
            min(arrived + cls.latency_target + cls.stretch * work, request.deadline) - self.pace * work
        )
        job = Job(request.id, cls, flow, api, hint, work, slots, request.deadline, last_start, request.memory)
        self.jobs[job.id] = job
        if not flow.queue and not flow.out:
            flow.start = max(flow.start, self.clock())
        self.hold(job)
        if self.hopeless(job):  # it comes with too little time to see a beat: now or never
            self.release()
            if job.held:
                self.answer(job)

    def on_note(self, note: AttemptUpdate) -> None:
        if (attempt := self.in_flight.get((note.id, note.attempt))) is None:
            return
        if note.kind is UpdateKind.UNACKNOWLEDGED:
            self.miss(attempt)
        else:
            self.hear(attempt.worker)
            if note.kind is UpdateKind.STARTED and not attempt.started:
                attempt.start(self.now)
                self.learn_wait(attempt.worker, (self.now - attempt.sent) / attempt.job.slots, attempt.sent)

    def on_outcome(self, outcome: AttemptOutcome) -> None:
        if (attempt := self.in_flight.pop((outcome.id, outcome.attempt), None)) is None:
            return
        job, worker = attempt.job, attempt.worker
        if outcome.report:
            self.learn_report(worker, outcome.report, attempt.sent)
        self.clock()  # while the tenant still counts as active
        attempt.end(unrun=outcome.reason in NOT_EXECUTED_REASONS)
        self.settle(attempt, outcome.reason)
        if outcome.reason in ALIVE:
            self.hear(worker)
        if outcome.reason is Reason.FULL:  # let it work some off
            self.cut(worker, attempt.sent)
            worker.paused_until = self.now + int(self.response)
        elif outcome.reason is Reason.CONNECT_FAILED:
            self.let_be(worker, attempt.sent)
        elif outcome.reason in (Reason.OK, Reason.ERROR, Reason.RESET):
            self.judge(worker, outcome.reason is Reason.OK)
        if outcome.request_ended or not job.open:
            self.close(job)
        elif not self.hopeless(job) and any(self.may_repeat(job, worker) for worker in self.available):
            self.hold(job)
        else:
            self.answer(job)

    def on_gone(self, event: ClientDisconnected | ResponseStarted) -> None:
        if (job := self.jobs.get(event.id)) is not None:
            self.close(job, keep=event.attempt if isinstance(event, ResponseStarted) else -1)

    def on_members(self, members: WorkerListUpdate) -> None:
        if members.kind is ListKind.LOST:
            if self.list_requested or not self.losses:
                step = self.limits.connect_timeout * max(1.0, self.settings.scheduler_count / 4)
                left = BETWEEN - (self.now - self.watch_at) * (self.losses > 0)  # no back-off goes beyond
                step = min(step * min(self.losses + 1, 4), max(0, left) / 1.5)
                self.watch_at = self.now + int((0.5 + self.random.random()) * step)
            self.list_requested, self.losses = False, self.losses + 1
            return
        listed, self.losses = {entry.worker for entry in members.entries}, 0
        if not self.workers and listed:  # the usual worker stands for a standard one until results come
            self.norm = sum(entry.weight for entry in members.entries) / len(members.entries)
        for worker in list(self.workers.values()):
            if members.kind is not ListKind.CHANGES and worker.id not in listed:
                worker.state = WorkerState.GONE
            if worker.state is WorkerState.GONE and not worker.used_slots:
                del self.workers[worker.id]
        for entry in members.entries:
            self.learn_entry(entry)
        self.line_up()

    def on_suspended(self, event: SuspensionChange) -> None:
        worker = self.workers.get(event.worker)
        if event.suspended:
            self.suspended.setdefault(event.worker, self.now)
        elif (since := self.suspended.pop(event.worker, 0)) and worker is not None:
            worker.renew(CAP_START, self.now if worker.born < since else 0)  # cold since its start, if told
        self.line_up()

    def on_partner(self, partner: SiblingProcesses) -> None:
        """What the other one has learned counts until we have heard of a worker ourselves."""
        self.siblings = partner
        fresh = [worker for worker in self.workers.values() if not worker.heard]
        if len(fresh) == len(self.workers) and partner.learned.fleet[0]:
            self.pace, self.usual, self.response = partner.learned.fleet
        for worker in fresh:
            if worker.id in partner.learned.workers:
                worker.pace, worker.cap, worker.peak_slots = partner.learned.workers[worker.id]

    def on_others(self, others: PeerLoads) -> None:
        for worker in self.workers.values():
            worker.others = others.by_worker.get(worker.id, (0, 0.0))

    def learned_state(self) -> LearnedState:
        known = {w.id: (w.pace, w.cap, w.peak_slots) for w in self.workers.values() if w.heard}
        cold = {w.id: list(w.cold_sends) for w in self.workers.values() if w.cold_sends}
        return LearnedState((self.pace, self.usual, self.response), known, cold)

    def avoided_workers(self, now: int) -> set[str]:
        """Workers that get nothing now: by hand, or by our own choice."""
        return self.suspended.keys() | {worker.id for worker in self.workers.values() if worker.rests(now)}

    def line_up(self) -> None:
        up = [worker for worker in self.workers.values() if worker.state is WorkerState.UP]
        self.available = [worker for worker in up if worker.id not in self.suspended]
        self.available.sort(key=lambda worker: (worker.rank, worker.id))
        home = (self.settings.scheduler_index + 0.5) / self.settings.scheduler_count
        for index, worker in enumerate(self.available):
            away = abs((index + 0.5) / len(self.available) - home)
            worker.away = 2 * min(away, 1 - away)
        self.available.sort(key=lambda worker: worker.away)

    def on_timer(self, _: Timer) -> None:
        self.beating = False
        if self.settings.list_on_request and not self.list_requested and self.watch_at <= self.now:
            self.list_requested, self.watch_at = True, self.now
            self.actions.append(Watch())  # answered by a list or by 'lost'
        for attempt in [attempt for attempt in self.in_flight.values() if not attempt.lost_at]:
            self.look_after(attempt)
        for zone in [zone for zone in self.zones.values() if zone.cut_at]:
            self.ask(zone, zone.cut_at)
        waiting = [flow for flow in self.flows.values() if flow.queue]
        for flow in waiting:
            self.shed(flow, flow.phi / sum(other.phi for other in waiting))

    def learn_entry(self, entry: WorkerEntry) -> None:
        worker = self.workers.get(entry.worker)
        if worker is None:
            pace = self.norm / entry.weight if entry.weight > 0 and self.thin else self.pace
            worker = Worker(entry.worker, crc32(entry.worker.encode()), pace, CAP_START, entry.weight)
            self.workers[worker.id] = worker
        elif entry.started_at != worker.born:  # it has restarted: what was learned of its load is void
            worker.renew(CAP_START)
        worker.zone = self.zones.setdefault(entry.zone, Zone(entry.zone))
        worker.kind, worker.cell, worker.state = entry.kind, entry.cell, entry.state
        worker.born = entry.started_at

    def hear(self, worker: Worker) -> None:
        worker.heard = worker.zone.heard = self.now  # a sign of life: the way to its zone is open
        worker.connect_failures = worker.zone.cut_at = 0

    def ask(self, zone: Zone, since: int) -> None:
        """Probe a zone not heard from since then, though others were: the network may have parted."""
        if self.now >= zone.probe_at and zone.heard < since < max(z.heard for z in self.zones.values()):
            zone.probe_at = self.now + max(self.limits.connect_timeout, (self.now - since) // 4)
            there = [worker.id for worker in self.available if worker.zone is zone]
            if there and self.limits.can_probe:
                self.actions.append(Probe(self.random.choice(there)))

    def let_be(self, worker: Worker, since: int) -> None:
        """A connection failed: the more do with no sign of life between them, the longer it is let be."""
        worker.connect_failures += 1
        worker.paused_until = self.now + int(
            self.response * min(FAILED_MOST, FAILED_FIRST * 2**worker.connect_failures)
        )
        self.ask(worker.zone, since)

    def judge(self, worker: Worker, sound: bool) -> None:
        """Guards jobs against a worker that fails them at once: always free, it would draw the most."""
        worker.success_rate += LEARN * (sound - worker.success_rate)
        if worker.success_rate < TRUST and not sound:
            rest = min(FAILED_MOST, 1 / worker.success_rate - 1) * self.response
            worker.paused_until = max(worker.paused_until, self.now + int(rest))

    def trusted(self, job: Job, worker: Worker) -> bool:
        """Whether it may have the job: safe ones try it out, one at a time if it fails most."""
        if worker.success_rate >= TRUST or all(other.success_rate < TRUST for other in self.available):
            return True
        return job.cls.idempotency is Idempotency.SAFE and (
            worker.success_rate >= TRIAL or not worker.used_slots
        )

    def miss(self, attempt: Attempt) -> None:
        """Not acknowledged: its connection is dead, or all of its worker; no sign of a queue."""
        job, worker = attempt.job, attempt.worker
        if attempt.lost_at or attempt.started:
            return
        attempt.lose(self.now)
        if worker.heard < attempt.sent:
            self.let_be(worker, attempt.sent)
        if (
            job.open
            and job.cls.idempotency is Idempotency.SAFE
            and len(job.attempts) < self.limits.max_attempts
        ):
            self.cancel(attempt)

    def on_probed(self, probed: ProbeResult) -> None:
        if (worker := self.workers.get(probed.worker)) is None:
            return
        worker.asked, worker.looked = 0, self.now
        if probed.report:
            self.learn_report(worker, probed.report, self.now)
        self.judge(worker, probed.reason is Reason.OK)
        if probed.reason is Reason.OK:
            self.hear(worker)
        else:
            self.let_be(worker, self.now)  # one that cannot serve is found out before a job is lost there
        zone = worker.zone
        if self.now - zone.heard > probed.duration >= self.limits.connect_timeout and not zone.cut_at:
            zone.cut_at = self.now  # a refusal at once would show that the way is open
            self.actions.append(Log("zone out of reach: left out and probed"))

    def learn_wait(self, worker: Worker, wait: float, sent: int) -> None:
        """Move the cap by how long a job waited for its start."""
        old, worker.delay_at = worker.wait(self.now, self.forget), self.now
        worker.delay = old * (1 - LEARN) + wait * LEARN
        self.usually(wait)
        if wait > self.tightest:  # the way to another zone takes some of it
            self.cut(worker, sent)
        elif worker.used_slots >= int(worker.cap):
            worker.cap += CAP_GAIN

    def usually(self, wait: float) -> None:
        self.usual += USUAL * (min(wait, OUTLIER * self.tightest * (1 + 3 * self.blind)) - self.usual)

    def learn_report(self, worker: Worker, report: tuple[float, ...], sent: int) -> None:
        told = dict(zip(self.settings.report_fields, report, strict=False))
        worker.peak_slots = max(worker.peak_slots, round(told.get("x0", 0.0)))
        queue = told.get("queue", 0.0)  # of few schedulers, each knows what its own jobs hold and how fast
        lacking = max(0.0, SPARE + 1.5 * queue - told.get("x0", SPARE)) if self.thin else queue / 2
        per = told.get("latency_ms", self.response / 2000) * 1000 if self.thin else self.response
        worker.delay, worker.delay_at = lacking * per / worker.peak_slots, self.now

    def cut(self, worker: Worker, sent: int) -> None:
        """Lower a cap, once for all the jobs that were sent before the last cut."""
        if sent >= worker.cut_at:
            worker.cap = max(CAP_LEAST, min(worker.cap, worker.used_slots + 1) * CAP_CUT)
            worker.cut_at = self.now

    def clock(self) -> float:
        """The virtual clock v gains the rate of finished work over the shares of the active tenants."""
        gone, self.v_at = self.now - self.v_at, self.now
        active = sum(flow.phi for flow in self.flows.values() if flow.queue or flow.out)
        if active:
            self.v += gone * self.finished / CLOCK_MEMORY / active
        self.finished *= max(0.0, 1 - gone / CLOCK_MEMORY)
        return self.v

    def bill_running(self) -> None:
        """Refresh charging, done when a choice needs it: running jobs pay for what exceeds their L_max."""
        if self.now - self.billed_at >= REFRESH:
            self.billed_at = self.now
            for attempt in self.in_flight.values():
                attempt.pay(max(attempt.paid, attempt.cost(self.now)))

    def settle(self, attempt: Attempt, reason: Reason) -> None:
        """Retroactive charging, or its reversal where the job never ran."""
        cost, worker = attempt.cost(self.now), attempt.worker
        attempt.pay(0.0 if attempt.unrun else cost)
        if reason is Reason.OK:
            self.finished += cost
            largest, api = attempt.job.flow.largest, attempt.job.api
            largest[api] = max(ALPHA * largest[api], cost)
            self.hints[attempt.job.cls.name].learn(attempt.job.hint, cost / attempt.job.slots / worker.pace)
            pace = cost / attempt.job.slots / attempt.job.work
            self.pace, worker.pace = average(self.pace, pace), average(worker.pace, pace)
            self.norm += USUAL * (pace * worker.weight - self.norm)
            self.response = average(self.response, self.now - attempt.sent)

    def release(self) -> None:
        """Offer free positions, the best for the job in front first, to the tenants by 2DFQ^E."""
        waiting = [flow for flow in self.flows.values() if flow.queue]
        if not waiting:
            return
        kept: list[Worker] = []
        v = self.clock()
        self.bill_running()
        while waiting:
            front = min(waiting, key=self.finish)
            worker = self.best(front.queue[0], kept)
            if worker is None or self.look(worker):
                waiting.remove(front)
                self.reserve(front.queue[0], kept)
                continue
            stagger = self.stagger(worker) if len(waiting) > 1 else 0.0
            able = [flow for flow in waiting if flow is front or self.may_send(flow.queue[0], worker)]
            eligible = [flow for flow in able if flow.start - stagger * flow.largest[flow.queue[0].api] < v]
            flow = min(eligible, key=self.finish) if eligible else front  # work goes on when none is eligible
            self.send(flow.queue[0], worker)
            if not flow.queue:
                waiting.remove(flow)

    def look(self, worker: Worker) -> bool:
        """Whether its answer to a probe has to come first, or each of many would lose a job of its own."""
        if self.thin and worker.looked + FRESH <= self.now and not worker.asked:
            worker.asked = self.now
            self.actions.append(Probe(worker.id))
        return worker.asked > 0

    def reserve(self, job: Job, kept: list[Worker]) -> None:
        """Leave the emptiest worker to drain for a job of many slots: others' small jobs would starve it."""
        draining = [w for w in self.available if job.slots > 1 and w.used_slots and self.suits(job, w)]
        kept += sorted(draining, key=lambda worker: worker.used_slots)[:1]

    def finish(self, flow: Flow) -> float:
        return flow.start + flow.largest[flow.queue[0].api] / flow.phi  # S_f + L_max^f / phi_f at its head

    def stagger(self, worker: Worker) -> float:
        """i/n of the worker's next position; positions are ranked by worker, each has as many as its cap."""
        i = n = 0
        for other in self.available:
            if other is worker:
                i = n + worker.used_slots
            n += int(other.cap)
        return i / n

    def best(self, job: Job, kept: list[Worker]) -> Worker | None:
        """The free worker where the job ends first; many see the same fast ones idle: most surely in time."""
        best, least = None, float("inf")
        cross = self.settings.cross_zone_cost * (job.cls.latency_target + job.cls.stretch * job.work)
        cross *= 1.0 if self.thin else CROSS  # there in shares of the time left
        slack = self.tightest + max(job.last_start - self.now, 0.0)  # with more it is held: jams
        far = HOME * (self.response + self.length(job)) * self.thin
        anywhere = job.bound() or job.cls.worker_kind >= 0  # its group or kind may stand far from home
        near = self.available if anywhere else self.available[: REACH + len(self.in_flight)]
        usual = self.usual * self.blind  # to expect where nobody tells more: else a jam would be fed on
        for worker in [other for other in near if other not in kept]:
            ahead, wait = worker.ahead(job.slots), max(worker.wait(self.now, self.forget), usual)
            end = far * worker.away + ahead + cross * (worker.zone.name != self.settings.zone)
            room = max(self.beat, job.last_start - self.now + (self.pace - worker.pace) * job.work)
            end = (end + max(wait, self.beat)) / room if self.thin else end + wait + job.work * worker.pace
            if end < least and (wait + ahead <= slack or not self.in_flight) and self.may_send(job, worker):
                best, least = worker, end
        return best

    # ---- the rules: each Send passes `send`, each final answer `answer` ----

    def may_send(self, job: Job, worker: Worker) -> bool:
        there = worker.used_slots + self.siblings.slots_by_worker.get(worker.id, 0) + worker.others[0]
        return (
            self.suits(job, worker)
            and self.now >= worker.paused_until
            and (not worker.asked or self.now < worker.asked + UNSEEN)
            and self.trusted(job, worker)
            and (not worker.used_slots or there + job.slots <= worker.cap)  # one that is ours alone takes any
            and worker.memory + job.memory <= max(job.memory, worker.cap)  # one unit for each slot
            and (self.capacity_share(worker) >= 1 or self.cold_budget(worker) >= job.work * job.slots)
        )

    def suits(self, job: Job, worker: Worker) -> bool:
        kind = self.settings.worker_kinds[job.cls.worker_kind] if job.cls.worker_kind >= 0 else worker.kind
        able = kind == worker.kind and not worker.zone.cut_at
        return able and (not job.attempts or self.may_repeat(job, worker))

    def may_repeat(self, job: Job, worker: Worker) -> bool:
        if len(job.attempts) >= self.limits.max_attempts or job.out():
            return False  # second copies are never sent: they feed a jam
        bound, cls = job.bound(), job.cls
        if bound is None or cls.idempotency is Idempotency.SAFE:
            return True
        if cls.dedup_scope is DedupScope.CELL and bound.worker.cell != worker.cell:
            return False
        near = cls.dedup_scope is not DedupScope.ZONE or bound.worker.zone is worker.zone
        return near and cls.idempotency is Idempotency.KEYED and self.now - bound.sent < cls.dedup_window

    def capacity_share(self, worker: Worker) -> float:
        """The least share of its capacity that a worker has by now."""
        started = max(worker.born, worker.back)
        least, age = self.rules.cold_min_share, max(0, self.now - started)
        cold = started and age < self.rules.warm_up_time
        return least + (1 - least) * age / self.rules.warm_up_time if cold else 1.0

    def cold_budget(self, worker: Worker) -> float:
        """Work that this scheduler may still send to a cold worker within the current window."""
        sends, window = worker.cold_sends, self.rules.overload_window
        while sends and self.now - sends[0][0] > window:
            sends.popleft()
        slots = max(other.peak_slots for other in self.available if other.kind == worker.kind)
        budget = self.rules.overload_multiple * self.capacity_share(worker) * slots / worker.pace * window
        if self.now - self.born < window and not self.siblings.learned.fleet[0]:
            budget /= 2  # before a restart we may have used this window
        budget /= 1 + self.siblings.accepting  # it is one budget for the processes of a scheduler
        theirs = self.siblings.learned.cold.get(worker.id, ())
        sent = sum((work for at, work in [*sends, *theirs] if self.now - at <= window), 0.0)
        schedulers = self.settings.scheduler_count
        sharing = SPONSORS if schedulers > FEW else schedulers  # equal parts of many would hold no job
        near = (self.settings.scheduler_index - worker.rank * schedulers // 2**32) % schedulers
        return budget * COLD_PART / sharing * (near < sharing) - sent

    def send(self, job: Job, worker: Worker) -> None:
        assert job.open, "nothing is sent for a request that has its answer"
        assert self.may_send(job, worker), "a rule forbids this send"
        self.unhold(job)
        attempt = Attempt(job, len(job.attempts), worker, self.now)
        self.in_flight[job.id, attempt.number] = attempt
        attempt.begin()
        attempt.pay(job.flow.largest[job.api])
        if self.capacity_share(worker) < 1:
            worker.cold_sends.append((self.now, job.work * job.slots))
        self.actions.append(Send(job.id, worker.id))

    def answer(self, job: Job) -> None:
        """The final answer that there is none: a refusal where trying again is harmless."""
        keyed_to_all = job.cls.idempotency is Idempotency.KEYED and job.cls.dedup_scope is DedupScope.ALL
        harmless = job.bound() is None or job.cls.idempotency is Idempotency.SAFE or keyed_to_all
        self.actions.append(Refuse(job.id, self.come_back(job)) if harmless else Fail(job.id))
        self.close(job)

    def come_back(self, job: Job) -> int:
        """When its client may find a free position: its tenant's queue has been worked off by then."""
        slots = max(1, sum(attempt.job.slots for attempt in self.in_flight.values()))
        queued = sum(self.length(other) for other in job.flow.queue) / slots
        return min(self.limits.max_retry_after, max(self.beat, int(self.usual + queued)))

    def hold(self, job: Job) -> None:
        job.held = True
        insort(job.flow.queue, job, key=lambda other: other.last_start)

    def unhold(self, job: Job) -> None:
        if job.held:
            job.held = False
            job.flow.queue.remove(job)

    def hopeless(self, job: Job) -> bool:
        return self.now + 2 * self.beat >= job.deadline  # no beat is left before

    def look_after(self, attempt: Attempt) -> None:
        """A queue or a hang shows by the age of what is out; where all are slow none stands out."""
        worker = attempt.worker
        limit = self.tightest + OVERDUE * max(self.response, attempt.job.work * worker.pace)
        if self.settings.reports_start and not attempt.started:
            limit = float(self.tightest)
        if attempt.started and worker.heard > attempt.started + limit:
            attempt.lose(self.now)  # its worker lives and should have ended it: its stream has stopped short
            return
        waited = self.now - (max(attempt.sent, worker.heard) if attempt.started else attempt.sent)
        if waited > limit:
            worker.delay, worker.delay_at = max(worker.wait(self.now, self.forget), waited), self.now
            self.usually(waited if self.blind else self.usual)
            self.cut(worker, attempt.sent)
            self.ask(worker.zone, attempt.sent)

    def shed(self, flow: Flow, part: float) -> None:
        """Refuse what cannot start in time, the least worth first (Moore-Hodgson)."""
        rate = max(1.0, part * sum(attempt.job.slots for attempt in self.in_flight.values()))
        start, kept = float(self.now), []
        for job in list(flow.queue):
            kept.append(job)
            if start > job.last_start or self.hopeless(job):
                victim = min(kept, key=self.density)
                kept.remove(victim)
                start -= self.length(victim) / rate
                self.answer(victim)
            start += self.length(job) / rate

    def length(self, job: Job) -> float:
        return job.slots * job.work * self.pace  # slot time that it is expected to take

    def density(self, job: Job) -> float:
        return job.cls.value / (job.slots if self.settings.value_by_work else self.length(job))

    def close(self, job: Job, keep: int = -1) -> None:
        job.open = False  # no answer is owed any more: leave the queue, call off what is still out
        self.unhold(job)
        for attempt in job.attempts:
            if attempt.number != keep:
                self.cancel(attempt)
        if not job.out():
            self.jobs.pop(job.id, None)

    def cancel(self, attempt: Attempt) -> None:
        if self.limits.can_cancel and not (attempt.over or attempt.cancelled):
            attempt.cancelled = True
            self.actions.append(Cancel(attempt.job.id, attempt.number))
