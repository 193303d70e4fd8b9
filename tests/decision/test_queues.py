"""The subject queue and the size bands."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from reedspoke.decision import subject_queue
from reedspoke.decision.size_bands import WINDOW_SIZES, Band, SizeBands
from reedspoke.decision.subject_queue import SubjectQueue


class Item:
    """A job, compared by identity."""

    def __init__(self, subject: str) -> None:
        self.subject = subject


def take_head(queue: SubjectQueue[Item], cost: float = 1.0) -> Item:
    """Take the head job."""
    head = queue.head()
    queue.take(head.subject, head, cost)
    return head


def test_a_subject_is_served_in_order_of_arrival() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    items = [Item("a") for _ in range(5)]
    for item in items:
        queue.push("a", item)
    assert [take_head(queue) for _ in range(5)] == items
    with pytest.raises(IndexError):
        queue.head()


def test_a_hot_subject_does_not_keep_others_waiting() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    for _ in range(50):
        queue.push("hot", Item("hot"))
    queue.push("rare", Item("rare"))
    queue.push("other", Item("other"))
    assert {take_head(queue).subject for _ in range(3)} == {"hot", "rare", "other"}


def test_a_subject_that_costs_more_gets_fewer_turns() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    for _ in range(100):
        queue.push("dear", Item("dear"))
        queue.push("cheap", Item("cheap"))
    turns = Counter(
        take_head(queue, 4.0 if queue.head().subject == "dear" else 1.0).subject for _ in range(50)
    )
    assert turns["cheap"] == pytest.approx(40, abs=2)


def test_a_job_put_back_goes_first_and_its_charge_is_refunded() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    first, second = Item("a"), Item("b")
    queue.push("a", first)
    queue.push("b", second)
    assert take_head(queue, 7.0) is first
    queue.refund("a", 7.0)
    queue.push_head("a", first)
    assert queue.head() is first
    assert len(queue) == 2


def test_of_two_jobs_put_back_the_latest_goes_first() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    one, two = Item("a"), Item("b")
    queue.push_head("a", one)
    queue.push_head("b", two)
    assert queue.heads(2) == [two, one]
    assert [take_head(queue), take_head(queue)] == [two, one]


def test_a_refund_restores_the_turn_of_a_subject() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    for subject in ("a", "a", "b", "b"):
        queue.push(subject, Item(subject))
    take_head(queue, 2.0)
    take_head(queue, 1.0)
    assert queue.head().subject == "b"
    queue.refund("a", 2.0)
    assert queue.head().subject == "a"


def test_a_new_subject_does_not_catch_up_on_the_time_before_it_came() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    for _ in range(100):
        queue.push("old", Item("old"))
    for _ in range(50):
        take_head(queue)
    for _ in range(50):
        queue.push("new", Item("new"))
    turns = Counter(take_head(queue).subject for _ in range(20))
    assert turns["old"] >= 9


def test_heads_are_the_next_jobs_of_different_subjects_in_order() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    items = [Item("a"), Item("a"), Item("b"), Item("c")]
    for item in items:
        queue.push(item.subject, item)
    assert queue.heads(1) == [items[0]]
    assert queue.heads(5) == [items[0], items[2], items[3]]


def test_a_job_can_be_taken_out_of_turn_or_leave() -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    items = [Item("a"), Item("a"), Item("b")]
    for item in items:
        queue.push(item.subject, item)
    queue.take("a", items[1], 1.0)
    assert queue.remove("a", items[0])
    assert not queue.remove("a", items[0])
    assert queue.head() is items[2]
    with pytest.raises(ValueError, match="not in the queue"):
        queue.take("a", items[0], 1.0)
    assert len(queue) == 1


def test_subjects_without_jobs_are_forgotten(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(subject_queue, "MAX_FINISH_TAGS", 10)
    queue: SubjectQueue[Item] = SubjectQueue()
    for index in range(1000):
        queue.push(str(index), Item(str(index)))
        take_head(queue)
    assert queue.tracked_subjects <= 11


@given(
    st.lists(
        st.tuples(st.sampled_from(["push", "take", "remove", "return"]), st.sampled_from("abc")), max_size=80
    )
)
@settings(max_examples=80, deadline=None)
def test_no_job_is_lost_or_served_twice(steps: list[tuple[str, str]]) -> None:
    queue: SubjectQueue[Item] = SubjectQueue()
    inside: list[Item] = []
    for step, subject in steps:
        if step == "push":
            inside.append(Item(subject))
            queue.push(subject, inside[-1])
        elif step == "return":
            inside.append(Item(subject))
            queue.push_head(subject, inside[-1])
        elif inside and step == "take":
            inside.remove(take_head(queue))
        elif inside:
            item = inside.pop(len(inside) // 2)
            assert queue.remove(item.subject, item)
        assert len(queue) == len(inside)
    left = [take_head(queue) for _ in range(len(queue))]
    assert sorted(map(id, left)) == sorted(map(id, inside))


def test_bands_are_the_largest_tenth_and_the_fifth_below() -> None:
    bands, random = SizeBands(), Random(1)
    for _ in range(500):
        bands.add(random.randrange(10_000))
    found = Counter(bands.add(random.randrange(10_000)) for _ in range(3000))
    assert found[Band.LARGEST_TENTH] / 3000 == pytest.approx(0.1, abs=0.03)
    assert found[Band.NEXT_FIFTH] / 3000 == pytest.approx(0.2, abs=0.04)


def test_bands_follow_a_change_of_sizes() -> None:
    bands = SizeBands()
    for size in [*range(1000, 2000), *range(WINDOW_SIZES)]:
        bands.add(size)
    assert bands.add(WINDOW_SIZES) is Band.LARGEST_TENTH
    assert bands.add(0) is Band.REST


def test_requests_of_one_size_or_too_few_are_of_one_band() -> None:
    bands = SizeBands()
    assert {bands.add(5) for _ in range(500)} == {Band.REST}
    few = SizeBands()
    assert {few.add(size) for size in range(9)} == {Band.REST}
