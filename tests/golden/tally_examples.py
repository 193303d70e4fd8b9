"""Messages and records of the tallies; `data/tallies.json` has the bytes."""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.tallies.messages import (
    OrderHello,
    OrderNumbersReply,
    OrderNumbersRequest,
    TallyAdd,
    TallyCursor,
    TallyDigest,
    TallyEntries,
    TallyHello,
    TallyItems,
    TallyPull,
    TallyStateChunk,
    TallyStateRequest,
)
from reedspoke.control_plane.tallies.packed_items import pack_amounts, pack_ids
from reedspoke.control_plane.tallies.records import EntriesRecord, ItemsRecord, RecoveredRecord, VectorRecord

ADDS = (
    TallyAdd(tally="text1", add_id=2**64 - 2, amount=3),
    TallyAdd(tally="text4", add_id=5, amount=-6),
)
ITEMS = TallyItems(tally="text1", ids=pack_ids([2, 2**63]), amounts=pack_amounts([4, -500]))
CURSOR = TallyCursor(tally="text1", add_id=2)

TALLY_MESSAGES: dict[str, Struct] = {
    "hello": TallyHello(address="text1", zone="text2"),
    "entries": TallyEntries(origin="text1", first=2, entries=ADDS),
    "digest": TallyDigest(
        folder_id="text1",
        incarnation=2,
        sequence=3,
        echo_incarnation=4,
        echo=5,
        writable=True,
        recovered=False,
        vector={"text6": 7},
    ),
    "pull": TallyPull(vector={"text1": 2}),
    "state request": TallyStateRequest(after=CURSOR),
    "state request from the start": TallyStateRequest(after=TallyCursor()),
    "state": TallyStateChunk(incarnation=1, after=CURSOR, next=CURSOR, vector={"text2": 3}, items=(ITEMS,)),
    "last of the state": TallyStateChunk(incarnation=1, after=CURSOR, next=None, vector={}, items=()),
    "order hello": OrderHello(address="text1", zone="text2"),
    "order numbers request": OrderNumbersRequest(request_id=2**63),
    "order numbers": OrderNumbersReply(request_id=1, folder_id="text2", recovered=True, adds=ADDS),
}
TALLY_RECORDS: dict[str, Struct] = {
    "entries": EntriesRecord(origin="text1", first=2, entries=ADDS),
    "items": ItemsRecord(items=ITEMS),
    "vector": VectorRecord(vector={"text1": 2}),
    "recovered": RecoveredRecord(),
}
