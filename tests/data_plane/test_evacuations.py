"""Orders of operators on zones, as a data plane node applies them to its list of workers."""

from __future__ import annotations

import itertools

from reedspoke.common.messages import (
    EvacuationOrders,
    Version,
    WorkerEntry,
    WorkerList,
    ZoneOrder,
)
from reedspoke.common.worker_lists import mark_evacuated
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.evacuations import Evacuations
from reedspoke.data_plane.subscription import StateListener, Subscription

WORKERS = (
    WorkerEntry("a", "u", "a:1", "za", "v1", 8, False),
    WorkerEntry("b", "u", "a:2", "zb", "v1", 8, False),
    WorkerEntry("d", "u", "a:3", "za", "v1", 8, True),  # drained by the platform
)
ALL_UP = {"a": False, "b": False, "d": True}
ZONE_DOWN = {"a": True, "b": False, "d": True}


class Received:
    """A subscription, and whether each worker drains by the lists that it passed on."""

    def __init__(self) -> None:
        self.lists: list[dict[str, bool]] = []
        self.changes = 0
        listener = StateListener(
            on_configuration=lambda configuration, version: None,
            on_workers=self._record,
            on_members=lambda members: None,
            on_peer_load=lambda load: None,
            on_peer_suspects=lambda suspects: None,
            on_evacuations=self._changed,
        )
        self._subscription = Subscription(listener, Confirmation(2.0, started=0.0))
        self._versions = itertools.count(1)

    def _record(self, workers: WorkerList) -> None:
        self.lists.append({worker.instance_id: worker.draining for worker in workers.workers})

    def _changed(self, workers: WorkerList) -> None:
        self.changes += 1
        self._record(workers)

    def workers(self, count: int, *applied: ZoneOrder) -> None:
        """Receive the list, marked by these orders."""
        marked = mark_evacuated(WORKERS, applied)
        message = WorkerList((1, count), marked.workers, marked.evacuated, marked.orders)
        assert self._subscription.apply(message)

    def earlier_workers(self, count: int, *applied: ZoneOrder) -> None:
        """Receive the list from a node of the version before, marked by these orders."""
        self._subscription.apply(WorkerList((1, count), mark_evacuated(WORKERS, applied).workers))

    def orders(self, *orders: ZoneOrder) -> None:
        """Receive these orders from a control plane node."""
        version: Version = (1, next(self._versions))
        self._subscription.apply(EvacuationOrders(version, orders))


def evacuation(number: int) -> ZoneOrder:
    """An evacuation of the zone za."""
    return ZoneOrder("za", number, True)


def withdrawal(number: int) -> ZoneOrder:
    """A withdrawal of its evacuation."""
    return ZoneOrder("za", number, False)


def test_an_order_is_obeyed_without_another_list() -> None:
    """Guards against requests to an evacuated zone while nobody can publish a list of workers."""
    received = Received()
    received.workers(1)
    received.orders(evacuation(5))
    assert received.lists == [ALL_UP, ZONE_DOWN]
    received.orders(withdrawal(6))
    assert received.lists[2:] == [ALL_UP]
    assert received.changes == 2


def test_an_order_that_came_before_the_first_list_is_obeyed() -> None:
    received = Received()
    received.orders(evacuation(5))
    assert received.lists == []
    received.workers(1)
    assert received.lists == [ZONE_DOWN]


def test_a_withdrawal_frees_a_zone_whose_workers_the_list_marks() -> None:
    """But not a worker that the platform drains itself."""
    received = Received()
    received.workers(1, evacuation(5))
    assert received.lists == [ZONE_DOWN]
    received.orders(withdrawal(6))
    assert received.lists[1:] == [ALL_UP]


def test_a_list_by_older_orders_does_not_undo_a_newer_one() -> None:
    received = Received()
    received.orders(evacuation(5))
    received.workers(1)
    received.workers(2, withdrawal(4))
    assert received.lists == [ZONE_DOWN, ZONE_DOWN]
    received.orders(withdrawal(6))
    received.workers(3, evacuation(5))
    assert received.lists[2:] == [ALL_UP, ALL_UP]


def test_the_orders_of_a_list_are_obeyed_beside_older_ones_of_a_session() -> None:
    """A control plane node may have the list before it has the orders by which it was marked."""
    received = Received()
    received.orders(withdrawal(4))
    received.workers(1, evacuation(5))
    received.orders(withdrawal(4))
    assert received.lists == [ZONE_DOWN]


def test_nodes_with_different_orders_do_not_undo_each_other() -> None:
    received = Received()
    received.workers(1)
    for _ in range(3):
        received.orders(evacuation(5))
        received.orders(withdrawal(4))
    assert received.lists == [ALL_UP, ZONE_DOWN]


def test_the_marks_of_a_list_of_the_version_before_are_obeyed() -> None:
    received = Received()
    received.earlier_workers(1, evacuation(5))
    assert received.lists == [ZONE_DOWN]
    received.earlier_workers(2)
    assert received.lists == [ZONE_DOWN, ALL_UP]


def test_an_order_is_obeyed_beside_a_list_of_the_version_before() -> None:
    """The holder of the lease, of the version before, has no answer of the platform to mark."""
    received = Received()
    received.earlier_workers(1)
    received.orders(evacuation(5))
    received.earlier_workers(2)
    assert received.lists == [ALL_UP, ZONE_DOWN, ZONE_DOWN]


def test_only_changes_of_a_zone_count() -> None:
    evacuations = Evacuations()
    assert not evacuations.merge([withdrawal(1)])
    assert evacuations.merge([evacuation(2)])
    assert not evacuations.merge([evacuation(3), withdrawal(2)])
    assert evacuations.merge([withdrawal(4)])
