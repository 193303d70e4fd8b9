"""Messages between schedulers of the program in service.

Each with all fields set and by its defaults; `data/messages.json` has the bytes.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.fleet.messages.anti_entropy import EntriesRequest, MemberEntry, RangeDigests, RootDigest
from reedspoke.fleet.messages.failure_detector import Ack, MemberUpdate, Ping, PingRequest
from reedspoke.fleet.messages.lease import (
    AcceptRequest,
    AcceptResponse,
    ConfigurationDigest,
    LeaseHeld,
    LeaseMessage,
    LeaseReleased,
    PrepareRequest,
    PrepareResponse,
    ProposalRejected,
)
from reedspoke.fleet.replicated_log.messages import (
    Append,
    AppendAccepted,
    AppendRejected,
    CommandReply,
    CommandRequest,
    FetchRequest,
    InstallSnapshot,
    LogEnvelope,
    LogStateReply,
    LogStateRequest,
    RecoverEmpty,
    RecoveryReply,
    RecoveryRequest,
)

FLEET_MESSAGES: dict[str, Struct] = {
    "1": Ping(probe_number=1),
    "1 by default": Ping(probe_number=1),
    "2": Ack(probe_number=1),
    "2 by default": Ack(probe_number=1),
    "3": PingRequest(probe_number=1, target=2),
    "3 by default": PingRequest(probe_number=1, target=2),
    "4": MemberUpdate(member=1, incarnation=2, refutation=3, state=1),
    "4 by default": MemberUpdate(member=1, incarnation=2, refutation=3, state=1),
    "5": LeaseMessage(role_hash=1, ttl_ms=2, message=PrepareRequest(proposal=3)),
    "5 by default": LeaseMessage(role_hash=1, ttl_ms=2, message=PrepareRequest(proposal=3)),
    "6": LeaseHeld(role_hash=1, token=2, remaining_ms=3),
    "6 by default": LeaseHeld(role_hash=1, token=2, remaining_ms=3),
    "7": ConfigurationDigest(digest=1),
    "7 by default": ConfigurationDigest(digest=1),
    "8": MemberEntry(
        member=1,
        start_time_s=2,
        version=3,
        zone_hash=4,
        phase=5,
        held_roles=(
            6,
            7,
        ),
        missing=(
            8,
            9,
        ),
    ),
    "8 by default": MemberEntry(member=1, start_time_s=2, version=3, zone_hash=4),
    "9": RootDigest(digest=1, agreeing=b"bytes2"),
    "9 by default": RootDigest(digest=1),
    "10": RangeDigests(low=1, high=2, digests=b"bytes3"),
    "10 by default": RangeDigests(low=1, high=2, digests=b"bytes3"),
    "11": EntriesRequest(low=1, high=2),
    "11 by default": EntriesRequest(low=1, high=2),
    "12": LogEnvelope(log_name_hash=1, message=LogStateRequest(term=2)),
    "12 by default": LogEnvelope(log_name_hash=1, message=LogStateRequest(term=2)),
    "13": CommandRequest(number=1, command=b"bytes2"),
    "13 by default": CommandRequest(number=1, command=b"bytes2"),
    "14": CommandReply(number=1, outcome=b"bytes2"),
    "14 by default": CommandReply(number=1, outcome=b"bytes2"),
}

LEASE_MESSAGES: dict[str, Struct] = {
    "0": PrepareRequest(proposal=1),
    "0 by default": PrepareRequest(proposal=1),
    "1": PrepareResponse(proposal=1, granted=2),
    "1 by default": PrepareResponse(proposal=1, granted=2),
    "2": AcceptRequest(proposal=1),
    "2 by default": AcceptRequest(proposal=1),
    "3": AcceptResponse(proposal=1),
    "3 by default": AcceptResponse(proposal=1),
    "4": ProposalRejected(proposal=1, prepared=2),
    "4 by default": ProposalRejected(proposal=1, prepared=2),
    "5": LeaseReleased(proposal=1, successor=2),
    "5 by default": LeaseReleased(proposal=1),
}

LOG_WORDS: dict[str, Struct] = {
    "0": LogStateRequest(term=1),
    "0 by default": LogStateRequest(term=1),
    "1": LogStateReply(term=1, incarnation=2, recovering=True, last_term=3, last_index=4),
    "1 by default": LogStateReply(term=1, incarnation=2, recovering=True, last_term=3, last_index=4),
    "2": FetchRequest(term=1, index=2, snapshot_offset=3),
    "2 by default": FetchRequest(term=1, index=2, snapshot_offset=3),
    "3": Append(term=1, index=2, previous_term=3, entry_term=4, commit_index=5, data=b"bytes6"),
    "3 by default": Append(term=1, index=2, previous_term=3, entry_term=4, commit_index=5, data=b"bytes6"),
    "4": AppendAccepted(term=1, match_index=2, incarnation=3),
    "4 by default": AppendAccepted(term=1, match_index=2, incarnation=3),
    "5": AppendRejected(term=1, match_limit=2, incarnation=3, recovering=True, snapshot_offset=4),
    "5 by default": AppendRejected(term=1, match_limit=2, incarnation=3, recovering=True),
    "6": InstallSnapshot(
        term=1, last_included_index=2, last_included_term=3, offset=4, size=5, checksum=6, data=b"bytes7"
    ),
    "6 by default": InstallSnapshot(
        term=1, last_included_index=2, last_included_term=3, offset=4, size=5, checksum=6, data=b"bytes7"
    ),
    "7": RecoverEmpty(term=1, incarnation=2),
    "7 by default": RecoverEmpty(term=1, incarnation=2),
    "8": RecoveryRequest(incarnation=1),
    "8 by default": RecoveryRequest(incarnation=1),
    "9": RecoveryReply(incarnation=1, current_term=2, leader_term=3, last_index=4),
    "9 by default": RecoveryReply(incarnation=1, current_term=2, leader_term=3, last_index=4),
}
