"""Evacuation orders: numbers, quorums, and the list of workers that is published."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.messages import WorkerEntry
from reedspoke.control_plane.evacuation import service as service_module
from reedspoke.control_plane.evacuation.order_log import (
    EVACUATED,
    RESERVATION_PREFIX,
    TAG_BITS,
    WITHDRAWN,
    ZONE_PREFIX,
    drain_zones,
    evacuated_zones,
    highest_number,
    is_evacuated,
    next_number,
    order_add,
    order_tally,
    reservation_add,
    reservation_tally,
)
from reedspoke.control_plane.evacuation.service import EvacuationService
from reedspoke.control_plane.tallies.events import SyncSubmitted
from reedspoke.control_plane.tallies.messages import TallyAdd, TallyEntries
from reedspoke.control_plane.tallies.records import RecoveredRecord, encode_record
from reedspoke.control_plane.tallies.service import TallyService
from reedspoke.control_plane.tallies.settings import CONTACT_TIMEOUT_S
from tests.control_plane.tallies.replica_steps import OWN, PEERS, Steps

ZONE = "zone-a"
RECOVERED = (encode_record(RecoveredRecord()),)
WAITING = "waiting"
CALL = 999


def recovered_steps() -> Steps:
    """A recovered replica that is in contact with all its peers."""
    made = Steps(records=RECOVERED)
    made.in_contact(*PEERS)
    return made


def synchronize(steps: Steps) -> object:
    """Begin a sync and return its outcome so far."""
    steps.handle(SyncSubmitted(CALL))
    return steps.answers.get(CALL, WAITING)


# ---- numbers ----


tags = st.integers(0, 2**TAG_BITS - 1)


@given(st.lists(st.tuples(st.booleans(), tags), max_size=20))
def test_the_newest_order_has_the_effect_of_the_last_one(orders: list[tuple[bool, int]]) -> None:
    newest: TallyAdd | None = None
    for evacuated, tag in orders:
        order = order_add(ZONE, next_number(highest_number([newest]), tag), evacuated)
        assert newest is None or order.add_id > newest.add_id
        newest = order
        assert is_evacuated(newest) == evacuated
        assert evacuated_zones([newest]) == ({ZONE} if evacuated else set())


@given(st.integers(0, 2**40), tags, st.integers(1, 2**TAG_BITS - 1))
def test_a_number_is_above_many_orders_of_a_version_without_reservations(
    highest: int, tag: int, orders: int
) -> None:
    """Such a version adds 1 for each order, and a log of its may hold some that nobody was told of."""
    counter_step = 2**TAG_BITS
    start_of_counter = highest // counter_step * counter_step
    assert next_number(highest, tag) >= start_of_counter + counter_step > highest
    assert next_number(start_of_counter, tag) > start_of_counter + orders


def test_concurrent_orders_have_different_numbers() -> None:
    assert next_number(7, tag=1) != next_number(7, tag=2)


def test_a_reservation_is_no_order_on_any_zone() -> None:
    """Versions without reservations take each tally with the prefix of orders for a zone."""
    assert not RESERVATION_PREFIX.startswith(ZONE_PREFIX)
    assert reservation_add(ZONE, 5) == TallyAdd(reservation_tally(ZONE), 5, 0)
    assert highest_number([order_add(ZONE, 4, True), reservation_add(ZONE, 5), None]) == 5
    assert highest_number([None]) == 0


def test_of_two_orders_with_one_number_the_evacuation_prevails() -> None:
    assert EVACUATED < WITHDRAWN


def worker(name: str, zone: str) -> WorkerEntry:
    """An entry of the list of workers."""
    return WorkerEntry(name, "u", "a:1", zone, "v1", 8, False)


def test_the_workers_of_evacuated_zones_drain() -> None:
    orders = [TallyAdd(order_tally("za"), 3, EVACUATED), TallyAdd(order_tally("zb"), 4, WITHDRAWN)]
    zones = evacuated_zones(orders)
    assert zones == {"za"}
    entries = (worker("1", "za"), worker("2", "zb"))
    assert [entry.draining for entry in drain_zones(entries, zones)] == [True, False]
    assert drain_zones(entries, frozenset()) is entries


# ---- quorums ----


def test_a_sync_waits_for_a_quorum_that_has_answered_since() -> None:
    steps = recovered_steps()
    steps.tick(0.01)
    assert synchronize(steps) == WAITING
    steps.digest("p1", {})
    assert steps.answers.get(CALL, WAITING) == WAITING
    steps.digest("p2", {})
    assert steps.answers[CALL] is None


def test_a_sync_waits_until_the_adds_of_the_quorum_are_stored() -> None:
    steps = recovered_steps()
    steps.tick(0.01)
    synchronize(steps)
    for peer in ("p1", "p2"):
        steps.digest(peer, {"f-p1": 1})
    assert steps.answers.get(CALL, WAITING) == WAITING
    steps.receive("p1", TallyEntries("f-p1", 1, (TallyAdd(order_tally(ZONE), 1, EVACUATED),)))
    steps.stored()
    assert steps.answers[CALL] is None
    assert is_evacuated(steps.replica.newest(order_tally(ZONE)))
    assert len(steps.replica.newest_by_prefix("/evacuation/")) == 1


def test_a_node_that_lost_its_disk_counts_in_no_quorum() -> None:
    steps = recovered_steps()
    steps.tick(0.01)
    synchronize(steps)
    for peer in PEERS:
        steps.digest(peer, {}, recovered=False)
    assert steps.answers.get(CALL, WAITING) == WAITING
    steps.digest("p1", {})
    steps.digest("p2", {})
    assert steps.answers[CALL] is None


def test_a_later_folder_recovers_from_a_quorum_and_stores_that() -> None:
    steps = Steps(created=True)
    steps.in_contact(*PEERS[:3], vector={"f-p1": 1})
    steps.tick(0.05)
    assert not steps.replica.metric_values(steps.now)["recovered"]
    steps.receive("p1", TallyEntries("f-p1", 1, (TallyAdd("t", 1, 1),)))
    steps.stored()
    steps.tick(0.05)
    steps.stored()
    assert steps.replica.metric_values(steps.now)["recovered"]
    restored = Steps(records=tuple(steps.records))
    assert restored.replica.metric_values(restored.now)["recovered"]


@pytest.mark.parametrize("lost_disk", [True, False])
def test_a_restarted_node_knows_all_orders_once_it_has_met_the_others(lost_disk: bool) -> None:
    """Guards against a list of workers by the orders of one disk, some of which do not prevail."""
    steps = Steps(created=True) if lost_disk else Steps(records=RECOVERED)
    assert not steps.replica.has_all_acknowledged()
    order = order_add(ZONE, next_number(0, 1), evacuated=True)
    steps.in_contact(*PEERS, vector={"f-p1": 1})
    steps.tick(0.05)
    assert not steps.replica.has_all_acknowledged()
    steps.receive("p1", TallyEntries("f-p1", 1, (order,)))
    steps.stored()
    steps.tick(0.05)
    assert steps.replica.has_all_acknowledged()
    assert is_evacuated(steps.replica.newest(order_tally(ZONE)))


def test_a_restarted_node_that_started_first_knows_all_orders_once_it_has_met_a_quorum() -> None:
    """Guards against a list by the orders of one disk that is made before the others are up."""
    steps = Steps(records=RECOVERED)
    steps.tick(CONTACT_TIMEOUT_S + 0.1)
    assert steps.replica.metric_values(steps.now)["caught_up"]
    steps.in_contact("p1")
    steps.tick(0.05)
    assert not steps.replica.has_all_acknowledged()
    steps.in_contact("p2", vector={"f-p2": 1})
    steps.tick(0.05)
    assert not steps.replica.has_all_acknowledged()
    steps.receive("p2", TallyEntries("f-p2", 1, (order_add(ZONE, next_number(0, 1), evacuated=True),)))
    steps.stored()
    steps.tick(0.05)
    assert steps.replica.has_all_acknowledged()


def test_at_the_first_start_of_a_fleet_there_are_no_orders_to_get() -> None:
    assert Steps(created=True, bootstrap=True).replica.has_all_acknowledged()


def test_a_sync_fails_with_too_few_reachable_nodes() -> None:
    steps = Steps(records=RECOVERED)
    for _ in range(10):
        steps.tick(0.2)
        steps.digest("p1", {})
    assert synchronize(steps) is ErrorCode.NO_QUORUM


def test_an_order_is_never_acknowledged_on_fewer_disks() -> None:
    steps = recovered_steps()
    call = steps.add(1, EVACUATED, tally=order_tally(ZONE))
    steps.stored()
    for _ in range(8):
        steps.tick(0.2)
        steps.digest("p1", {OWN: 1})
    assert steps.answers.get(call, WAITING) == WAITING
    steps.digest("p2", {OWN: 1})
    assert steps.answers[call] is None


def test_an_order_is_accepted_when_the_limit_of_ids_is_reached() -> None:
    steps = Steps(records=RECOVERED, max_ids=0)
    steps.in_contact(*PEERS)
    assert steps.answers.get(steps.add(1), WAITING) is ErrorCode.TALLIES_FULL
    steps.add(1, EVACUATED, tally=order_tally(ZONE))
    assert len(steps.stores) == 1


# ---- the service ----


class FakeTallies:
    """Stands in for `TallyService`, with a chosen duration of a sync."""

    def __init__(self) -> None:
        self.adds: list[TallyAdd] = []
        self.learned: list[TallyAdd] = []
        self.sync_s = 0.0
        self.sync_error: FleetError | None = None
        self.known = True

    @property
    def orders(self) -> list[TallyAdd]:
        """The adds that are orders."""
        return [add for add in self.adds if add.tally.startswith(ZONE_PREFIX)]

    async def synchronize(self) -> None:
        """Return after `sync_s`, with one of the adds in `learned`; or raise `sync_error`."""
        await asyncio.sleep(self.sync_s)
        if self.sync_error is not None:
            raise self.sync_error
        if self.learned:
            self.adds.append(self.learned.pop())

    async def add(self, add: TallyAdd) -> None:
        """Record an add."""
        self.adds.append(add)

    def newest(self, tally: str) -> TallyAdd | None:
        """The recorded add with the highest id."""
        return max((add for add in self.adds if add.tally == tally), key=lambda add: add.add_id, default=None)

    def newest_by_prefix(self, prefix: str) -> list[TallyAdd]:
        """The newest recorded add of each tally."""
        found = {add.tally: self.newest(add.tally) for add in self.adds if add.tally.startswith(prefix)}
        return [add for add in found.values() if add is not None]

    def has_all_acknowledged(self) -> bool:
        """The value of `known`."""
        return self.known


def service_after(tallies: FakeTallies, *orders: tuple[str, bool]) -> EvacuationService:
    """A service that has carried out these orders."""

    async def run() -> EvacuationService:
        service = EvacuationService(cast(TallyService, tallies), ("za", "zb"))
        for zone, evacuated in orders:
            await service.set_evacuated(zone, evacuated)
        return service

    return asyncio.run(run())


def test_orders_and_repeated_orders() -> None:
    tallies = FakeTallies()
    service = service_after(tallies, ("za", True), ("za", True), ("zb", False))
    assert service.evacuated_zones() == {"za"}
    assert service_after(tallies, ("za", False)).evacuated_zones() == frozenset()


@pytest.mark.parametrize("evacuated", [True, False])
def test_each_order_is_logged_under_a_number_of_its_own(evacuated: bool) -> None:
    """Guards against an answer for an order that has no number: an earlier one in one log would prevail."""
    tallies = FakeTallies()
    service_after(tallies, ("za", evacuated), ("za", evacuated), ("za", evacuated))
    numbers = [add.add_id for add in tallies.orders]
    assert len(numbers) == 3
    assert numbers == sorted(set(numbers))
    assert {is_evacuated(add) for add in tallies.orders} == {evacuated}


def test_the_number_of_an_order_is_reserved_before_it_is_logged() -> None:
    tallies = FakeTallies()
    service_after(tallies, ("za", True), ("za", False))
    kinds = [add.tally for add in tallies.adds]
    assert kinds == [reservation_tally("za"), order_tally("za")] * 2
    assert tallies.adds[0].add_id == tallies.adds[1].add_id


def test_another_number_is_reserved_if_others_are_learned_meanwhile() -> None:
    tallies = FakeTallies()
    tallies.learned = [reservation_add("za", 2**60), order_add("za", 2**61, evacuated=False)]
    service = service_after(tallies, ("za", True))
    assert tallies.orders[-1].add_id > 2**61
    assert service.evacuated_zones() == {"za"}


def test_an_order_without_a_quorum_is_not_logged() -> None:
    tallies = FakeTallies()
    tallies.sync_error = FleetError(ErrorCode.NO_QUORUM, "too few")
    with pytest.raises(FleetError) as raised:
        service_after(tallies, ("za", True))
    assert raised.value.code is ErrorCode.NO_QUORUM
    assert tallies.orders == []


def test_an_unknown_zone_is_rejected() -> None:
    with pytest.raises(FleetError) as raised:
        service_after(FakeTallies(), ("zx", True))
    assert raised.value.code is ErrorCode.UNKNOWN_ZONE


def test_an_order_that_waited_too_long_gets_no_number(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(service_module, "ORDER_NUMBER_TIMEOUT_S", 0.0)
    tallies = FakeTallies()
    tallies.sync_s = 0.02
    with pytest.raises(FleetError):
        service_after(tallies, ("za", True))
    assert tallies.orders == []


@pytest.mark.parametrize("evacuated", [True, False])
def test_an_order_whose_caller_is_gone_is_not_logged(evacuated: bool) -> None:
    """Guards against an order that a paused process carries out after a later one of the same caller."""
    tallies = FakeTallies()

    async def run() -> None:
        service = EvacuationService(cast(TallyService, tallies), ("za",))
        await service.set_evacuated("za", evacuated, is_abandoned=lambda: bool(tallies.adds))

    with pytest.raises(FleetError) as raised:
        asyncio.run(run())
    assert raised.value.code is ErrorCode.CALLER_GONE
    assert tallies.orders == []


def test_no_list_is_published_while_the_orders_are_unknown() -> None:
    tallies = FakeTallies()
    service = service_after(tallies, ("za", True))
    entries = (worker("1", "za"), worker("2", "zb"))
    marked = service.adjust_workers(entries)
    assert marked is not None
    assert [entry.draining for entry in marked] == [True, False]
    tallies.known = False
    assert service.adjust_workers(entries) is None
