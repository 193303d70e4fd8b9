"""Messages between replicas, and records of the control log.

Each with all fields set and by its defaults; `data/messages.json` has the bytes.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.replication.entry import ChangeId, Entry
from reedspoke.control_plane.replication.log_records import (
    AcceptorRecord,
    BootstrapRecord,
    EntryRecord,
    HistoryRecord,
    ListedHistoryRecord,
    ProbeRecord,
    SyncedRecord,
    ViewRecord,
)
from reedspoke.control_plane.replication.messages import (
    AcceptRequest,
    AcceptResponse,
    AppendRequest,
    ClosedTransfer,
    CommitNotification,
    CopyStatus,
    CopyStatusRequest,
    GetReply,
    GetRequest,
    Heartbeat,
    InstallSnapshot,
    PrepareRequest,
    PrepareResponse,
    ProposalNumber,
    ProposalRejected,
    PutReply,
    PutRequest,
    ReadLeaseGrant,
    ReadLeaseReleased,
    ReadLeaseReleaseRequest,
    SuccessorStatus,
    ViewConfirmation,
    ViewDecided,
)
from reedspoke.control_plane.replication.view import ChainLink, Member, View

REPLICA_MESSAGES: dict[str, Struct] = {
    "ping": Heartbeat(
        member=Member(folder_id="text1", address="text2", zone="text3"),
        view_number=4,
        receives_from=(
            "text5",
            "text6",
        ),
        disk_ok=True,
        synced_since=7,
        committed_sequence=8,
        draining=True,
        bootstrap_seed=True,
        has_undecided_view=True,
        lease_requested_at=9.5,
        sent_at=10.5,
        bootstrap_joiner=True,
    ),
    "ping by default": Heartbeat(
        member=Member(folder_id="text1", address="text2", zone="text3"),
        view_number=4,
        receives_from=(
            "text5",
            "text6",
        ),
        disk_ok=True,
        synced_since=7,
        committed_sequence=8,
    ),
    "contact_grant": ViewConfirmation(folder_id="text1", view_number=2, requested_at=3.5),
    "contact_grant by default": ViewConfirmation(folder_id="text1", view_number=2, requested_at=3.5),
    "lease_grant": ReadLeaseGrant(folder_id="text1", view_number=2, requested_at=3.5),
    "lease_grant by default": ReadLeaseGrant(folder_id="text1", view_number=2, requested_at=3.5),
    "view": ViewDecided(
        view=View(
            number=1,
            voters=(
                Member(folder_id="text2", address="text3", zone="text4"),
                Member(folder_id="text5", address="text6", zone="text7"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text8", address="text9", zone="text10"), joined_view=11),
                ChainLink(member=Member(folder_id="text12", address="text13", zone="text14"), joined_view=15),
            ),
        )
    ),
    "view by default": ViewDecided(
        view=View(
            number=1,
            voters=(
                Member(folder_id="text2", address="text3", zone="text4"),
                Member(folder_id="text5", address="text6", zone="text7"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text8", address="text9", zone="text10"), joined_view=11),
                ChainLink(member=Member(folder_id="text12", address="text13", zone="text14"), joined_view=15),
            ),
        )
    ),
    "prepare": PrepareRequest(view_number=1, proposal_number=ProposalNumber(counter=2, proposer="text3")),
    "prepare by default": PrepareRequest(
        view_number=1, proposal_number=ProposalNumber(counter=2, proposer="text3")
    ),
    "promise": PrepareResponse(
        acceptor=Member(folder_id="text1", address="text2", zone="text3"),
        view_number=4,
        proposal_number=ProposalNumber(counter=5, proposer="text6"),
        accepted_proposal_number=ProposalNumber(counter=7, proposer="text8"),
        accepted_view=View(
            number=9,
            voters=(
                Member(folder_id="text10", address="text11", zone="text12"),
                Member(folder_id="text13", address="text14", zone="text15"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text16", address="text17", zone="text18"), joined_view=19),
                ChainLink(member=Member(folder_id="text20", address="text21", zone="text22"), joined_view=23),
            ),
        ),
    ),
    "promise by default": PrepareResponse(
        acceptor=Member(folder_id="text1", address="text2", zone="text3"),
        view_number=4,
        proposal_number=ProposalNumber(counter=5, proposer="text6"),
        accepted_proposal_number=ProposalNumber(counter=7, proposer="text8"),
        accepted_view=View(
            number=9,
            voters=(
                Member(folder_id="text10", address="text11", zone="text12"),
                Member(folder_id="text13", address="text14", zone="text15"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text16", address="text17", zone="text18"), joined_view=19),
                ChainLink(member=Member(folder_id="text20", address="text21", zone="text22"), joined_view=23),
            ),
        ),
    ),
    "accept": AcceptRequest(
        view_number=1,
        proposal_number=ProposalNumber(counter=2, proposer="text3"),
        view=View(
            number=4,
            voters=(
                Member(folder_id="text5", address="text6", zone="text7"),
                Member(folder_id="text8", address="text9", zone="text10"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text11", address="text12", zone="text13"), joined_view=14),
                ChainLink(member=Member(folder_id="text15", address="text16", zone="text17"), joined_view=18),
            ),
        ),
        released_at=19.5,
    ),
    "accept by default": AcceptRequest(
        view_number=1,
        proposal_number=ProposalNumber(counter=2, proposer="text3"),
        view=View(
            number=4,
            voters=(
                Member(folder_id="text5", address="text6", zone="text7"),
                Member(folder_id="text8", address="text9", zone="text10"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text11", address="text12", zone="text13"), joined_view=14),
                ChainLink(member=Member(folder_id="text15", address="text16", zone="text17"), joined_view=18),
            ),
        ),
    ),
    "accepted": AcceptResponse(
        acceptor=Member(folder_id="text1", address="text2", zone="text3"),
        view_number=4,
        proposal_number=ProposalNumber(counter=5, proposer="text6"),
    ),
    "accepted by default": AcceptResponse(
        acceptor=Member(folder_id="text1", address="text2", zone="text3"),
        view_number=4,
        proposal_number=ProposalNumber(counter=5, proposer="text6"),
    ),
    "rejected": ProposalRejected(
        view_number=1,
        proposal_number=ProposalNumber(counter=2, proposer="text3"),
        promised=ProposalNumber(counter=4, proposer="text5"),
    ),
    "rejected by default": ProposalRejected(
        view_number=1,
        proposal_number=ProposalNumber(counter=2, proposer="text3"),
        promised=ProposalNumber(counter=4, proposer="text5"),
    ),
    "resign_request": ReadLeaseReleaseRequest(view_number=1),
    "resign_request by default": ReadLeaseReleaseRequest(view_number=1),
    "resigned": ReadLeaseReleased(view_number=1, released_at=2.5),
    "resigned by default": ReadLeaseReleased(view_number=1, released_at=2.5),
    "chain_state": SuccessorStatus(
        view_number=1, folder_id="text2", joined_view=3, complete=True, sequence=4
    ),
    "chain_state by default": SuccessorStatus(
        view_number=1, folder_id="text2", joined_view=3, complete=True, sequence=4
    ),
    "append": AppendRequest(view_number=1, entry=Entry(sequence=2, view=3, generation=4, document=b"bytes5")),
    "append by default": AppendRequest(
        view_number=1, entry=Entry(sequence=2, view=3, generation=4, document=b"bytes5")
    ),
    "snapshot": InstallSnapshot(
        view_number=1,
        joined_view=2,
        entry=Entry(sequence=3, view=4, generation=5, document=b"bytes6"),
        history=bytes(range(40)),
    ),
    "snapshot by default": InstallSnapshot(
        view_number=1,
        joined_view=2,
        entry=Entry(sequence=3, view=4, generation=5, document=b"bytes6"),
        history=bytes(range(40)),
    ),
    "commit": CommitNotification(view_number=1, sequence=2),
    "commit by default": CommitNotification(view_number=1, sequence=2),
    "put_request": PutRequest(view_number=1, request_id="text2", match=3, generation=4, document=b"bytes5"),
    "put_request by default": PutRequest(
        view_number=1, request_id="text2", match=3, generation=4, document=b"bytes5"
    ),
    "put_reply": PutReply(view_number=1, request_id="text2", error=3, message="text4"),
    "put_reply by default": PutReply(view_number=1, request_id="text2", error=3),
    "get_request": GetRequest(view_number=1, request_id="text2", known_sequence=3),
    "get_request by default": GetRequest(view_number=1, request_id="text2", known_sequence=3),
    "get_reply": GetReply(
        view_number=1,
        request_id="text2",
        ready=True,
        sequence=3,
        entry=Entry(sequence=4, view=5, generation=6, document=b"bytes7"),
    ),
    "get_reply by default": GetReply(view_number=1, request_id="text2", ready=True),
    "copy_status_request": CopyStatusRequest(view_number=1),
    "copy_status_request by default": CopyStatusRequest(view_number=1),
    "copy_status": CopyStatus(
        member=Member(folder_id="text1", address="text2", zone="text3"),
        view_number=4,
        complete_for=5,
        sequence=6,
        closed_transfers=(
            ClosedTransfer(
                joined_view=7,
                sources=(
                    ChainLink(
                        member=Member(folder_id="text8", address="text9", zone="text10"), joined_view=11
                    ),
                ),
            ),
        ),
    ),
    "copy_status by default": CopyStatus(
        member=Member(folder_id="text1", address="text2", zone="text3"),
        view_number=4,
        complete_for=5,
        sequence=6,
    ),
}

LOG_RECORDS: dict[str, Struct] = {
    "bootstrap": BootstrapRecord(
        seeds=(
            "text1",
            "text2",
        )
    ),
    "bootstrap by default": BootstrapRecord(
        seeds=(
            "text1",
            "text2",
        )
    ),
    "view": ViewRecord(
        view=View(
            number=1,
            voters=(
                Member(folder_id="text2", address="text3", zone="text4"),
                Member(folder_id="text5", address="text6", zone="text7"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text8", address="text9", zone="text10"), joined_view=11),
                ChainLink(member=Member(folder_id="text12", address="text13", zone="text14"), joined_view=15),
            ),
        )
    ),
    "view by default": ViewRecord(
        view=View(
            number=1,
            voters=(
                Member(folder_id="text2", address="text3", zone="text4"),
                Member(folder_id="text5", address="text6", zone="text7"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text8", address="text9", zone="text10"), joined_view=11),
                ChainLink(member=Member(folder_id="text12", address="text13", zone="text14"), joined_view=15),
            ),
        )
    ),
    "acceptor": AcceptorRecord(
        view_number=1,
        promised=ProposalNumber(counter=2, proposer="text3"),
        accepted_proposal_number=ProposalNumber(counter=4, proposer="text5"),
        accepted_view=View(
            number=6,
            voters=(
                Member(folder_id="text7", address="text8", zone="text9"),
                Member(folder_id="text10", address="text11", zone="text12"),
            ),
            chain=(
                ChainLink(member=Member(folder_id="text13", address="text14", zone="text15"), joined_view=16),
                ChainLink(member=Member(folder_id="text17", address="text18", zone="text19"), joined_view=20),
            ),
        ),
    ),
    "acceptor by default": AcceptorRecord(
        view_number=1, promised=ProposalNumber(counter=2, proposer="text3")
    ),
    "entry": EntryRecord(entry=Entry(sequence=1, view=2, generation=3, document=b"bytes4")),
    "entry by default": EntryRecord(entry=Entry(sequence=1, view=2, generation=3, document=b"bytes4")),
    "packed_history": HistoryRecord(history=bytes(range(40))),
    "packed_history by default": HistoryRecord(history=bytes(range(40))),
    "history": ListedHistoryRecord(
        history=(
            ChangeId(generation=1, digest=b"bytes2"),
            ChangeId(generation=3, digest=b"bytes4"),
        )
    ),
    "history by default": ListedHistoryRecord(
        history=(
            ChangeId(generation=1, digest=b"bytes2"),
            ChangeId(generation=3, digest=b"bytes4"),
        )
    ),
    "synced": SyncedRecord(joined_view=1),
    "synced by default": SyncedRecord(joined_view=1),
    "probe": ProbeRecord(),
    "probe by default": ProbeRecord(),
}
