"""Reads evacuation orders from the tallies' log of a control plane node, also while its process runs."""

from __future__ import annotations

from pathlib import Path

from reedspoke.control_plane.evacuation.order_log import ZONE_PREFIX
from reedspoke.control_plane.storage.log_format import read_content
from reedspoke.control_plane.storage.log_slots import parse_slot, slot_names
from reedspoke.control_plane.tallies.messages import TallyAdd
from reedspoke.control_plane.tallies.records import EntriesRecord, decode_record
from reedspoke.control_plane.tallies.storage import TALLY_LOG_NAME


def logged_orders(folder: Path, zone: str) -> list[TallyAdd]:
    """The orders on a zone in the log of this data folder, in the order in which they were written."""
    orders: list[TallyAdd] = []
    for name in slot_names(TALLY_LOG_NAME):
        if (folder / name).exists():
            orders += _orders_in((folder / name).read_bytes(), ZONE_PREFIX + zone)
    return orders


def _orders_in(content: bytes, tally: str) -> list[TallyAdd]:
    found: list[TallyAdd] = []
    for payload in parse_slot(read_content(content)).records:
        record = decode_record(payload)
        if isinstance(record, EntriesRecord):
            found += [add for add in record.entries if add.tally == tally]
    return found
