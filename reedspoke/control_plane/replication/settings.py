"""Settings of a replica, and the times and sizes that its rules are built on.

`docs/control-safety.md` tells which of them depend on each other. Names in `_S` are seconds.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.replication.view import Member

# ---- the failure detector ----

TICK_INTERVAL_S = 0.05  # the driver sends `Tick` this often
HEARTBEAT_INTERVAL_S = 0.15
REACHABLE_TIMEOUT_S = 0.6  # a replica not heard for this long is unreachable
DEAD_TIMEOUT_S = 1.2  # a voter not heard by anyone for this long may be replaced
PROCESS_STOP_GAP_S = 0.35  # a longer gap between two ticks means that this process was stopped
JOIN_MIN_REACHABLE_S = 0.3  # how long a joiner must be connected before it is appended
# A replica reachable for less than this gets no vote while there are enough voters without it.
ESTABLISHED_MIN_REACHABLE_S = 10.0

# ---- grants of the voters ----

# A voter accepts no other tail for this long after a grant.
READ_LEASE_TTL_S = 0.7
# The tail counts its lease as shorter by this: its clock may run slower than a voter's.
READ_LEASE_MARGIN_S = 0.1
# After a release or a deferred view no lease is requested or granted for this long: the view can be decided.
GRANT_BACKOFF_S = 1.2
# A majority's confirmations of a view count for this long from when they were requested.
MAJORITY_CONTACT_TTL_S = 0.8
# A call waits for so long for the majority of voters to confirm.
MAJORITY_CONTACT_WAIT_S = 0.25

# ---- repair and agreement ----

REPAIR_INTERVAL_S = 0.1  # how often a member looks for a better view
PROPOSAL_DELAY_S = 0.08  # how long a better view must be in sight before it is proposed
PROPOSAL_DELAY_PER_RANK_S = 0.25  # the further back in the chain, the later a member proposes
PROPOSAL_RESEND_INTERVAL_S = 0.1
PROPOSAL_TIMEOUT_S = 1.6
PROPOSER_ACTIVE_TIMEOUT_S = 0.9  # another proposer is left alone for this long after its last message
REJECTED_BACKOFF_S = 0.2

# ---- messages of the chain and of calls ----

GET_RETRY_INTERVAL_S = 0.1
RESEND_INTERVAL_S = 0.4  # a chain message is sent again after this and the time that its size takes
RESEND_BYTES_PER_S = 4_000_000
# Each repetition multiplies the interval by this, so that repeated messages do not fill a slow link.
RESEND_BACKOFF_FACTOR = 2
MAX_RESEND_INTERVAL_S = 10.0

# ---- the disk ----

# A store outstanding for longer means that the disk is failing, beside the time that its bytes, and those
# before it, take at DISK_BYTES_PER_S.
DISK_STALL_TIMEOUT_S = 0.5
DISK_BYTES_PER_S = 8_000_000
DISK_PROBE_INTERVAL_S = 0.3  # how often a failed disk is tried again
# The log is rewritten when more of it than this is out of date.
LOG_REWRITE_THRESHOLD_BYTES = 16 * 1024 * 1024
MAX_HISTORY_CHANGES = 8192  # accepted changes that are remembered, 40 bytes each


class ReplicaSettings(Struct, frozen=True):
    """Who this replica is and what the fleet must bear."""

    folder_id: str
    address: str
    zone: str
    seeds: tuple[str, ...]
    bootstrap: bool
    machines_tolerated: int
    answer_limit_s: float = 0.9  # bound on the wait for a final answer to an operator

    @property
    def member(self) -> Member:
        """This replica as others know it."""
        return Member(folder_id=self.folder_id, address=self.address, zone=self.zone)

    @property
    def chain_minimum(self) -> int:
        """A shorter chain acknowledges nothing."""
        return self.machines_tolerated + 1

    @property
    def voters_target(self) -> int:
        """Voters are not reduced below this."""
        return 2 * self.machines_tolerated + 1
