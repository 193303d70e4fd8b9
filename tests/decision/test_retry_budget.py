"""The sum of all schedulers' repeats keeps to the fleet's budget, whatever happens."""

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
    made = RetryBudget(window_s=WINDOW_S, ratio=RATIO, slack=slack, started=started)
    made.set_fleet_size(schedulers, started)
    return made


def spend(from_: RetryBudget, now: float) -> bool:
    if not from_.reserve(now):
        return False
    from_.use(now)
    return True


def spend_all(from_: RetryBudget, now: float) -> int:
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


def test_grants_end_before_a_window_is_over() -> None:
    own = budget()
    for _ in range(100):
        own.record_request(0.0)
    assert spend_all(own, WINDOW_S * (1 - retry_budget.MAX_DELIVERY_WINDOWS)) == 0


def test_slack_is_parted_and_comes_back_after_a_window() -> None:
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


def test_a_fleet_that_shrinks_keeps_its_small_parts_for_long() -> None:
    own = budget(slack=50, schedulers=10)
    own.set_fleet_size(1, 0.0)
    assert spend_all(own, 1.0) == 4
    assert spend_all(own, WINDOW_S * (retry_budget.FLEET_SIZE_WINDOWS + 2)) == 40


def test_a_fleet_that_grows_makes_parts_smaller_at_once() -> None:
    own = budget(slack=50, schedulers=2)
    own.set_fleet_size(10, 0.0)
    assert spend_all(own, 0.0) == 4


def test_what_is_reserved_is_not_given_twice() -> None:
    own = budget(slack=5, schedulers=2)
    assert [own.reserve(0.0) for _ in range(3)] == [True, True, False]
    own.cancel_reservation()
    assert own.reserve(0.0)
    own.use(0.0)
    own.use(0.0)
    assert not own.can_use(0.0)


def test_a_repeat_whose_grant_has_ended_is_not_sent() -> None:
    own = budget()
    for _ in range(10):
        own.record_request(0.0)
    assert own.reserve(0.0)
    assert own.can_use(8.0)
    assert not own.can_use(9.5)
    with pytest.raises(ValueError, match="spent"):
        own.use(9.5)


def two_bursts() -> int:
    """Repeats in one window that two bursts of 100 requests grant; no window of the rule holds both."""
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


class Life(Struct, eq=False):
    """A scheduler, from one start to the next."""

    budget: RetryBudget


class Fleet(Struct, eq=False):
    """Schedulers that start, end and spend all they may, at the worst moments."""

    random: Random
    slack: float
    lives: list[Life | None] = field(default_factory=list)
    requests: list[float] = field(default_factory=list)
    repeats: list[float] = field(default_factory=list)

    def begin(self, index: int, now: float) -> None:
        made = RetryBudget(window_s=WINDOW_S, ratio=RATIO, slack=self.slack, started=now)
        self.lives[index] = Life(made)

    def tell_size(self, now: float) -> None:
        """Members hear of the number, some later than others; a part may see only a part."""
        alive = [life for life in self.lives if life]
        for life in alive:
            if self.random.random() < 0.9:
                life.budget.set_fleet_size(len(alive), now)

    def step(self, now: float, rate: float, greed: float) -> None:
        for life in self.lives:
            if life is None:
                continue
            for _ in range(int(self.random.expovariate(1 / (rate + 1e-9)))):
                life.budget.record_request(now)
                self.requests.append(now - self.random.uniform(0, 0.02))
            if self.random.random() < greed:
                count = spend_all(life.budget, now)
                self.repeats += [now + self.random.uniform(0, 0.3) for _ in range(count)]

    def worst(self) -> float:
        """The largest excess of repeats over the budget, of all windows that end at a repeat."""
        requests, repeats = sorted(self.requests), sorted(self.repeats)
        return max((self._excess(requests, repeats, end) for end in repeats), default=-1.0)

    def _excess(self, requests: list[float], repeats: list[float], end: float) -> float:
        count = bisect_right(repeats, end) - bisect_left(repeats, end - WINDOW_S)
        ends = (end, end - WINDOW_S / 2, end - WINDOW_S)
        most = max(bisect_right(requests, at) - bisect_left(requests, at - WINDOW_S) for at in ends)
        return count - RATIO * most - self.slack


def play(seed: int, quiet: bool = False) -> float:
    """A random timeline with bursts, quiet, restarts, crowds of restarts and growth; the worst excess.
    A `quiet` one has no requests, so that only the slack is spent."""
    random = Random(seed)
    fleet = Fleet(random, slack=random.choice((0.0, 10.0, 55.0)), lives=[None] * random.randint(1, 12))
    for index in range(len(fleet.lives)):
        fleet.begin(index, 0.0)
    rate, greed, now = 0.5, 0.5, 0.0
    while now < 120.0:
        now += 0.1
        if random.random() < 0.02:
            rate, greed = random.choice((0.0, 0.02, 0.5, 3.0)), random.choice((0.0, 0.05, 1.0))
        if random.random() < 0.02:
            for index in range(len(fleet.lives)):
                if random.random() < 0.3:
                    fleet.begin(index, now)
        if random.random() < 0.01:
            index = random.randrange(len(fleet.lives))
            fleet.lives[index] = None
        if random.random() < 0.01:
            fleet.begin(random.randrange(len(fleet.lives)), now)
        fleet.tell_size(now)
        fleet.step(now, 0.0 if quiet else rate, greed)
    return fleet.worst()


@pytest.mark.parametrize("quiet", [False, True])
@pytest.mark.parametrize("seed", range(12))
def test_the_fleet_never_exceeds_its_budget(seed: int, quiet: bool) -> None:
    assert play(seed, quiet) <= 0


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("RATIO_SHARE", 1.5),
        ("SLACK_SHARE", 1.6),
        ("STARTUP_WINDOWS", 0.0),
        ("MAX_DELIVERY_WINDOWS", -0.9),
    ],
)
def test_each_guard_is_needed(monkeypatch: pytest.MonkeyPatch, name: str, value: float) -> None:
    """Random play catches a budget without the guard."""
    monkeypatch.setattr(retry_budget, name, value)
    assert any(play(seed, quiet) > 0 for quiet in (True, False) for seed in range(12))
