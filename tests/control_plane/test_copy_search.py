"""The search for a copy that holds all that was committed.

Guards against both ways to lose an acknowledged configuration: a whole copy that is needed is passed over,
and an older copy stands in for a newer one.
"""

from __future__ import annotations

import pytest

from reedspoke.control_plane.replication.copy_state import LOST_COPY
from reedspoke.control_plane.replication.messages import ClosedTransfer, CopyStatus
from reedspoke.control_plane.replication.view import ChainLink
from reedspoke.control_plane.views.copy_search import find_whole_copy
from tests.control_plane.copy_model import CopyModel
from tests.control_plane.view_builders import links_of, member_named

MODEL_STEPS = 60
MODEL_SEEDS_PER_TEST = 150
RECOVERY_ATTEMPTS = 20


def _link(name: str, joined_view: int) -> ChainLink:
    return ChainLink(member_named(name), joined_view)


def _status(
    name: str, complete_for: int, sequence: int = 5, closed: tuple[ClosedTransfer, ...] = ()
) -> CopyStatus:
    return CopyStatus(member_named(name), 3, complete_for, sequence, closed)


def _found(chain: tuple[ChainLink, ...], *statuses: CopyStatus, committed: int = 0) -> ChainLink | None:
    return find_whole_copy(chain, {status.member.folder_id: status for status in statuses}, committed)


CHAIN = (_link("b", 1), _link("c", 3))
CLOSED = (ClosedTransfer(3, links_of("ab")),)


def test_a_complete_member_of_the_chain_before_a_closed_transfer_is_found() -> None:
    assert _found(CHAIN, _status("c", 1, 3, CLOSED), _status("a", 1)) == _link("a", 1)


def test_a_copy_outside_the_chain_does_not_count_before_the_transfer_is_closed() -> None:
    """The appended member may complete its transfer, and the chain commit what the copy does not have."""
    assert _found(CHAIN, _status("c", 1, 3), _status("a", 1)) is None


def test_a_complete_member_of_the_present_chain_comes_first() -> None:
    statuses = _status("c", 1, 3, CLOSED), _status("a", 1, 9), _status("b", 1)
    assert _found(CHAIN, *statuses) == _link("b", 1)


def test_a_copy_of_an_older_link_is_not_taken_for_that_of_a_newer_one() -> None:
    """`a` was appended again in view 2 and has not got the snapshot: its copy is that of the first view."""
    closed = (ClosedTransfer(3, (_link("a", 2), _link("b", 1))),)
    assert _found(CHAIN, _status("c", 0, 0, closed), _status("a", 1)) is None


def test_a_newer_copy_serves_for_an_older_link() -> None:
    closed = (ClosedTransfer(3, (_link("a", 1), _link("b", 1))),)
    assert _found(CHAIN, _status("c", 0, 0, closed), _status("a", 2)) == _link("a", 2)


def test_a_copy_that_has_lost_entries_is_passed_over() -> None:
    status = _status("c", 1, 3, CLOSED)
    assert _found(CHAIN, status, _status("a", LOST_COPY)) is None
    assert _found(CHAIN, status, _status("a", 1, sequence=5), committed=6) is None
    assert _found(CHAIN, status, _status("a", 1, sequence=6), committed=6) == _link("a", 1)


def test_of_several_copies_the_one_with_the_newest_entry_is_found() -> None:
    closed = (ClosedTransfer(3, links_of("abd")),)
    statuses = _status("c", 0, 0, closed), _status("a", 1, 4), _status("d", 1, 5)
    assert _found(CHAIN, *statuses) == _link("d", 1)


def test_the_search_goes_on_with_the_chain_before_that() -> None:
    """`a` was appended again in view 3, and `c`, which view 2 had appended, is back: [a, b] held all."""
    chain = (_link("b", 1), _link("a", 3))
    own = _status("a", 1, 5, (ClosedTransfer(3, (_link("b", 1), _link("c", 2))),))
    other = _status("c", 0, 0, (ClosedTransfer(2, links_of("ab")),))
    assert _found(chain, own) is None
    assert _found(chain, own, other) == _link("a", 1)


@pytest.mark.parametrize(("machines", "tolerated"), [(3, 1), (4, 1), (5, 2), (7, 2)])
@pytest.mark.parametrize("first_seed", range(0, 4 * MODEL_SEEDS_PER_TEST, MODEL_SEEDS_PER_TEST))
def test_no_copy_that_is_found_lacks_a_committed_entry(
    machines: int, tolerated: int, first_seed: int
) -> None:
    """At any moment, with the answers of any replicas; the chain goes on from what was found."""
    found_outside = 0
    for seed in range(first_seed, first_seed + MODEL_SEEDS_PER_TEST):
        model = CopyModel(seed, machines, tolerated)
        for _ in range(MODEL_STEPS):
            model.step()
            answers = [each for each in model.replicas if model.random.random() < 0.7]
            found = find_whole_copy(
                model.chain, {each.member.folder_id: model.status_of(each) for each in answers}, 0
            )
            if found is None:
                continue
            replica = model.replica_of(found)
            assert replica is not None
            assert replica.held == model.committed
            if found not in model.chain and model.random.random() < 0.5:
                found_outside += model.append_to((found,))
    assert found_outside > 0


@pytest.mark.parametrize(("machines", "tolerated"), [(3, 1), (4, 1), (5, 2), (7, 2)])
@pytest.mark.parametrize("first_seed", range(0, 4 * MODEL_SEEDS_PER_TEST, MODEL_SEEDS_PER_TEST))
def test_a_whole_copy_is_found_when_all_machines_answer(
    machines: int, tolerated: int, first_seed: int
) -> None:
    """No more machines lose their disks than tolerated, each as often as it may; all others keep theirs."""
    for seed in range(first_seed, first_seed + MODEL_SEEDS_PER_TEST):
        model = CopyModel(seed, machines, tolerated)
        for _ in range(model.random.randint(1, MODEL_STEPS)):
            model.step()
        for replica in model.replicas:
            model.close_own(replica)
        found = find_whole_copy(
            model.chain, {each.member.folder_id: model.status_of(each) for each in model.replicas}, 0
        )
        assert found is not None, f"seed {seed}: {model.chain}"
        holder = model.replica_of(found)
        assert holder is not None
        assert holder.held == model.committed
