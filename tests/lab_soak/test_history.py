"""The judge of operators' histories finds each rule that is broken."""

from __future__ import annotations

import pytest

from reedspoke.lab.fleet_soak.history import History, Order, Read, Verdict


def document(generation: int, text: str = "") -> bytes:
    return f'{{"generation": {generation}, "text": "{text}"}}'.encode()


def order(match: int, generation: int, text: str = "", verdict: Verdict = Verdict.ACKNOWLEDGED) -> Order:
    at = float(generation)
    return Order("o", match, generation, document(generation, text), at, verdict, at + 0.1)


def history(*orders: Order, reads: tuple[Read, ...] = ()) -> History:
    made = History()
    made.orders += orders
    for read in reads:
        made.read(read)
    return made


def read(generation: int, at: float, text: str = "") -> Read:
    return Read("c1", at, generation, document(generation, text))


FIRST, SECOND, THIRD = order(0, 1), order(1, 2), order(2, 3)


def test_a_history_in_order_has_no_problem() -> None:
    made = history(FIRST, SECOND, THIRD, reads=(read(1, 1.5), read(3, 9.0)))
    assert made.problems() == []
    assert made.newest == 3


@pytest.mark.parametrize(
    ("made", "told"),
    [
        (history(FIRST, order(0, 2, "b"), reads=(read(1, 1.2),)), "same match"),
        (history(FIRST, order(3, 1, "b"), reads=(read(1, 1.2),)), "same generation"),
        (history(FIRST, SECOND, reads=(read(2, 3.0), read(1, 3.0))), "answered 1 after 2"),
        (history(FIRST, reads=(read(1, 3.0, "changed"),)), "as nobody sent it"),
        (history(order(0, 1, verdict=Verdict.REFUSED), reads=(read(1, 3.0),)), "in force though refused"),
        (history(FIRST, SECOND, order(1, 3, verdict=Verdict.UNCLEAR), reads=(read(3, 1.0),)), "lost"),
        (history(FIRST), "nothing was ever read"),
    ],
)
def test_what_breaks_a_rule_is_told(made: History, told: str) -> None:
    assert any(told in problem for problem in made.problems())


def test_a_change_that_was_read_and_is_lost_is_told() -> None:
    lost = history(FIRST, SECOND, order(1, 4, "b"), reads=(read(4, 9.0, "b"),))
    assert any(problem.startswith("lost") for problem in lost.problems())


def test_an_order_has_one_verdict() -> None:
    made = History()
    taken, refused = order(0, 1, verdict=Verdict.UNCLEAR), order(0, 2, verdict=Verdict.UNCLEAR)
    made.acknowledged(taken, 1.0)
    made.acknowledged(taken, 2.0)
    made.refused(refused, 1.0)
    assert made.contradictions == []
    made.refused(taken, 3.0)
    made.acknowledged(refused, 3.0)
    assert len(made.contradictions) == 2
    assert (taken.verdict, taken.decided_at) == (Verdict.ACKNOWLEDGED, 1.0)
