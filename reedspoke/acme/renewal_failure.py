"""What a failed step changes: pauses, back-off, the order in hand, and what operators are told. No I/O."""

from __future__ import annotations

from reedspoke.acme import words
from reedspoke.acme.limits import Limits, Pause, backoff
from reedspoke.acme.plan import SECOND, Life, chance
from reedspoke.acme.record import Record
from reedspoke.acme.renewal_settings import RenewalSettings
from reedspoke.acme.words import Trouble

LONGEST_TEXT = 300
NOTICE_INTERVAL = 3600 * SECOND  # of the same kind
TRIES_BEFORE_EXPIRY = 8  # must fit into the time left, whatever failed before
ENDS_THE_ORDER = (Trouble.NO_ACCOUNT, Trouble.DEAD, Trouble.UNFIT, Trouble.REFUSED)
NOT_THE_AUTHORITY = (Trouble.LOCAL, Trouble.NO_ACCOUNT)  # counted as plain failures


def longest_wait(settings: RenewalSettings, life: Life | None, now: int) -> int:
    """The longest pause, us, that the time left allows. What the authority itself has told to wait for is in
    its limits, and is not shortened by this. `life`: of the certificate in force."""
    if life is None:
        return settings.longest_backoff
    return max(settings.first_backoff, (life.ends - now) // TRIES_BEFORE_EXPIRY)


def note_failure(
    failed: words.Failed,
    record: Record,
    limits: Limits,
    settings: RenewalSettings,
    life: Life | None,
    now: int,
) -> list[words.Step]:
    """Record a failure at the authority of the order in hand; `limits` are that authority's."""
    trouble = failed.trouble
    overdue = record.order and now - record.begun > settings.order_timeout
    if trouble in ENDS_THE_ORDER or overdue:
        record.drop_order()
    record.problem = failed.text[:LONGEST_TEXT]
    steps = _limit_authority(failed, record, limits, settings, now)
    pause = _pause_after(failed, record, settings, now)
    if trouble is Trouble.UNREACHABLE:
        limits.down += 1
    record.strikes[record.authority] = record.strikes.get(record.authority, 0) + 1
    record.pause.begin(now, min(pause, settings.longest_backoff, longest_wait(settings, life, now)))
    counted = "failed" if trouble in NOT_THE_AUTHORITY else trouble.value
    return [words.Count(counted, record.authority), *steps]


def _limit_authority(
    failed: words.Failed, record: Record, limits: Limits, settings: RenewalSettings, now: int
) -> list[words.Step]:
    authority = record.authority
    if failed.trouble is Trouble.REFUSED:
        record.barred.setdefault(authority, Pause()).begin(now, settings.longest_backoff)
    if failed.trouble is not Trouble.LIMITED:
        return []
    pause = limits.limited(now, failed.after)
    text = f"acme: {authority}: rate limited, nothing is asked for {readable(pause / SECOND)}"
    return [words.KeepLimits(authority), words.Tell(text, bad=True)]


def _pause_after(failed: words.Failed, record: Record, settings: RenewalSettings, now: int) -> int:
    if failed.trouble in (Trouble.LIMITED, Trouble.REFUSED):
        return min(settings.first_backoff, settings.longest_backoff)  # another authority may be tried soon
    record.failures += 1
    jitter = chance("pause", record.name, record.failures, now)
    own = backoff(record.failures, settings.first_backoff, settings.longest_backoff, jitter)
    return max(own, failed.after)


class FailureNotices:
    """What operators are told of one certificate: refusals at once; the rest once each time the state of
    alarm changes, and the first time."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._told_at: dict[str, int] = {}

    def steps(
        self, failed: words.Failed, where: str, settings: RenewalSettings, life: Life | None, now: int
    ) -> list[words.Step]:
        """The notice, unless the same was told of late. `life`: of the certificate in force."""
        alarm = settings.policy.alarm(life, now)
        kind = f"{failed.trouble.value} {alarm}"
        interval = min(NOTICE_INTERVAL, settings.longest_backoff)
        if now - self._told_at.get(kind, -NOTICE_INTERVAL) < interval:
            return []
        self._told_at[kind] = now
        bad = failed.trouble in (Trouble.REFUSED, Trouble.UNFIT) or alarm > 0
        text = failed.text[:LONGEST_TEXT]
        told = f"acme: {self._name}: {failed.trouble.value} at {where}: {text} ({_time_left(life, now)})"
        return [words.Tell(told, bad)]


def _time_left(life: Life | None, now: int) -> str:
    if life is None or now >= life.ends:
        return "none in force"
    return f"{readable((life.ends - now) / SECOND)} left"


def readable(seconds: float) -> str:
    """A span of time for people."""
    for size, unit in ((86_400, "d"), (3600, "h"), (60, "min")):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f} {unit}"
    return f"{seconds:.0f} s"
