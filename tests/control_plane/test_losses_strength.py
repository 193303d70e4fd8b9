"""Virtual time until a core is at full strength again, with bounds below the catch-up time."""

from __future__ import annotations

import random

import pytest

from reedspoke.control_plane.replication.settings import ESTABLISHED_MIN_REACHABLE_S
from tests.control_plane.simulation import Simulation
from tests.control_plane.strength import (
    Loss,
    kill,
    lose_disk,
    replace,
    replace_as_seeds,
    strong_core,
    time_to_full_strength,
)

TOLERATED = {3: 1, 5: 2, 9: 2, 15: 2}
ONE_LOSS_S = {3: 2.0, 5: 2.0, 9: 2.0, 15: 2.0}
TWO_LOSSES_S = {5: 2.5, 9: 2.5, 15: 2.5}
START_S = {3: 1.0, 5: 2.0, 9: 3.5, 15: 6.0}
CATCH_UP_S = {3: 4.0, 5: 4.0, 9: 6.0, 15: 6.0}
DEAD_VOTERS_S = 2.5
PLACES = ["head", "tail", "seed"]


def _chosen(simulation: Simulation, place: str, count: int) -> list[str]:
    chain = simulation.chain()
    if place == "head":
        return chain[:count]
    if place == "tail":
        return chain[-count:]
    return random.Random(len(chain)).sample(list(simulation.seeds), count)


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("loss", [kill, lose_disk, replace, replace_as_seeds])
@pytest.mark.parametrize("machines", [3, 5, 9])
def test_after_one_loss(machines: int, loss: Loss, place: str) -> None:
    _check(machines, loss, place, 1, ONE_LOSS_S[machines])


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize("loss", [kill, lose_disk, replace, replace_as_seeds])
@pytest.mark.parametrize("machines", [5, 9])
def test_after_two_losses_at_once(machines: int, loss: Loss, place: str) -> None:
    _check(machines, loss, place, 2, TWO_LOSSES_S[machines])


@pytest.mark.parametrize(("loss", "count"), [(lose_disk, 1), (replace, 1), (replace_as_seeds, 2)])
def test_after_losses_of_fifteen(loss: Loss, count: int) -> None:
    _check(15, loss, "seed", count, TWO_LOSSES_S[15] if count == 2 else ONE_LOSS_S[15])


def _check(machines: int, loss: Loss, place: str, count: int, bound: float) -> None:
    assert bound < CATCH_UP_S[machines]
    tolerated = TOLERATED[machines]
    simulation = strong_core(machines, machines, tolerated)
    loss(simulation, _chosen(simulation, place, count))
    assert time_to_full_strength(simulation, tolerated) <= bound


@pytest.mark.parametrize("machines", [3, 5, 9, 15])
def test_after_the_first_start(machines: int) -> None:
    simulation = Simulation(machines, machines=machines, tolerated=TOLERATED[machines])
    assert time_to_full_strength(simulation, TOLERATED[machines]) <= START_S[machines]


@pytest.mark.parametrize("machines", [5, 9, 15])
def test_enough_voters_for_the_losses_soon_after_the_first_start(machines: int) -> None:
    """The losses are tolerated long before all machines are in the chain, as they join one at a time."""
    simulation = Simulation(machines, machines=machines, tolerated=2)

    def enough() -> bool:
        view = simulation.newest_view()
        return view is not None and len(view.voters) >= 5

    assert simulation.run_until(enough, 2.5)


@pytest.mark.parametrize("place", PLACES)
@pytest.mark.parametrize(("machines", "count"), [(4, 1), (5, 1), (7, 2), (9, 2), (9, 4), (15, 2)])
def test_dead_voters_beyond_the_target_are_removed(machines: int, count: int, place: str) -> None:
    """They are not replaced; the remaining voters are enough for the tolerated losses."""
    tolerated = 2 if machines >= 7 else 1
    simulation = strong_core(machines, machines, tolerated)
    simulation.run(ESTABLISHED_MIN_REACHABLE_S + 6.0)
    view = simulation.newest_view()
    assert view is not None
    assert len(view.voters) == (machines if machines % 2 else machines - 1)
    dead = set(_chosen(simulation, place, min(count, 2)))
    dead |= set([address for address in simulation.chain() if address not in dead][: count - len(dead)])
    for address in dead:
        simulation.lose_power(address, restart_after=None)

    def removed() -> bool:
        view = simulation.newest_view()
        if view is None or dead & {link.member.address for link in view.chain}:
            return False
        return not dead & {voter.address for voter in view.voters}

    assert simulation.run_until(removed, DEAD_VOTERS_S)
    assert len(simulation.chain()) == machines - count
