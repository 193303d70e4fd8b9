"""The service that carries out evacuation orders, with a stand-in for the tallies."""

from __future__ import annotations

import asyncio
from typing import cast

import pytest

from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.messages import WorkerEntry
from reedspoke.control_plane.evacuation import service as service_module
from reedspoke.control_plane.evacuation.order_log import (
    ZONE_PREFIX,
    folder_owner,
    limit_add,
    limit_tally,
    order_add,
    order_tally,
)
from reedspoke.control_plane.evacuation.service import EvacuationService
from reedspoke.control_plane.tallies.events import OrderNumbers
from reedspoke.control_plane.tallies.messages import TallyAdd
from reedspoke.control_plane.tallies.service import TallyService

OWN, OTHER, THIRD = "f-own", "f-other", "f-third"


def worker(name: str, zone: str) -> WorkerEntry:
    """An entry of the list of workers."""
    return WorkerEntry(name, "u", "a:1", zone, "v1", 8, False)


class FakeTallies:
    """Stands in for the `TallyService` of one of three nodes, with a chosen duration and result of a sync.

    `learned` are adds that the others tell of, `answering` the folders that answer.
    """

    def __init__(self) -> None:
        self.adds: list[TallyAdd] = []
        self.learned: list[TallyAdd] = []
        self.answering = {OWN, OTHER, THIRD}
        self.sync_s = 0.0
        self.sync_error: FleetError | None = None
        self.known = True
        self.folder_id = OWN
        self.in_contact: frozenset[str] | None = frozenset((OWN, OTHER, THIRD))

    @property
    def orders(self) -> list[TallyAdd]:
        """The adds that are orders."""
        return [add for add in self.adds if add.tally.startswith(ZONE_PREFIX)]

    async def synchronize(self) -> OrderNumbers:
        """Return what the nodes have after `sync_s`; or raise `sync_error`."""
        await asyncio.sleep(self.sync_s)
        if self.sync_error is not None:
            raise self.sync_error
        return OrderNumbers(self.order_numbers(), tuple(self.learned), frozenset(self.answering))

    def order_numbers(self) -> tuple[TallyAdd, ...]:
        """The recorded adds."""
        return tuple(self.adds)

    def folders_in_contact(self) -> frozenset[str] | None:
        """The folders in `in_contact`."""
        return self.in_contact

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
    assert service.evacuated_zones() == frozenset({"za"})
    assert service_after(tallies, ("za", False)).evacuated_zones() == frozenset()


def test_numbers_are_reserved_before_an_order_is_logged() -> None:
    """Guards against an order in one log whose number nobody else knows to be in use."""
    tallies = FakeTallies()
    service_after(tallies, ("za", True), ("za", False))
    kinds = [add.tally for add in tallies.adds]
    assert kinds == [limit_tally("za"), order_tally("za"), order_tally("za")]
    limit, first, second = tallies.adds
    assert limit.amount == folder_owner(OWN)
    assert first.add_id < second.add_id < limit.add_id


def test_an_order_gets_a_number_above_those_that_the_others_tell_of() -> None:
    tallies = FakeTallies()
    tallies.learned = [order_add("za", 2**61, evacuated=False)]
    service = service_after(tallies, ("za", True))
    assert tallies.orders[-1].add_id > 2**61
    assert service.evacuated_zones() == frozenset({"za"})


def test_an_order_gets_a_number_above_the_limits_of_those_that_do_not_answer() -> None:
    """Guards against an order in one log that prevails over a later one as its node comes back."""
    tallies = FakeTallies()
    tallies.learned = [limit_add("za", 2**60, folder_owner(THIRD))]
    tallies.answering = {OWN, OTHER}
    service_after(tallies, ("za", True), ("za", True))
    first, second = (add.add_id for add in tallies.orders)
    assert first > tallies.learned[0].add_id
    assert second == first  # the repeated call is satisfied by the first order


def test_numbers_are_reserved_ahead_for_the_zones_of_the_deployment() -> None:
    tallies = FakeTallies()
    tallies.learned = [limit_add("za", 2**40, folder_owner(THIRD))]

    async def run() -> None:
        service = EvacuationService(cast(TallyService, tallies), ("za", "zb"))
        service.tick()
        await asyncio.sleep(0.01)
        assert {add.tally for add in tallies.adds} == {limit_tally("za"), limit_tally("zb")}
        await service.set_evacuated("za", True)
        assert len(tallies.adds) == 3

    asyncio.run(run())


def test_nothing_is_reserved_ahead_while_no_order_can_be_stored() -> None:
    tallies = FakeTallies()
    tallies.in_contact = None

    async def run() -> None:
        EvacuationService(cast(TallyService, tallies), ("za", "zb")).tick()
        await asyncio.sleep(0.01)

    asyncio.run(run())
    assert tallies.adds == []


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
    marked = service.mark_workers(entries)
    assert marked is not None
    assert [entry.draining for entry in marked.workers] == [True, False]
    assert marked.evacuated == ("1",)
    tallies.known = False
    assert service.mark_workers(entries) is None
    assert service.orders() is None


def test_unknown_orders_are_not_told_as_none() -> None:
    tallies = FakeTallies()
    service = service_after(tallies, ("za", False))
    assert service.evacuated_zones() == frozenset()
    tallies.known = False
    assert service.evacuated_zones() is None
