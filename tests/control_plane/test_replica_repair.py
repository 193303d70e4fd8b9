"""After the loss of one machine at any place, changes and reads are answered again within the bound."""

from __future__ import annotations

from collections.abc import Callable

import pytest

from reedspoke.common.errors import ErrorCode
from tests.control_plane.simulated_parts import DiskMode
from tests.control_plane.simulation import Simulation

REPAIR_LIMIT_S = 2.5
PLACES = {3: [0, 1, 2], 5: [0, 2, 4]}

Loss = Callable[[Simulation, str], set[str]]


def _kill(simulation: Simulation, address: str) -> set[str]:
    simulation.kill(address, restart_after=None)
    return {address}


def _isolate(simulation: Simulation, address: str) -> set[str]:
    simulation.isolate(address)
    return {address}


def _cut_outgoing(simulation: Simulation, address: str) -> set[str]:
    for other in simulation.machines:
        simulation.cut(address, other, both=False)
    return {address}


def _cut_incoming(simulation: Simulation, address: str) -> set[str]:
    for other in simulation.machines:
        simulation.cut(other, address, both=False)
    return {address}


def _cut_link(simulation: Simulation, address: str) -> set[str]:
    following = _following(simulation, address)
    simulation.cut(address, following)
    return {address, following}


def _cut_link_one_way(simulation: Simulation, address: str) -> set[str]:
    following = _following(simulation, address)
    simulation.cut(address, following, both=False)
    return {address, following}


def _following(simulation: Simulation, address: str) -> str:
    chain = simulation.chain()
    return chain[(chain.index(address) + 1) % len(chain)]


def _freeze(simulation: Simulation, address: str) -> set[str]:
    simulation.freeze(address)
    return {address}


def _stall(simulation: Simulation, address: str) -> set[str]:
    simulation.set_disk(address, DiskMode.STALLS)
    return {address}


def _fill(simulation: Simulation, address: str) -> set[str]:
    simulation.set_disk(address, DiskMode.FULL)
    return {address}


def _fail(simulation: Simulation, address: str) -> set[str]:
    simulation.set_disk(address, DiskMode.FAILS)
    return {address}


CUTS: list[Loss] = [_isolate, _cut_outgoing, _cut_incoming, _cut_link, _cut_link_one_way]
OTHERS: list[Loss] = [_kill, _freeze, _stall, _fill, _fail]
CASES = [
    (machines, place, loss, hold)
    for machines, places in PLACES.items()
    for place in places
    for loss in (*CUTS, *OTHERS)
    for hold in ([False, True] if loss in CUTS else [False])
]
NAMES = [f"{m}-{p}-{loss.__name__[1:]}-{'held' if hold else 'lost'}" for m, p, loss, hold in CASES]


@pytest.mark.parametrize(("machines", "place", "loss", "hold"), CASES, ids=NAMES)
def test_a_change_is_acknowledged_soon_after_a_loss(
    machines: int, place: int, loss: Loss, hold: bool
) -> None:
    simulation = Simulation(seed=place, machines=machines, tolerated=machines // 2)
    simulation.network.holds = hold
    simulation.settle()
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None
    lost = simulation.chain()[place]
    affected = loss(simulation, lost)
    others = [address for address in simulation.machines if address not in affected]
    started = simulation.now
    generation = _change_until_acknowledged(simulation, others)
    assert simulation.now - started <= REPAIR_LIMIT_S
    assert _read_until_answered(simulation, others) == generation
    assert simulation.now - started <= REPAIR_LIMIT_S
    simulation.heal()
    if simulation.machines[lost].replica is None:
        simulation.start(lost)
    simulation.settle()
    assert {_read_until_answered(simulation, [address]) for address in simulation.machines} == {generation}


def _change_until_acknowledged(simulation: Simulation, addresses: list[str]) -> int:
    """Submit one change until it is acknowledged, after each unclear answer at the next machine."""
    for attempt in range(50):
        address = addresses[attempt % len(addresses)]
        answer = simulation.put_and_wait(address, 1, 2, b"second")
        if answer is None:
            return 2
        assert answer in (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR)
        simulation.run(0.05)
    raise AssertionError("never acknowledged")


def _read_until_answered(simulation: Simulation, addresses: list[str]) -> int:
    for attempt in range(50):
        answer = simulation.get_and_wait(addresses[attempt % len(addresses)])
        if answer is not None and answer.committed is not None:
            return answer.committed.generation
        simulation.run(0.05)
    raise AssertionError("never answered")


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_short_restart_changes_no_voter(place: int) -> None:
    simulation = Simulation(seed=3)
    simulation.settle()
    view = simulation.newest_view()
    assert view is not None
    voters = set(view.voters)
    simulation.kill(simulation.chain()[place], restart_after=0.9)
    simulation.run(4.0)
    simulation.settle()
    view = simulation.newest_view()
    assert view is not None
    assert set(view.voters) == voters


@pytest.mark.parametrize("place", [0, 1, 2])
def test_a_very_short_restart_does_not_change_the_view(place: int) -> None:
    simulation = Simulation(seed=4)
    simulation.settle()
    simulation.kill(simulation.chain()[place], restart_after=0.2)
    simulation.run(3.0)
    view = simulation.newest_view()
    assert view is not None
    assert view.number == 1


def test_a_core_without_faults_keeps_its_view() -> None:
    simulation = Simulation(seed=5, machines=5, tolerated=2, seeds=3)
    simulation.settle()
    view = simulation.newest_view()
    simulation.run(20.0)
    assert simulation.newest_view() == view


def test_a_core_with_a_lossy_network_stays_in_service() -> None:
    simulation = Simulation(seed=6)
    simulation.settle()
    simulation.network.loss = 0.05
    simulation.network.duplicated = 0.1
    simulation.network.late = 0.05
    for generation in range(1, 21):
        answer: ErrorCode | None = ErrorCode.NO_QUORUM
        tries = 0
        while answer is not None:
            tries += 1
            assert tries < 5
            document = f"document {generation}".encode()
            answer = simulation.put_and_wait("m2", generation - 1, generation, document)
