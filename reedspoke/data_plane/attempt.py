"""What is known of an attempt at a worker while it is out."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.data_plane.event_stream import EventSplitter
from reedspoke.data_plane.upstream_connection import UpstreamConnection
from reedspoke.decision.attempt_fate import Ending, Evidence
from reedspoke.decision.attempt_timeout import OpenAttempt
from reedspoke.decision.messages import Job, WorkerEntry


class Attempt(Struct):
    """The attempt that is out."""

    worker: WorkerEntry
    number: int
    urgency: int | None
    version_asked: bool
    sent_at: float
    heard_at: float
    started: bool = False  # its first event or its body has begun
    connection: UpstreamConnection | None = None
    bytes_sent: bool = False
    status: int = 0  # 0: no head has come
    not_executed: bool = False
    fields: bytes = b""  # of the answer, to pass on; a copy, as the head lies in the connection's buffer
    body: bytearray | None = None  # of an answer that is read whole
    splitter: EventSplitter | None = None  # of a stream of events

    def open(self, job: Job, pause_s: float, heard_at: float, *, may_have_run: bool) -> OpenAttempt:
        """What tells whether it is overdue, or has gone silent; `pause_s`: its `event_gap_target_s`."""
        return OpenAttempt(
            job_id=job.job_id,
            instance_id=self.worker.instance_id,
            repeat=job.repeat,
            streaming=job.streaming,
            latency_target_s=job.latency_target_s,
            event_gap_target_s=pause_s,
            sent_at=self.sent_at,
            last_received_at=heard_at,
            deadline=job.deadline,
            connected=self.bytes_sent,
            may_have_run=may_have_run,
        )

    def evidence(self, ending: Ending) -> Evidence:
        """What was seen of it, now that it has ended so."""
        return Evidence(ending, self.bytes_sent, self.status, self.not_executed, self.version_asked)
