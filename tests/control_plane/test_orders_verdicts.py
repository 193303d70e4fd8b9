"""Verdicts on changes: a table, and that a refusal is one for all time."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.control_plane.replication.chain_register import Register
from reedspoke.control_plane.replication.change_history import Acknowledged
from reedspoke.control_plane.replication.messages import Entry, PutRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.verdict import Verdict, verdict_on
from reedspoke.control_plane.storage.records import EntryRecord, acknowledged, encode_record, restore

REFUSED = {Verdict.STALE_MATCH, Verdict.OLD_GENERATION}
NOT_TAKEN = REFUSED | {Verdict.FORGOTTEN}

Order = tuple[int, int, bytes]


def _register(generations: list[int]) -> Register:
    """A register that has taken these generations, each with its own document."""
    entries = [
        Entry(sequence, 1, generation, b"taken %d" % generation)
        for sequence, generation in enumerate(generations, 1)
    ]
    return Register(Outbox("m1", 0.0, 0), restore([encode_record(EntryRecord(entry)) for entry in entries]))


def _verdict(register: Register, order: Order) -> Verdict:
    match, generation, document = order
    change: Acknowledged = acknowledged(Entry(0, 0, generation, document))
    return verdict_on(PutRequest(1, "asker:1:1", match, generation, document), change, register)


@pytest.mark.parametrize(
    ("order", "verdict"),
    [
        ((5, 9, b"next"), Verdict.TAKE),
        ((0, 3, b"taken 3"), Verdict.ACKNOWLEDGE),
        ((3, 5, b"taken 5"), Verdict.ACKNOWLEDGE),
        ((7, 5, b"taken 5"), Verdict.ACKNOWLEDGE),
        ((3, 5, b"rival"), Verdict.STALE_MATCH),
        ((0, 9, b"rival"), Verdict.STALE_MATCH),
        ((4, 9, b"between"), Verdict.STALE_MATCH),
        ((5, 5, b"rival"), Verdict.OLD_GENERATION),
        ((5, 4, b"rival"), Verdict.OLD_GENERATION),
        ((9, 7, b"rival"), Verdict.OLD_GENERATION),
        ((6, 9, b"early"), Verdict.HOLD),
    ],
)
def test_verdicts_after_generations_3_and_5(order: Order, verdict: Verdict) -> None:
    assert _verdict(_register([3, 5]), order) is verdict


def test_the_first_change_builds_on_0() -> None:
    assert _verdict(_register([]), (0, 1, b"first")) is Verdict.TAKE
    assert _verdict(_register([]), (1, 2, b"early")) is Verdict.HOLD
    assert _verdict(_register([]), (0, 0, b"zero")) is Verdict.OLD_GENERATION


numbers = st.integers(0, 30)


@settings(derandomize=True)
@given(
    st.lists(numbers.filter(bool), unique=True, max_size=20).map(sorted),
    numbers,
    numbers,
    st.booleans(),
)
def test_a_refused_order_is_never_taken_later(
    generations: list[int], match: int, generation: int, rival: bool
) -> None:
    document = b"a rival" if rival else b"taken %d" % generation
    verdicts = [
        _verdict(_register(generations[:count]), (match, generation, document))
        for count in range(len(generations) + 1)
    ]
    for index, verdict in enumerate(verdicts):
        later = verdicts[index:]
        if verdict in REFUSED and rival:
            assert set(later) <= NOT_TAKEN
        if verdict is Verdict.ACKNOWLEDGE:
            assert set(later) <= {Verdict.ACKNOWLEDGE}
