"""Settings of a tally replica, and the time-outs and limits of the protocol. Times are in seconds."""

from __future__ import annotations

from msgspec import Struct

# ---- contact with peers ----

DIGEST_INTERVAL_S = 0.25
# Adds do not wait for a peer whose last round trip is older than this. A digest and its echo take at most two
# intervals and a round trip, so a slow link is not taken for a partition. Callers wait for one second, so the
# smaller side of a partition fails calls for slightly longer than that.
CONTACT_TIMEOUT_S = 1.2
FRESH_ROUND_TRIP_S = 0.8  # if the last round trip is older, a digest is sent at each tick
PROCESS_STOP_GAP_S = 0.35  # a longer gap between two ticks means that this process was paused
PEER_TTL_S = 30.0  # after its last digest a former member is forgotten

# ---- exchange of state ----

PULL_DELAY_S = 0.12  # adds that a digest shows are usually already in flight
PULL_TIMEOUT_S = 0.7  # after which another peer is asked
# An entry takes about 40 bytes. The limit makes a backlog go out as fast as the receiver stores it.
MAX_ENTRIES_PER_PULL = 1000
MAX_IDS_PER_CHUNK = 8000  # about 10 bytes each
MAX_RETAINED_ENTRIES = 50_000

# ---- the disk ----

DISK_STALL_S = 0.5  # a store in flight for longer means that the disk is failing
DISK_PROBE_S = 0.3  # interval of the probes of a failed disk
# The log is rewritten after it has grown by MIN_REWRITE_BYTES plus REWRITE_GROWTH times the size of the last
# rewrite.
MIN_REWRITE_BYTES = 1024 * 1024
REWRITE_GROWTH = 1.0

# ---- calls ----

MAX_QUEUED_ADDS = 2048
CALL_TIMEOUT_S = 2.0  # callers give up after one second
SYNC_GRACE_S = 0.15  # for which a sync waits for the nodes in reach that are not needed for its quorum
# A node with an empty folder in a running fleet waits this long for a peer before it serves what it has.
EMPTY_FOLDER_WAIT_S = 3.0

# ---- capacity ----

MEMORY_SHARE = 0.2  # the part of the process's memory for ids
DISK_SHARE = 0.5  # the part of the disk for the tallies' log
MEMORY_BYTES_PER_ID = 20
DISK_BYTES_PER_ID = 4 * 10  # two files during a rewrite, each with two copies of every record
MIN_MAX_IDS = 10_000
MAX_TALLIES = 10_000
MEGABYTE = 1024 * 1024


class TallySettings(Struct, frozen=True):
    """Identity of this replica, and how many lost machines the fleet tolerates.

    `created` is set if the log was created at this start. `bootstrap` is set if nothing was acknowledged on
    this machine before: the whole system starts for the first time, or for the first time with tallies.
    """

    folder_id: str
    incarnation: int
    created: bool
    bootstrap: bool
    machines_tolerated: int
    max_ids: int

    @property
    def copies(self) -> int:
        """The number of disks that must have an add before it is acknowledged, without a partition."""
        return self.machines_tolerated + 1


def max_ids(memory_mb: float, disk_mb: float) -> int:
    """The number of ids that a node with these limits can keep; `disk_mb` 0 means no limit."""
    by_memory = memory_mb * MEGABYTE * MEMORY_SHARE / MEMORY_BYTES_PER_ID
    by_disk = disk_mb * MEGABYTE * DISK_SHARE / DISK_BYTES_PER_ID if disk_mb else by_memory
    return max(int(min(by_memory, by_disk)), MIN_MAX_IDS)
