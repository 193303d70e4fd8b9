"""The monitor of invariants: counts, records the facts of a violation, and never raises."""

from __future__ import annotations

from reedspoke.telemetry.invariants import MAX_RECORDED_VIOLATIONS, Invariant, InvariantMonitor, Violation


def test_each_evaluation_is_counted_and_only_violations_are_recorded() -> None:
    monitor = InvariantMonitor()
    assert monitor.check(Invariant.VIEW_RISES, True, now=2)
    assert not monitor.check(Invariant.VIEW_RISES, False, before=2, now=1)
    assert monitor.evaluated[Invariant.VIEW_RISES] == 2
    assert monitor.violated[Invariant.VIEW_RISES] == 1
    assert list(monitor.recent_violations) == [Violation(Invariant.VIEW_RISES, {"before": 2, "now": 1})]


def test_a_violation_is_reported_as_it_happens() -> None:
    monitor = InvariantMonitor()
    reported: list[Violation] = []
    monitor.report_to(reported.append)
    monitor.check(Invariant.NOT_SENT_AGAIN, True)
    monitor.check(Invariant.NOT_SENT_AGAIN, False, attempt_id="a1")
    assert [violation.facts for violation in reported] == [{"attempt_id": "a1"}]


def test_a_limited_number_of_violations_is_recorded_and_all_are_counted() -> None:
    monitor = InvariantMonitor()
    for number in range(MAX_RECORDED_VIOLATIONS + 5):
        monitor.check(Invariant.IDLE_HOLDS_NOTHING, False, number=number)
    assert len(monitor.recent_violations) == MAX_RECORDED_VIOLATIONS
    assert monitor.violated[Invariant.IDLE_HOLDS_NOTHING] == MAX_RECORDED_VIOLATIONS + 5
    assert monitor.recent_violations[-1].facts == {"number": MAX_RECORDED_VIOLATIONS + 4}


def test_a_reset_forgets_violations_and_retains_the_evaluations() -> None:
    monitor = InvariantMonitor()
    monitor.check(Invariant.IDLE_HOLDS_NOTHING, False)
    assert len(monitor.reset_violations()) == 1
    assert monitor.reset_violations() == []
    assert monitor.violated[Invariant.IDLE_HOLDS_NOTHING] == 0
    assert monitor.evaluated[Invariant.IDLE_HOLDS_NOTHING] == 1
