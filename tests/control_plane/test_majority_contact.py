"""A replica delivers state as current only while a majority of voters has lately confirmed its view."""

from __future__ import annotations

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.events import MessageReceived, ShutdownStarted
from reedspoke.control_plane.replication.log_records import AcceptorRecord
from reedspoke.control_plane.replication.messages import ProposalNumber, ViewConfirmation
from reedspoke.control_plane.replication.settings import MAJORITY_CONTACT_TTL_S
from reedspoke.control_plane.replication.view import Member, View
from reedspoke.control_plane.views.majority_contact import MajorityContact
from tests.control_plane.schedule import Faults, Operator
from tests.control_plane.simulated_parts import DiskMode
from tests.control_plane.simulation import Simulation

STARTED = 100.0
VOTERS = tuple(Member(folder, f"at-{folder}") for folder in ("a", "b", "c"))
SLACK_S = 0.1  # the time of a tick and a message


def contact_with(*confirmations: tuple[str, float], now: float = STARTED + 10.0) -> MajorityContact:
    contact = MajorityContact(STARTED)
    for folder_id, sent in confirmations:
        contact.record_confirmation(folder_id, sent, now)
    contact.update(VOTERS, committed_until=now)
    return contact


def test_one_confirmation_of_three_is_no_majority() -> None:
    contact = contact_with(("a", STARTED + 1.0), ("non-voter", STARTED + 2.0))
    assert contact.majority_as_of is None
    assert not contact.is_valid(STARTED + 1.0)


def test_the_majority_counts_from_the_older_of_two_confirmations() -> None:
    contact = contact_with(("a", STARTED + 1.0), ("b", STARTED + 2.0))
    assert contact.majority_as_of == STARTED + 1.0
    assert contact.is_valid(STARTED + 1.0 + MAJORITY_CONTACT_TTL_S - 0.01)
    assert not contact.is_valid(STARTED + 1.0 + MAJORITY_CONTACT_TTL_S + 0.01)


def test_an_older_confirmation_that_arrives_late_is_ignored() -> None:
    contact = contact_with(("a", STARTED + 3.0), ("b", STARTED + 3.0), ("a", STARTED + 1.0))
    assert contact.majority_as_of == STARTED + 3.0


@pytest.mark.parametrize("sent", [STARTED - 0.1, STARTED + 10.1])
def test_a_confirmation_for_an_earlier_incarnation_is_ignored(sent: float) -> None:
    assert contact_with(("a", sent), ("b", sent)).majority_as_of is None


def test_a_new_view_keeps_the_confirmed_time_and_starts_a_new_count() -> None:
    contact = contact_with(("a", STARTED + 1.0), ("b", STARTED + 1.0))
    contact.enter_view()
    contact.record_confirmation("c", STARTED + 5.0, STARTED + 5.0)
    contact.update(VOTERS, committed_until=STARTED + 5.0)
    assert contact.majority_as_of == STARTED + 1.0


def test_a_configuration_is_not_confirmed_beyond_the_known_commit_time() -> None:
    contact = MajorityContact(STARTED)
    contact.record_confirmation("a", STARTED + 5.0, STARTED + 5.0)
    contact.record_confirmation("b", STARTED + 5.0, STARTED + 5.0)
    contact.update(VOTERS, committed_until=None)
    assert contact.confirmed_as_of is None
    contact.update(VOTERS, committed_until=STARTED + 4.0)
    assert contact.confirmed_as_of == STARTED + 4.0


# ---- a simulated core ----


class Acknowledgement(Struct):
    """A change and when its acknowledgement was first seen."""

    at: float
    generation: int


