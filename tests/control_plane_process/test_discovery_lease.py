"""Tests of the discovery lease in virtual time: at most one holder, and a new one soon after a loss."""

from __future__ import annotations

import pytest

from reedspoke.control_plane.peers.messages import (
    DiscoveryLeaseRelease,
    DiscoveryLeaseRequest,
    DiscoveryLeaseResponse,
)
from reedspoke.control_plane.workers.discovery_lease import (
    RENEW_INTERVAL_S,
    REQUEST_TIMEOUT_S,
    STEP_DOWN_BACKOFF_S,
    DiscoveryLease,
    OutgoingMessage,
)
from reedspoke.control_plane.workers.lease_voter import LEASE_TTL_S

STEP_S = 0.05
TRANSIT_S = 0.02
NAMES = ("a", "b", "c")


class Network:
    """Voters whose messages take TRANSIT_S, with partitioned and suspended processes."""

    def __init__(self, names: tuple[str, ...] = NAMES, *, fresh_fleet: bool = True) -> None:
        self.now = 100.0
        self.names = names
        self.fresh_fleet = fresh_fleet
        self.leases = {name: self.start(name) for name in names}
        self.in_transit: list[tuple[float, str, OutgoingMessage]] = []
        self.partitioned: set[str] = set()
        self.suspended: set[str] = set()
        self.terms: dict[int, str] = {}
        self.sent = 0
        self.drop: set[int] = set()

    def start(self, name: str) -> DiscoveryLease:
        """Start the process of a voter."""
        lease = DiscoveryLease(name, self.now, fresh_fleet=self.fresh_fleet)
        lease.set_voters(self.names)
        return lease

    def restart(self, name: str) -> None:
        """Restart the process of a voter, which loses its grants."""
        self.fresh_fleet = False
        self.leases[name] = self.start(name)

    def send(self, sender: str, messages: list[OutgoingMessage]) -> None:
        """Queue messages for delivery, except dropped ones."""
        for outgoing in messages:
            self.sent += 1
            if self.sent not in self.drop:
                self.in_transit.append((self.now + TRANSIT_S, sender, outgoing))

    def deliver(self) -> None:
        """Deliver the messages that are due, except over a partition."""
        due = [item for item in self.in_transit if item[0] <= self.now]
        self.in_transit = [item for item in self.in_transit if item[0] > self.now]
        for item in due:
            _, sender, outgoing = item
            if outgoing.address in self.suspended:
                self.in_transit.append(item)
            elif sender not in self.partitioned and outgoing.address not in self.partitioned:
                target = self.leases[outgoing.address]
                self.send(outgoing.address, target.handle_message(sender, outgoing.message, self.now))

    def step(self) -> None:
        """Advance the time by STEP_S, deliver messages and tick all running voters."""
        for _ in range(5):
            self.now += STEP_S / 5
            self.deliver()
            self.check()
        for name, lease in self.leases.items():
            if name not in self.suspended:
                self.send(name, lease.tick(self.now))
        self.check()

    def run(self, seconds: float) -> None:
        """Advance the time by these seconds."""
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def holders(self) -> list[str]:
        """Return the names of the voters that hold the lease."""
        return [name for name, lease in self.leases.items() if lease.is_held(self.now)]

    def check(self) -> None:
        """Check that there is at most one holder, and that each term has one holder."""
        holders = self.holders()
        assert len(holders) <= 1
        for name in holders:
            assert self.terms.setdefault(self.leases[name].term, name) == name

    def run_until_held(self, by: str | None = None, within: float = 5.0) -> float:
        """Advance the time until the lease is held, and return the elapsed seconds."""
        began = self.now
        while not self.holders() or by not in (None, *self.holders()):
            assert self.now - began < within
            self.step()
        return self.now - began


def test_the_first_voter_acquires_the_lease_in_a_fresh_fleet_and_keeps_it() -> None:
    network = Network()
    assert network.run_until_held() <= 0.2
    assert network.holders() == ["a"]
    term = network.leases["a"].term
    for _ in range(200):
        network.step()
        assert network.holders() == ["a"]
    assert network.leases["a"].term == term


def test_restarted_voters_grant_nothing_for_the_duration_of_a_lease() -> None:
    network = Network(fresh_fleet=False)
    assert LEASE_TTL_S <= network.run_until_held() <= LEASE_TTL_S + 3 * STEP_S


def test_a_single_voter_acquires_the_lease() -> None:
    network = Network(("a",))
    assert network.run_until_held() <= 0.1


@pytest.mark.parametrize("steps", range(30))
def test_another_voter_takes_over_from_a_holder_killed_at_any_time(steps: int) -> None:
    network = Network()
    network.run_until_held()
    for _ in range(steps):
        network.step()
    network.suspended.add("a")
    network.restart("a")
    assert network.run_until_held(within=LEASE_TTL_S + 0.5) <= LEASE_TTL_S + 0.5
    assert network.holders() == ["b"]


@pytest.mark.parametrize("steps", range(0, 30, 3))
def test_a_suspended_holder_does_not_hold_the_lease_when_it_resumes(steps: int) -> None:
    network = Network()
    network.run_until_held()
    for _ in range(steps):
        network.step()
    network.suspended.add("a")
    network.run(2.0)
    assert network.holders() == ["b"]
    network.suspended.clear()
    network.run(2.0)
    assert network.holders() == ["b"]


