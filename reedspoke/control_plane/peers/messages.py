"""Messages between control schedulers, beside those of the replica, and the first message of a connection."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.common.messages import Version


class Hello(Struct, tag="hello", array_like=True):
    """First message of a connection that a control scheduler opens: its address for other schedulers."""

    address: str
    zone: str


class SessionEntry(Struct, array_like=True, frozen=True):
    """A data plane scheduler that has a session with the sender."""

    node_name: str
    incarnation: str
    zone: str
    silent_s: float  # since its last word, when the table was sent
    running: dict[str, tuple[int, int]]
    suspects: tuple[str, ...] = ()  # workers that have lately failed its requests


class SessionTable(Struct, tag="sessions", array_like=True):
    """All sessions of the sender with data plane schedulers; also its sign of life.

    `workers` is the version of the list of workers that the sender holds, `workers_seen` the highest one that
    it or one of its data plane schedulers knows of. `life` tells the sender's processes apart, and `number`
    rises with each table of one: tables on two connections may pass each other.
    """

    entries: tuple[SessionEntry, ...]
    workers: Version
    workers_seen: Version
    life: int = 0
    number: int = 0


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
