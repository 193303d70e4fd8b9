"""Load sharing: schedulers report to each other which worker slots their attempts have reserved.

A change is reported at once, in one frame to all peers, and existing reservations are reported again every
REFRESH_US, which compensates for lost reports. The number of bytes sent is bounded by the traffic: each
attempt earns a credit of BYTES_PER_ATTEMPT over all receivers, and while the credit is exhausted, changes are
deferred and then sent together.

A reported load is valid until the peer's next report on that worker, until the peer restarts (its incarnation
changes), or until it has not been repeated for EXPIRY_US, so that the reservations of a failed peer do not
block a worker. Reports that arrive out of order are detected by their sequence numbers.

`LoadSharing` is the sole owner of this state. It performs no I/O; times are microseconds.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from reedspoke.fleet.messages.fields import name_hash
from reedspoke.fleet.messages.frame import Frame, is_newer_sequence
from reedspoke.fleet.messages.sizes import MAX_HEADER_BYTES
from reedspoke.fleet.messages.worker_load import (
    WORKER_LOAD_STRUCT,
    LoadReport,
    WorkerLoad,
    decode_loads,
    encode_loads,
)
from reedspoke.logic import Dispatcher

SECOND_US = 1_000_000
REFRESH_US = 1_000_000  # between reports on a worker whose load does not change
EXPIRY_US = 2_500_000  # allows for the loss of two consecutive reports
EXPIRY_CHECKS = 10  # number of checks within EXPIRY_US
BYTES_PER_ATTEMPT = 384  # over all receivers; the platform charges the full price for 256
BYTES_PER_SECOND = 64  # for each receiver: reservations are also repeated while there are no attempts
MAX_CREDIT_ATTEMPTS = 32  # upper bound of the saved credit, in attempts
MAX_CREDIT_SECONDS = 2.0
PEER_IDLE_TIMEOUT_US = 20_000_000  # the state of a peer that has sent nothing for that long is removed

WorkerLoads = dict[str, tuple[int, float]]  # by worker: slots, and work in microseconds
NO_LOAD = (0, 0.0)


def reserved_by(module: Dispatcher) -> WorkerLoads:
    """Returns the loads that the attempts of this scheduler currently reserve."""
    loads: WorkerLoads = {}
    for attempt in module.in_flight.values():
        if not attempt.lost_at:
            worker = attempt.worker
            loads[worker.id] = worker.used_slots, worker.work_in_flight
    return loads


class SentReport(NamedTuple):
    """The load that was last reported to the peers for one worker, and the time of the report."""

    load: tuple[int, float]
    sent_at: int


class ReceivedReport(NamedTuple):
    """The last report of a peer on one worker."""

    sequence: int
    received_at: int
    load: WorkerLoad


@dataclass(slots=True)
class PeerReports:
    """The reports of one incarnation of a peer, by the hash of the worker's name."""

    incarnation: int
    last_received_at: int
    by_worker: dict[int, ReceivedReport] = field(default_factory=dict)


