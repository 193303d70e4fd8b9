"""The core of 2DFQ^E fair queueing."""

from __future__ import annotations

from random import Random

import pytest
from msgspec import Struct, field

from reedspoke.decision.fair_queue import ALPHA, FairQueue, finish_tag
from reedspoke.records import Flow


class Client(Struct, eq=False):
    """A minimal client of the queue."""

    phi: float = 1.0
    start: float = 0.0
    out: int = 0
    largest: dict[str, float] = field(default_factory=lambda: {"": 1.0})
    queue: list[int] = field(default_factory=list)


def no_key(_: Client) -> str:
    """The same job key for all clients."""
    return ""


def queue_at(v: float) -> FairQueue:
    """A queue whose virtual time is v."""
    queue = FairQueue(clock_window=1.0, charge_interval=0.01)
    worker = Client(out=2)
    queue.finish_attempt(worker, queue.begin_attempt(worker, ""), v)
    assert queue.advance_clock(1.0, [worker]) == pytest.approx(v)
    return queue


def test_the_smallest_finish_tag_among_the_eligible_goes() -> None:
    queue = queue_at(5.0)
    early = Client(start=4.0, largest={"": 3.0})
    late = Client(start=4.5, largest={"": 1.0})
    assert queue.choose([early, late], no_key, 0.0) is late


def test_a_share_divides_the_finish_tag() -> None:
    assert finish_tag(Client(start=1.0, phi=4.0, largest={"": 2.0}), "") == 1.5


def test_a_client_at_the_clock_is_not_eligible_on_the_first_position() -> None:
    queue = queue_at(5.0)
    at_clock = Client(start=5.0, largest={"": 0.1})
    behind = Client(start=4.9, largest={"": 9.0})
    assert queue.choose([at_clock, behind], no_key, 0.0) is behind


def test_the_stagger_lets_large_jobs_go_early_on_high_positions_only() -> None:
    queue = queue_at(5.0)
    ahead = Client(start=8.0, largest={"": 4.0})
    far = Client(start=4.9, largest={"": 20.0})
    assert queue.choose([ahead, far], no_key, 0.5) is far  # 8 - 2 is not below 5.
    assert queue.choose([ahead, far], no_key, 0.9) is ahead  # 8 - 3.6 is below 5.


def test_the_smallest_finish_tag_goes_where_none_is_eligible() -> None:
    queue = queue_at(5.0)
    near, far = Client(start=6.0, largest={"": 5.0}), Client(start=7.0, largest={"": 1.0})
    assert queue.choose([near, far], no_key, 0.0) is far


def test_choosing_among_none_is_an_error() -> None:
    with pytest.raises(ValueError, match="empty"):
        queue_at(1.0).choose([], no_key, 0.0)


def test_the_estimate_is_pessimistic() -> None:
    queue, client = FairQueue(1.0, 0.01), Client(largest={"": 10.0})
    queue.finish_attempt(client, queue.begin_attempt(client, ""), 2.0)
    assert client.largest[""] == pytest.approx(ALPHA * 10.0)
    queue.finish_attempt(client, queue.begin_attempt(client, ""), 30.0)
    assert client.largest[""] == 30.0


def test_an_attempt_that_did_not_run_to_its_end_does_not_update_the_estimate() -> None:
    queue, client = FairQueue(1.0, 0.01), Client(largest={"": 10.0})
    queue.finish_attempt(client, queue.begin_attempt(client, ""), 30.0, learn=False)
    assert client.largest[""] == 10.0
    assert client.start == 30.0


@pytest.mark.parametrize(("cost", "phi"), [(3.0, 1.0), (0.5, 2.0), (40.0, 0.25)])
def test_in_the_end_a_client_has_paid_the_true_cost(cost: float, phi: float) -> None:
    queue, client = FairQueue(1.0, 0.01), Client(phi=phi, start=7.0, largest={"": 10.0})
    charge = queue.begin_attempt(client, "")
    assert client.start == pytest.approx(7.0 + 10.0 / phi)
    queue.charge_running(client, charge, cost / 2)
    queue.finish_attempt(client, charge, cost)
    assert client.start == pytest.approx(7.0 + cost / phi)
    assert client.out == 0


