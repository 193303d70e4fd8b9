"""Decisions on changes: a table of cases, and that a rejection is final."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.control_plane.replication.change_decision import ChangeDecision, decide_change
from reedspoke.control_plane.replication.configuration_register import ConfigurationRegister
from reedspoke.control_plane.replication.entry import ChangeId, Entry, change_id_of
from reedspoke.control_plane.replication.log_records import EntryRecord, encode_record, restore
from reedspoke.control_plane.replication.messages import PutRequest
from reedspoke.control_plane.replication.outbox import Outbox

REJECTED = {ChangeDecision.STALE_MATCH, ChangeDecision.OLD_GENERATION}
NOT_ACCEPTED = REJECTED | {ChangeDecision.HISTORY_EXPIRED}

Order = tuple[int, int, bytes]


def _register(generations: list[int]) -> ConfigurationRegister:
    """A register that has accepted these generations, each with its own document."""
    entries = [
        Entry(sequence, 1, generation, b"accepted %d" % generation)
        for sequence, generation in enumerate(generations, 1)
    ]
    return ConfigurationRegister(
        Outbox("m1", 0.0, 0), restore([encode_record(EntryRecord(entry)) for entry in entries])
    )


def _decide(register: ConfigurationRegister, order: Order) -> ChangeDecision:
    match, generation, document = order
    change: ChangeId = change_id_of(Entry(0, 0, generation, document))
    return decide_change(PutRequest(1, "forwarder:1:1", match, generation, document), change, register)


@pytest.mark.parametrize(
    ("order", "decision"),
    [
        ((5, 9, b"next"), ChangeDecision.ACCEPT),
        ((0, 3, b"accepted 3"), ChangeDecision.ACKNOWLEDGE),
        ((3, 5, b"accepted 5"), ChangeDecision.ACKNOWLEDGE),
        ((7, 5, b"accepted 5"), ChangeDecision.ACKNOWLEDGE),
        ((3, 5, b"competing"), ChangeDecision.STALE_MATCH),
        ((0, 9, b"competing"), ChangeDecision.STALE_MATCH),
        ((4, 9, b"between"), ChangeDecision.STALE_MATCH),
        ((5, 5, b"competing"), ChangeDecision.OLD_GENERATION),
        ((5, 4, b"competing"), ChangeDecision.OLD_GENERATION),
        ((9, 7, b"competing"), ChangeDecision.OLD_GENERATION),
        ((6, 9, b"early"), ChangeDecision.WAIT),
    ],
)
def test_decisions_after_generations_3_and_5(order: Order, decision: ChangeDecision) -> None:
    assert _decide(_register([3, 5]), order) is decision


def test_the_first_change_builds_on_0() -> None:
    assert _decide(_register([]), (0, 1, b"first")) is ChangeDecision.ACCEPT
    assert _decide(_register([]), (1, 2, b"early")) is ChangeDecision.WAIT
    assert _decide(_register([]), (0, 0, b"zero")) is ChangeDecision.OLD_GENERATION


numbers = st.integers(0, 30)


@settings(derandomize=True)
@given(
    st.lists(numbers.filter(bool), unique=True, max_size=20).map(sorted),
    numbers,
    numbers,
    st.booleans(),
)
def test_a_rejected_change_is_never_accepted_later(
    generations: list[int], match: int, generation: int, competing: bool
) -> None:
    document = b"competing" if competing else b"accepted %d" % generation
    decisions = [
        _decide(_register(generations[:count]), (match, generation, document))
        for count in range(len(generations) + 1)
    ]
    for index, decision in enumerate(decisions):
        later = decisions[index:]
        if decision in REJECTED and competing:
            assert set(later) <= NOT_ACCEPTED
        if decision is ChangeDecision.ACKNOWLEDGE:
            assert set(later) <= {ChangeDecision.ACKNOWLEDGE}