class LoadSharing:
    """The load reports to the peers and those received from them.

    `stale` counts the received loads that were older than the known ones, `deferred` how often reports were
    deferred because the byte credit was exhausted.
    """

    def __init__(self, schedulers: int) -> None:
        """`schedulers` is the size of the fleet, this one included."""
        self.receivers = max(1, schedulers - 1)
        self.stale = self.deferred = 0
        self._sent: dict[str, SentReport] = {}
        self._peers: dict[int, PeerReports] = {}
        self._totals: dict[int, tuple[int, float]] = {}  # over all peers, by the hash of the worker's name
        self._next_expiry_check_at = 0
        self._credit_bytes = float(BYTES_PER_ATTEMPT * MAX_CREDIT_ATTEMPTS)
        self._credited_attempts = self._credited_at = 0

    # ---- reports to the peers ----

    def due_reports(self, now: int, reserved: WorkerLoads, attempts: int) -> list[LoadReport]:
        """Returns the reports to send to every peer; `attempts` is the number of attempts made so far."""
        due = self._due_loads(now, reserved)
        if not due or not self._spend_credit(now, attempts, len(due)):
            return []
        for worker, load in due.items():
            if load.slots:
                self._sent[worker] = SentReport((load.slots, load.work_us), now)
            else:
                self._sent.pop(worker, None)
        # Sorted because the workers come out of a set, whose order differs between processes.
        return list(encode_loads(sorted(due.values(), key=lambda load: load.worker_hash)))

    def _due_loads(self, now: int, reserved: WorkerLoads) -> dict[str, WorkerLoad]:
        due = {}
        for worker in reserved.keys() | self._sent.keys():
            load = reserved.get(worker, NO_LOAD)
            sent = self._sent.get(worker, SentReport(NO_LOAD, now))
            needs_refresh = load[0] > 0 and now - sent.sent_at >= REFRESH_US
            if load != sent.load or needs_refresh:
                due[worker] = WorkerLoad(name_hash(worker), *load)
        return due

    def _spend_credit(self, now: int, attempts: int, loads: int) -> bool:
        """Pays for that many loads from the credit. Returns whether they may be sent.

        Without the credit, every change of every peer would be sent to hundreds of receivers at once.
        """
        elapsed_s = min(now - self._credited_at, REFRESH_US) / SECOND_US
        earned_by_attempts = (attempts - self._credited_attempts) * BYTES_PER_ATTEMPT
        earned_by_time = elapsed_s * BYTES_PER_SECOND * self.receivers
        max_credit = max(
            MAX_CREDIT_ATTEMPTS * BYTES_PER_ATTEMPT, MAX_CREDIT_SECONDS * BYTES_PER_SECOND * self.receivers
        )
        self._credit_bytes = min(max_credit, self._credit_bytes + (earned_by_attempts + earned_by_time))
        self._credited_attempts, self._credited_at = attempts, now
        if self._credit_bytes <= 0:
            self.deferred += 1
            return False
        self._credit_bytes -= self.receivers * (MAX_HEADER_BYTES + loads * WORKER_LOAD_STRUCT.size)
        return True

    # ---- reports from the peers ----

    def receive(self, now: int, frame: Frame, report: LoadReport) -> bool:
        """Applies one report of a frame. Returns whether any load in it is not stale. Raises FrameError.

        A repeated load counts as an update as well, so that placement considers all loads again: reacting to
        changes alone cost 0.03 of the score G on a day with many faults.
        """
        peer = self._peer(now, frame)
        updated = False
        for load in decode_loads(report):
            known = peer.by_worker.get(load.worker_hash)
            if known is not None and not is_newer_sequence(frame.sequence, known.sequence):
                self.stale += 1
                continue
            previous = known.load if known is not None else WorkerLoad(load.worker_hash, *NO_LOAD)
            peer.by_worker[load.worker_hash] = ReceivedReport(frame.sequence, now, load)
            self._add(load.worker_hash, load.slots - previous.slots, load.work_us - previous.work_us)
            updated = True
        return updated

    def _peer(self, now: int, frame: Frame) -> PeerReports:
        """Returns the reports of the frame's sender, after dropping those of its earlier incarnation."""
        peer = self._peers.get(frame.sender)
        if peer is None or frame.incarnation != peer.incarnation:
            self._forget_peer(frame.sender)
            peer = self._peers[frame.sender] = PeerReports(frame.incarnation, now)
        peer.last_received_at = now
        return peer

    def _add(self, worker_hash: int, slots: int, work_us: float) -> None:
        """Adds to the totals over all peers.

        With the totals, the cost of a report depends on its size and not on the number of peers and workers.
        """
        total_slots, total_work_us = self._totals.get(worker_hash, NO_LOAD)
        if total_slots + slots > 0:
            self._totals[worker_hash] = total_slots + slots, total_work_us + work_us
        else:
            self._totals.pop(worker_hash, None)

    def _forget_peer(self, member: int) -> None:
        peer = self._peers.pop(member, None)
        if peer is not None:
            for report in peer.by_worker.values():
                self._subtract(report.load)

    def _subtract(self, load: WorkerLoad) -> None:
        self._add(load.worker_hash, -load.slots, -load.work_us)

    def expire(self, now: int) -> bool:
        """Drops expired reports and idle peers. Returns whether a load of the others has changed."""
        if now < self._next_expiry_check_at:
            return False
        self._next_expiry_check_at = now + EXPIRY_US // EXPIRY_CHECKS
        changed = False
        for member, peer in list(self._peers.items()):
            changed |= self._expire_reports(now, peer)
            if now - peer.last_received_at >= PEER_IDLE_TIMEOUT_US:
                self._forget_peer(member)
        return changed

    def _expire_reports(self, now: int, peer: PeerReports) -> bool:
        expired = [report for report in peer.by_worker.values() if now - report.received_at >= EXPIRY_US]
        for report in expired:
            del peer.by_worker[report.load.worker_hash]
            self._subtract(report.load)
        return any(report.load.slots > 0 for report in expired)

    def loads_of_others(self, workers: Iterable[str]) -> WorkerLoads:
        """Returns the total load that the peers have reported for each of these workers, if there is any."""
        if not self._totals:
            return {}
        worker_by_hash = {name_hash(worker): worker for worker in workers}
        return {
            worker_by_hash[worker_hash]: load
            for worker_hash, load in self._totals.items()
            if worker_hash in worker_by_hash
        }