def test_a_running_job_pays_only_for_what_exceeds_its_estimate() -> None:
    queue, client = FairQueue(1.0, 0.01), Client(largest={"": 10.0})
    charge = queue.begin_attempt(client, "")
    queue.charge_running(client, charge, 4.0)
    assert client.start == 10.0
    queue.charge_running(client, charge, 14.0)
    assert client.start == 14.0


def test_a_reversal_refunds_all_charges_even_if_the_share_has_changed() -> None:
    queue, client = FairQueue(1.0, 0.01), Client(start=3.0, largest={"": 10.0})
    charge = queue.begin_attempt(client, "")
    client.phi = 4.0
    queue.charge_running(client, charge, 25.0)
    client.phi = 0.5
    queue.reverse_attempt(client, charge)
    assert client.start == pytest.approx(3.0, abs=1e-12)
    assert client.out == 0


def test_running_jobs_are_charged_once_in_an_interval() -> None:
    queue = FairQueue(1.0, 0.01)
    due = [queue.charge_due(step / 1000) for step in range(100, 130)]
    assert due.count(True) == 3


def test_an_idle_client_does_not_catch_up() -> None:
    queue = queue_at(50.0)
    client, credited = Client(start=1.0), Client(start=1.0)
    queue.activate(client, "")
    queue.activate(credited, "", credit_jobs=3)
    assert (client.start, credited.start) == (50.0, 47.0)
    ahead = Client(start=60.0)
    queue.activate(ahead, "", credit_jobs=3)
    assert ahead.start == 60.0


def test_a_client_with_work_or_without_full_credit_is_not_dropped() -> None:
    queue = queue_at(50.0)
    assert queue.can_drop(Client(start=49.5))
    assert queue.can_drop(Client(start=46.5), credit_jobs=3)
    assert not queue.can_drop(Client(start=49.5), credit_jobs=3)
    assert not queue.can_drop(Client(start=50.5))
    assert not queue.can_drop(Client(start=1.0, out=1))
    assert not queue.can_drop(Client(start=1.0, queue=[1]))


def test_the_virtual_time_stops_while_no_client_is_active_and_never_decreases() -> None:
    queue, client = FairQueue(1.0, 0.01), Client(out=2)
    queue.finish_attempt(client, queue.begin_attempt(client, ""), 8.0)
    client.out = 0
    assert queue.advance_clock(0.1, [client]) == 0.0
    client.out = 1
    values = [queue.advance_clock(at, [client]) for at in (0.2, 0.1, 0.3, 0.4)]
    assert values == sorted(values)
    assert values[0] > 0


def test_a_flow_of_the_single_scheduler_is_a_client_of_the_queue() -> None:
    queue, flow = FairQueue(2_000_000, 10_000), Flow(1.0, largest={"api": 500.0})
    charge = queue.begin_attempt(flow, "api")
    queue.finish_attempt(flow, charge, 700.0)
    assert (flow.start, flow.largest["api"]) == (700.0, 700.0)


@pytest.mark.parametrize("seed", range(5))
def test_backlogged_clients_get_work_by_their_shares(seed: int) -> None:
    """With large and small jobs on several positions, the work done follows the shares."""
    random, queue = Random(seed), FairQueue(clock_window=50.0, charge_interval=0.01)
    clients = [Client(phi=phi, largest={"": size}, queue=[1]) for phi, size in ((1, 1), (1, 20), (2, 5))]
    work, positions, now = {id(client): 0.0 for client in clients}, 8, 0.0
    running: list[tuple[float, int, Client, object, float]] = []
    for turn in range(6000):
        queue.advance_clock(now, clients)
        if len(running) < positions:
            client = queue.choose(clients, no_key, len(running) / positions)
            cost = random.uniform(0.3, 1.0) * (1.0, 20.0, 5.0)[clients.index(client)]
            running.append((now + cost, turn, client, queue.begin_attempt(client, ""), cost))
            continue
        running.sort(key=lambda job: job[0])
        now, _, client, charge, cost = running.pop(0)
        queue.advance_clock(now, clients)
        queue.finish_attempt(client, charge, cost)  # type: ignore[arg-type]
        work[id(client)] += cost
    one, two, double = (work[id(client)] for client in clients)
    assert one == pytest.approx(two, rel=0.15)
    assert double == pytest.approx(2 * one, rel=0.15)
