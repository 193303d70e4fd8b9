"""Grants of quota at one control scheduler, its loans, and short runs of the simulation."""

from __future__ import annotations

import pytest

from reedspoke.common.messages import QuotaOutcome, QuotaRequest, QuotaResponse
from reedspoke.common.quota_rule import QuotaRule, allowance, window_limit
from reedspoke.common.tenants import Tenant
from reedspoke.control_plane.peers.messages import QuotaLoan, QuotaLoanRequest
from reedspoke.control_plane.quota.bucket import LOAN_SHARE
from reedspoke.control_plane.quota.grants import (
    FRESH_S,
    MOST_WAITING,
    RETRY_LEAST_S,
    RETRY_MOST_S,
    ROUND_PAUSE_S,
    ROUND_S,
    AnswerTo,
    LoanTo,
    QuotaEffect,
    QuotaGrants,
)
from reedspoke.control_plane.quota.share import QuotaShare
from reedspoke.telemetry.invariants import Invariant, monitor
from tests.control_plane_process.quota_simulation import Simulation, broken, drawn

RULE = QuotaRule(window_s=8.0, excess=0.1, slack=0.0)
RATE, BURST = 100.0, 100.0
FULL = allowance(window_limit(RATE, BURST, RULE) / 3, 0.0, RULE).capacity
START = 1000.0  # long enough after the start of the process


class Scene:
    """The control scheduler `a` of three, with a full bucket."""

    def __init__(self) -> None:
        self.majority_as_of: float | None = START - 1.0
        self.reached = {"b", "c"}
        share = QuotaShare("a", tolerated=1, started=0.0)
        share.voters_known(frozenset("abc"), 0.0)
        self.grants = QuotaGrants(RULE, share, lambda: self.majority_as_of, lambda: self.reached, 0.0)
        self.configure()
        self.now = START
        for second in range(60):
            self.grants.refresh(START - 60 + second)

    def configure(self, rate: float = RATE) -> None:
        limited = Tenant(name="limited", rate_per_s=rate, burst=BURST)
        self.grants.configure({"limited": limited, "free": Tenant(name="free")}, 0.0)

    def ask(self, units: float, tenant: str = "limited", number: int = 1) -> list[QuotaEffect]:
        return self.grants.asked("edge", QuotaRequest(number, tenant, units), self.now)


@pytest.fixture
def scene() -> Scene:
    return Scene()


def answers(effects: list[QuotaEffect]) -> list[QuotaOutcome]:
    return [effect.answer.outcome for effect in effects if isinstance(effect, AnswerTo)]


def test_what_the_bucket_holds_is_granted_at_once(scene: Scene) -> None:
    assert scene.ask(FULL) == [AnswerTo("edge", QuotaResponse(1, QuotaOutcome.GRANTED))]


def test_a_fresh_control_scheduler_does_not_call_a_quota_spent() -> None:
    scene = Scene()
    scene.grants = QuotaGrants(RULE, scene.grants._share, lambda: START, lambda: (), START)
    scene.configure()
    assert answers(scene.ask(1.0)) == [QuotaOutcome.UNAVAILABLE]
    scene.now = scene.majority_as_of = START + FRESH_S
    scene.grants._majority_as_of = lambda: START + FRESH_S
    assert answers(scene.ask(1e9)) == [QuotaOutcome.SPENT]


def test_a_tenant_without_limit_is_granted_all(scene: Scene) -> None:
    assert answers(scene.ask(1e9, "free")) == [QuotaOutcome.GRANTED]


def test_a_tenant_that_is_not_known_here_is_sent_elsewhere(scene: Scene) -> None:
    assert answers(scene.ask(1.0, "unknown")) == [QuotaOutcome.UNAVAILABLE]


@pytest.mark.parametrize("majority_as_of", [None, START - 60.0])
def test_without_a_leased_share_nothing_is_granted_or_lent(
    scene: Scene, majority_as_of: float | None
) -> None:
    scene.majority_as_of = majority_as_of
    assert answers(scene.ask(1.0)) == [QuotaOutcome.UNAVAILABLE]
    lent = scene.grants.loan_requested("b", QuotaLoanRequest("limited", 1.0), START)
    assert lent == [LoanTo("b", QuotaLoan("limited", 0.0))]
    assert scene.grants.loan_came(QuotaLoan("limited", 1.0), START) == []


def test_what_is_lacking_is_asked_of_all_others(scene: Scene) -> None:
    effects = scene.ask(FULL + 10)
    assert [effect.address for effect in effects if isinstance(effect, LoanTo)] == ["b", "c"]
    assert answers(effects) == []
    assert answers(scene.grants.loan_came(QuotaLoan("limited", 12.0), START)) == [QuotaOutcome.GRANTED]


def test_who_is_not_heard_is_not_asked(scene: Scene) -> None:
    scene.reached = {"c"}
    effects = scene.ask(FULL + 10)
    assert [effect.address for effect in effects if isinstance(effect, LoanTo)] == ["c"]


def test_where_nobody_is_heard_it_is_refused_at_once(scene: Scene) -> None:
    scene.reached = set()
    assert answers(scene.ask(FULL + 10)) == [QuotaOutcome.SPENT]


