"""Settings of a tally replica, and the times and sizes of its rules. Names in `_S` are seconds."""

from __future__ import annotations

from msgspec import Struct

# ---- contact with peers ----

DIGEST_INTERVAL_S = 0.25
# A peer with which no round trip has succeeded for so long is not waited for. A digest and its echo take two
# intervals and a round trip at the most: a slow link is not taken for a cut one. Callers wait for one second,
# so that the smaller side of a partition turns callers away for a moment longer than that.
APART_AFTER_S = 1.2
FRESH_CONTACT_S = 0.8  # without a round trip for longer, digests are sent at each tick
PROCESS_STOP_GAP_S = 0.35  # a longer gap between two ticks means that this process was stopped
FORGET_PEER_S = 30.0  # a peer that is no member and not heard for so long

# ---- differences ----

PULL_DELAY_S = 0.12  # what a digest says is usually on its way already
PULL_TIMEOUT_S = 0.7  # without an answer for so long another peer is asked
ENTRIES_A_PULL = 1000  # some 40 bytes each: a backlog goes out at the pace at which the receiver stores it
IDS_A_CHUNK = 8000  # some 10 bytes each
MAX_RETAINED_ENTRIES = 50_000

# ---- the disk ----

DISK_STALL_S = 0.5  # a store outstanding for longer means that the disk is failing
DISK_PROBE_S = 0.3  # how often a failed disk is tried again
MIN_REWRITE_BYTES = 1024 * 1024  # appended bytes after which the log is rewritten, and at least
REWRITE_GROWTH = 1.0  # so many times the size that the last rewrite had

# ---- calls ----

MAX_QUEUED_ADDS = 2048
CALL_LIMIT_S = 2.0  # a caller is answered within a second, or has gone
FRESH_FOLDER_WAIT_S = 3.0  # an empty folder of a fleet that runs waits for so long for a peer to learn from

# ---- capacity ----

MEMORY_SHARE = 0.2  # of the process's memory, for ids
DISK_SHARE = 0.5  # of the disk: two files while one is rewritten, each with two copies of every record
MEMORY_BYTES_PER_ID = 20
DISK_BYTES_PER_ID = 4 * 10
MIN_MAX_IDS = 10_000
MAX_TALLIES = 10_000
MEGABYTE = 1024 * 1024


class TallySettings(Struct, frozen=True):
    """Who this replica is, and what the fleet must bear.

    `created` is whether the log was made just now; `bootstrap` is whether nothing had been acknowledged on
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
        """Disks that have an add before it is acknowledged, in touch."""
        return self.machines_tolerated + 1


def max_ids(memory_mb: float, disk_mb: float) -> int:
    """How many ids a node with such limits keeps; 0 for the disk means that it is not limited."""
    by_memory = memory_mb * MEGABYTE * MEMORY_SHARE / MEMORY_BYTES_PER_ID
    by_disk = disk_mb * MEGABYTE * DISK_SHARE / DISK_BYTES_PER_ID if disk_mb else by_memory
    return max(int(min(by_memory, by_disk)), MIN_MAX_IDS)
