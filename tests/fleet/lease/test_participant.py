"""Lease participants under faults, simulated by `reedspoke.lab.leaseplay`, and mutations to be caught."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.lease.events import CandidacyChanged, LeaseEvent, MessageReceived
from reedspoke.fleet.lease.participant import LeaseParticipant
from reedspoke.fleet.lease.tokens import FencingGuard
from reedspoke.fleet.messages.lease import LeaseReleased, PrepareResponse
from reedspoke.lab.leaseplay import EVEN, RATES, TERM, Fleet, explore, held
from reedspoke.lab.mutants import MUTANTS, caught


@pytest.mark.parametrize("size", [1, 2, 3, 10, 50])
def test_a_fleet_of_any_size_soon_has_one_holder_that_keeps_the_lease(size: int) -> None:
    fleet = Fleet(size, 2)
    fleet.calm(4 * TERM)
    assert len(fleet.holders()) == 1
    fleet.calm(8 * TERM)
    assert (len(fleet.tokens), fleet.ended) == (1, []), "the first holder keeps the lease"


def test_a_failed_holder_has_a_successor_within_two_times_to_live() -> None:
    fleet = Fleet(5, 3)
    fleet.calm(3 * TERM)
    (first,) = fleet.holders()
    fleet.stopped.add(first)
    fleet.calm(2.5 * TERM)
    (second,) = fleet.holders()
    assert second != first
    assert fleet.gaps[-1] <= 2 * TERM


def test_a_holder_stopped_for_longer_than_its_lease_cannot_act() -> None:
    """After a SIGSTOP during an action, the next action is rejected by its clock and by the fencing guard."""
    fleet, guard = Fleet(3, 4), FencingGuard()
    fleet.calm(3 * TERM)
    (first,) = fleet.holders()
    old = fleet.members[first].token
    assert guard.admits(old)
    fleet.stopped.add(first)
    fleet.calm(3 * TERM)
    (second,) = fleet.holders()
    assert guard.admits(fleet.members[second].token)
    fleet.stopped.clear()
    assert not fleet.members[first].holds(fleet.clock(first))
    assert not guard.admits(old)
    assert guard.rejections == 1
    fleet.calm(TERM)
    assert fleet.ended[-1] == "ran out"


@pytest.mark.parametrize("way", ["both", "out", "in"])
def test_a_holder_partitioned_from_the_majority_loses_the_lease_to_another(way: str) -> None:
    fleet = Fleet(5, 5)
    fleet.calm(3 * TERM)
    (first,) = fleet.holders()
    for other in set(range(5)) - {first}:
        fleet.cuts |= {(first, other)} if way != "in" else set()
        fleet.cuts |= {(other, first)} if way != "out" else set()
    fleet.calm(3 * TERM)
    (second,) = fleet.holders()
    assert second != first


def test_two_partitions_of_equal_size_have_no_holder_until_they_are_reconnected() -> None:
    fleet = Fleet(4, 6)
    fleet.calm(3 * TERM)
    fleet.cuts = {(a, b) for a in range(4) for b in range(4) if (a < 2) != (b < 2)}
    fleet.calm(3 * TERM)
    assert fleet.holders() == []
    fleet.cuts.clear()
    fleet.calm(2 * TERM)
    assert len(fleet.holders()) == 1


def test_voters_that_all_restart_wait_until_the_lease_has_expired() -> None:
    fleet = Fleet(3, 7)
    fleet.calm(3 * TERM)
    (earlier,) = fleet.tokens
    for number in range(3):
        fleet.restart(number)
    fleet.calm(0.7 * TERM)
    assert fleet.holders() == []
    fleet.calm(3 * TERM)
    assert fleet.tokens[-1] > earlier


@pytest.mark.parametrize("jump", [-3_600_000_000, 3_600_000_000])
def test_a_wall_clock_that_jumps_by_an_hour_lowers_no_token(jump: int) -> None:
    fleet = Fleet(3, 11, rates=EVEN)
    fleet.calm(3 * TERM)
    (first,) = fleet.holders()
    fleet.jumps = {number: jump for number in range(3) if number != first}
    for number in fleet.jumps:
        fleet.restart(number)
        fleet.calm(2 * TERM)
    fleet.stopped.add(first)
    fleet.calm(4 * TERM)
    assert len(fleet.tokens) == 2, "a lower token would have failed in the simulation"


@pytest.mark.parametrize(
    "event",
    [
        MessageReceived(7, LeaseReleased(1)),
        MessageReceived(-1, PrepareResponse(1, 0)),
        MessageReceived(0, PrepareResponse(1, 0)),
        MessageReceived(1, LeaseReleased(5)),
    ],
    ids=["unknown member", "negative member", "itself", "not the proposer"],
)
def test_an_invalid_message_changes_nothing(event: LeaseEvent) -> None:
    fleet = Fleet(3, 10)
    fleet.calm(3 * TERM)
    before = fleet.holders()
    fleet.tell(0, event)
    assert fleet.holders() == before


@pytest.mark.parametrize("rates", [RATES, EVEN], ids=["drift", "even"])
@pytest.mark.parametrize("size", [2, 3, 4, 5])
def test_there_are_never_two_holders_under_random_faults(size: int, rates: tuple[float, ...]) -> None:
    """Random orders of all events and faults; without holders the test would prove nothing."""
    begun = 0
    for seed in range(150):
        fleet = Fleet(size, seed, rates=rates)
        fleet.pass_time(2 * TERM)
        fleet.wild(500)
        begun += len(fleet.tokens)
    assert begun > 80


# ---- mutations: each breaks one of the rules of `lease.participant`, and must be caught ----


@pytest.mark.parametrize("make", MUTANTS)
def test_each_mutation_is_caught(make: type[LeaseParticipant]) -> None:
    assert caught(make) > 0


@pytest.mark.parametrize(("size", "depth"), [(2, 5), (3, 4)])
def test_every_order_of_a_few_steps_has_one_holder_at_most(size: int, depth: int) -> None:
    assert explore(held(size), depth).states > 500


@pytest.mark.parametrize("left", [2, 3])
def test_the_voters_do_not_depend_on_the_number_of_live_members(left: int) -> None:
    """Three of fifty members run, then all, then two or three: a minority of the voters never holds."""
    fleet = Fleet(50, 13, granters=(0, 1, 2, 3, 4))
    fleet.stopped = set(range(3, 50))
    fleet.calm(4 * TERM)
    (first,) = fleet.holders()
    fleet.stopped = set()
    fleet.calm(4 * TERM)
    assert fleet.holders() == [first]
    fleet.stopped = set(range(left, 50))
    fleet.calm(4 * TERM)
    assert len(fleet.holders()) == (1 if left == 3 else 0)


def test_the_named_successor_acquires_the_lease_first() -> None:
    fleet = Fleet(5, 14)
    fleet.calm(3 * TERM)
    (first,) = fleet.holders()
    successor = (first + 2) % 5
    fleet.tell(first, CandidacyChanged(False, successor))
    assert fleet.ended == ["released"]
    fleet.calm(0.2 * TERM)
    assert fleet.holders() == [successor]


def test_the_lease_is_acquired_soon_after_a_partition_of_all_members() -> None:
    """Guards against a backoff of up to two times to live after proposals that were not answered."""
    fleet = Fleet(5, 15, lot=Random(3))
    fleet.calm(3 * TERM)
    fleet.cuts = {(a, b) for a in range(5) for b in range(5) if a != b}
    fleet.calm(5 * TERM)
    fleet.cuts.clear()
    fleet.calm(0.4 * TERM)
    assert len(fleet.holders()) == 1
