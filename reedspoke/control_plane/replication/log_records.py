"""Records of a replica's log; replaying them in order restores its state, with the last of each kind."""

from __future__ import annotations

from collections.abc import Sequence

import ormsgpack
from msgspec import Struct, ValidationError, convert, field, to_builtins

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.replication.change_history import ChangeHistory, check_packed
from reedspoke.control_plane.replication.copy_state import LOST_COPY
from reedspoke.control_plane.replication.entry import ChangeId, Entry, change_id_of
from reedspoke.control_plane.replication.messages import ProposalNumber
from reedspoke.control_plane.replication.pending_transfers import PendingTransfer, transfer_started
from reedspoke.control_plane.replication.view import View

NO_PROPOSAL = ProposalNumber()


class BootstrapRecord(Struct, tag="bootstrap", array_like=True, frozen=True):
    """The folder was created at the first start of the system, with these seeds."""

    seeds: tuple[str, ...]


class ViewRecord(Struct, tag="view", array_like=True, frozen=True):
    """A decided view."""

    view: View


class AcceptorRecord(Struct, tag="acceptor", array_like=True, frozen=True):
    """The promise and acceptance of this voter for the view `view_number`."""

    view_number: int
    promised: ProposalNumber
    accepted_proposal_number: ProposalNumber = NO_PROPOSAL
    accepted_view: View | None = None


class EntryRecord(Struct, tag="entry", array_like=True, frozen=True):
    """An entry of the chain, which is also added to the history."""

    entry: Entry


class HistoryRecord(Struct, tag="packed_history", array_like=True, frozen=True):
    """The packed `ChangeHistory`, which replaces the history and entry before it in the log."""

    history: bytes

    def __post_init__(self) -> None:
        check_packed(self.history)


class ListedHistoryRecord(Struct, tag="history", array_like=True, frozen=True):
    """The history in the format of earlier versions; it is read but not written."""

    history: tuple[ChangeId, ...]


class SyncedRecord(Struct, tag="synced", array_like=True, frozen=True):
    """The replica holds the snapshot that it received after it was appended in the view `joined_view`.

    `copy_state` describes the values 0 and -1. Any other negative value is that of a closed transfer: the
    replica, appended in the view `-joined_view`, will store no snapshot for this link.
    """

    joined_view: int


class ProbeRecord(Struct, tag="probe", array_like=True, frozen=True):
    """A record without content, written to test whether a failed disk works again."""


Record = (
    BootstrapRecord
    | ViewRecord
    | AcceptorRecord
    | EntryRecord
    | HistoryRecord
    | ListedHistoryRecord
    | SyncedRecord
    | ProbeRecord
)


class RestoredState(Struct):
    """The state restored from a log."""

    seeds: tuple[str, ...] = ()
    view: View | None = None
    acceptors: dict[int, AcceptorRecord] = field(default_factory=dict)
    entry: Entry | None = None
    history: ChangeHistory = field(default_factory=ChangeHistory)
    synced_since: int = 0
    transfers: list[PendingTransfer] = field(default_factory=list)  # those to this replica, oldest first
    closed_transfers: list[int] = field(default_factory=list)  # the `joined_view` of each closed one


def closed_transfer_record(joined_view: int) -> SyncedRecord:
    """The record of a transfer that is closed: that of the link with this `joined_view`."""
    return SyncedRecord(-joined_view)


def encode_record(record: Struct) -> bytes:
    """Encode one record."""
    return ormsgpack.packb(to_builtins(record, builtin_types=(bytes,)))


def decode_record(payload: bytes) -> Record:
    """Decode one record. Raises msgspec.ValidationError if it is not a known record."""
    record: Record = convert(ormsgpack.unpackb(payload), type=Record)
    return record


def restore(records: Sequence[bytes], folder_id: str = "") -> RestoredState:
    """The state after all these records of the replica with this folder id.

    Raises FleetError STORAGE_CORRUPT for an unknown record.
    """
    state = RestoredState()
    try:
        for payload in records:
            _apply(state, decode_record(payload), folder_id)
    except (ValidationError, ormsgpack.MsgpackDecodeError) as error:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, f"The log holds an unknown record: {error}.") from error
    return state


def _apply(state: RestoredState, record: Record, folder_id: str) -> None:
    match record:
        case BootstrapRecord(seeds=seeds):
            state.seeds = seeds
        case ViewRecord(view=view):
            if state.view is None or view.number > state.view.number:
                _apply_view(state, view, folder_id)
        case AcceptorRecord(view_number=view_number):
            state.acceptors[view_number] = record
        case EntryRecord(entry=entry):
            _apply_entry(state, entry)
        case HistoryRecord(history=packed):
            state.history = ChangeHistory(packed)
            state.entry = None
        case ListedHistoryRecord(history=listed):
            state.history = ChangeHistory()
            for change in listed:
                state.history.add(change)
            state.entry = None
        case SyncedRecord(joined_view=joined_view):
            _apply_synced(state, joined_view)
        case ProbeRecord():
            pass


def _apply_view(state: RestoredState, view: View, folder_id: str) -> None:
    started = transfer_started(folder_id, state.view, view)
    if started is not None:
        state.transfers.append(started)
    state.view = view


def _apply_synced(state: RestoredState, joined_view: int) -> None:
    if joined_view < LOST_COPY:
        state.closed_transfers.append(-joined_view)
        return
    state.synced_since = joined_view
    state.transfers = [transfer for transfer in state.transfers if transfer.joined_view > joined_view]


def _apply_entry(state: RestoredState, entry: Entry) -> None:
    replaced = state.entry is not None and state.entry.sequence == entry.sequence
    if replaced:
        state.history.remove_newest()
    state.entry = entry
    if state.history.newest != change_id_of(entry):
        state.history.add(change_id_of(entry))
