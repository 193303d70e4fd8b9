"""The monitor of invariants: counts, keeps what led to a violation, and never raises."""

from __future__ import annotations

from reedspoke.telemetry.invariants import MOST_KEPT, Invariant, InvariantMonitor, Violation


def test_each_evaluation_is_counted_and_only_violations_are_kept() -> None:
    monitor = InvariantMonitor()
    assert monitor.check(Invariant.VIEW_RISES, True, now=2)
    assert not monitor.check(Invariant.VIEW_RISES, False, before=2, now=1)
    assert monitor.evaluated[Invariant.VIEW_RISES] == 2
    assert monitor.violated[Invariant.VIEW_RISES] == 1
    assert list(monitor.kept) == [Violation(Invariant.VIEW_RISES, {"before": 2, "now": 1})]


def test_a_violation_is_reported_as_it_happens() -> None:
    monitor = InvariantMonitor()
    reported: list[Violation] = []
    monitor.report_to(reported.append)
    monitor.check(Invariant.NOT_SENT_AGAIN, True)
    monitor.check(Invariant.NOT_SENT_AGAIN, False, attempt_id="a1")
    assert [violation.facts for violation in reported] == [{"attempt_id": "a1"}]


def test_only_so_many_violations_are_kept_and_all_are_counted() -> None:
    monitor = InvariantMonitor()
    for number in range(MOST_KEPT + 5):
        monitor.check(Invariant.IDLE_HOLDS_NOTHING, False, number=number)
    assert len(monitor.kept) == MOST_KEPT
    assert monitor.violated[Invariant.IDLE_HOLDS_NOTHING] == MOST_KEPT + 5
    assert monitor.kept[-1].facts == {"number": MOST_KEPT + 4}


def test_forgetting_begins_anew_and_keeps_the_evaluations() -> None:
    monitor = InvariantMonitor()
    monitor.check(Invariant.IDLE_HOLDS_NOTHING, False)
    assert len(monitor.forget()) == 1
    assert monitor.forget() == []
    assert monitor.violated[Invariant.IDLE_HOLDS_NOTHING] == 0
    assert monitor.evaluated[Invariant.IDLE_HOLDS_NOTHING] == 1
