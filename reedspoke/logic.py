"""The decisions of a scheduler: which worker gets which job when, what is retried, refused or cancelled.

`Dispatcher` takes one event at a time and returns actions; it performs no I/O and reads no clock. Settings,
events and actions are defined in `reedspoke/interface.py`, the state of workers and jobs in
`reedspoke/records.py`. All times are microseconds of the caller's clock.

Queued jobs are chosen by 2DFQ^E (Mace et al., SIGCOMM 2016); docs/design.md lists what was kept and changed.
Symbols of the paper: f is a flow (a tenant here), S_f its start tag, phi_f its share, v the virtual time,
L_max^f the largest recent cost of a job key of f, n the number of positions (slots that our jobs may hold),
i the index of one of them.
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
from reedspoke.records import (  # isort: skip
    MAX_SAMPLE_RATIO, SAMPLE_WEIGHT, Attempt, Flow, HintModel, Job, Worker, Zone, moving_average,
)  # fmt: skip

MAX_COST_DECAY = 0.99  # L_max is multiplied by this at each completion, as in the paper.
CHARGE_INTERVAL_US = 10_000  # Running jobs are charged this often, as in the paper.
# The rate of finished work, by which v advances, is averaged over this time: the length of a few jobs.
RATE_WINDOW_US = 2_000_000
# A slot cap is the number of slots that the attempts of this scheduler may hold at a worker. It starts with
# two, so that a worker without history can run one job while the next one is on its way.
INITIAL_SLOT_CAP = 2.0
# A prompt start at a full cap adds this to the cap. It is less than a decrease takes away, so that most
# starts are prompt in a steady state.
SLOT_CAP_INCREASE = 0.2
# A late start or a `full` outcome multiplies the cap by this. 0.5 starves a worker after one burst.
SLOT_CAP_DECREASE_FACTOR = 0.7
MIN_SLOT_CAP = 1.0  # Each worker remains usable, however busy the jobs of others keep it.
# An attempt is overdue after this multiple of its expected time. Errors of hints and speeds are smaller.
OVERDUE_FACTOR = 3.0
MEAN_DELAY_WEIGHT = 0.05  # Weight of a new sample in means of the fleet: about the last forty count.
# Half-life of a measured start delay, in multiples of the smallest latency target. A queue of a few jobs is
# empty after that time.
DELAY_HALF_LIFE_FACTOR = 2.0
# Workers examined for a job, in addition to one for each attempt in flight. With all 298 workers of a fleet
# ranked at each `full` outcome, congestion cost too much computing time.
EXTRA_CANDIDATES = 50
# A scheduler uses only this part of its budget for a cold worker, as sizes and speeds of workers are
# estimates.
COLD_BUDGET_SHARE = 0.6
# With more schedulers than this, each learns too little about a worker from its own jobs.
MAX_FEW_SCHEDULERS = 12
# With more schedulers than MAX_FEW_SCHEDULERS, only this many share the budget of a cold worker. If all of
# them shared it, each part would be too small for a job.
SCHEDULERS_PER_COLD_WORKER = 3
# So many of the free slots of a load report are taken, by this job and by those of other schedulers, before
# the job starts.
CONTENDED_SLOTS = 1.5
# Longest time between requests for the worker list. By the platform's rules a scheduler counts as informed of
# a change 6 s after discovery can be reached, whether or not it has received the change. So requests have to
# be closer together than that.
MAX_LIST_RETRY_US = 4_000_000
# The result of a probe is used for this long. Workers renew their load reports about once a second.
PROBE_VALIDITY_US = 500_000
# A worker whose probe has had no result for this long is skipped until the result arrives.
PROBE_WAIT_US = 30_000
# Crossing zones has to save this many times its cost in time, as the saved delay is only an estimate.
CROSS_ZONE_COST_FACTOR = 8.0
# Weight of a worker's home distance if there are many schedulers. The time for which a worker keeps a job
# waiting is estimated as the mean response plus the job's slot time. A worker at the largest distance, 1, is
# rated as if it took half of that time longer than a worker at home.
HOME_DISTANCE_WEIGHT = 0.5
# Least success rate of a worker for jobs that must not be retried; one failure among successes is normal.
MIN_SUCCESS_RATE = 0.75
MIN_PARALLEL_RATE = 0.5  # A worker with a lower success rate gets one job at a time.
# The pause of a worker after failed connections, in multiples of the mean response time. It is doubled for
# each of them, the first one included, which so pauses the worker for a quarter of that time.
CONNECT_PAUSE_FACTOR = 0.125
# The longest pause, in the same unit: a worker that has recovered is tried again within about 2 s.
MAX_PAUSE_FACTOR = 4.0
WORKER_REPLY_REASONS = (Reason.OK, Reason.ERROR, Reason.FULL)  # They prove that the worker has answered.
# They prove that the job has not run.
NOT_EXECUTED_REASONS = (Reason.FULL, Reason.CONNECT_FAILED, Reason.NOT_EXECUTED)


class Dispatcher:
    """One scheduler. It takes one event at a time and returns the actions, in the order to carry them out."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings, self.rules, self.limits = settings, settings.rules, settings.limits
        self.random = Random(seed)
        self.now, self.first_event_at = 0, -1  # -1 stands for no event yet.
        self.actions: list[Action] = []
        self.classes = {cls.name: cls for cls in settings.classes}
        self.workers: dict[str, Worker] = {}
        self.siblings = SiblingProcesses(0, {}, LearnedState())
        # Workers that operators have suspended, and when. Worker list updates do not change it.
        self.suspended: dict[str, int] = {}
        self.available: list[Worker] = []  # Workers that are up and not suspended, by home distance.
        self.zones: dict[str, Zone] = {}
        self.hints = {cls.name: HintModel() for cls in settings.classes}
        self.jobs: dict[int, Job] = {}
        self.in_flight: dict[tuple[int, int], Attempt] = {}
        mean = sum(tenant.share for tenant in settings.tenants) / max(1, len(settings.tenants))
        self.flows = {tenant.name: Flow(tenant.share / mean) for tenant in settings.tenants}
        self.virtual_time, self.virtual_time_at, self.recent_work, self.charged_at = 0.0, 0, 0.0, 0
        self.min_target = min(cls.latency_target for cls in settings.classes)
        # Half-life of measured start delays. The more schedulers there are, the longer it takes until one of
        # them sends to a worker again.
        self.half_life = self.min_target * max(DELAY_HALF_LIFE_FACTOR, settings.scheduler_count / 4)
        # Each of many schedulers sees few jobs at each worker, so it probes a worker before it sends to it.
        self.sparse = (
            settings.scheduler_count > MAX_FEW_SCHEDULERS
            and settings.limits.can_probe
            and not settings.limits.peer_messages
        )
        # Without load reports only the start delays of own jobs show queues.
        self.unreported = self.sparse and not settings.report_fields
        # Time between two checks for overdue attempts and late jobs.
        self.check_interval = max(settings.min_event_interval, self.min_target // 4)
        self.timer_set, self.list_requested, self.list_request_at, self.list_losses = False, False, 0, 0
        self.standard_pace = 1.0  # Running time of a unit of work on a worker of weight 1.
        # Averages over the fleet: start delay, running time of a unit of work.
        self.mean_delay, self.mean_pace = 0.0, 1.0
        self.mean_response = 2.0 * self.min_target  # Average time from a send to its successful outcome.
        self.handlers: dict[type, Callable[[Any], None]] = {
            Request: self.on_request, AttemptOutcome: self.on_outcome, AttemptUpdate: self.on_attempt_update,
            Timer: self.on_timer, WorkerListUpdate: self.on_worker_list,
            ClientDisconnected: self.on_answer_settled, ResponseStarted: self.on_answer_settled,
            ProbeResult: self.on_probe_result, SuspensionChange: self.on_suspension_change,
            SiblingProcesses: self.on_sibling_processes, PeerLoads: self.on_peer_loads,
        }  # fmt: skip

    def handle(self, now: int, event: Event) -> list[Action]:
        """Process an event that happened at `now`; return the actions to carry out, in order."""
        self.now, self.actions, self.first_event_at = (
            now,
            [],
            now if self.first_event_at < 0 else self.first_event_at,
        )
        self.handlers[type(event)](event)
        self.dispatch_queued()
        if not self.timer_set and (self.jobs or self.settings.list_on_request and not self.list_requested):
            self.timer_set = True
            self.actions.append(SetTimer(self.check_interval, "beat"))  # The token is sent to the platform.
        return self.actions

    def on_request(self, request: Request) -> None:
        """Queue a new request, or refuse it at once if it cannot be answered in time."""
        cls, flow = self.classes[request.class_name], self.flows.setdefault(request.tenant, Flow(1.0))
        key, slots = request.job_key or cls.name, max(1, request.slots)
        if key not in flow.largest:
            flow.largest[key] = float(slots * request.work_hint) or max(flow.largest.values(), default=0.0)
        hint = request.work_hint or flow.largest[key] / slots or float(cls.latency_target)
        work = self.hints[cls.name].expected_work(hint)  # Imprecise hints move towards the class's mean.
        # A client that retries sets a shorter deadline; its latency target counts from its first try.
        arrived = min(self.now, request.deadline - cls.deadline)
        latest_start = (
            min(arrived + cls.latency_target + cls.stretch * work, request.deadline) - self.mean_pace * work
        )
        job = Job(
            request.id, cls, flow, key, hint, work, slots, request.deadline, latest_start, request.memory
        )
        self.jobs[job.id] = job
        if not flow.queue and not flow.out:
            flow.start = max(flow.start, self.advance_virtual_time())
        self.enqueue(job)
        if self.too_late(job):  # It expires before the next check, so it is sent now or never.
            self.dispatch_queued()
            if job.queued:
                self.answer_unserved(job)

    def on_attempt_update(self, update: AttemptUpdate) -> None:
        """Record the start, progress or missing acknowledgement of an attempt."""
        if (attempt := self.in_flight.get((update.id, update.attempt))) is None:
            return
        if update.kind is UpdateKind.UNACKNOWLEDGED:
            self.on_unacknowledged(attempt)
        else:
            self.record_contact(attempt.worker)
            if update.kind is UpdateKind.STARTED and not attempt.started_at:
                attempt.mark_started(self.now)
                self.record_start_delay(
                    attempt.worker, (self.now - attempt.sent_at) / attempt.job.slots, attempt.sent_at
                )

    def on_outcome(self, outcome: AttemptOutcome) -> None:
        """Settle an ended attempt, learn from it, and retry or answer its request where it needs that."""
        if (attempt := self.in_flight.pop((outcome.id, outcome.attempt), None)) is None:
            return
        job, worker = attempt.job, attempt.worker
        if outcome.report:
            self.record_report(worker, outcome.report, attempt.sent_at)
        # The virtual time has to advance before the attempt ends, as its tenant counts as active until now.
        self.advance_virtual_time()
        attempt.mark_ended(not_executed=outcome.reason in NOT_EXECUTED_REASONS)
        self.settle_charge(attempt, outcome.reason)
        if outcome.reason in WORKER_REPLY_REASONS:
            self.record_contact(worker)
        if outcome.reason is Reason.FULL:  # Leave the worker time to work off its queue.
            self.lower_cap(worker, attempt.sent_at)
            worker.paused_until = self.now + int(self.mean_response)
        elif outcome.reason is Reason.CONNECT_FAILED:
            self.pause_unreachable(worker, attempt.sent_at)
        elif outcome.reason in (Reason.OK, Reason.ERROR, Reason.RESET):
            self.record_success(worker, outcome.reason is Reason.OK)
        if outcome.request_ended or not job.unanswered:
            self.close_request(job)
        elif not self.too_late(job) and any(self.may_retry(job, worker) for worker in self.available):
            self.enqueue(job)
        else:
            self.answer_unserved(job)

    def on_answer_settled(self, event: ClientDisconnected | ResponseStarted) -> None:
        """Close a request whose client has left, or whose response has begun: that attempt goes on."""
        if (job := self.jobs.get(event.id)) is not None:
            self.close_request(job, keep=event.attempt if isinstance(event, ResponseStarted) else -1)

    def on_worker_list(self, update: WorkerListUpdate) -> None:
        """Apply an update of the worker list, or schedule the next request for it if the list was lost."""
        if update.kind is ListKind.LOST:
            if self.list_requested or not self.list_losses:
                # Linear backoff with jitter, longer for more schedulers as all use one discovery service. The
                # divisor is the largest jitter, so that no pause exceeds the limit.
                step = self.limits.connect_timeout * max(1.0, self.settings.scheduler_count / 4)
                left = MAX_LIST_RETRY_US - (self.now - self.list_request_at) * (self.list_losses > 0)
                step = min(step * min(self.list_losses + 1, 4), max(0, left) / 1.5)
                self.list_request_at = self.now + int((0.5 + self.random.random()) * step)
            self.list_requested, self.list_losses = False, self.list_losses + 1
            return
        listed, self.list_losses = {entry.worker for entry in update.entries}, 0
        # Until there are results, a worker of mean weight is assumed to have the pace 1.
        if not self.workers and listed:
            self.standard_pace = sum(entry.weight for entry in update.entries) / len(update.entries)
        for worker in list(self.workers.values()):
            if update.kind is not ListKind.CHANGES and worker.id not in listed:
                worker.state = WorkerState.GONE
            if worker.state is WorkerState.GONE and not worker.used_slots:
                del self.workers[worker.id]
        for entry in update.entries:
            self.update_worker(entry)
        self.order_available()

    def on_suspension_change(self, event: SuspensionChange) -> None:
        """Suspend a worker, or resume it.

        A resumed worker counts as cold, with a small budget: since its start if it has started during the
        suspension, else from now on.
        """
        worker = self.workers.get(event.worker)
        if event.suspended:
            self.suspended.setdefault(event.worker, self.now)
        elif (since := self.suspended.pop(event.worker, 0)) and worker is not None:
            worker.reset(INITIAL_SLOT_CAP, self.now if worker.started_at < since else 0)
        self.order_available()

    def on_sibling_processes(self, siblings: SiblingProcesses) -> None:
        """Use what a sibling process has learned of the workers that have not answered this one yet."""
        self.siblings = siblings
        new = [worker for worker in self.workers.values() if not worker.contact_at]
        if len(new) == len(self.workers) and siblings.learned.fleet[0]:
            self.mean_pace, self.mean_delay, self.mean_response = siblings.learned.fleet
        for worker in new:
            if worker.id in siblings.learned.workers:
                worker.pace, worker.slot_cap, worker.peak_slots = siblings.learned.workers[worker.id]

    def on_peer_loads(self, loads: PeerLoads) -> None:
        """Replace what the other schedulers hold at each worker."""
        for worker in self.workers.values():
            worker.peer_load = loads.by_worker.get(worker.id, (0, 0.0))

    def learned_state(self) -> LearnedState:
        """What this dispatcher has learned, for the process that replaces it."""
        workers = {w.id: (w.pace, w.slot_cap, w.peak_slots) for w in self.workers.values() if w.contact_at}
        cold = {w.id: list(w.cold_sends) for w in self.workers.values() if w.cold_sends}
        return LearnedState((self.mean_pace, self.mean_delay, self.mean_response), workers, cold)

    def avoided_workers(self, now: int) -> set[str]:
        """Workers that get no attempts at present, suspended by operators or paused by this dispatcher."""
        return self.suspended.keys() | {w.id for w in self.workers.values() if w.is_paused(now)}

    def order_available(self) -> None:
        """List the available workers by their distance from this scheduler's part of the hash ring.

        Schedulers then use different workers while load is low, and each learns more of its own.
        """
        up = [worker for worker in self.workers.values() if worker.state is WorkerState.UP]
        self.available = [worker for worker in up if worker.id not in self.suspended]
        self.available.sort(key=lambda worker: (worker.id_hash, worker.id))
        home = (self.settings.scheduler_index + 0.5) / self.settings.scheduler_count
        for index, worker in enumerate(self.available):
            distance = abs((index + 0.5) / len(self.available) - home)
            worker.home_distance = 2 * min(distance, 1 - distance)
        self.available.sort(key=lambda worker: worker.home_distance)

    def on_timer(self, _: Timer) -> None:
        """Request the worker list if necessary, check attempts and unreachable zones, shed late jobs."""
        self.timer_set = False
        if self.settings.list_on_request and not self.list_requested and self.list_request_at <= self.now:
            self.list_requested, self.list_request_at = True, self.now
            self.actions.append(Watch())  # It always results in a list update, at least in one of kind LOST.
        for attempt in [attempt for attempt in self.in_flight.values() if not attempt.lost_at]:
            self.check_progress(attempt)
        for zone in [zone for zone in self.zones.values() if zone.unreachable_since]:
            self.probe_zone(zone, zone.unreachable_since)
        waiting = [flow for flow in self.flows.values() if flow.queue]
        for flow in waiting:
            self.shed_late(flow, flow.phi / sum(other.phi for other in waiting))

    def update_worker(self, entry: WorkerEntry) -> None:
        """Add or update a worker from its entry in the list."""
        worker = self.workers.get(entry.worker)
        if worker is None:
            pace = self.standard_pace / entry.weight if entry.weight > 0 and self.sparse else self.mean_pace
            worker = Worker(entry.worker, crc32(entry.worker.encode()), pace, INITIAL_SLOT_CAP, entry.weight)
            self.workers[worker.id] = worker
        elif entry.started_at != worker.started_at:  # It has restarted, so its learned load is obsolete.
            worker.reset(INITIAL_SLOT_CAP)
        worker.zone = self.zones.setdefault(entry.zone, Zone(entry.zone))
        worker.kind, worker.cell, worker.state, worker.started_at = (
            entry.kind,
            entry.cell,
            entry.state,
            entry.started_at,
        )

    def record_contact(self, worker: Worker) -> None:
        """Note that a worker has answered, so its zone can be reached."""
        worker.contact_at = worker.zone.contact_at = self.now
        worker.connect_failures = worker.zone.unreachable_since = 0

    def probe_zone(self, zone: Zone, since: int) -> None:
        """Probe a zone that has not answered since then while others have: the network may be partitioned."""
        if self.now >= zone.next_probe_at and zone.contact_at < since < max(
            z.contact_at for z in self.zones.values()
        ):
            zone.next_probe_at = self.now + max(self.limits.connect_timeout, (self.now - since) // 4)
            there = [worker.id for worker in self.available if worker.zone is zone]
            if there and self.limits.can_probe:
                self.actions.append(Probe(self.random.choice(there)))

    def pause_unreachable(self, worker: Worker, since: int) -> None:
        """Pause a worker after a failed connection, the longer the more have failed without an answer."""
        worker.connect_failures += 1
        worker.paused_until = self.now + int(
            self.mean_response * min(MAX_PAUSE_FACTOR, CONNECT_PAUSE_FACTOR * 2**worker.connect_failures)
        )
        self.probe_zone(worker.zone, since)

    def record_success(self, worker: Worker, success: bool) -> None:
        """Update the success rate; pause a worker that fails often.

        A worker that fails its jobs at once is always free, and would get most of the jobs.
        """
        worker.success_rate += SAMPLE_WEIGHT * (success - worker.success_rate)
        if worker.success_rate < MIN_SUCCESS_RATE and not success:
            pause = min(MAX_PAUSE_FACTOR, 1 / worker.success_rate - 1) * self.mean_response
            worker.paused_until = max(worker.paused_until, self.now + int(pause))

    def reliable_enough(self, job: Job, worker: Worker) -> bool:
        """Whether the worker's success rate permits the job.

        Safe jobs try out a worker with a low rate, one at a time if most of its jobs fail. Where all workers
        have a low rate, none is excluded.
        """
        if worker.success_rate >= MIN_SUCCESS_RATE or all(
            other.success_rate < MIN_SUCCESS_RATE for other in self.available
        ):
            return True
        return job.cls.idempotency is Idempotency.SAFE and (
            worker.success_rate >= MIN_PARALLEL_RATE or not worker.used_slots
        )

    def on_unacknowledged(self, attempt: Attempt) -> None:
        """Give up the slots of an attempt whose connection or worker is dead; retry it if that is safe.

        A worker acknowledges also what it queues, so this is no sign of a queue.
        """
        job, worker = attempt.job, attempt.worker
        if attempt.lost_at or attempt.started_at:
            return
        attempt.mark_lost(self.now)
        if worker.contact_at < attempt.sent_at:
            self.pause_unreachable(worker, attempt.sent_at)
        if (
            job.unanswered
            and job.cls.idempotency is Idempotency.SAFE
            and len(job.attempts) < self.limits.max_attempts
        ):
            self.cancel(attempt)

    def on_probe_result(self, probe: ProbeResult) -> None:
        """Learn from the result of a probe; mark the zone unreachable if the connection timed out."""
        if (worker := self.workers.get(probe.worker)) is None:
            return
        worker.probe_sent_at, worker.probe_answered_at = 0, self.now
        if probe.report:
            self.record_report(worker, probe.report, self.now)
        self.record_success(worker, probe.reason is Reason.OK)
        if probe.reason is Reason.OK:
            self.record_contact(worker)
        else:  # The worker cannot serve, and the probe has shown it before a job was lost there.
            self.pause_unreachable(worker, self.now)
        zone = worker.zone
        # A connection that is refused at once shows that the zone can be reached.
        if (
            self.now - zone.contact_at > probe.duration >= self.limits.connect_timeout
            and not zone.unreachable_since
        ):
            zone.unreachable_since = self.now
            self.actions.append(Log("zone out of reach: left out and probed"))

    def record_start_delay(self, worker: Worker, delay: float, sent: int) -> None:
        """Adapt a worker's slot cap and expected delay to the time that a job waited there for its start."""
        old, worker.start_delay_at = worker.expected_delay(self.now, self.half_life), self.now
        worker.start_delay = old * (1 - SAMPLE_WEIGHT) + delay * SAMPLE_WEIGHT
        self.update_mean_delay(delay)
        if delay > self.min_target:  # The delay includes the network latency to other zones.
            self.lower_cap(worker, sent)
        elif worker.used_slots >= int(worker.slot_cap):
            worker.slot_cap += SLOT_CAP_INCREASE

    def update_mean_delay(self, delay: float) -> None:
        """Add a start delay to the mean of the fleet.

        Outliers are limited. The limit is four times as high if, for lack of load reports, the mean is
        assumed at each worker (`best_worker`).
        """
        self.mean_delay += MEAN_DELAY_WEIGHT * (
            min(delay, MAX_SAMPLE_RATIO * self.min_target * (1 + 3 * self.unreported)) - self.mean_delay
        )

    def record_report(self, worker: Worker, report: tuple[float, ...], sent: int) -> None:
        """Estimate a worker's start delay from its load report.

        The field `x0` is the number of free slots, `queue` that of waiting jobs, `latency_ms` the mean time
        of a job there. A scheduler among few knows from its own jobs how fast the worker is and what they
        hold there. A scheduler among many does not, and jobs of the others may take the free slots first.
        """
        load = dict(zip(self.settings.report_fields, report, strict=False))
        worker.peak_slots = max(worker.peak_slots, round(load.get("x0", 0.0)))
        queue = load.get("queue", 0.0)
        lacking = (
            max(0.0, CONTENDED_SLOTS + 1.5 * queue - load.get("x0", CONTENDED_SLOTS))
            if self.sparse
            else queue / 2
        )
        # If the report has no `latency_ms`, half of the mean response is assumed.
        latency = (
            load.get("latency_ms", self.mean_response / 2000) * 1000 if self.sparse else self.mean_response
        )
        worker.start_delay, worker.start_delay_at = lacking * latency / worker.peak_slots, self.now

    def lower_cap(self, worker: Worker, sent: int) -> None:
        """Lower a slot cap, once for all the attempts that were sent before the last decrease."""
        if sent >= worker.cap_lowered_at:
            worker.slot_cap = max(
                MIN_SLOT_CAP, min(worker.slot_cap, worker.used_slots + 1) * SLOT_CAP_DECREASE_FACTOR
            )
            worker.cap_lowered_at = self.now

    def advance_virtual_time(self) -> float:
        """Advance v by the rate of finished work divided by the shares of the active tenants."""
        elapsed, self.virtual_time_at = self.now - self.virtual_time_at, self.now
        active = sum(flow.phi for flow in self.flows.values() if flow.queue or flow.out)
        if active:
            self.virtual_time += elapsed * self.recent_work / RATE_WINDOW_US / active
        self.recent_work *= max(0.0, 1 - elapsed / RATE_WINDOW_US)
        return self.virtual_time

    def charge_running(self) -> None:
        """Refresh charging of the paper: charge running jobs for what exceeds their L_max.

        It is done when a choice between tenants needs it.
        """
        if self.now - self.charged_at >= CHARGE_INTERVAL_US:
            self.charged_at = self.now
            for attempt in self.in_flight.values():
                attempt.charge(max(attempt.charged, attempt.cost(self.now)))

    def settle_charge(self, attempt: Attempt, reason: Reason) -> None:
        """Retroactive charging of the paper, or a refund if the job never ran; learn from its cost."""
        cost, worker = attempt.cost(self.now), attempt.worker
        attempt.charge(0.0 if attempt.not_executed else cost)
        if reason is Reason.OK:
            self.recent_work += cost
            largest, key = attempt.job.flow.largest, attempt.job.job_key
            largest[key] = max(MAX_COST_DECAY * largest[key], cost)
            self.hints[attempt.job.cls.name].record_cost(
                attempt.job.hint, cost / attempt.job.slots / worker.pace
            )
            pace = cost / attempt.job.slots / attempt.job.work
            self.mean_pace, worker.pace = (
                moving_average(self.mean_pace, pace),
                moving_average(worker.pace, pace),
            )
            self.standard_pace += MEAN_DELAY_WEIGHT * (pace * worker.weight - self.standard_pace)
            self.mean_response = moving_average(self.mean_response, self.now - attempt.sent_at)

    # ---- dispatch of queued jobs ----

    def dispatch_queued(self) -> None:
        """Send queued jobs while there are free positions, in the order of 2DFQ^E.

        The position is the best one for the first job of the tenant with the smallest finish tag. Of all
        eligible tenants whose first job may use it, it goes to the one with the smallest finish tag.
        """
        waiting = [flow for flow in self.flows.values() if flow.queue]
        if not waiting:
            return
        reserved: list[Worker] = []
        v = self.advance_virtual_time()
        self.charge_running()
        while waiting:
            front = min(waiting, key=self.finish_tag)
            worker = self.best_worker(front.queue[0], reserved)
            if worker is None or self.needs_probe(worker):
                waiting.remove(front)
                self.reserve_worker(front.queue[0], reserved)
                continue
            stagger = self.stagger(worker) if len(waiting) > 1 else 0.0
            able = [flow for flow in waiting if flow is front or self.may_send(flow.queue[0], worker)]
            eligible = [f for f in able if f.start - stagger * f.largest[f.queue[0].job_key] < v]
            # The scheduler is work-conserving: where no tenant is eligible, the first one is served.
            flow = min(eligible, key=self.finish_tag) if eligible else front
            self.send(flow.queue[0], worker)
            if not flow.queue:
                waiting.remove(flow)

    def needs_probe(self, worker: Worker) -> bool:
        """Whether a probe of the worker has to end before a job is sent; starts the probe.

        Otherwise each of many schedulers would lose a job of its own at each bad worker.
        """
        if (
            self.sparse
            and worker.probe_answered_at + PROBE_VALIDITY_US <= self.now
            and not worker.probe_sent_at
        ):
            worker.probe_sent_at = self.now
            self.actions.append(Probe(worker.id))
        return worker.probe_sent_at > 0

    def reserve_worker(self, job: Job, reserved: list[Worker]) -> None:
        """Reserve the least used worker for a job of many slots, until enough of its slots are free.

        Otherwise small jobs would take each slot that becomes free, and starve the job.
        """
        usable = [w for w in self.available if job.slots > 1 and w.used_slots and self.can_run(job, w)]
        reserved += sorted(usable, key=lambda worker: worker.used_slots)[:1]

    def finish_tag(self, flow: Flow) -> float:
        """The finish tag S_f + L_max^f / phi_f of the tenant's first queued job."""
        return flow.start + flow.largest[flow.queue[0].job_key] / flow.phi

    def stagger(self, worker: Worker) -> float:
        """i/n of the worker's next position, by which 2DFQ^E staggers the eligibility of tenants.

        Positions are ordered by worker. Each worker has as many as its slot cap.
        """
        i = n = 0
        for other in self.available:
            if other is worker:
                i = n + worker.used_slots
            n += int(other.slot_cap)
        return i / n

    def best_worker(self, job: Job, reserved: list[Worker]) -> Worker | None:
        """The worker that is expected to end the job first, of those that it may be sent to.

        Each of many schedulers sees the same fast workers idle. They prefer the worker where the time needed
        is the smallest part of the time left, so that they do not all choose the fastest one.
        """
        best, least = None, float("inf")
        cross = self.settings.cross_zone_cost * (job.cls.latency_target + job.cls.stretch * job.work)
        # Among many schedulers the cost counts without the factor, as it is divided by the time left below.
        cross *= 1.0 if self.sparse else CROSS_ZONE_COST_FACTOR
        # A job that would wait longer than this at a worker stays queued here, so that queues at workers do
        # not grow.
        slack = self.min_target + max(job.latest_start - self.now, 0.0)
        far = HOME_DISTANCE_WEIGHT * (self.mean_response + self.slot_time(job)) * self.sparse
        # Workers of the deduplication scope or kind that the job needs may be far from home.
        anywhere = job.first_maybe_executed() or job.cls.worker_kind >= 0
        near = self.available if anywhere else self.available[: EXTRA_CANDIDATES + len(self.in_flight)]
        # Without load reports the mean delay is assumed at each worker. Otherwise a congested fleet would get
        # still more jobs.
        usual = self.mean_delay * self.unreported
        for worker in [other for other in near if other not in reserved]:
            queueing, delay = (
                worker.queueing_time(job.slots),
                max(worker.expected_delay(self.now, self.half_life), usual),
            )
            # When the job is expected to end, as a time from now with penalties for distance. Among many
            # schedulers it becomes the part of the time left that passes until the job starts.
            end = far * worker.home_distance + queueing + cross * (worker.zone.name != self.settings.zone)
            left = max(
                self.check_interval, job.latest_start - self.now + (self.mean_pace - worker.pace) * job.work
            )
            end = (
                (end + max(delay, self.check_interval)) / left
                if self.sparse
                else end + delay + job.work * worker.pace
            )
            if (
                end < least
                and (delay + queueing <= slack or not self.in_flight)
                and self.may_send(job, worker)
            ):
                best, least = worker, end
        return best

    # ---- rules: `send` checks each attempt, `answer_unserved` gives each negative final answer ----

    def may_send(self, job: Job, worker: Worker) -> bool:
        """Whether every rule permits to send the job to the worker now."""
        used = worker.used_slots + self.siblings.slots_by_worker.get(worker.id, 0) + worker.peer_load[0]
        return (
            self.can_run(job, worker)
            and self.now >= worker.paused_until
            and (not worker.probe_sent_at or self.now < worker.probe_sent_at + PROBE_WAIT_US)
            and self.reliable_enough(job, worker)
            # A worker without attempts of ours takes a job of any size.
            and (not worker.used_slots or used + job.slots <= worker.slot_cap)
            # A worker has one unit of memory for each slot.
            and worker.used_memory + job.memory <= max(job.memory, worker.slot_cap)
            and (self.capacity_share(worker) >= 1 or self.cold_budget(worker) >= job.work * job.slots)
        )

    def can_run(self, job: Job, worker: Worker) -> bool:
        """Whether the worker is of the right kind, can be reached, and may retry the job if it is a retry."""
        kind = self.settings.worker_kinds[job.cls.worker_kind] if job.cls.worker_kind >= 0 else worker.kind
        able = kind == worker.kind and not worker.zone.unreachable_since
        return able and (not job.attempts or self.may_retry(job, worker))

    def may_retry(self, job: Job, worker: Worker) -> bool:
        """Whether a further attempt on the worker is permitted.

        A keyed job that may have run is retried only within its deduplication scope and window. There is
        never more than one attempt in flight, as duplicates would add to congestion.
        """
        if len(job.attempts) >= self.limits.max_attempts or job.attempts_in_flight():
            return False
        first, cls = job.first_maybe_executed(), job.cls
        if first is None or cls.idempotency is Idempotency.SAFE:
            return True
        if cls.dedup_scope is DedupScope.CELL and first.worker.cell != worker.cell:
            return False
        in_zone = cls.dedup_scope is not DedupScope.ZONE or first.worker.zone is worker.zone
        return (
            in_zone and cls.idempotency is Idempotency.KEYED and self.now - first.sent_at < cls.dedup_window
        )

    def capacity_share(self, worker: Worker) -> float:
        """The least share of its full capacity that a worker has by now; 1 if it is warm."""
        started = max(worker.started_at, worker.resumed_at)
        least, age = self.rules.cold_min_share, max(0, self.now - started)
        cold = started and age < self.rules.warm_up_time
        return least + (1 - least) * age / self.rules.warm_up_time if cold else 1.0

    def cold_budget(self, worker: Worker) -> float:
        """Work that this scheduler may still send to a cold worker within the current window."""
        sends = worker.cold_sends
        while sends and self.now - sends[0][0] > self.rules.overload_window:
            sends.popleft()
        slots = max(other.peak_slots for other in self.available if other.kind == worker.kind)
        budget = (
            self.rules.overload_multiple
            * self.capacity_share(worker)
            * slots
            / worker.pace
            * self.rules.overload_window
        )
        # After a restart without handover some of the budget may have been used in this window already.
        if self.now - self.first_event_at < self.rules.overload_window and not self.siblings.learned.fleet[0]:
            budget /= 2
        budget /= 1 + self.siblings.accepting  # The processes of a scheduler share its budget.
        theirs = self.siblings.learned.cold.get(worker.id, ())
        sent = sum(
            (work for at, work in [*sends, *theirs] if self.now - at <= self.rules.overload_window), 0.0
        )
        # The schedulers that share the budget of a worker follow from its hash, so they never change:
        # `sharing` successive ones, the first of which is at the worker's position on the hash ring.
        schedulers = self.settings.scheduler_count
        sharing = SCHEDULERS_PER_COLD_WORKER if schedulers > MAX_FEW_SCHEDULERS else schedulers
        position = (self.settings.scheduler_index - worker.id_hash * schedulers // 2**32) % schedulers
        return budget * COLD_BUDGET_SHARE / sharing * (position < sharing) - sent

    def send(self, job: Job, worker: Worker) -> None:
        """Send a queued job to the worker; every attempt goes through here."""
        assert job.unanswered, f"request {job.id} already has its final answer"
        assert self.may_send(job, worker), f"a rule forbids sending request {job.id} to worker {worker.id}"
        self.dequeue(job)
        attempt = Attempt(job, len(job.attempts), worker, self.now)
        self.in_flight[job.id, attempt.number] = attempt
        attempt.register()
        attempt.charge(job.flow.largest[job.job_key])
        if self.capacity_share(worker) < 1:
            worker.cold_sends.append((self.now, job.work * job.slots))
        self.actions.append(Send(job.id, worker.id))

    def answer_unserved(self, job: Job) -> None:
        """Give the final answer to a request without result: refused if a retry is safe, else failed."""
        # Whichever worker a client's retry of such a job reaches, the worker drops it as a repeat.
        keyed_to_all = job.cls.idempotency is Idempotency.KEYED and job.cls.dedup_scope is DedupScope.ALL
        safe = job.first_maybe_executed() is None or job.cls.idempotency is Idempotency.SAFE or keyed_to_all
        self.actions.append(Refuse(job.id, self.retry_delay(job)) if safe else Fail(job.id))
        self.close_request(job)

    def retry_delay(self, job: Job) -> int:
        """Time until a retry can find a free position: by then the tenant's queue is worked off."""
        slots = max(1, sum(attempt.job.slots for attempt in self.in_flight.values()))
        queued = sum(self.slot_time(other) for other in job.flow.queue) / slots
        return min(self.limits.max_retry_after, max(self.check_interval, int(self.mean_delay + queued)))

    def enqueue(self, job: Job) -> None:
        """Add a job to its tenant's queue, which is ordered by latest start."""
        job.queued = True
        insort(job.flow.queue, job, key=lambda other: other.latest_start)

    def dequeue(self, job: Job) -> None:
        """Remove a job from its tenant's queue if it is there."""
        if job.queued:
            job.queued = False
            job.flow.queue.remove(job)

    def too_late(self, job: Job) -> bool:
        """Whether the job's deadline may pass before the check after next."""
        return self.now + 2 * self.check_interval >= job.deadline

    def check_progress(self, attempt: Attempt) -> None:
        """Detect a queue or a hang at a worker by the age of an attempt.

        Its expected time includes the mean response, so no worker stands out where all are slow.
        """
        worker = attempt.worker
        limit = self.min_target + OVERDUE_FACTOR * max(self.mean_response, attempt.job.work * worker.pace)
        if self.settings.reports_start and not attempt.started_at:
            limit = float(self.min_target)
        # The worker answers others but should have ended this one long ago: its response stream was cut off.
        if attempt.started_at and worker.contact_at > attempt.started_at + limit:
            attempt.mark_lost(self.now)
            return
        waited = self.now - (
            max(attempt.sent_at, worker.contact_at) if attempt.started_at else attempt.sent_at
        )
        if waited > limit:
            worker.start_delay, worker.start_delay_at = (
                max(worker.expected_delay(self.now, self.half_life), waited),
                self.now,
            )
            self.update_mean_delay(waited if self.unreported else self.mean_delay)
            self.lower_cap(worker, attempt.sent_at)
            self.probe_zone(worker.zone, attempt.sent_at)

    def shed_late(self, flow: Flow, part: float) -> None:
        """Refuse queued jobs that cannot start in time, those of the least value first (Moore-Hodgson).

        `part` is the tenant's part of the slots in use.
        """
        rate = max(1.0, part * sum(attempt.job.slots for attempt in self.in_flight.values()))
        start, kept = float(self.now), []
        for job in list(flow.queue):
            kept.append(job)
            if start > job.latest_start or self.too_late(job):
                victim = min(kept, key=self.value_density)
                kept.remove(victim)
                start -= self.slot_time(victim) / rate
                self.answer_unserved(victim)
            start += self.slot_time(job) / rate

    def slot_time(self, job: Job) -> float:
        """Slots times running time that the job is expected to take."""
        return job.slots * job.work * self.mean_pace

    def value_density(self, job: Job) -> float:
        """Value of the job for each unit of slot time.

        If the value of a request grows with its work, the work cancels out.
        """
        return job.cls.value / (job.slots if self.settings.value_by_work else self.slot_time(job))

    def close_request(self, job: Job, keep: int = -1) -> None:
        """Remove a request that needs no answer any more; cancel its attempts except number `keep`."""
        job.unanswered = False
        self.dequeue(job)
        for attempt in job.attempts:
            if attempt.number != keep:
                self.cancel(attempt)
        if not job.attempts_in_flight():
            self.jobs.pop(job.id, None)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight, once, if the platform permits it."""
        if self.limits.can_cancel and not (attempt.ended or attempt.cancelled):
            attempt.cancelled = True
            self.actions.append(Cancel(attempt.job.id, attempt.number))
