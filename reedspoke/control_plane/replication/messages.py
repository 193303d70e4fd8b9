"""Messages between replicas, as tagged structures; `ReplicaMessage` is the union of them."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.replication.change_history import check_packed
from reedspoke.control_plane.replication.entry import Entry
from reedspoke.control_plane.replication.view import ChainLink, Member, View


class ProposalNumber(Struct, array_like=True, frozen=True, order=True):
    """Number of a Paxos proposal: the largest has precedence, and each is used by one proposer only."""

    counter: int = 0
    proposer: str = ""  # folder id and incarnation of the proposer


class Heartbeat(Struct, tag="ping", array_like=True, frozen=True):
    """Periodic message to every known replica, with the condition of the sender.

    Each heartbeat requests a `ViewConfirmation`; `sent_at` is its time on the sender's steady clock. A tail
    that requests a read lease sets `lease_requested_at`, a time of the same clock.

    `receives_from` has the folder ids of the replicas whose heartbeats reach the sender. `synced_since` is
    the view that appended the sender to the chain, once it has stored the snapshot (`copy_state`); while the
    sender refuses the snapshot of its present link, it is the negative `joined_view`. `has_undecided_view` is
    set if the sender has accepted a next view that it does not know to be decided. `bootstrap_seed` is set by
    a seed that takes part in the first start, `bootstrap_joiner` by any other replica of the first start that
    has no view yet.
    """

    member: Member
    view_number: int
    receives_from: tuple[str, ...]
    disk_ok: bool
    synced_since: int
    committed_sequence: int
    draining: bool = False
    bootstrap_seed: bool = False
    has_undecided_view: bool = False
    lease_requested_at: float | None = None
    sent_at: float = 0.0
    bootstrap_joiner: bool = False


class ViewConfirmation(Struct, tag="contact_grant", array_like=True, frozen=True):
    """A voter was in this view and had accepted no next one when the heartbeat of `requested_at` arrived."""

    folder_id: str
    view_number: int
    requested_at: float


class ReadLeaseGrant(Struct, tag="lease_grant", array_like=True, frozen=True):
    """A voter accepts no view with another tail or other voters for `READ_LEASE_TTL_S`.

    `requested_at` is the time of the request on the clock of the tail that requested the lease.
    """

    folder_id: str
    view_number: int
    requested_at: float


class ViewDecided(Struct, tag="view", array_like=True, frozen=True):
    """The newest decided view that the sender knows."""

    view: View


class PrepareRequest(Struct, tag="prepare", array_like=True, frozen=True):
    """Paxos phase 1 for the view `view_number`: a proposer requests a promise."""

    view_number: int
    proposal_number: ProposalNumber


class PrepareResponse(Struct, tag="promise", array_like=True, frozen=True):
    """The promise in response to a `PrepareRequest`, with the value that the acceptor has accepted before."""

    acceptor: Member
    view_number: int
    proposal_number: ProposalNumber
    accepted_proposal_number: ProposalNumber
    accepted_view: View | None


class AcceptRequest(Struct, tag="accept", array_like=True, frozen=True):
    """Paxos phase 2: a proposer requests the acceptance of `view`.

    `released_at` is the time, on the tail's clock, at which the present tail released its read lease.
    """

    view_number: int
    proposal_number: ProposalNumber
    view: View
    released_at: float | None = None


class AcceptResponse(Struct, tag="accepted", array_like=True, frozen=True):
    """An acceptor has accepted the view of an `AcceptRequest`."""

    acceptor: Member
    view_number: int
    proposal_number: ProposalNumber


class ProposalRejected(Struct, tag="rejected", array_like=True, frozen=True):
    """An acceptor has promised a larger proposal number; a response to either phase's request."""

    view_number: int
    proposal_number: ProposalNumber
    promised: ProposalNumber


class ReadLeaseReleaseRequest(Struct, tag="resign_request", array_like=True, frozen=True):
    """A proposer requests that the tail of the view `view_number` release its read lease."""

    view_number: int


class ReadLeaseReleased(Struct, tag="resigned", array_like=True, frozen=True):
    """The tail has released every read lease that it requested up to `released_at`, a time of its clock."""

    view_number: int
    released_at: float


class SuccessorStatus(Struct, tag="chain_state", array_like=True, frozen=True):
    """Successor to predecessor: the entries that the sender has on disk; acknowledges an `AppendRequest`."""

    view_number: int
    folder_id: str
    joined_view: int
    complete: bool
    sequence: int


class AppendRequest(Struct, tag="append", array_like=True, frozen=True):
    """Predecessor to successor: the next entry."""

    view_number: int
    entry: Entry


class InstallSnapshot(Struct, tag="snapshot", array_like=True, frozen=True):
    """Predecessor to a successor that was appended in the view `joined_view`: the complete state.

    `history` is a packed `ChangeHistory`.
    """

    view_number: int
    joined_view: int
    entry: Entry | None
    history: bytes

    def __post_init__(self) -> None:
        check_packed(self.history)


class CommitNotification(Struct, tag="commit", array_like=True, frozen=True):
    """Tail to the other members of the chain: all entries up to `sequence` are committed."""

    view_number: int
    sequence: int


class PutRequest(Struct, tag="put_request", array_like=True, frozen=True):
    """A change, forwarded to the head of the view."""

    view_number: int
    request_id: str
    match: int
    generation: int
    document: bytes


class PutReply(Struct, tag="put_reply", array_like=True, frozen=True):
    """Final reply of the head to a `PutRequest`; the change is acknowledged if `error` is 0."""

    view_number: int
    request_id: str
    error: int
    message: str = ""


class GetRequest(Struct, tag="get_request", array_like=True, frozen=True):
    """A read, forwarded to the tail; `known_sequence` is the newest committed one at the forwarder."""

    view_number: int
    request_id: str
    known_sequence: int


class GetReply(Struct, tag="get_reply", array_like=True, frozen=True):
    """The tail's reply: the newest committed `sequence`, with its entry unless the forwarder has it.

    `sequence` is 0 if there is none. `ready` is false while the tail may not answer yet.
    """

    view_number: int
    request_id: str
    ready: bool
    sequence: int = 0
    entry: Entry | None = None


class CopyStatusRequest(Struct, tag="copy_status_request", array_like=True, frozen=True):
    """A member of the chain that reaches no complete one asks another replica for its `CopyStatus`."""

    view_number: int


class ClosedTransfer(Struct, array_like=True, frozen=True):
    """A state transfer that will never complete; `sources` are the members of the chain before it."""

    joined_view: int
    sources: tuple[ChainLink, ...]


class CopyStatus(Struct, tag="copy_status", array_like=True, frozen=True):
    """The entries on the sender's disk, in response to a `CopyStatusRequest`.

    `complete_for` is the `joined_view` of the newest link for which the copy is complete, `LOST_COPY` if it
    is for none. `sequence` is that of its newest entry. `closed_transfers` are the transfers to the sender
    since then that cannot complete.
    """

    member: Member
    view_number: int
    complete_for: int
    sequence: int
    closed_transfers: tuple[ClosedTransfer, ...] = ()


ReplicaMessage = (
    Heartbeat
    | ViewConfirmation
    | ReadLeaseGrant
    | ViewDecided
    | PrepareRequest
    | PrepareResponse
    | AcceptRequest
    | AcceptResponse
    | ProposalRejected
    | ReadLeaseReleaseRequest
    | ReadLeaseReleased
    | SuccessorStatus
    | AppendRequest
    | InstallSnapshot
    | CommitNotification
    | PutRequest
    | PutReply
    | GetRequest
    | GetReply
    | CopyStatusRequest
    | CopyStatus
)
