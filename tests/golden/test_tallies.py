"""Messages and records of the tallies keep their bytes; `data/tallies.json` only grows."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from reedspoke.common.messages import decode, encode
from reedspoke.control_plane.tallies.messages import OrderHello, OrderMessage, TallyHello, TallyMessage
from reedspoke.control_plane.tallies.records import Record, decode_record, encode_record
from tests.golden.tally_examples import TALLY_MESSAGES, TALLY_RECORDS

GOLDEN: dict[str, dict[str, str]] = json.loads((Path(__file__).parent / "data/tallies.json").read_text())


@pytest.mark.parametrize("name", GOLDEN["messages"])
def test_a_message_keeps_its_bytes(name: str) -> None:
    example = TALLY_MESSAGES[name]
    assert encode(example).hex() == GOLDEN["messages"][name]
    union = TallyHello | TallyMessage | OrderHello | OrderMessage
    assert decode(bytes.fromhex(GOLDEN["messages"][name]), union) == example


@pytest.mark.parametrize("name", GOLDEN["records"])
def test_a_record_keeps_its_bytes(name: str) -> None:
    example = TALLY_RECORDS[name]
    assert encode_record(example).hex() == GOLDEN["records"][name]  # type: ignore[arg-type]
    assert decode_record(bytes.fromhex(GOLDEN["records"][name])) == example


def test_every_message_and_record_has_an_example() -> None:
    assert set(TALLY_MESSAGES) == set(GOLDEN["messages"])
    assert set(TALLY_RECORDS) == set(GOLDEN["records"])
    messages = {*TallyMessage.__args__, TallyHello, *OrderMessage.__args__, OrderHello}
    assert {type(one) for one in TALLY_MESSAGES.values()} == messages
    assert {type(one) for one in TALLY_RECORDS.values()} == set(Record.__args__)