def test_a_round_without_success_ends_in_a_refusal_and_a_pause(scene: Scene) -> None:
    scene.ask(FULL + 10)
    scene.grants.loan_came(QuotaLoan("limited", 0.0), START)
    (refusal,) = scene.grants.loan_came(QuotaLoan("limited", 0.0), START)
    assert isinstance(refusal, AnswerTo)
    assert refusal.answer.outcome is QuotaOutcome.SPENT
    assert RETRY_LEAST_S <= refusal.answer.retry_after_s <= RETRY_MOST_S
    assert answers(scene.ask(FULL + 10)) == [QuotaOutcome.SPENT]
    scene.now = START + ROUND_PAUSE_S
    assert answers(scene.ask(FULL + 20)) == []


def test_a_round_whose_loans_are_lost_ends_by_time(scene: Scene) -> None:
    scene.ask(FULL + 10)
    assert scene.grants.end_rounds(START + ROUND_S - 0.01) == []
    assert answers(scene.grants.end_rounds(START + ROUND_S)) == [QuotaOutcome.SPENT]
    assert scene.grants.end_rounds(START + 60) == []


def test_asks_during_a_round_wait_in_their_order(scene: Scene) -> None:
    scene.ask(FULL + 10, number=1)
    assert scene.ask(1.0, number=2) == []
    effects = scene.grants.loan_came(QuotaLoan("limited", 2 * FULL), START)
    told = [effect.answer.request_id for effect in effects if isinstance(effect, AnswerTo)]
    assert told == [1, 2]


def test_not_all_asks_may_wait(scene: Scene) -> None:
    for number in range(MOST_WAITING):
        scene.ask(FULL + 10, number=number)
    assert answers(scene.ask(FULL + 10)) == [QuotaOutcome.SPENT]


def test_what_was_borrowed_and_not_used_goes_back(scene: Scene) -> None:
    scene.ask(FULL + 10)
    effects = scene.grants.loan_came(QuotaLoan("limited", FULL + 30), START)
    returned = [effect for effect in effects if isinstance(effect, LoanTo)]
    assert [effect.address for effect in returned] == ["b"]
    assert isinstance(returned[0].message, QuotaLoan)
    assert returned[0].message.units == pytest.approx(10)  # the capacity has grown to the largest ask


def test_a_tenant_that_is_dropped_during_a_round_is_forgotten(scene: Scene) -> None:
    scene.ask(FULL + 10)
    scene.grants.configure({}, START)
    assert scene.grants.end_rounds(START + 1.0) == []
    assert scene.grants.wake_at() is None


def test_who_waits_for_loans_lends_nothing(scene: Scene) -> None:
    scene.ask(FULL + 10)
    lent = scene.grants.loan_requested("b", QuotaLoanRequest("limited", 50.0), START)
    assert lent == [LoanTo("b", QuotaLoan("limited", 0.0))]


def test_a_loan_leaves_the_lender(scene: Scene) -> None:
    (loan,) = scene.grants.loan_requested("b", QuotaLoanRequest("limited", 1e9), START)
    assert isinstance(loan, LoanTo)
    assert isinstance(loan.message, QuotaLoan)
    assert loan.message.units == pytest.approx(FULL * LOAN_SHARE)
    assert answers(scene.ask(FULL * 0.6)) == []  # it has to borrow


def test_a_lower_limit_counts_at_once(scene: Scene) -> None:
    scene.configure(RATE / 10)
    assert answers(scene.ask(FULL)) == []


def test_a_changed_configuration_fills_no_bucket(scene: Scene) -> None:
    scene.ask(FULL)
    scene.configure(RATE * 2)
    assert answers(scene.ask(FULL / 2)) == []


@pytest.mark.parametrize("seed", range(40))
def test_no_window_is_over_the_bound(seed: int) -> None:
    draw, used = broken(seed)
    assert used <= 1, draw


def test_the_simulation_notices_grants_without_a_share(monkeypatch: pytest.MonkeyPatch) -> None:
    """The judge is of use: with a whole quota at each control scheduler it finds the rule broken."""
    monkeypatch.setattr(QuotaShare, "share", lambda self, tenant, now, majority_as_of: 1.0)
    seeds = [seed for seed in range(40) if drawn_surge(seed)]
    assert any(broken(seed)[1] > 1 for seed in seeds[:5])


def drawn_surge(seed: int) -> bool:
    from random import Random

    draw = drawn(Random(seed))
    return draw.surge > 5 and draw.controls > 3


def test_below_the_limit_nearly_all_is_granted() -> None:
    from tests.control_plane_process.quota_simulation import Draw

    asked = granted = 0.0
    for seed in range(3):
        draw = Draw(8, 30, 90_000.0, 90_000.0, 110_000.0, 3_900.0, 0.77, 0.77, 0.5, 0)
        outcome = Simulation(draw, seed).run()
        asked, granted = asked + outcome.asked, granted + outcome.granted
    assert granted > 0.97 * asked


def test_the_invariant_is_evaluated_without_any_request(scene: Scene) -> None:
    """Seen in CI beside load: no limited request came behind the last restart, and nothing had looked."""
    before = monitor.evaluated[Invariant.QUOTA_IS_CONSERVED]
    scene.grants.refresh(START + 10.0)
    assert monitor.evaluated[Invariant.QUOTA_IS_CONSERVED] == before + 1