@pytest.mark.parametrize("steps", range(0, 30, 3))
def test_a_partitioned_holder_stops_before_another_begins(steps: int) -> None:
    network = Network()
    network.run_until_held()
    for _ in range(steps):
        network.step()
    network.partitioned.add("a")
    network.run(2.0)
    assert network.holders() == ["b"]
    network.partitioned.clear()
    network.run(2.0)
    assert network.holders() == ["b"]


@pytest.mark.parametrize("lost", range(1, 60))
def test_a_lost_message_leaves_one_holder(lost: int) -> None:
    network = Network()
    network.drop.add(lost)
    network.run(2.0)
    assert len(network.holders()) == 1


@pytest.mark.parametrize("lost", range(1, 40))
def test_two_lost_messages_in_a_row_leave_one_holder(lost: int) -> None:
    network = Network()
    network.drop |= {lost, lost + 1}
    network.run(3.0)
    assert len(network.holders()) == 1


def test_no_lease_without_a_majority() -> None:
    network = Network()
    network.run_until_held()
    network.partitioned |= {"b", "c"}
    network.run(LEASE_TTL_S + 1)
    assert network.holders() == []


def test_a_holder_that_steps_down_can_acquire_the_lease_again_later() -> None:
    network = Network()
    network.run_until_held()
    network.send("a", network.leases["a"].step_down(network.now))
    assert network.run_until_held() <= 0.4
    assert network.holders() == ["b"]
    network.run(STEP_DOWN_BACKOFF_S)
    assert network.holders() == ["b"]
    network.suspended.add("b")
    network.run(LEASE_TTL_S)
    assert network.run_until_held() <= 0.4
    assert network.holders() == ["a"]


def test_a_process_that_shuts_down_never_requests_the_lease_again() -> None:
    network = Network()
    network.run_until_held()
    network.send("a", network.leases["a"].shut_down())
    assert network.run_until_held() <= 0.4
    network.suspended |= {"b"}
    network.run(4.0)
    assert network.holders() == ["c"]


def test_the_term_exceeds_terms_known_to_other_processes() -> None:
    network = Network()
    for lease in network.leases.values():
        lease.observe_term(7)
    network.run_until_held()
    assert network.leases["a"].term >= 7
    network.leases["a"].require_term_above(40, network.now)
    network.run(0.2)
    assert network.holders() == ["a"]
    assert network.leases["a"].term > 40


def test_a_holder_that_observes_a_higher_term_stops_immediately() -> None:
    network = Network()
    network.run_until_held()
    network.run(1.0)
    fenced = network.leases["a"].term
    network.leases["a"].observe_term(fenced + 40)
    assert network.holders() == []
    assert network.run_until_held(by="a") <= 3 * STEP_S
    assert network.leases["a"].term > fenced + 40


def test_the_own_term_and_lower_ones_do_not_end_a_lease() -> None:
    network = Network()
    network.run_until_held()
    term = network.leases["a"].term
    for seen in (term, term - 1, 0):
        network.leases["a"].observe_term(seen)
        assert network.holders() == ["a"]


@pytest.mark.parametrize("how", ["suspended", "partitioned"])
def test_a_former_holder_that_observes_a_later_term_never_reuses_its_own(how: str) -> None:
    """The former holder was suspended or partitioned while another process acquired the lease."""
    network = Network()
    network.run_until_held()
    old = network.leases["a"].term
    getattr(network, how).add("a")
    network.run(3.0)
    (later,) = network.holders()
    getattr(network, how).clear()
    network.leases["a"].observe_term(network.leases[later].term)
    assert not network.leases["a"].is_held(network.now)
    before = set(network.terms)
    network.suspended.add(later)
    network.run(2.0)
    network.run_until_held()
    assert min(set(network.terms) - before) > network.leases[later].term > old


def test_a_new_holder_has_a_higher_term() -> None:
    network = Network()
    network.run_until_held()
    first = network.leases["a"].term
    network.suspended.add("a")
    network.run(2.0)
    assert network.leases["b"].term > first


def test_the_lease_is_renewed_no_more_often_than_needed() -> None:
    network = Network()
    network.run_until_held()
    before = network.sent
    network.run(10.0)
    requests_and_answers = 4
    assert network.sent - before <= requests_and_answers * (10.0 / RENEW_INTERVAL_S + 1)


def test_a_change_of_voters_leaves_one_holder() -> None:
    network = Network(("a", "b", "c", "d"))
    for lease in network.leases.values():
        lease.set_voters(("a", "b", "c"))
    network.run_until_held()
    for lease in network.leases.values():
        lease.set_voters(("d", "b", "c"))
    network.run(3.0)
    assert network.holders() == ["d"]


def test_a_process_that_is_not_a_voter_never_requests_the_lease() -> None:
    lease = DiscoveryLease("x", 0.0, fresh_fleet=True)
    lease.set_voters(NAMES)
    assert lease.tick(1.0) == []


def test_responses_after_a_request_has_timed_out_are_ignored() -> None:
    lease = DiscoveryLease("a", 0.0, fresh_fleet=True)
    lease.set_voters(NAMES)
    requests = lease.tick(0.0)
    assert [outgoing.address for outgoing in requests] == ["b", "c"]
    request = requests[0].message
    assert isinstance(request, DiscoveryLeaseRequest)
    released = lease.tick(REQUEST_TIMEOUT_S + 0.01)
    assert all(isinstance(outgoing.message, DiscoveryLeaseRelease) for outgoing in released)
    lease.handle_message(
        "b", DiscoveryLeaseResponse(request.term, True, request.term), REQUEST_TIMEOUT_S + 0.02
    )
    assert not lease.is_held(REQUEST_TIMEOUT_S + 0.02)
