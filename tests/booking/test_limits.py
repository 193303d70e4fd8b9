"""The operator's limits, which are checked before a command is appended to the log."""

from __future__ import annotations

import pytest
from msgspec.structs import replace

from reedspoke.booking.limits import BookingLimits
from reedspoke.booking.messages import ReserveCommand


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"zone": "nowhere"}, "unknown zone"), ({"begin": 601}, "multiples of 300 s"),
        ({"begin": 1200, "end": 600}, "later than the beginning"),
        ({"end": 600 + 86_700}, "longer"), ({"begin": 0, "end": 300}, "in the past"),
        ({"begin": 10**7 // 300 * 300, "end": 10**7 // 300 * 300 + 300}, "horizon"), ({}, ""),
    ],
    ids=str,
)  # fmt: skip
def test_a_reservation_beyond_the_limits_is_refused(change: dict[str, int], reason: str) -> None:
    limits = BookingLimits({"north": 6}, {"t": 2, "": 4})
    command = ReserveCommand("n", 0, "t", "north", 1, 600, 900, 1, 1)
    refusal = limits.refusal_reason(replace(command, **change), 500)
    assert (reason in refusal) if reason else refusal == ""
    complete = limits.fill_in(command)
    assert isinstance(complete, ReserveCommand)
    assert (complete.zone_limit, complete.tenant_limit) == (6, 2)
