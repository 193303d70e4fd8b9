"""The emulated platform's list: pages, lag and rate, with a clock of the test's."""

from __future__ import annotations

import pytest

from reedspoke.lab.fleet_emulator.worker import WorkerProfile, WorkerState
from reedspoke.lab.fleet_emulator.worker_list import ListedWorker, RateLimit, WorkerRegistry, listed, page_of


class Clock:
    now = 100.0

    def __call__(self) -> float:
        return self.now


def entries(count: int) -> dict[str, ListedWorker]:
    return {f"i{number}": worker(number) for number in range(count)}


def worker(number: int, state: WorkerState = WorkerState.UP) -> ListedWorker:
    profile = WorkerProfile(f"i{number}", "pool", f"127.0.0.1:{number}", f"zone-{number % 2}", 4)
    return listed(profile, state)


def test_pages_cover_the_list_once() -> None:
    seen, token = [], ""
    while True:
        page = page_of(entries(7), "", token, size=3)
        seen += [entry.instance_id for entry in page.instances]
        if page.next_token is None:
            break
        token = page.next_token
    assert seen == [f"i{number}" for number in range(7)]


def test_a_page_of_one_zone() -> None:
    page = page_of(entries(7), "zone-1", "")
    assert [entry.instance_id for entry in page.instances] == ["i1", "i3", "i5"]
    assert page.next_token is None


def test_a_full_last_page_has_no_next() -> None:
    assert page_of(entries(3), "", "", size=3).next_token is None


def test_a_malformed_token() -> None:
    with pytest.raises(ValueError, match="invalid literal"):
        page_of({}, "", "p-x")


def test_changes_show_after_the_lag_in_their_order() -> None:
    clock = Clock()
    registry = WorkerRegistry(0.5, clock)
    registry.change(entries(1))
    clock.now += 0.3
    registry.change(entries(2))
    assert len(registry.visible()) == 0
    assert len(registry.current()) == 2
    clock.now += 0.2
    assert len(registry.visible()) == 1
    clock.now += 0.3
    assert len(registry.visible()) == 2


def test_the_rate_holds_for_any_second() -> None:
    clock = Clock()
    limit = RateLimit(3, clock)
    allowed = []
    for _ in range(16):  # two seconds, in steps that floats hold exactly
        allowed.append(limit.allow())
        clock.now += 0.125
    assert allowed == 2 * [True, True, True, False, False, False, False, False]
