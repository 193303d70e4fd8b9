"""Messages between replicas, each a typed, tagged structure; `ReplicaMessage` is the union of them."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.replication.change_history import check_packed
from reedspoke.control_plane.replication.entry import Entry
from reedspoke.control_plane.replication.view import Member, View


class ProposalNumber(Struct, array_like=True, frozen=True, order=True):
    """Number of a Paxos proposal: the larger wins, and no two proposers share one."""

    counter: int = 0
    proposer: str = ""  # folder id and incarnation


class Heartbeat(Struct, tag="ping", array_like=True, frozen=True):
    """The sender is alive, in this condition; sent to every known replica.

    Each heartbeat requests a `ViewConfirmation`; `sent_at` is its time on the sender's steady clock. One of a
    tail that requests a read lease has `lease_requested_at` set, a time of the same clock.

    `synced_since` is the view since whose appending the sender holds what its predecessor held;
    `has_undecided_view` is set where it has accepted a next view that it does not know to be decided.
    `bootstrap_seed` is set by a seed whose folder is one of the first start, `bootstrap_joiner` by any other
    replica of it that has no view.
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
    """A voter acts in this view and had accepted no next one when the heartbeat of `requested_at` came."""

    folder_id: str
    view_number: int
    requested_at: float


class ReadLeaseGrant(Struct, tag="lease_grant", array_like=True, frozen=True):
    """A voter accepts no view with another tail for `READ_LEASE_TTL_S`.

    `requested_at` is the time of the request, by the clock of the tail that is to hold the lease.
    """

    folder_id: str
    view_number: int
    requested_at: float


class ViewDecided(Struct, tag="view", array_like=True, frozen=True):
    """A decided view."""

    view: View


class PrepareRequest(Struct, tag="prepare", array_like=True, frozen=True):
    """Paxos phase 1 for the view `view_number`: a proposer asks for a promise."""

    view_number: int
    proposal_number: ProposalNumber


class PrepareResponse(Struct, tag="promise", array_like=True, frozen=True):
    """The promise that answers a `PrepareRequest`, with what this acceptor has accepted before."""

    acceptor: Member
    view_number: int
    proposal_number: ProposalNumber
    accepted_proposal_number: ProposalNumber
    accepted_view: View | None


class AcceptRequest(Struct, tag="accept", array_like=True, frozen=True):
    """Paxos phase 2: a proposer asks to accept `view`.

    `released_at`: the present tail has released its read lease, at this time of its clock.
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
    """An acceptor has promised a larger proposal number; answers either request."""

    view_number: int
    proposal_number: ProposalNumber
    promised: ProposalNumber


class ReadLeaseReleaseRequest(Struct, tag="resign_request", array_like=True, frozen=True):
    """A proposer asks the tail of the view `view_number` to release its read lease."""

    view_number: int


class ReadLeaseReleased(Struct, tag="resigned", array_like=True, frozen=True):
    """The tail has released every read lease that it requested until `released_at`, a time of its clock."""

    view_number: int
    released_at: float


class SuccessorStatus(Struct, tag="chain_state", array_like=True, frozen=True):
    """Successor to predecessor: what the sender has on disk, which also acknowledges an `AppendRequest`."""

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
    """Predecessor to a successor that was appended in the view `joined_view`: the full state.

    `history` is a packed `ChangeHistory`.
    """

    view_number: int
    joined_view: int
    entry: Entry | None
    history: bytes

    def __post_init__(self) -> None:
        check_packed(self.history)


class CommitNotification(Struct, tag="commit", array_like=True, frozen=True):
    """Tail to the others of the chain: everything up to `sequence` is committed."""

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
    """Final reply of the head of the view to a `PutRequest`; `error` 0 means acknowledged."""

    view_number: int
    request_id: str
    error: int
    message: str = ""


class GetRequest(Struct, tag="get_request", array_like=True, frozen=True):
    """A read, forwarded to the tail of the view; `known_sequence` is the newest that the forwarder has."""

    view_number: int
    request_id: str
    known_sequence: int


class GetReply(Struct, tag="get_reply", array_like=True, frozen=True):
    """The tail's reply: newest committed `sequence` (0: none), with the entry unless the forwarder has it.

    `ready` is false where the tail may not answer yet.
    """

    view_number: int
    request_id: str
    ready: bool
    sequence: int = 0
    entry: Entry | None = None


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
)
