"""Records in the tallies' log; replaying them in order yields the state. Order and repetition do no harm."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import ormsgpack
from msgspec import Struct, ValidationError, convert, to_builtins

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.tallies.counts import START, TallyCounts
from reedspoke.control_plane.tallies.messages import TallyAdd, TallyEntries, TallyItems, Vector
from reedspoke.control_plane.tallies.origin_log import OriginLog

ITEMS_A_RECORD = 4096  # ids
ENTRIES_A_RECORD = 1024


class EntriesRecord(Struct, tag="entries", array_like=True, frozen=True):
    """Adds of one origin, numbered from `first`."""

    origin: str
    first: int
    entries: tuple[TallyAdd, ...]


class ItemsRecord(Struct, tag="items", array_like=True, frozen=True):
    """A part of a state."""

    items: TallyItems


class VectorRecord(Struct, tag="vector", array_like=True, frozen=True):
    """The state in the records so far includes everything up to this vector."""

    vector: Vector


class RecoveredRecord(Struct, tag="recovered", array_like=True, frozen=True):
    """This folder was made at the first start, or has taken in what a quorum had after it was made."""


Record = EntriesRecord | ItemsRecord | VectorRecord | RecoveredRecord


class TallyState(Struct):
    """The counts, and the log of what others may lack of them."""

    counts: TallyCounts
    log: OriginLog
    recovered: bool = False

    def apply_entries(self, entries: TallyEntries) -> None:
        """Take in adds that follow those that are there, but for some that are there already."""
        known = self.log.vector.get(entries.origin, 0) + 1 - entries.first
        fresh = entries.entries[known:]
        self.log.append(entries.origin, fresh)
        for add in fresh:
            self.counts.put(add)


def encode_record(record: Record) -> bytes:
    """The MessagePack bytes of one record."""
    return ormsgpack.packb(to_builtins(record, builtin_types=(bytes,)))


def decode_record(payload: bytes) -> Record:
    """A record from its bytes. Raises msgspec.ValidationError or MsgpackDecodeError for anything else."""
    record: Record = convert(ormsgpack.unpackb(payload), type=Record)
    return record


def entries_record(entries: TallyEntries) -> bytes:
    """The record of adds."""
    return encode_record(EntriesRecord(entries.origin, entries.first, entries.entries))


def restore(records: Sequence[bytes]) -> TallyState:
    """The state after all these records. Raises FleetError STORAGE_CORRUPT for a record of no known kind."""
    state = TallyState(TallyCounts(), OriginLog())
    try:
        for payload in records:
            _apply(state, decode_record(payload))
    except (ValidationError, ormsgpack.MsgpackDecodeError, ValueError) as error:
        raise FleetError(ErrorCode.STORAGE_CORRUPT, f"The log holds an unknown record: {error}.") from error
    return state


def complete_records(state: TallyState) -> Iterator[bytes]:
    """Records that yield this state, for a log that holds nothing else."""
    part = state.counts.slice_after(START, ITEMS_A_RECORD)
    while True:
        for items in part.items:
            yield encode_record(ItemsRecord(items))
        if part.next is None:
            break
        part = state.counts.slice_after(part.next, ITEMS_A_RECORD)
    yield encode_record(VectorRecord(state.log.horizon()))
    if state.recovered:
        yield encode_record(RecoveredRecord())
    for entries in state.log.all_retained(ENTRIES_A_RECORD):
        yield entries_record(entries)


def _apply(state: TallyState, record: Record) -> None:
    match record:
        case EntriesRecord():
            if record.first > state.log.vector.get(record.origin, 0) + 1:
                raise ValueError(f"adds of {record.origin} from {record.first} on follow a gap")
            state.apply_entries(TallyEntries(record.origin, record.first, record.entries))
        case ItemsRecord(items=items):
            state.counts.join(items)
        case VectorRecord(vector=vector):
            state.log.advance(vector)
        case RecoveredRecord():
            state.recovered = True
