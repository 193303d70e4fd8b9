"""What a majority keeps without disk: random play with crashes and several holders, and the reasons one by
one."""

from __future__ import annotations

import pytest

from reedspoke.fleet.log_messages import Append, Found, Lacking, Recover, Recovered, Remember
from reedspoke.fleet.record import KEEP, MOST_ENTRY, Record
from tests.fleet.recordplay import MUTANTS, PACE, Counting, Group, Notes, Rates, caught

CALM = Rates(0, 0, 0, 0, 0, 0)


def group(size: int = 3, make: type[Record] = Record) -> Group:
    """One that has begun: member 0 leads by token 1."""
    one = Group(size, 1, make, CALM)
    one.token = 1
    one.send(0, one.parts[0].hold(1, 0))
    steps(one, 200)
    assert one.parts[0].serving
    return one


def steps(one: Group, count: int) -> None:
    for _ in range(count):
        one.step()


def book(one: Group, data: bytes, at: int = 0) -> int:
    number, out = one.parts[at].propose(data, one.now)
    one.send(at, out)
    return number


def notes(one: Group, at: int) -> list[bytes]:
    machine = one.parts[at].machine
    assert isinstance(machine, Notes)
    return list(machine.told.values())


@pytest.mark.parametrize("size", [1, 2, 3, 4, 5])
def test_nothing_acknowledged_is_lost_whatever_fails(size: int) -> None:
    for seed in range(12):
        one = Group(size, seed).run(800)
        assert one.calm(2500), [(part.blank, part.serving, part.agreed) for part in one.parts.values()]


@pytest.mark.parametrize("make", MUTANTS, ids=lambda make: make.__name__)
def test_each_mutation_is_caught(make: type[Record]) -> None:
    assert caught(make, 120) > 0


@pytest.mark.parametrize(("make", "agreed"), [(Record, 0), (Counting, 1)], ids=["as it is", "mutation"])
def test_an_entry_of_a_former_holder_is_agreed_on_by_one_of_the_present_one_alone(
    make: type[Record], agreed: int
) -> None:
    """Raft's figure 8: an entry that a majority has may still give way to one with a higher token
    elsewhere."""
    parts = [make(me, (0, 1, 2, 3, 4), me + 1, Notes(), PACE) for me in range(5)]
    for part in parts:
        part.blank = False
    for me in (0, 1):
        parts[me].entries, parts[me].promised = [(2, b"old")], 2
    parts[4].entries, parts[4].promised = [(3, b"other")], 3
    parts[0].hold(4, 0)
    for me in (1, 2):
        told = parts[me].promised, parts[me].last
        parts[0].hear(me, Remember(4, me + 1, False, 2 if told[1] else 0, told[1]), 0)
    assert parts[0].serving
    lead = parts[0].lead
    assert lead is not None
    assert parts[0].entries == [(2, b"old"), (4, b"")]
    for me in (1, 2):  # both confirm the old entry, and neither has the one behind it as yet
        lead.peers[me].matched = 1
    parts[0]._advance(0)
    assert parts[0].agreed == agreed


def test_what_is_agreed_on_comes_to_all_in_order() -> None:
    one = group()
    for number in range(20):
        book(one, b"n%d" % number)
    steps(one, 300)
    assert [notes(one, at) for at in range(3)] == [[b"n%d" % number for number in range(20)]] * 3


def test_one_far_behind_gets_what_is_folded_in_pieces() -> None:
    one = group()
    one.cut = {2}
    for number in range(5 * KEEP):
        book(one, b"entry number %d" % number)
        steps(one, 4)
    steps(one, 200)
    assert one.parts[0].base > 0
    assert one.parts[2].agreed < 5
    one.cut = set()
    steps(one, 4000)
    assert notes(one, 2) == notes(one, 0)
    assert len(notes(one, 2)) == 5 * KEEP


def test_a_life_that_remembers_nothing_votes_for_nothing_until_it_has_caught_up() -> None:
    one = group()
    book(one, b"first")
    steps(one, 100)
    one.start(2)
    one.cut = {2}
    steps(one, 100)
    fresh = one.parts[2]
    assert fresh.blank
    (answer,) = [word for _, word in fresh.hear(1, Append(9, 1, 0, 9, 0, b"x"), one.now)]
    assert isinstance(answer, Lacking)
    assert fresh.hear(1, Recover(7), one.now) == []
    one.start(2)
    one.cut = set()
    steps(one, 400)
    assert not one.parts[2].blank
    assert notes(one, 2) == [b"first"]
    assert "caught up" in one.parts[2].log[-1]


def test_one_that_starts_anew_needs_the_holder_s_own_word() -> None:
    """Guards what its former life has confirmed and the others do not have as yet."""
    fresh = Record(4, (0, 1, 2, 3, 4), 9, Notes(), PACE)
    for sender in (1, 2, 3):
        fresh.hear(sender, Recovered(9, 5, 0, 3), 0)
    assert fresh._target is None, "none of them leads"
    fresh.hear(0, Recovered(9, 5, 5, 7), 0)
    assert fresh._target == (5, 7)


def test_all_that_forget_go_on_anew_and_say_so_and_some_that_do_rest() -> None:
    one = group()
    book(one, b"lost")
    steps(one, 100)
    one.forgetful = 3
    one.truth.clear()
    one.acknowledged.clear()
    for me in range(3):
        one.start(me)
    one.cut = {2}
    one.send(0, one.parts[0].hold(2, one.now))
    steps(one, 300)
    assert not one.parts[0].serving, "one does not answer: it may remember"
    one.cut = set()
    steps(one, 300)
    assert one.parts[0].serving
    assert one.parts[0].torn == 1
    assert "nobody remembers" in one.parts[0].log[-1]
    book(one, b"again")
    steps(one, 200)
    assert [notes(one, at) for at in range(3)] == [[b"again"]] * 3


def test_a_majority_that_forgot_goes_on_with_what_is_left() -> None:
    one = group()
    book(one, b"kept")
    steps(one, 100)
    for me in (1, 2):
        one.start(me)
    one.send(0, one.parts[0].hold(2, one.now))
    steps(one, 400)
    assert "1 of 3 remember it" in one.parts[0].log[-1]
    assert [notes(one, at) for at in range(3)] == [[b"kept"]] * 3


def test_a_holder_of_a_lower_token_hears_so_and_lets_go() -> None:
    one = group()
    one.send(1, one.parts[1].hold(7, one.now))
    steps(one, 200)
    assert not one.parts[0].serving
    assert one.parts[1].serving
    with pytest.raises(ValueError, match="not serving"):
        one.parts[0].propose(b"late", one.now)


@pytest.mark.parametrize("data", [b"", b"x" * (MOST_ENTRY + 1)])
def test_entries_have_bounds(data: bytes) -> None:
    with pytest.raises(ValueError, match="bytes"):
        group().parts[0].propose(data, 0)


def test_found_is_for_the_life_that_answered() -> None:
    fresh = Record(1, (0, 1), 5, Notes(), PACE)
    fresh.hear(0, Found(3, 4), 0)
    assert fresh.blank
    fresh.hear(0, Found(3, 5), 0)
    assert not fresh.blank


def test_a_folded_past_that_is_damaged_is_not_taken() -> None:
    from reedspoke.fleet.log_messages import Fold

    fresh = Record(1, (0, 1), 5, Notes(), PACE)
    assert fresh.hear(0, Fold(3, 9, 2, 0, 4, 12345, b"abcd"), 0) == []
    assert fresh.base == 0
    assert "damaged" in fresh.log[-1]
