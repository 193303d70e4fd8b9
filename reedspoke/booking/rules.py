"""Bookings that come again by a rule, on the clock of a place. Pure.

A rule is one of RFC 5545 (python-dateutil); each of its times is one of that place's wall clock, so `every
day from 02:00 to 04:00` keeps its hours through a change of clocks. Where the clock jumps ahead over a time,
that time is the moment of the jump; where an hour comes twice, what begins in it begins with the first one
and what ends in it ends with the second: a booking is never shorter than it was meant, but for the hour that
does not exist.
"""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from itertools import islice
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from dateutil.rrule import rrule, rrulestr

from reedspoke.errors import ReedspokeError

MOST = 64  # times of one rule


class RuleError(ReedspokeError):
    """The rule or the clock is none; the text says why."""

    code = "rule-unusable"
    remedy = (
        "see docs/calendar.md: a rule of RFC 5545 with COUNT or UNTIL, and a place of the time zone database"
    )


def moment(wall: datetime, clock: ZoneInfo, *, late: bool) -> int:
    """s of Unix time. `late`: of two such moments the later one."""
    told = wall.replace(tzinfo=clock, fold=late)
    at = int(told.timestamp())
    back = datetime.fromtimestamp(at, clock).replace(tzinfo=None)
    if back == wall:
        return at
    # It does not exist: both readings lie around the jump, by as much as it skips. The jump is where they
    # meet.
    low, high = sorted(int(wall.replace(tzinfo=clock, fold=fold).timestamp()) for fold in (0, 1))
    before = datetime.fromtimestamp(low, clock).utcoffset()
    while high - low > 1:
        middle = (low + high) // 2
        if datetime.fromtimestamp(middle, clock).utcoffset() == before:
            low = middle
        else:
            high = middle
    return high


def times(begin: datetime, end: datetime, rule: str, place: str) -> list[tuple[int, int]]:
    """Begins and ends, s of Unix time, the earliest first. `begin` and `end` are of the wall clock, without
    an offset.

    Raises RuleError."""
    if begin.tzinfo is not None or end.tzinfo is not None:
        raise RuleError("times of a rule have no offset: the clock's place gives it")
    if not timedelta(0) < end - begin:
        raise RuleError("it ends before it begins")
    try:
        clock = ZoneInfo(place)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise RuleError(f"no such clock: {place!r}") from None
    try:
        told = rrulestr(rule, dtstart=begin)
    except (ValueError, TypeError, KeyError, AttributeError) as error:
        raise RuleError(f"no rule: {error}") from None
    if not isinstance(told, rrule):
        raise RuleError("one rule alone, no set of them")
    found = list(islice(told, MOST + 1))
    if len(found) > MOST:
        raise RuleError(f"more than {MOST} times: give it COUNT or UNTIL")
    if not found:
        raise RuleError("it never comes")
    span = end - begin
    return [(moment(one, clock, late=False), moment(one + span, clock, late=True)) for one in found]


def utc(at: int) -> datetime:
    return datetime.fromtimestamp(at, UTC)
