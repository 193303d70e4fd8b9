"""The log of the newest adds by origin, and version vectors."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from reedspoke.control_plane.tallies.messages import TallyAdd, TallyEntries
from reedspoke.control_plane.tallies.origin_log import OriginLog
from reedspoke.control_plane.tallies.version_vectors import covers, lower_bound, upper_bound

VECTORS = st.dictionaries(st.sampled_from("abcd"), st.integers(0, 5))


def adds(first: int, count: int) -> tuple[TallyAdd, ...]:
    """Adds whose ids are their numbers."""
    return tuple(TallyAdd("t", number, 1) for number in range(first, first + count))


def log_of(**counts: int) -> OriginLog:
    """A log with this number of adds of each origin."""
    log = OriginLog()
    for origin, count in counts.items():
        log.append(origin, adds(1, count))
    return log


def test_entries_after_a_number() -> None:
    log = log_of(a=5)
    assert log.entries_after("a", 2, 2) == TallyEntries("a", 3, adds(3, 2))
    assert log.entries_after("a", 5, 9) == TallyEntries("a", 6, ())
    assert log.entries_after("b", 0, 9) is None
    assert log.vector == {"a": 5}


def test_dropped_entries_are_not_returned() -> None:
    log = log_of(a=5, b=2)
    log.drop_through({"a": 3, "b": 9})
    assert log.entries_after("a", 2, 9) is None
    assert log.entries_after("a", 3, 9) == TallyEntries("a", 4, adds(4, 2))
    assert log.entries_after("b", 1, 9) is None
    assert (log.retained_count, log.unretained_vector()) == (2, {"a": 3, "b": 2})
    log.append("b", adds(3, 1))
    assert log.entries_after("b", 2, 9) == TallyEntries("b", 3, adds(3, 1))


def test_advancing_beyond_the_log_drops_its_entries() -> None:
    log = log_of(a=5)
    log.advance({"a": 4, "b": 7})
    assert log.vector == {"a": 5, "b": 7}
    assert log.entries_after("a", 4, 9) == TallyEntries("a", 5, adds(5, 1))
    log.advance({"a": 9})
    assert (log.vector["a"], log.retained_count) == (9, 0)
    assert log.entries_after("a", 5, 9) is None
    log.append("a", adds(10, 1))
    assert log.entries_after("a", 9, 9) == TallyEntries("a", 10, adds(10, 1))


def test_the_oldest_entries_of_the_longest_log_are_dropped_first() -> None:
    log = log_of(a=20, b=2)
    log.drop_oldest(10)
    assert log.retained_count <= 10
    assert log.entries_after("b", 0, 9) is not None
    assert log.entries_after("a", 19, 9) == TallyEntries("a", 20, adds(20, 1))


def test_all_retained_entries_in_batches() -> None:
    log = log_of(a=5, b=1)
    log.drop_through({"a": 1})
    assert list(log.all_retained(3)) == [
        TallyEntries("a", 2, adds(2, 3)),
        TallyEntries("a", 5, adds(5, 1)),
        TallyEntries("b", 1, adds(1, 1)),
    ]


@given(VECTORS, VECTORS)
def test_version_vectors_are_a_lattice(one: dict[str, int], other: dict[str, int]) -> None:
    both, common = upper_bound(one, other), lower_bound(one, other)
    assert covers(both, one)
    assert covers(both, other)
    assert covers(one, common)
    assert covers(other, common)
    assert upper_bound(one, other) == upper_bound(other, one)
    assert covers(one, other) == (upper_bound(one, other) == upper_bound(one, {}) or covers(one, both))
