"""Messages between control plane nodes, except those between replicas.

The rules of compatibility are those of `reedspoke.common.messages`: the tags and the order and defaults of
fields are fixed, the names of classes and fields are not.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.messages import Version, WorkerList
from reedspoke.control_plane.replication.messages import ReplicaMessage


class PeerHello(Struct, tag="hello", array_like=True):
    """The first message on a connection to a peer: the sender's address for other nodes and its zone."""

    address: str
    zone: str


class SessionEntry(Struct, array_like=True, frozen=True):
    """A data plane node that has a session with the sender.

    `idle_s` is the time since its last message when the table was sent. `running` are the numbers of requests
    and prompt tokens that it has in flight at each worker. `suspects` are workers that recently failed its
    requests.
    """

    node_name: str
    incarnation: str
    zone: str
    idle_s: float
    running: dict[str, tuple[int, int]]
    suspects: tuple[str, ...] = ()


class SessionTable(Struct, tag="sessions", array_like=True):
    """All sessions of the sender with data plane nodes. The message is also the sender's heartbeat.

    `workers` is the version of the sender's list of workers, `workers_seen` the highest version known to the
    sender or its data plane nodes. `incarnation` identifies the sender's process, and `sequence` increases
    with each table that a process sends, because tables on two connections may overtake each other.
    """

    entries: tuple[SessionEntry, ...]
    workers: Version
    workers_seen: Version
    incarnation: int = 0
    sequence: int = 0


class DiscoveryLeaseRequest(Struct, tag="lease_request", array_like=True):
    """A candidate asks a voter for the discovery lease in this term; the term is the fencing token."""

    term: int


class DiscoveryLeaseResponse(Struct, tag="lease_answer", array_like=True):
    """Answer of a voter to a `DiscoveryLeaseRequest`.

    `highest_term` is the highest term known to the voter. `retry_after_s` is the remaining time of its grant
    to another holder.
    """

    term: int
    granted: bool
    highest_term: int
    retry_after_s: float = 0.0


class DiscoveryLeaseRelease(Struct, tag="lease_release", array_like=True):
    """The sender no longer needs the grant of this term."""

    term: int


class QuotaLoanRequest(Struct, tag="quota_loan_request", array_like=True, frozen=True):
    """The sender asks for a loan of up to `units` of the tenant's quota."""

    tenant: str
    units: float


class QuotaLoan(Struct, tag="quota_loan", array_like=True, frozen=True):
    """Answer to a `QuotaLoanRequest`: the units now belong to the receiver and no longer to the sender."""

    tenant: str
    units: float


QuotaMessage = QuotaLoanRequest | QuotaLoan
DiscoveryLeaseMessage = DiscoveryLeaseRequest | DiscoveryLeaseResponse | DiscoveryLeaseRelease
PeerMessage = ReplicaMessage | SessionTable | DiscoveryLeaseMessage | QuotaMessage | WorkerList
