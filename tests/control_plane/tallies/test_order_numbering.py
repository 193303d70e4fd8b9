"""Which number an order gets, and which limits its node reserves."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from reedspoke.control_plane.evacuation.order_log import (
    LIMIT_COUNTERS,
    TAG_BITS,
    UNOWNED,
    WITHDRAWN,
    folder_owner,
    is_evacuated,
    limit_add,
    limit_tally,
    next_number,
    order_add,
    order_tally,
    random_tag,
)
from reedspoke.control_plane.evacuation.order_numbering import LogOrder, OrderNumbering, ReserveNumbers
from reedspoke.control_plane.tallies.events import OrderNumbers
from reedspoke.control_plane.tallies.messages import TallyAdd

ZONE = "zone-a"
OWN, OTHER, THIRD = "f-own", "f-other", "f-third"
ALL = (OWN, OTHER, THIRD)
TAG = random_tag(5)


def numbers(
    own: tuple[TallyAdd, ...] = (), others: tuple[TallyAdd, ...] = (), answered: tuple[str, ...] = ALL
) -> OrderNumbers:
    """The result of a sync."""
    return OrderNumbers(own, others, frozenset(answered))


def number(counter: int) -> int:
    """The number of an order of this version with this counter."""
    return next_number((counter - 1) << TAG_BITS, TAG)


def limit(folder: str, counter: int) -> TallyAdd:
    """A limit of a folder with this counter."""
    return limit_add(ZONE, (counter - LIMIT_COUNTERS) << TAG_BITS, folder_owner(folder))


def numbering(counter: int = 0) -> OrderNumbering:
    """The numbering of this node, whose limit has this counter."""
    made = OrderNumbering(OWN)
    if counter:
        made.limit_stored(ZONE, limit(OWN, counter))
    return made


def logged(numbering: OrderNumbering, evacuated: bool, known: OrderNumbers) -> LogOrder:
    """The order that is logged, after a reservation where one is needed."""
    step = numbering.next_step(ZONE, evacuated, known, TAG)
    if isinstance(step, ReserveNumbers):
        assert step.add.amount == folder_owner(OWN)
        numbering.limit_stored(ZONE, step.add)
        step = numbering.next_step(ZONE, evacuated, known, TAG)
    assert isinstance(step, LogOrder)
    return step


# ---- new orders ----


def test_an_order_costs_no_reservation_where_numbers_are_reserved() -> None:
    others = (limit(OTHER, 9000), limit(THIRD, 9000))
    step = numbering(2000).next_step(ZONE, True, numbers((order_add(ZONE, number(7), False),), others), TAG)
    assert step == LogOrder(order_add(ZONE, number(8), True), is_new=True)


def test_numbers_are_reserved_before_the_first_order() -> None:
    step = numbering().next_step(ZONE, True, numbers(), TAG)
    assert step == ReserveNumbers(limit(OWN, LIMIT_COUNTERS))


def test_a_number_is_above_the_limit_of_a_folder_that_has_not_answered() -> None:
    """Guards against an order in one log that nobody was told of, and that comes back with its node."""
    known = numbers(others=(limit(THIRD, 3000),), answered=(OWN, OTHER))
    assert isinstance(numbering(2000).next_step(ZONE, True, known, TAG), ReserveNumbers)
    assert logged(numbering(2000), True, known).add.add_id > limit(THIRD, 3000).add_id
    assert logged(numbering(9000), True, known).add.add_id > limit(THIRD, 3000).add_id


def test_a_reservation_of_the_version_before_counts_whoever_answers() -> None:
    """Its node is not known, and may have an order with this number in its log alone."""
    reserved = TallyAdd(limit_tally(ZONE), number(50) + 1, UNOWNED)
    assert logged(numbering(2000), True, numbers(others=(reserved,))).add.add_id > reserved.add_id


def test_an_order_that_others_tell_of_counts_before_this_node_has_it() -> None:
    known = numbers(others=(order_add(ZONE, number(70), False),))
    assert logged(numbering(2000), True, known).add.add_id == number(71)


folders = st.sampled_from([*ALL, "f-lost"])
counters = st.integers(1, 5000)
orders = st.builds(
    lambda counter, evacuated: order_add(ZONE, number(counter), evacuated), counters, st.booleans()
)
limits = st.builds(limit, folders, st.integers(LIMIT_COUNTERS, 5000))
adds = st.lists(st.one_of(orders, limits), max_size=8).map(tuple)


@given(adds, adds, st.sets(st.sampled_from([OTHER, THIRD])), st.integers(0, 6000), st.booleans())
def test_a_call_prevails_over_all_that_may_be_in_any_log(
    own: tuple[TallyAdd, ...],
    others: tuple[TallyAdd, ...],
    answered: set[str],
    own_limit: int,
    evacuated: bool,
) -> None:
    answering = (OWN, *answered)
    step = logged(numbering(own_limit), evacuated, numbers(own, others, answering))
    assert is_evacuated(step.add) == evacuated
    for add in (*own, *others):
        if add.tally == order_tally(ZONE):
            # Of two orders with one number the evacuation prevails.
            stands = not step.is_new and (step.add == add or evacuated)
            assert add.add_id < step.add.add_id or (add.add_id == step.add.add_id and stands)
        elif add.amount not in [folder_owner(folder) for folder in answering]:
            assert add.add_id < step.add.add_id


# ---- calls that are satisfied by an order that stands ----


def test_a_repeated_call_takes_up_the_order_that_stands() -> None:
    """Guards against tries that replace each other's orders, of which none is stored in time."""
    standing = order_add(ZONE, number(8), True)
    known = numbers((standing, limit(OWN, 2000)), (standing, limit(OTHER, 9000)))
    assert numbering(2000).next_step(ZONE, True, known, TAG) == LogOrder(standing, is_new=False)


