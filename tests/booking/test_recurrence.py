"""Recurring bookings in a time zone, including its changes of UTC offset."""

from __future__ import annotations

from datetime import datetime
from zoneinfo import ZoneInfo

import pytest

from reedspoke.booking.recurrence import MAX_OCCURRENCES, RecurrenceError, occurrences, unix_time

VIENNA = "Europe/Vienna"


def local(at: int, time_zone: str = VIENNA) -> str:
    return datetime.fromtimestamp(at, ZoneInfo(time_zone)).strftime("%d %H:%M%z")


def local_windows(begin: str, end: str, rule: str, time_zone: str = VIENNA) -> list[tuple[str, str]]:
    found = occurrences(datetime.fromisoformat(begin), datetime.fromisoformat(end), rule, time_zone)
    return [(local(a, time_zone), local(b, time_zone)) for a, b in found]


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
    (window,) = occurrences(
        datetime(2026, 10, 25, 2, 0), datetime(2026, 10, 25, 2, 30), "FREQ=DAILY;COUNT=1", VIENNA
    )
    assert (local(window[0]), local(window[1])) == ("25 02:00+0200", "25 02:30+0100")
    assert window[1] - window[0] == 5400


@pytest.mark.parametrize("time_zone", ["Asia/Tokyo", "Australia/Lord_Howe", "America/St_Johns", "UTC"])
def test_other_time_zones(time_zone: str) -> None:
    """Covers a change by half an hour, an offset of half hours, and zones without any change."""
    found = occurrences(
        datetime(2026, 1, 31, 2, 0),
        datetime(2026, 1, 31, 4, 0),
        "FREQ=MONTHLY;BYMONTHDAY=-1;COUNT=12",
        time_zone,
    )
    assert len(found) == 12
    assert all(b - a in (7200, 7200 - 3600, 7200 + 3600, 7200 + 1800, 7200 - 1800) for a, b in found)
    assert [local(a, time_zone)[3:8] for a, _ in found] == [
        "02:00"
    ] * 12 or time_zone == "Australia/Lord_Howe"


def test_the_end_of_the_gap_is_exact_to_the_second() -> None:
    at = unix_time(datetime(2026, 3, 29, 2, 59, 59), ZoneInfo(VIENNA), fold=False)
    assert local(at) == "29 03:00+0200"
    assert local(at - 1) == "29 01:59+0100"


@pytest.mark.parametrize(
    ("change", "reason"),
    [
        ({"rule": "FREQ=SOMETIMES"}, "invalid recurrence rule"),
        ({"rule": "nonsense"}, "invalid recurrence rule"),
        ({"rule": ""}, "invalid recurrence rule"),
        ({"rule": "FREQ=DAILY"}, f"more than {MAX_OCCURRENCES} occurrences"),
        ({"time_zone": "Mars/Olympus"}, "unknown time zone"),
        ({"time_zone": "../etc/passwd"}, "unknown time zone"),
        ({"end": "2026-01-01T01:00"}, "end must be later"),
        ({"begin": "2026-01-01T02:00+01:00"}, "no UTC offset"),
        ({"rule": "FREQ=DAILY;UNTIL=20200101T000000"}, "no occurrences"),
        ({"rule": "RRULE:FREQ=DAILY;COUNT=2\nRDATE:20260105T020000"}, "only a single RRULE"),
    ],
    ids=str,
)  # fmt: skip
def test_an_unusable_rule_raises_recurrence_error(change: dict[str, str], reason: str) -> None:
    arguments = {
        "begin": "2026-01-01T02:00",
        "end": "2026-01-01T04:00",
        "rule": "FREQ=DAILY;COUNT=2",
        "time_zone": VIENNA,
    }
    arguments |= change
    with pytest.raises(RecurrenceError, match=reason):
        local_windows(**arguments)
