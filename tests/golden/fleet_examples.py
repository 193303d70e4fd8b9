"""Messages between schedulers of the program in service.

Each with all fields set and by its defaults; `data/messages.json` has the bytes.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.fleet.log_messages import (
    Answered,
    Append,
    Asked,
    Confirm,
    Fetch,
    Fold,
    Found,
    Lacking,
    Read,
    Recorded,
    Recover,
    Recovered,
    Remember,
)
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
        born_s=2,
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
    "8 by default": MemberEntry(member=1, born_s=2, version=3, zone_hash=4),
    "9": RootDigest(digest=1, agreeing=b"bytes2"),
    "9 by default": RootDigest(digest=1),
    "10": RangeDigests(low=1, high=2, digests=b"bytes3"),
    "10 by default": RangeDigests(low=1, high=2, digests=b"bytes3"),
    "11": EntriesRequest(low=1, high=2),
    "11 by default": EntriesRequest(low=1, high=2),
    "12": Recorded(record=1, word=Read(token=2)),
    "12 by default": Recorded(record=1, word=Read(token=2)),
    "13": Asked(number=1, data=b"bytes2"),
    "13 by default": Asked(number=1, data=b"bytes2"),
    "14": Answered(number=1, data=b"bytes2"),
    "14 by default": Answered(number=1, data=b"bytes2"),
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
    "0": Read(token=1),
    "0 by default": Read(token=1),
    "1": Remember(token=1, life=2, blank=True, last_token=3, last=4),
    "1 by default": Remember(token=1, life=2, blank=True, last_token=3, last=4),
    "2": Fetch(token=1, number=2, at=3),
    "2 by default": Fetch(token=1, number=2, at=3),
    "3": Append(token=1, number=2, before=3, entry_token=4, agreed=5, data=b"bytes6"),
    "3 by default": Append(token=1, number=2, before=3, entry_token=4, agreed=5, data=b"bytes6"),
    "4": Confirm(token=1, number=2, life=3),
    "4 by default": Confirm(token=1, number=2, life=3),
    "5": Lacking(token=1, number=2, life=3, blank=True, at=4),
    "5 by default": Lacking(token=1, number=2, life=3, blank=True),
    "6": Fold(token=1, base=2, base_token=3, at=4, whole=5, check=6, data=b"bytes7"),
    "6 by default": Fold(token=1, base=2, base_token=3, at=4, whole=5, check=6, data=b"bytes7"),
    "7": Found(token=1, life=2),
    "7 by default": Found(token=1, life=2),
    "8": Recover(life=1),
    "8 by default": Recover(life=1),
    "9": Recovered(life=1, promised=2, serves=3, last=4),
    "9 by default": Recovered(life=1, promised=2, serves=3, last=4),
}