def test_an_order_is_not_taken_up_where_a_later_one_may_be_in_one_log() -> None:
    """Guards against an acknowledgement by an order that an unknown one undoes."""
    standing = order_add(ZONE, number(8), True)
    known = numbers((standing,), (limit(THIRD, 1500),), answered=(OWN, OTHER))
    step = logged(numbering(2000), True, known)
    assert step.is_new
    assert step.add.add_id > limit(THIRD, 1500).add_id


def test_an_order_with_the_other_effect_is_not_taken_up() -> None:
    standing = order_add(ZONE, number(8), True)
    step = logged(numbering(2000), False, numbers((standing,)))
    assert step == LogOrder(TallyAdd(order_tally(ZONE), number(9), WITHDRAWN), is_new=True)


def test_an_order_that_is_not_here_yet_is_logged_here_only_below_the_own_limit() -> None:
    """Others expect no order above its limit from a node that does not answer, whoever numbered it."""
    standing = order_add(ZONE, number(1500), True)
    known = numbers(others=(standing,))
    assert numbering(2000).next_step(ZONE, True, known, TAG) == LogOrder(standing, is_new=False)
    assert isinstance(numbering(1200).next_step(ZONE, True, known, TAG), ReserveNumbers)


def test_an_order_of_a_version_without_reservations_is_not_taken_up() -> None:
    """Another one of such a version may stand above it in one log."""
    standing = order_add(ZONE, number(8) + 1, True)
    step = logged(numbering(2000), True, numbers((standing,)))
    assert step == LogOrder(order_add(ZONE, number(9), True), is_new=True)


# ---- limits that are reserved ahead ----


def test_a_limit_is_reserved_ahead_once() -> None:
    node = numbering()
    missing = node.missing_limit(ZONE, (), ALL)
    assert missing == limit(OWN, LIMIT_COUNTERS)
    assert node.missing_limit(ZONE, (missing,), ALL) == missing  # it is not known to be on enough disks
    node.limit_stored(ZONE, missing)
    assert node.missing_limit(ZONE, (missing,), ALL) is None


def test_a_limit_is_raised_above_those_of_folders_out_of_contact() -> None:
    """So an order after a loss costs no reservation either."""
    node = numbering(LIMIT_COUNTERS)
    adds = (limit(OWN, LIMIT_COUNTERS), limit(THIRD, 3000))
    assert node.missing_limit(ZONE, adds, ALL) is None
    missing = node.missing_limit(ZONE, adds, (OWN, OTHER))
    assert missing is not None
    assert missing.add_id > limit(THIRD, 3000).add_id
    node.limit_stored(ZONE, missing)
    assert node.missing_limit(ZONE, (*adds, missing), (OWN, OTHER)) is None


def test_a_limit_is_raised_before_the_numbers_are_used_up() -> None:
    node = numbering(LIMIT_COUNTERS)
    own = limit(OWN, LIMIT_COUNTERS)
    assert node.missing_limit(ZONE, (own, order_add(ZONE, number(LIMIT_COUNTERS // 2), True)), ALL) is None
    missing = node.missing_limit(ZONE, (own, order_add(ZONE, number(LIMIT_COUNTERS // 2 + 1), True)), ALL)
    assert missing is not None
    assert missing.add_id > own.add_id
