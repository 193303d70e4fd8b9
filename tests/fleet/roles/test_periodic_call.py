"""A role's periodic calls: one at a time, and only while the lease is held."""

from __future__ import annotations

from reedspoke.fleet.events import CallRoleTarget
from reedspoke.fleet.roles.periodic_call import PeriodicCall

ROLE = "a-role"
SECOND = 1_000_000


def test_one_call_is_in_flight_at_a_time_and_only_while_the_lease_is_held() -> None:
    calls = PeriodicCall(ROLE, SECOND)
    assert calls.lease_acquired(5, 10 * SECOND, 0) == [CallRoleTarget(ROLE, 5, 10 * SECOND)]
    assert calls.tick(2 * SECOND) == [], "the last call is still in flight"
    calls.call_finished(200)
    assert len(calls.tick(2 * SECOND)) == 1
    calls.call_finished(0)
    assert calls.tick(2 * SECOND + 1) == []
    assert calls.tick(10 * SECOND) == [], "the lease has expired"
    calls.lease_renewed(20 * SECOND, 10 * SECOND)
    assert len(calls.tick(10 * SECOND)) == 1
    calls.lease_ended("released", 10 * SECOND)
    calls.call_finished(204)
    assert calls.tick(12 * SECOND) == []
    assert (calls.succeeded, calls.failed) == (2, 1)
