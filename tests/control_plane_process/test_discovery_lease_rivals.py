"""Tests with two competing voters while the third is partitioned: one of them soon acquires the lease."""

from __future__ import annotations

import pytest

from reedspoke.control_plane.workers.discovery_lease import (
    RANK_DELAY_S,
    REQUEST_BACKOFF_S,
    REQUEST_TIMEOUT_S,
    DiscoveryLease,
)
from reedspoke.control_plane.workers.lease_voter import LEASE_TTL_S
from tests.control_plane_process.test_discovery_lease import NAMES, STEP_S, Network

FREE_AGAIN_S = LEASE_TTL_S + REQUEST_TIMEOUT_S + REQUEST_BACKOFF_S + len(NAMES) * RANK_DELAY_S + 2 * STEP_S


@pytest.mark.parametrize("first", ["b", "c"])
@pytest.mark.parametrize("steps", range(60))
def test_successive_restarts_delay_the_lease_only_until_the_voters_grant_again(
    first: str, steps: int
) -> None:
    network = Network()
    network.run_until_held()
    network.partitioned.add("a")
    network.run(2.0)
    network.restart(first)
    network.run(steps * STEP_S)
    network.restart("c" if first == "b" else "b")
    network.terms.clear()  # Both have lost their terms. A list of workers would restore the highest one.
    assert network.run_until_held() <= FREE_AGAIN_S


def test_a_term_that_is_too_low_is_raised_immediately() -> None:
    network = Network(fresh_fleet=False)
    network.partitioned.add("a")
    network.leases["c"].observe_term(7)
    network.run(LEASE_TTL_S + REQUEST_TIMEOUT_S + len(NAMES) * RANK_DELAY_S)
    network.leases["b"].observe_term(3)
    assert network.run_until_held() <= FREE_AGAIN_S


@pytest.mark.parametrize("incarnations", range(1, 6))
def test_processes_without_shared_state_use_different_terms(incarnations: int) -> None:
    """After a loss of all processes, terms start again from 1."""
    terms = []
    for identity in (7, 8):
        lease = DiscoveryLease("a", 0.0, fresh_fleet=True, identity=identity)
        lease.set_voters(("a",))
        for incarnation in range(incarnations):
            lease.tick(10.0 * incarnation)
            lease.tick(10.0 * incarnation + 0.01)
            assert lease.is_held(10.0 * incarnation + 0.02)
            terms.append(lease.term)
    assert len(terms) == len(set(terms))
