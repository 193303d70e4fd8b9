"""Messages between control plane nodes, beside those of the replicas.

Compatibility is as in `reedspoke.common.messages`: tags, order and defaults are fixed, names are not.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.messages import Version, WorkerList
from reedspoke.control_plane.replication.messages import ReplicaMessage


class PeerHello(Struct, tag="hello", array_like=True):
    """The first message of a connection that a control plane node opens: its address for other nodes."""

    address: str
    zone: str


class SessionEntry(Struct, array_like=True, frozen=True):
    """A data plane node that has a session with the sender.

    `idle_s` is the time since its last message when the table was sent; `running` are the requests and prompt
    tokens that it has in flight at each worker; `suspects` are workers that have lately failed its requests.
    """

    node_name: str
    incarnation: str
    zone: str
    idle_s: float
    running: dict[str, tuple[int, int]]
    suspects: tuple[str, ...] = ()


class SessionTable(Struct, tag="sessions", array_like=True):
    """All sessions of the sender with data plane nodes; also its heartbeat.

    `workers` is the version of the sender's list of workers, `workers_seen` the highest one that it or one of
    its data plane nodes knows of. `incarnation` tells the sender's processes apart, and `sequence` rises with
    each table of one: tables on two connections may overtake each other.
    """

    entries: tuple[SessionEntry, ...]
    workers: Version
    workers_seen: Version
    incarnation: int = 0
    sequence: int = 0


class DiscoveryLeaseRequest(Struct, tag="lease_request", array_like=True):
    """Grant me the discovery lease under this term, which is its fencing token."""

    term: int


class DiscoveryLeaseResponse(Struct, tag="lease_answer", array_like=True):
    """Answer of a voter to a `DiscoveryLeaseRequest`.

    `highest_term` is the highest that it knows; for `retry_after_s` its grant to another holder still runs.
    """

    term: int
    granted: bool
    highest_term: int
    retry_after_s: float = 0.0


class DiscoveryLeaseRelease(Struct, tag="lease_release", array_like=True):
    """The sender no longer needs the grant of this term."""

    term: int


class QuotaLoanRequest(Struct, tag="quota_loan_request", array_like=True, frozen=True):
    """Lend me up to so many units of this tenant's quota."""

    tenant: str
    units: float


class QuotaLoan(Struct, tag="quota_loan", array_like=True, frozen=True):
    """These units are the receiver's from now on, and not the sender's; answers a `QuotaLoanRequest`."""

    tenant: str
    units: float


QuotaMessage = QuotaLoanRequest | QuotaLoan
DiscoveryLeaseMessage = DiscoveryLeaseRequest | DiscoveryLeaseResponse | DiscoveryLeaseRelease
PeerMessage = ReplicaMessage | SessionTable | DiscoveryLeaseMessage | QuotaMessage | WorkerList