class ConfirmationChecker:
    """Compares after each step the state that replicas confirm with the acknowledged changes."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._acknowledged = [Acknowledgement(float("-inf"), 0)]
        self.claims = 0

    def run(self, seconds: float) -> None:
        """Let time pass, with a check every 20 ms."""
        end = self._simulation.now + seconds
        while self._simulation.now < end:
            self._simulation.run(min(0.02, end - self._simulation.now))
            self.check()

    def check(self) -> None:
        newest = self._simulation.judge.newest_acknowledged
        for machine in self._simulation.running():
            replica = machine.replica
            assert replica is not None
            clock = machine.clock(self._simulation.now)
            as_of = replica.confirmed_as_of(clock)
            if as_of is None:
                continue
            self.claims += 1
            held = replica.committed.generation if replica.committed else 0
            at_that_time = machine.true_time(as_of)
            wanted = max(each.generation for each in self._acknowledged if each.at < at_that_time)
            assert held >= wanted, f"{machine.address} delivers {held} after {wanted} was acknowledged"
        if newest > self._acknowledged[-1].generation:
            self._acknowledged.append(Acknowledgement(self._simulation.now, newest))


@pytest.mark.parametrize("seed", range(12))
@pytest.mark.parametrize(("machines", "tolerated"), [(3, 1), (5, 2)])
def test_confirmed_state_is_never_older_than_its_time(machines: int, tolerated: int, seed: int) -> None:
    simulation = Simulation(seed=700 + seed, machines=machines, tolerated=tolerated)
    simulation.settle()
    checker = ConfirmationChecker(simulation)
    operator = Operator(simulation)
    faults = Faults(simulation, tolerated)
    for _ in range(60):
        if simulation.random.random() < 0.3:
            faults.act()
        else:
            operator.act()
        checker.run(simulation.random.uniform(0.0, 0.5))
    assert checker.claims > 300


CUTS = [(3, ("m1",)), (3, ("m2",)), (3, ("m3",)), (5, ("m1", "m2")), (5, ("m2", "m5")), (5, ("m4", "m5"))]


@pytest.mark.parametrize(("machines", "cut_off"), CUTS)
def test_a_partitioned_minority_stops_delivering_state(machines: int, cut_off: tuple[str, ...]) -> None:
    simulation = Simulation(seed=5, machines=machines, tolerated=machines // 2)
    simulation.settle()
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None
    simulation.run(1.0)
    _cut_off(simulation, cut_off)
    simulation.run(MAJORITY_CONTACT_TTL_S + SLACK_S)
    for _ in range(100):
        assert [_confirmed(simulation, address) for address in cut_off] == [False] * len(cut_off)
        simulation.run(0.2)
    others = [address for address in simulation.machines if address not in cut_off]
    assert all(_confirmed(simulation, address) for address in others)


@pytest.mark.parametrize(("machines", "cut_off"), CUTS)
def test_the_majority_delivers_again_soon_and_the_minority_after_the_partition(
    machines: int, cut_off: tuple[str, ...]
) -> None:
    simulation = Simulation(seed=6, machines=machines, tolerated=machines // 2)
    simulation.settle()
    _cut_off(simulation, cut_off)
    others = [address for address in simulation.machines if address not in cut_off]
    simulation.run(0.3)
    assert simulation.run_until(lambda: all(_confirmed(simulation, other) for other in others), 1.7)
    simulation.run(18.0)
    simulation.heal()
    assert simulation.run_until(
        lambda: all(_confirmed(simulation, each) for each in simulation.machines), 4.0
    )


def test_a_replica_that_was_frozen_delivers_nothing_when_it_continues() -> None:
    simulation = Simulation(seed=8)
    simulation.settle()
    simulation.run(1.0)
    assert _confirmed(simulation, "m2")
    simulation.freeze("m2")
    simulation.run(MAJORITY_CONTACT_TTL_S + SLACK_S)
    assert not _confirmed(simulation, "m2"), "before it has handled any event"
    simulation.thaw("m2")
    assert simulation.run_until(lambda: _confirmed(simulation, "m2"), 4.0)


def test_a_voter_that_has_accepted_a_next_view_confirms_no_view() -> None:
    simulation = Simulation(seed=9)
    simulation.settle()
    simulation.run(1.0)
    agreement = simulation.replica("m2")._agreement
    view = simulation.newest_view()
    assert view is not None
    assert agreement.may_confirm_view(view.number)
    assert not agreement.may_confirm_view(view.number - 1)
    assert not agreement.may_confirm_view(view.number + 1)
    proposal_number = ProposalNumber(1, "proposer")
    following = View(view.number + 1, view.voters, view.chain)
    agreement._acceptor._states[following.number] = AcceptorRecord(following.number, proposal_number)
    assert agreement.may_confirm_view(view.number), "a promise alone decides nothing"
    accepted = AcceptorRecord(following.number, proposal_number, proposal_number, following)
    agreement._acceptor._states[following.number] = accepted
    assert not agreement.may_confirm_view(view.number), "the next view may have been decided"
    del agreement._acceptor._states[following.number]
    assert agreement.may_confirm_view(view.number)
    agreement._learned = View(view.number + 1, view.voters, view.chain)
    assert not agreement.may_confirm_view(view.number), "the next view is known, though not on disk yet"


def test_a_confirmation_of_another_view_is_ignored() -> None:
    simulation = Simulation(seed=10)
    simulation.settle()
    simulation.isolate("m1")
    simulation.run(2.0)
    replica = simulation.replica("m1")
    view = replica.view
    assert view is not None
    now = simulation.now + simulation.machines["m1"].clock_skew
    for voter in view.voters:
        grant = ViewConfirmation(voter.folder_id, view.number + 1, now)
        replica.handle(now, MessageReceived("elsewhere", grant))
    assert not replica.holds_majority(now)
    for voter in view.voters:
        replica.handle(now, MessageReceived("elsewhere", ViewConfirmation(voter.folder_id, view.number, now)))
    assert replica.holds_majority(now)


def test_a_replica_outside_the_chain_delivers_nothing_despite_majority_contact() -> None:
    simulation = Simulation(seed=11)
    simulation.settle()
    simulation.run(1.0)
    simulation.inject("m3", ShutdownStarted())
    replica = simulation.replica("m3")
    assert simulation.run_until(lambda: not replica.in_chain, 3.0)
    assert replica.holds_majority(simulation.now + simulation.machines["m3"].clock_skew)
    assert not _confirmed(simulation, "m3")


def test_a_replica_that_cannot_store_a_learned_view_delivers_nothing() -> None:
    simulation = Simulation(seed=11)
    simulation.settle()
    simulation.run(1.0)
    simulation.set_disk("m3", DiskMode.FULL)
    assert simulation.put_and_wait("m1", 0, 1, b"first") in (None, ErrorCode.WRITE_UNCLEAR)
    replica = simulation.replica("m3")
    assert simulation.run_until(lambda: replica._agreement.is_behind, 3.0)
    assert replica.holds_majority(simulation.now + simulation.machines["m3"].clock_skew)
    assert not _confirmed(simulation, "m3")


def _cut_off(simulation: Simulation, addresses: tuple[str, ...]) -> None:
    for address in addresses:
        for other in simulation.machines:
            if other not in addresses:
                simulation.cut(address, other)


def _confirmed(simulation: Simulation, address: str) -> bool:
    machine = simulation.machines[address]
    replica = simulation.replica(address)
    return replica.confirmed_as_of(simulation.now + machine.clock_skew) is not None
