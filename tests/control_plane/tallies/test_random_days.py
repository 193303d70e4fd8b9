"""Random schedules of calls and faults on five simulated nodes. These seeds found faults that are fixed now:

40016: a process that had been paused acknowledged an add alone, before its first tick, and lost its disk;
9036, 9055: a node took the rest of a state from a source that had lost its disk in between;
13025, 13031: a restarted transfer continued at the position of the earlier one; a slow link counted as cut;
5030, 5036: adds after a gap waited for the next digest;
210095: an add was on too few disks, because those of four nodes failed or stalled, and was lost with them;
22, 40039: an operator's order got its number on a node that lacked the previous order;
51109: an add was acknowledged alone 66 ms after the end of a partition, and lost with its disk.

With an operator who gives orders up: 9, 11, 22, 30 with three nodes, 18, 29, 30, 32 with five: an order was
acknowledged below the number of one that was given up before.
"""

from __future__ import annotations

import pytest

from tests.control_plane.tallies.random_days import play

SEEDS_WITH_FORMER_FAULTS = [
    40016,
    9036,
    9055,
    13025,
    13031,
    5030,
    5036,
    210095,
    40039,
    50012,
    51109,
]  # and 22
STEPS = 500


@pytest.mark.parametrize("seed", SEEDS_WITH_FORMER_FAULTS + list(range(1, 26)))
def test_a_random_schedule_of_five_nodes(seed: int) -> None:
    assert play(seed, STEPS) == []


@pytest.mark.parametrize("seed", range(200, 206))
def test_a_random_schedule_of_three_nodes(seed: int) -> None:
    assert play(seed, STEPS, count=3, tolerated=1) == []


@pytest.mark.parametrize("seed", [9, 11, 22, 30, 34, 40])
def test_a_random_schedule_of_three_nodes_whose_operator_gives_orders_up(seed: int) -> None:
    assert play(seed, STEPS, count=3, tolerated=1, gives_up_orders=True) == []


@pytest.mark.parametrize("seed", [18, 29, 30, 32])
def test_a_random_schedule_of_five_nodes_whose_operator_gives_orders_up(seed: int) -> None:
    assert play(seed, STEPS, gives_up_orders=True) == []


@pytest.mark.parametrize(("seed", "count"), [(18, 4), (19, 4), (21, 4), (49, 4), (3, 5), (17, 5), (39, 5)])
def test_a_random_schedule_of_more_nodes_than_a_majority_needs(seed: int, count: int) -> None:
    assert play(seed, STEPS, count, tolerated=1, gives_up_orders=True) == []
