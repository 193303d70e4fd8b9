"""Expands recurrence rules for bookings into time windows in a time zone. Performs no I/O.

Rules are RFC 5545 recurrence rules, parsed by python-dateutil. They are evaluated in local time, so "every
day from 02:00 to 04:00" keeps its local hours when daylight saving time begins or ends. A local time that is
skipped when clocks go forward stands for the moment at which they do. Of a local time that is repeated when
clocks go back, a window begins at the first occurrence or ends at the second. A window is therefore never
shorter than requested, except by a skipped hour.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from itertools import islice
from typing import NamedTuple
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from dateutil.rrule import rrule, rrulestr

from reedspoke.errors import ReedspokeError

MAX_OCCURRENCES = 64  # Maximum number of occurrences of one rule.


class RecurrenceError(ReedspokeError):
    """The recurrence rule, its times or its time zone are unusable; the text says why."""

    code = "rule-unusable"
    remedy = (
        "see docs/calendar.md: use an RFC 5545 rule with COUNT or UNTIL, and a name of the time zone database"
    )


class Window(NamedTuple):
    """A time range from `begin` (inclusive) to `end` (exclusive), in seconds of Unix time."""

    begin: int
    end: int


def unix_time(local_time: datetime, time_zone: ZoneInfo, *, fold: bool) -> int:
    """Return the Unix time in seconds of a local time.

    If the local time occurs twice because clocks go back, `fold` selects the second occurrence (PEP 495).
    If it is skipped because clocks go forward, the result is the moment at which they do.
    """
    at = int(local_time.replace(tzinfo=time_zone, fold=fold).timestamp())
    if datetime.fromtimestamp(at, time_zone).replace(tzinfo=None) == local_time:
        return at
    return _end_of_skipped_time(local_time, time_zone)


def _end_of_skipped_time(local_time: datetime, time_zone: ZoneInfo) -> int:
    """Return the moment at which clocks skip a local time, by bisection between its values for both folds."""
    low, high = sorted(int(local_time.replace(tzinfo=time_zone, fold=fold).timestamp()) for fold in (0, 1))
    offset_before = datetime.fromtimestamp(low, time_zone).utcoffset()
    while high - low > 1:
        middle = (low + high) // 2
        if datetime.fromtimestamp(middle, time_zone).utcoffset() == offset_before:
            low = middle
        else:
            high = middle
    return high


def occurrences(begin: datetime, end: datetime, rule: str, time_zone_name: str) -> list[Window]:
    """Return the windows of a rule, the earliest first. Raises RecurrenceError.

    `begin` and `end` are the local times of the first window, without a UTC offset.
    """
    if begin.tzinfo is not None or end.tzinfo is not None:
        raise RecurrenceError("times of a series must have no UTC offset: it follows from the time zone")
    length = end - begin
    if not timedelta(0) < length:
        raise RecurrenceError("the end must be later than the beginning")
    time_zone = _time_zone_info(time_zone_name)
    starts = list(islice(_parse_rule(rule, begin), MAX_OCCURRENCES + 1))
    if len(starts) > MAX_OCCURRENCES:
        raise RecurrenceError(
            f"the rule has more than {MAX_OCCURRENCES} occurrences: limit it by COUNT or UNTIL"
        )
    if not starts:
        raise RecurrenceError("the rule has no occurrences")
    return [
        Window(unix_time(start, time_zone, fold=False), unix_time(start + length, time_zone, fold=True))
        for start in starts
    ]


def _time_zone_info(time_zone_name: str) -> ZoneInfo:
    try:
        return ZoneInfo(time_zone_name)
    except (ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise RecurrenceError(f"unknown time zone: {time_zone_name!r}") from error


def _parse_rule(rule: str, begin: datetime) -> rrule:
    try:
        parsed = rrulestr(rule, dtstart=begin)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecurrenceError(f"invalid recurrence rule: {error}") from error
    if not isinstance(parsed, rrule):
        raise RecurrenceError("only a single RRULE is supported, not a set of rules or dates")
    return parsed
