"""Evacuation orders: numbers, quorums, and the list of workers that is published."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import NO_VERSION, ZoneOrder
from reedspoke.control_plane.evacuation.order_log import (
    EVACUATED,
    LIMIT_PREFIX,
    RANDOM_TAG_BITS,
    TAG_BITS,
    UNOWNED,
    WITHDRAWN,
    ZONE_PREFIX,
    folder_owner,
    has_random_tag,
    is_evacuated,
    limit_add,
    next_number,
    order_add,
    order_tally,
    orders_version,
    random_tag,
    zone_orders,
)
from reedspoke.control_plane.tallies.events import SyncSubmitted
from reedspoke.control_plane.tallies.messages import (
    OrderNumbersReply,
    OrderNumbersRequest,
    TallyAdd,
    TallyEntries,
)
from reedspoke.control_plane.tallies.records import RecoveredRecord, encode_record
from reedspoke.control_plane.tallies.settings import CONTACT_TIMEOUT_S, SYNC_GRACE_S
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
        order = order_add(ZONE, next_number(0 if newest is None else newest.add_id, tag), evacuated)
        assert newest is None or order.add_id > newest.add_id
        newest = order
        assert is_evacuated(newest) == evacuated
        assert zone_orders([newest]) == (ZoneOrder(ZONE, newest.add_id, evacuated),)


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


@given(st.integers(0, 2**RANDOM_TAG_BITS - 1), st.integers(0, 2**39))
def test_an_order_of_a_version_without_reservations_can_be_told_from_the_others(
    random_bits: int, highest: int
) -> None:
    number = next_number(highest, random_tag(random_bits))
    assert number >> TAG_BITS == (highest >> TAG_BITS) + 1
    assert has_random_tag(number)
    assert not has_random_tag(number + 1)


def test_a_limit_is_no_order_on_any_zone() -> None:
    """Versions without limits take each tally with the prefix of orders for a zone."""
    assert not LIMIT_PREFIX.startswith(ZONE_PREFIX)


@given(st.text(max_size=20), st.text(max_size=20), st.integers(0, 2**60))
def test_limits_of_two_folders_differ_and_are_above_all_numbers(one: str, other: str, highest: int) -> None:
    limits = [limit_add(ZONE, highest, folder_owner(folder)) for folder in (one, other)]
    assert all(limit.add_id > next_number(highest, 2**TAG_BITS - 1) for limit in limits)
    assert all(UNOWNED < limit.amount < 2**63 for limit in limits)
    assert (limits[0].add_id == limits[1].add_id) == (one == other)  # an id counts once


def test_of_two_orders_with_one_number_the_evacuation_prevails() -> None:
    assert EVACUATED < WITHDRAWN


def test_the_newest_order_on_each_zone_is_delivered() -> None:
    orders = [TallyAdd(order_tally("zb"), 4, WITHDRAWN), TallyAdd(order_tally("za"), 3, EVACUATED)]
    delivered = zone_orders(orders)
    assert delivered == (ZoneOrder("za", 3, True), ZoneOrder("zb", 4, False))
    assert orders_version(delivered) == orders_version(zone_orders(reversed(orders)))
    assert orders_version(delivered) != orders_version(zone_orders(orders[:1]))
    assert orders_version(()) != NO_VERSION


# ---- quorums ----


def reply(steps: Steps, peer: str, *adds: TallyAdd, recovered: bool = True) -> None:
    """Answer the newest request that was sent to a peer."""
    request = steps.last_order_request(peer)
    steps.receive(peer, OrderNumbersReply(request.request_id, f"f-{peer}", recovered, adds))


def test_a_sync_waits_for_a_quorum_that_has_answered_since() -> None:
    steps = recovered_steps()
    steps.tick(0.01)
    assert synchronize(steps) == WAITING
    reply(steps, "p1")
    steps.tick(SYNC_GRACE_S)
    assert steps.answers.get(CALL, WAITING) == WAITING
    reply(steps, "p2")
    assert steps.answers[CALL] is None


def test_a_reply_to_an_earlier_sync_does_not_count() -> None:
    """Guards against numbers from before the call: orders may have been acknowledged since."""
    steps = recovered_steps()
    synchronize(steps)
    for peer in PEERS:
        reply(steps, peer)
    assert steps.answers.pop(CALL) is None
    earlier = steps.last_order_request("p1")
    steps.tick(0.01)
    assert synchronize(steps) == WAITING
    for peer in PEERS:
        steps.receive(peer, OrderNumbersReply(earlier.request_id, f"f-{peer}", True, ()))
    steps.tick(SYNC_GRACE_S)
    assert steps.answers.get(CALL, WAITING) == WAITING


def test_a_sync_waits_for_the_nodes_in_reach_but_not_for_long() -> None:
    """Only a node that has answered tells of an order that is in its log alone."""
    steps = recovered_steps()
    synchronize(steps)
    for peer in PEERS[:3]:
        reply(steps, peer)
    assert steps.answers.get(CALL, WAITING) == WAITING
    steps.tick(SYNC_GRACE_S)
    assert steps.answers[CALL] is None
    assert steps.numbers[CALL].folders == {OWN, "f-p1", "f-p2", "f-p3"}


def test_requests_are_repeated_to_nodes_that_have_not_answered() -> None:
    steps = recovered_steps()
    synchronize(steps)
    reply(steps, "p1")
    steps.sent.clear()
    steps.order_messages.clear()
    steps.tick(0.01)
    repeated = {sent.address for sent in steps.order_messages}
    assert repeated == {"p2", "p3", "p4"}


def test_a_sync_tells_what_the_others_have() -> None:
    steps = recovered_steps()
    order = order_add(ZONE, next_number(0, 0), evacuated=True)
    synchronize(steps)
    reply(steps, "p1", order)
    reply(steps, "p2")
    reply(steps, "p3")
    reply(steps, "p4")
    assert steps.numbers[CALL].others == (order,)


def test_a_node_tells_of_its_orders_also_before_they_are_synced() -> None:
    """Guards against a later order with a lower number than one that a slow disk has yet to store."""
    steps = recovered_steps()

    def told() -> tuple[TallyAdd, ...]:
        steps.receive("p1", OrderNumbersRequest(5))
        message = steps.order_messages[-1].message
        assert isinstance(message, OrderNumbersReply)
        assert (message.request_id, message.folder_id, message.recovered) == (5, OWN, True)
        return message.adds

    assert told() == ()
    first, second = (TallyAdd(order_tally(ZONE), number, EVACUATED) for number in (1, 2))
    steps.add(1, EVACUATED, tally=order_tally(ZONE))
    assert told() == (first,)  # in flight
    steps.add(2, EVACUATED, tally=order_tally(ZONE))
    assert set(told()) == {first, second}  # the second one waits for the first
    steps.stored(ErrorCode.STORAGE_FULL)
    assert told() == (first,)  # the disk may have kept it; the second one was dropped
    steps.tick(0.5)
    steps.stored()  # the probe: what the failed store left is removed
    assert told() == ()
    steps.add(3, WITHDRAWN, tally=order_tally(ZONE))
    steps.stored()
    assert told() == (TallyAdd(order_tally(ZONE), 3, WITHDRAWN),)


def test_a_sync_counts_a_node_of_the_version_before_by_its_digest() -> None:
    steps = recovered_steps()
    steps.tick(0.01)
    assert synchronize(steps) == WAITING
    steps.digest("p1", {})
    steps.tick(SYNC_GRACE_S)
    assert steps.answers.get(CALL, WAITING) == WAITING
    steps.digest("p2", {})
    assert steps.answers[CALL] is None
    assert steps.numbers[CALL].folders == {OWN}


def test_a_sync_waits_until_the_adds_of_the_version_before_are_stored() -> None:
    steps = recovered_steps()
    steps.tick(0.01)
    synchronize(steps)
    for peer in ("p1", "p2"):
        steps.digest(peer, {"f-p1": 1})
    steps.tick(SYNC_GRACE_S)
    assert steps.answers.get(CALL, WAITING) == WAITING
    order = TallyAdd(order_tally(ZONE), 1, EVACUATED)
    steps.receive("p1", TallyEntries("f-p1", 1, (order,)))
    steps.stored()
    assert steps.answers[CALL] is None
    assert steps.numbers[CALL].own == (order,)
    assert is_evacuated(steps.replica.newest(order_tally(ZONE)))
    assert len(steps.replica.newest_by_prefix("/evacuation/")) == 1


def test_a_node_that_lost_its_disk_counts_in_no_quorum() -> None:
    steps = recovered_steps()
    steps.tick(0.01)
    synchronize(steps)
    for peer in PEERS:
        steps.digest(peer, {}, recovered=False)
        reply(steps, peer, recovered=False)
    steps.tick(SYNC_GRACE_S)
    assert steps.answers.get(CALL, WAITING) == WAITING
    steps.digest("p1", {})
    reply(steps, "p2")
    assert steps.answers[CALL] is None


def test_a_node_that_lost_its_own_disk_numbers_no_order() -> None:
    steps = Steps(created=True)
    steps.in_contact(*PEERS, vector={"f-p1": 1})  # it has yet to get this add
    synchronize(steps)
    for peer in PEERS:
        reply(steps, peer)
    steps.tick(SYNC_GRACE_S)
    assert steps.answers.get(CALL, WAITING) == WAITING


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
