"""Messages between control plane nodes.

Each with all fields set and by its defaults; `data/messages.json` has the bytes.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.peers.messages import (
    DiscoveryLeaseRelease,
    DiscoveryLeaseRequest,
    DiscoveryLeaseResponse,
    PeerHello,
    QuotaLoan,
    QuotaLoanRequest,
    SessionEntry,
    SessionTable,
)

PEER_MESSAGES: dict[str, Struct] = {
    "hello": PeerHello(address="text1", zone="text2"),
    "hello by default": PeerHello(address="text1", zone="text2"),
    "sessions": SessionTable(
        entries=(
            SessionEntry(
                node_name="text1",
                incarnation="text2",
                zone="text3",
                idle_s=4.5,
                running={
                    "text5": (
                        6,
                        7,
                    )
                },
                suspects=(
                    "text8",
                    "text9",
                ),
            ),
            SessionEntry(
                node_name="text10",
                incarnation="text11",
                zone="text12",
                idle_s=13.5,
                running={
                    "text14": (
                        15,
                        16,
                    )
                },
                suspects=(
                    "text17",
                    "text18",
                ),
            ),
        ),
        workers=(
            19,
            20,
        ),
        workers_seen=(
            21,
            22,
        ),
        incarnation=23,
        sequence=24,
    ),
    "sessions by default": SessionTable(
        entries=(
            SessionEntry(
                node_name="text1",
                incarnation="text2",
                zone="text3",
                idle_s=4.5,
                running={
                    "text5": (
                        6,
                        7,
                    )
                },
                suspects=(
                    "text8",
                    "text9",
                ),
            ),
            SessionEntry(
                node_name="text10",
                incarnation="text11",
                zone="text12",
                idle_s=13.5,
                running={
                    "text14": (
                        15,
                        16,
                    )
                },
                suspects=(
                    "text17",
                    "text18",
                ),
            ),
        ),
        workers=(
            19,
            20,
        ),
        workers_seen=(
            21,
            22,
        ),
    ),
    "lease_request": DiscoveryLeaseRequest(term=1),
    "lease_request by default": DiscoveryLeaseRequest(term=1),
    "lease_answer": DiscoveryLeaseResponse(term=1, granted=True, highest_term=2, retry_after_s=3.5),
    "lease_answer by default": DiscoveryLeaseResponse(term=1, granted=True, highest_term=2),
    "lease_release": DiscoveryLeaseRelease(term=1),
    "lease_release by default": DiscoveryLeaseRelease(term=1),
    "quota_loan_request": QuotaLoanRequest(tenant="text1", units=2.5),
    "quota_loan_request by default": QuotaLoanRequest(tenant="text1", units=2.5),
    "quota_loan": QuotaLoan(tenant="text1", units=2.5),
    "quota_loan by default": QuotaLoan(tenant="text1", units=2.5),
}
