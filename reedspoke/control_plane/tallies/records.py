"""Records of the tallies' log. Replaying them in order restores the state; repeated records are harmless."""

from __future__ import annotations

from collections.abc import Iterator, Sequence

import ormsgpack
from msgspec import Struct, ValidationError, convert, to_builtins

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.control_plane.tallies.counts import START, TallyCounts
from reedspoke.control_plane.tallies.messages import TallyAdd, TallyEntries, TallyItems, VersionVector
from reedspoke.control_plane.tallies.origin_log import OriginLog

MAX_IDS_PER_RECORD = 4096
MAX_ENTRIES_PER_RECORD = 1024


class EntriesRecord(Struct, tag="entries", array_like=True, frozen=True):
    """Adds of one origin, numbered from `first`."""

    origin: str
    first: int
    entries: tuple[TallyAdd, ...]


class ItemsRecord(Struct, tag="items", array_like=True, frozen=True):
    """A part of a state, as transferred or as rewritten."""

    items: TallyItems


class VectorRecord(Struct, tag="vector", array_like=True, frozen=True):
    """The state restored from the preceding records includes everything up to this vector."""

    vector: VersionVector


class RecoveredRecord(Struct, tag="recovered", array_like=True, frozen=True):
    """This folder dates from the first start, or has since received all that a quorum had."""


Record = EntriesRecord | ItemsRecord | VectorRecord | RecoveredRecord


class TallyState(Struct):
    """The counts, and the log of the newest adds, which peers may lack."""

    counts: TallyCounts
    log: OriginLog
    recovered: bool = False

    def apply_entries(self, entries: TallyEntries) -> None:
        """Apply adds that follow the known ones without a gap; the first of them may be known already."""
        known = self.log.vector.get(entries.origin, 0) + 1 - entries.first
        fresh = entries.entries[known:]
        self.log.append(entries.origin, fresh)
        for add in fresh:
            self.counts.put(add)


def encode_record(record: Record) -> bytes:
    """Encode one record in MessagePack."""
    return ormsgpack.packb(to_builtins(record, builtin_types=(bytes,)))


def decode_record(payload: bytes) -> Record:
    """Decode a record. Raises msgspec.ValidationError or MsgpackDecodeError if it is invalid."""
    record: Record = convert(ormsgpack.unpackb(payload), type=Record)
    return record


def entries_record(entries: TallyEntries) -> bytes:
    """Encode the record of these adds."""
    return encode_record(EntriesRecord(entries.origin, entries.first, entries.entries))


def restore(records: Sequence[bytes]) -> TallyState:
    """Replay records to a state. Raises FleetError STORAGE_CORRUPT for an invalid record."""
    state = TallyState(TallyCounts(), OriginLog())
    try:
        for payload in records:
            _apply(state, decode_record(payload))
    except (ValidationError, ormsgpack.MsgpackDecodeError, ValueError) as error:
        raise FleetError(
            ErrorCode.STORAGE_CORRUPT, f"The tallies' log holds an invalid record: {error}."
        ) from error
    return state


def complete_records(state: TallyState) -> Iterator[bytes]:
    """The records from which this state can be restored, for a log that holds nothing else."""
    part = state.counts.slice_after(START, MAX_IDS_PER_RECORD)
    while True:
        for items in part.items:
            yield encode_record(ItemsRecord(items))
        if part.next is None:
            break
        part = state.counts.slice_after(part.next, MAX_IDS_PER_RECORD)
    yield encode_record(VectorRecord(state.log.unretained_vector()))
    if state.recovered:
        yield encode_record(RecoveredRecord())
    for entries in state.log.all_retained(MAX_ENTRIES_PER_RECORD):
        yield entries_record(entries)


def _apply(state: TallyState, record: Record) -> None:
    match record:
        case EntriesRecord():
            if record.first > state.log.vector.get(record.origin, 0) + 1:
                raise ValueError(f"adds of {record.origin} from number {record.first} on follow a gap")
            state.apply_entries(TallyEntries(record.origin, record.first, record.entries))
        case ItemsRecord(items=items):
            state.counts.join(items)
        case VectorRecord(vector=vector):
            state.log.advance(vector)
        case RecoveredRecord():
            state.recovered = True
