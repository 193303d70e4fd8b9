"""The judge of applications' histories finds each rule that is broken, and what is not owed."""

from __future__ import annotations

from reedspoke.lab.fleet_soak.tally_history import (
    MERGE_S,
    Add,
    DiskLoss,
    TallyHistory,
    TallyRead,
    Unsettled,
)

LIFE = ("c1", 1)


def history(*adds: Add, reads: tuple[TallyRead, ...] = ()) -> TallyHistory:
    made = TallyHistory()
    made.adds += adds
    made.reads += reads
    return made


def add(amount: int, sent_at: float, acknowledged_at: float | None = None) -> Add:
    made = Add("t", f"{amount}-{sent_at}", amount, sent_at)
    if acknowledged_at is not None:
        made.acknowledged[LIFE] = acknowledged_at
    return made


def read(total: int, at: float, life: tuple[str, int] = LIFE) -> TallyRead:
    return TallyRead("t", total, life, at, at + 0.1)


def test_a_history_in_order_has_no_problem() -> None:
    made = history(add(4, 1.0, 1.1), add(5, 2.0), reads=(read(4, 1.5), read(9, 3.0), read(4, 3.0)))
    assert made.problems() == []
    assert made.problems_at_the_end({"t": {"c1": 9, "c2": 9}}) == []
    assert made.problems_at_the_end({"t": {"c1": 4, "c2": 4}}) == []


def test_a_read_above_what_could_have_counted() -> None:
    (problem,) = history(add(4, 1.0), add(5, 9.0), reads=(read(9, 2.0),)).problems()
    assert problem.startswith("TWICE")


def test_a_read_that_lacks_what_its_machine_acknowledged() -> None:
    (problem,) = history(add(4, 1.0, 1.1), reads=(read(0, 2.0), read(0, 2.0, ("c1", 2)))).problems()
    assert problem.startswith("STALE")


def test_what_is_lost_or_differs_or_cannot_be_read_at_the_end() -> None:
    made = history(add(4, 1.0, 1.1))
    for totals in ({"c1": 3, "c2": 3}, {"c1": 4, "c2": 5}, {"c1": 4, "c2": None}):
        assert len(made.problems_at_the_end({"t": dict(totals)})) == 1


def test_an_add_is_owed_unless_more_failed_than_may() -> None:
    acknowledged = add(4, 1.0, 5.0)
    made = history(acknowledged)
    made.disk_losses.append(DiskLoss("c1", 6.0))
    assert made.is_owed(acknowledged)  # one lost disk is borne
    made.unsettled.append(Unsettled(4.0, 5.5))
    assert not made.is_owed(acknowledged)
    made.unsettled[0] = Unsettled(0.0, 6.0 - MERGE_S - 0.5)
    assert made.is_owed(acknowledged)  # merged since
