"""The state of an attempt at a worker while it is in flight."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.data_plane.event_stream import EventSplitter
from reedspoke.data_plane.upstream_connection import UpstreamConnection
from reedspoke.decision.attempt_fate import Ending, Evidence
from reedspoke.decision.attempt_timeout import OpenAttempt
from reedspoke.decision.messages import Job, WorkerEntry


class Attempt(Struct):
    """An attempt in flight."""

    worker: WorkerEntry
    number: int
    urgency: int | None
    version_requested: bool
    sent_at: float
    last_received_at: float
    started: bool = False  # Whether its first event or its body has started.
    connection: UpstreamConnection | None = None
    bytes_sent: bool = False
    status: int = 0  # 0 until the head of the answer arrives.
    not_executed: bool = False
    fields: bytes = b""  # Header lines to forward: a copy, as the head is a view of the connection's buffer.
    body: bytearray | None = None  # The body of an answer that is buffered; None for a stream.
    splitter: EventSplitter | None = None  # The splitter of a stream of events; None for another answer.

    def as_open_attempt(
        self, job: Job, event_gap_target_s: float, last_received_at: float, *, may_have_run: bool
    ) -> OpenAttempt:
        """The attempt for the checks of time-outs and deadlines."""
        return OpenAttempt(
            job_id=job.job_id,
            instance_id=self.worker.instance_id,
            repeat=job.repeat,
            streaming=job.streaming,
            latency_target_s=job.latency_target_s,
            event_gap_target_s=event_gap_target_s,
            sent_at=self.sent_at,
            last_received_at=last_received_at,
            deadline=job.deadline,
            connected=self.bytes_sent,
            may_have_run=may_have_run,
        )

    def evidence(self, ending: Ending) -> Evidence:
        """What was observed of the attempt, which ended with `ending`."""
        return Evidence(ending, self.bytes_sent, self.status, self.not_executed, self.version_requested)
