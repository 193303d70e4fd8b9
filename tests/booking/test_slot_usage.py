"""The free windows found in the slot usage are free, and the first is the earliest possible."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.booking.slot_usage import SlotUsage


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.integers(0, 20), st.integers(1, 10), st.integers(1, 5)), max_size=10),
    st.integers(1, 8),
)
def test_free_windows_are_free_and_the_first_is_the_earliest(
    steps: list[tuple[int, int, int]], window_length: int
) -> None:
    usage, level = SlotUsage(), 4
    for begin, length, slots in steps:
        usage.add(begin, begin + length, slots)
    found = [
        window for window, _ in zip(usage.windows_below(3, window_length, level), range(3), strict=False)
    ]
    for window in found:
        assert window.end - window.begin == window_length
        assert usage.peak(window.begin, window.end) <= level
    first = next(at for at in range(3, 60) if usage.peak(at, at + window_length) <= level)
    assert found[0].begin == first
