"""Settings of a replica, and the times and sizes of the replication protocol.

`docs/control-safety.md` describes how they depend on each other. Names that end in `_S` are in seconds.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.replication.view import Member

# ---- the failure detector ----

TICK_INTERVAL_S = 0.05  # the driver sends `Tick` this often
HEARTBEAT_INTERVAL_S = 0.15
REACHABLE_TIMEOUT_S = 0.6  # a replica without a heartbeat for this long is unreachable
DEAD_TIMEOUT_S = 1.2  # a voter whose heartbeats reach no replica for this long may be replaced
PROCESS_STOP_GAP_S = 0.35  # a longer gap between two ticks means that this process was stopped
JOIN_MIN_REACHABLE_S = 0.3  # a replica must be reachable for this long before it is appended
# A replica reachable for less than this gets no vote while there are enough voters without it.
ESTABLISHED_MIN_REACHABLE_S = 10.0

# ---- grants of the voters ----

# A voter accepts no view with another tail or other voters for this long after a grant.
READ_LEASE_TTL_S = 0.7
# The tail treats its lease as shorter by this, as its clock may run slower than a voter's.
READ_LEASE_MARGIN_S = 0.1
# After a release or a deferred view, no lease is requested or granted for this long, so that the view can be
# decided.
GRANT_BACKOFF_S = 1.2
# A majority's confirmations of a view are valid for this long after they were requested.
MAJORITY_CONTACT_TTL_S = 0.8
# A call waits for this long for confirmations by a majority of voters.
MAJORITY_CONTACT_WAIT_S = 0.25

# ---- repair and agreement ----

REPAIR_INTERVAL_S = 0.1  # how often a member looks for a better view
PROPOSAL_DELAY_S = 0.08  # a better view is proposed once it has been possible for this long
PROPOSAL_DELAY_PER_RANK_S = 0.25  # additional delay for each usable member before the proposer in the chain
PROPOSAL_RESEND_INTERVAL_S = 0.1
PROPOSAL_TIMEOUT_S = 1.6
PROPOSER_ACTIVE_TIMEOUT_S = 0.9  # no competing proposal for this long after a proposer's last request
REJECTED_BACKOFF_S = 0.2
# A chain recovers from a copy outside it once no complete member has been reachable for this long: members
# that start again together need not be in reach at the same instant.
COPY_RECOVERY_DELAY_S = 0.5
COPY_STATUS_INTERVAL_S = 0.3  # interval of the requests for the copy status of other replicas
COPY_STATUS_TTL_S = 1.0  # a copy status counts for this long

# ---- messages of the chain and of calls ----

GET_RETRY_INTERVAL_S = 0.1
# A message is resent after this interval and the time that its size takes at RESEND_BYTES_PER_S.
RESEND_INTERVAL_S = 0.4
RESEND_BYTES_PER_S = 4_000_000
# Each repetition multiplies the interval by this, so that repeated messages do not fill a slow link.
RESEND_BACKOFF_FACTOR = 2
MAX_RESEND_INTERVAL_S = 10.0

# ---- the disk ----

# A store in progress for longer means that the disk is failing. The time that its bytes, and those of earlier
# stores, take at DISK_BYTES_PER_S is added.
DISK_STALL_TIMEOUT_S = 0.5
DISK_BYTES_PER_S = 8_000_000
DISK_PROBE_INTERVAL_S = 0.3  # interval of the probes of a failed disk
# The log is rewritten when more of it than this is obsolete.
LOG_REWRITE_THRESHOLD_BYTES = 16 * 1024 * 1024
MAX_HISTORY_CHANGES = 8192  # each change takes 40 bytes


class ReplicaSettings(Struct, frozen=True):
    """Identity of this replica, and the losses that the fleet must tolerate."""

    folder_id: str
    address: str
    zone: str
    seeds: tuple[str, ...]
    bootstrap: bool
    machines_tolerated: int
    answer_limit_s: float = 0.9  # an operator's call is answered within this time

    @property
    def member(self) -> Member:
        """This replica as a member of views."""
        return Member(folder_id=self.folder_id, address=self.address, zone=self.zone)

    @property
    def chain_minimum(self) -> int:
        """Minimum length of a chain that acknowledges changes."""
        return self.machines_tolerated + 1

    @property
    def voters_target(self) -> int:
        """Number of voters below which no voter is removed without a replacement."""
        return 2 * self.machines_tolerated + 1
