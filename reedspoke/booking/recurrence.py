"""Recurring bookings: the windows of a rule, on the wall clock of a place. No I/O.

A rule is one of RFC 5545 (python-dateutil). Each of its times is one of that place's wall clock, so
"every day from 02:00 to 04:00" keeps its hours through a change of clocks. Where the clock jumps ahead
over a time, that time is the moment of the jump; where an hour comes twice, a begin in it takes the first
and an end in it the second: a booking is never shorter than it was meant, but for the hour that does not
exist.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from itertools import islice
from typing import NamedTuple
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from dateutil.rrule import rrule, rrulestr

from reedspoke.errors import ReedspokeError

MAX_OCCURRENCES = 64  # of one rule


class RecurrenceError(ReedspokeError):
    """The rule or the clock is not usable; the text says why."""

    code = "rule-unusable"
    remedy = (
        "see docs/calendar.md: a rule of RFC 5545 with COUNT or UNTIL, and a place of the time zone database"
    )


class Window(NamedTuple):
    """From `begin` to before `end`, s of Unix time."""

    begin: int
    end: int


def unix_time(local_time: datetime, time_zone: ZoneInfo, *, fold: bool) -> int:
    """Return the s of Unix time of a wall clock's time. `late`: of two such moments the later one."""
    at = int(local_time.replace(tzinfo=time_zone, fold=fold).timestamp())
    if datetime.fromtimestamp(at, time_zone).replace(tzinfo=None) == local_time:
        return at
    return _end_of_skipped_time(local_time, time_zone)


def _end_of_skipped_time(local_time: datetime, time_zone: ZoneInfo) -> int:
    """Find the jump over a wall time that does not exist: its two readings lie around it."""
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

    `begin` and `end` are wall clock times without an offset.
    """
    if begin.tzinfo is not None or end.tzinfo is not None:
        raise RecurrenceError("times of a rule have no offset: the clock's place gives it")
    length = end - begin
    if not timedelta(0) < length:
        raise RecurrenceError("it ends before it begins")
    time_zone = _time_zone_info(time_zone_name)
    starts = list(islice(_parse_rule(rule, begin), MAX_OCCURRENCES + 1))
    if len(starts) > MAX_OCCURRENCES:
        raise RecurrenceError(f"more than {MAX_OCCURRENCES} times: give it COUNT or UNTIL")
    if not starts:
        raise RecurrenceError("it never comes")
    return [
        Window(unix_time(start, time_zone, fold=False), unix_time(start + length, time_zone, fold=True))
        for start in starts
    ]


def _time_zone_info(time_zone_name: str) -> ZoneInfo:
    try:
        return ZoneInfo(time_zone_name)
    except (ZoneInfoNotFoundError, ValueError, OSError) as error:
        raise RecurrenceError(f"no such clock: {time_zone_name!r}") from error


def _parse_rule(rule: str, begin: datetime) -> rrule:
    try:
        parsed = rrulestr(rule, dtstart=begin)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RecurrenceError(f"no rule: {error}") from error
    if not isinstance(parsed, rrule):
        raise RecurrenceError("one rule alone, no set of them")
    return parsed
