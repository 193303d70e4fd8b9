"""The retries of all schedulers together stay within the fleet's budget."""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from random import Random

import pytest
from msgspec import Struct, field

from reedspoke.decision import retry_budget
from reedspoke.decision.retry_budget import RetryBudget

WINDOW_S = 10.0
RATIO = 0.2


def budget(slack: float = 0.0, schedulers: int = 1, started: float = -1000.0) -> RetryBudget:
    """The budget of a scheduler that started long ago."""
    made = RetryBudget(window_s=WINDOW_S, ratio=RATIO, slack=slack, started=started)
    made.set_fleet_size(schedulers, started)
    return made


def spend(from_: RetryBudget, now: float) -> bool:
    """Reserve and use one retry; False if none is left."""
    if not from_.reserve(now):
        return False
    from_.use(now)
    return True


def spend_all(from_: RetryBudget, now: float) -> int:
    """Use all retries that are left, and count them."""
    count = 0
    while spend(from_, now):
        count += 1
    return count


def test_requests_grant_half_of_the_ratio() -> None:
    own = budget()
    for index in range(100):
        own.record_request(index / 100)
    assert spend_all(own, 1.0) == 10
    assert spend_all(own, 5.0) == 0


def test_grants_expire_before_the_end_of_a_window() -> None:
    own = budget()
    for _ in range(100):
        own.record_request(0.0)
    assert spend_all(own, WINDOW_S * (1 - retry_budget.MAX_DELIVERY_WINDOWS)) == 0


def test_slack_is_divided_and_returns_after_a_window() -> None:
    own = budget(slack=50, schedulers=4)
    assert spend_all(own, 0.0) == 10
    assert spend_all(own, WINDOW_S) == 0
    assert spend_all(own, WINDOW_S * (1 + retry_budget.MAX_DELIVERY_WINDOWS) + 0.01) == 10


def test_no_slack_in_the_first_window_of_a_process() -> None:
    own = budget(slack=50, started=0.0)
    assert spend_all(own, WINDOW_S) == 0
    assert spend_all(own, WINDOW_S * retry_budget.STARTUP_WINDOWS) > 0


def test_no_slack_while_the_number_of_schedulers_is_unknown() -> None:
    own = RetryBudget(window_s=WINDOW_S, ratio=RATIO, slack=50, started=-1000.0)
    assert spend_all(own, 0.0) == 0
    own.set_fleet_size(5, 0.0)
    assert spend_all(own, 0.0) == 8
    own.set_fleet_size(0, 30.0)
    assert spend_all(own, 40.0) == 0


def test_a_fleet_that_shrinks_keeps_its_small_shares_for_some_windows() -> None:
    own = budget(slack=50, schedulers=10)
    own.set_fleet_size(1, 0.0)
    assert spend_all(own, 1.0) == 4
    assert spend_all(own, WINDOW_S * (retry_budget.FLEET_SIZE_WINDOWS + 2)) == 40


def test_a_fleet_that_grows_reduces_the_shares_at_once() -> None:
    own = budget(slack=50, schedulers=2)
    own.set_fleet_size(10, 0.0)
    assert spend_all(own, 0.0) == 4


def test_a_retry_is_reserved_only_once() -> None:
    own = budget(slack=5, schedulers=2)
    assert [own.reserve(0.0) for _ in range(3)] == [True, True, False]
    own.cancel_reservation()
    assert own.reserve(0.0)
    own.use(0.0)
    own.use(0.0)
    assert not own.can_use(0.0)


def test_a_retry_whose_grant_has_expired_is_not_sent() -> None:
    own = budget()
    for _ in range(10):
        own.record_request(0.0)
    assert own.reserve(0.0)
    assert own.can_use(8.0)
    assert not own.can_use(9.5)
    with pytest.raises(ValueError, match="spent"):
        own.use(9.5)


def two_bursts() -> int:
    """The retries granted in one window by two bursts of 100 requests; no window contains both bursts."""
    own = budget()
    for _ in range(100):
        own.record_request(0.0)
    count = spend_all(own, 0.01)
    for _ in range(100):
        own.record_request(0.7 * WINDOW_S)
    return count + spend_all(own, 0.7 * WINDOW_S)


