"""Recurring bookings in a time zone, including its changes of UTC offset."""

from __future__ import annotations

from datetime import datetime
from zoneinfo import ZoneInfo

import pytest

from reedspoke.booking.recurrence import MAX_OCCURRENCES, RecurrenceError, occurrences, unix_time

VIENNA = "Europe/Vienna"


def local(at: int, place: str = VIENNA) -> str:
    return datetime.fromtimestamp(at, ZoneInfo(place)).strftime("%d %H:%M%z")


def local_windows(begin: str, end: str, rule: str, place: str = VIENNA) -> list[tuple[str, str]]:
    found = occurrences(datetime.fromisoformat(begin), datetime.fromisoformat(end), rule, place)
    return [(local(a, place), local(b, place)) for a, b in found]


def test_local_hours_stay_the_same_through_a_change_of_offset() -> None:
    found = local_windows("2026-03-28T05:00", "2026-03-28T07:00", "FREQ=DAILY;COUNT=3")
    assert [begin for begin, _ in found] == ["28 05:00+0100", "29 05:00+0200", "30 05:00+0200"]
    assert [end for _, end in found] == ["28 07:00+0100", "29 07:00+0200", "30 07:00+0200"]


def test_a_skipped_local_time_becomes_the_end_of_the_gap() -> None:
    assert local_windows("2026-03-29T02:30", "2026-03-29T04:00", "FREQ=DAILY;COUNT=1") == [
        ("29 03:00+0200", "29 04:00+0200")
    ]
    assert local_windows("2026-03-29T01:00", "2026-03-29T02:30", "FREQ=DAILY;COUNT=1") == [
        ("29 01:00+0100", "29 03:00+0200")
    ]


def test_both_passes_of_a_repeated_hour_are_booked() -> None:
    (only,) = occurrences(
        datetime(2026, 10, 25, 2, 0), datetime(2026, 10, 25, 2, 30), "FREQ=DAILY;COUNT=1", VIENNA
    )
    assert (local(only[0]), local(only[1])) == ("25 02:00+0200", "25 02:30+0100")
    assert only[1] - only[0] == 5400


@pytest.mark.parametrize("place", ["Asia/Tokyo", "Australia/Lord_Howe", "America/St_Johns", "UTC"])
def test_other_time_zones(place: str) -> None:
    """Covers a change by half an hour, an offset of half hours, and zones without any change."""
    found = occurrences(
        datetime(2026, 1, 31, 2, 0), datetime(2026, 1, 31, 4, 0), "FREQ=MONTHLY;BYMONTHDAY=-1;COUNT=12", place
    )
    assert len(found) == 12
    assert all(b - a in (7200, 7200 - 3600, 7200 + 3600, 7200 + 1800, 7200 - 1800) for a, b in found)
    assert [local(a, place)[3:8] for a, _ in found] == ["02:00"] * 12 or place == "Australia/Lord_Howe"


def test_the_end_of_the_gap_is_exact_to_the_second() -> None:
    at = unix_time(datetime(2026, 3, 29, 2, 59, 59), ZoneInfo(VIENNA), fold=False)
    assert local(at) == "29 03:00+0200"
    assert local(at - 1) == "29 01:59+0100"


@pytest.mark.parametrize(
    ("change", "why"),
    [
        ({"rule": "FREQ=SOMETIMES"}, "invalid recurrence rule"),
        ({"rule": "nonsense"}, "invalid recurrence rule"),
        ({"rule": ""}, "invalid recurrence rule"),
        ({"rule": "FREQ=DAILY"}, f"more than {MAX_OCCURRENCES} occurrences"),
        ({"place": "Mars/Olympus"}, "unknown time zone"),
        ({"place": "../etc/passwd"}, "unknown time zone"),
        ({"end": "2026-01-01T01:00"}, "end must be later"),
        ({"begin": "2026-01-01T02:00+01:00"}, "no UTC offset"),
        ({"rule": "FREQ=DAILY;UNTIL=20200101T000000"}, "no occurrences"),
        ({"rule": "RRULE:FREQ=DAILY;COUNT=2\nRDATE:20260105T020000"}, "only a single RRULE"),
    ],
    ids=str,
)  # fmt: skip
def test_an_unusable_rule_raises_recurrence_error(change: dict[str, str], why: str) -> None:
    given = {
        "begin": "2026-01-01T02:00",
        "end": "2026-01-01T04:00",
        "rule": "FREQ=DAILY;COUNT=2",
        "place": VIENNA,
    }
    given |= change
    with pytest.raises(RecurrenceError, match=why):
        local_windows(**given)
