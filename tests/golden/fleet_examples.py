"""Messages between schedulers of the program in service.

Each with all fields set and by its defaults; `data/messages.json` has the bytes.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.fleet.frames import (
    Accept,
    Ack,
    Ask,
    Branch,
    Creed,
    Entry,
    Holder,
    Leased,
    News,
    Ping,
    Prepare,
    Promise,
    Propose,
    Refuse,
    Release,
    Root,
    Want,
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
    "1": Ping(number=1),
    "1 by default": Ping(number=1),
    "2": Ack(number=1),
    "2 by default": Ack(number=1),
    "3": Ask(number=1, target=2),
    "3 by default": Ask(number=1, target=2),
    "4": News(member=1, life=2, rank=3, state=1),
    "4 by default": News(member=1, life=2, rank=3, state=1),
    "5": Leased(duty=1, term=2, message=Prepare(ballot=3)),
    "5 by default": Leased(duty=1, term=2, message=Prepare(ballot=3)),
    "6": Holder(duty=1, token=2, span=3),
    "6 by default": Holder(duty=1, token=2, span=3),
    "7": Creed(digest=1),
    "7 by default": Creed(digest=1),
    "8": Entry(
        number=1,
        born=2,
        version=3,
        zone=4,
        phase=5,
        holds=(
            6,
            7,
        ),
        lacks=(
            8,
            9,
        ),
    ),
    "8 by default": Entry(number=1, born=2, version=3, zone=4),
    "9": Root(digest=1, agree=b"bytes2"),
    "9 by default": Root(digest=1),
    "10": Branch(low=1, high=2, digests=b"bytes3"),
    "10 by default": Branch(low=1, high=2, digests=b"bytes3"),
    "11": Want(low=1, high=2),
    "11 by default": Want(low=1, high=2),
    "12": LogEnvelope(log_name_hash=1, message=LogStateRequest(term=2)),
    "12 by default": LogEnvelope(log_name_hash=1, message=LogStateRequest(term=2)),
    "13": CommandRequest(number=1, command=b"bytes2"),
    "13 by default": CommandRequest(number=1, command=b"bytes2"),
    "14": CommandReply(number=1, outcome=b"bytes2"),
    "14 by default": CommandReply(number=1, outcome=b"bytes2"),
}

LEASE_MESSAGES: dict[str, Struct] = {
    "0": Prepare(ballot=1),
    "0 by default": Prepare(ballot=1),
    "1": Promise(ballot=1, held=2),
    "1 by default": Promise(ballot=1, held=2),
    "2": Propose(ballot=1),
    "2 by default": Propose(ballot=1),
    "3": Accept(ballot=1),
    "3 by default": Accept(ballot=1),
    "4": Refuse(ballot=1, highest=2),
    "4 by default": Refuse(ballot=1, highest=2),
    "5": Release(ballot=1, heir=2),
    "5 by default": Release(ballot=1),
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