def test_two_bursts_grant_no_more_than_the_larger_one(monkeypatch: pytest.MonkeyPatch) -> None:
    assert two_bursts() <= RATIO * 100
    monkeypatch.setattr(retry_budget, "RATIO_SHARE", 0.6)
    assert two_bursts() > RATIO * 100


class Scheduler(Struct, eq=False):
    """A scheduler process."""

    budget: RetryBudget


class Fleet(Struct, eq=False):
    """Schedulers that start, stop and spend their whole budget at random times."""

    random: Random
    slack: float
    schedulers: list[Scheduler | None] = field(default_factory=list)
    requests: list[float] = field(default_factory=list)
    retries: list[float] = field(default_factory=list)

    def begin(self, index: int, now: float) -> None:
        """Start or restart a scheduler."""
        made = RetryBudget(window_s=WINDOW_S, ratio=RATIO, slack=self.slack, started=now)
        self.schedulers[index] = Scheduler(made)

    def report_size(self, now: float) -> None:
        """Report the number of schedulers to most of them; the others learn it later."""
        alive = [scheduler for scheduler in self.schedulers if scheduler]
        for scheduler in alive:
            if self.random.random() < 0.9:
                scheduler.budget.set_fleet_size(len(alive), now)

    def step(self, now: float, rate: float, spend_probability: float) -> None:
        """Count random requests, and let some schedulers spend their budget."""
        for scheduler in self.schedulers:
            if scheduler is None:
                continue
            for _ in range(int(self.random.expovariate(1 / (rate + 1e-9)))):
                scheduler.budget.record_request(now)
                self.requests.append(now - self.random.uniform(0, 0.02))
            if self.random.random() < spend_probability:
                count = spend_all(scheduler.budget, now)
                self.retries += [now + self.random.uniform(0, 0.3) for _ in range(count)]

    def max_excess(self) -> float:
        """The largest excess of retries over the budget in any window that ends at a retry."""
        requests, retries = sorted(self.requests), sorted(self.retries)
        return max((self._excess(requests, retries, end) for end in retries), default=-1.0)

    def _excess(self, requests: list[float], retries: list[float], end: float) -> float:
        count = bisect_right(retries, end) - bisect_left(retries, end - WINDOW_S)
        ends = (end, end - WINDOW_S / 2, end - WINDOW_S)
        most = max(bisect_right(requests, at) - bisect_left(requests, at - WINDOW_S) for at in ends)
        return count - RATIO * most - self.slack


def simulate(seed: int, quiet: bool = False) -> float:
    """The largest excess in a random timeline with bursts, idle times, mass restarts and growth.

    With `quiet` there are no requests, so only the slack is spent.
    """
    random = Random(seed)
    fleet = Fleet(random, slack=random.choice((0.0, 10.0, 55.0)), schedulers=[None] * random.randint(1, 12))
    for index in range(len(fleet.schedulers)):
        fleet.begin(index, 0.0)
    rate, spend_probability, now = 0.5, 0.5, 0.0
    while now < 120.0:
        now += 0.1
        if random.random() < 0.02:
            rate, spend_probability = random.choice((0.0, 0.02, 0.5, 3.0)), random.choice((0.0, 0.05, 1.0))
        if random.random() < 0.02:
            for index in range(len(fleet.schedulers)):
                if random.random() < 0.3:
                    fleet.begin(index, now)
        if random.random() < 0.01:
            index = random.randrange(len(fleet.schedulers))
            fleet.schedulers[index] = None
        if random.random() < 0.01:
            fleet.begin(random.randrange(len(fleet.schedulers)), now)
        fleet.report_size(now)
        fleet.step(now, 0.0 if quiet else rate, spend_probability)
    return fleet.max_excess()


@pytest.mark.parametrize("quiet", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_the_fleet_never_exceeds_its_budget(seed: int, quiet: bool) -> None:
    assert simulate(seed, quiet) <= 0


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("RATIO_SHARE", 1.5),
        ("SLACK_SHARE", 1.6),
        ("STARTUP_WINDOWS", 0.0),
        ("MAX_DELIVERY_WINDOWS", -0.9),
    ],
)
def test_each_limit_is_needed(monkeypatch: pytest.MonkeyPatch, name: str, value: float) -> None:
    """The random timelines detect a budget without one of these limits."""
    monkeypatch.setattr(retry_budget, name, value)
    assert any(simulate(seed, quiet) > 0 for quiet in (True, False) for seed in range(12))
