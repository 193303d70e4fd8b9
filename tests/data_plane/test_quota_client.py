"""How a data plane scheduler asks for quota, at the edge of each time limit."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterator

import pytest

from reedspoke.common.messages import QuotaOutcome, QuotaRequest, QuotaResponse
from reedspoke.common.quota_rule import CREDIT_S
from reedspoke.data_plane.quota_client import (
    NEXT_NODE_DELAY_S,
    UNAVAILABLE_RETRY_S,
    QuotaClient,
    QuotaDecision,
)
from reedspoke.data_plane.quota_outage import MAX_OUTAGE_S, OutageAllowance
from tests.data_plane.virtual_loop import VirtualLoop

WAIT_S = 0.1
WINDOW_S = 8.0
YES, NO, NOBODY = QuotaOutcome.GRANTED, QuotaOutcome.SPENT, QuotaOutcome.UNAVAILABLE


class Scene:
    """A client with sessions at these addresses."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.addresses = ["c1", "c2"]
        self.asked: list[tuple[str, QuotaRequest]] = []
        self.decisions: list[QuotaDecision] = []
        self.client = QuotaClient(loop, self._send, WINDOW_S)

    def _send(self, ask: QuotaRequest, tried: Collection[str]) -> str | None:
        address = next((item for item in self.addresses if item not in tried), None)
        if address is not None:
            self.asked.append((address, ask))
        return address

    def ask(self, units: float = 10.0) -> int | None:
        return self.client.request("t", units, WAIT_S, self.decisions.append)

    def answer(self, outcome: QuotaOutcome, index: int = -1, retry_after_s: float = 0.0) -> None:
        self.client.handle_response(QuotaResponse(self.asked[index][1].request_id, outcome, retry_after_s))

    def to(self) -> list[str]:
        return [address for address, _ in self.asked]


@pytest.fixture
def scene() -> Iterator[Scene]:
    loop = VirtualLoop()
    yield Scene(loop)
    loop.run_for(1)
    loop.close()


def test_a_grant_decides(scene: Scene) -> None:
    scene.ask()
    assert scene.decisions == []
    scene.answer(YES)
    assert [item.granted for item in scene.decisions] == [True]
    assert scene.client.waiting == 0


@pytest.mark.parametrize("outcome", [NO, NOBODY])
def test_a_refusal_is_taken_to_the_next_control_scheduler(scene: Scene, outcome: QuotaOutcome) -> None:
    scene.ask()
    scene.answer(outcome)
    assert scene.to() == ["c1", "c2"]
    scene.answer(YES)
    assert [item.granted for item in scene.decisions] == [True]


def test_where_all_refuse_the_longest_pause_is_told(scene: Scene) -> None:
    scene.ask()
    scene.answer(NO, retry_after_s=0.7)
    scene.answer(NO, retry_after_s=0.3)
    assert scene.decisions == [QuotaDecision(False, True, 0.7)]


def test_where_nobody_knows_it_is_not_the_quota_that_is_spent(scene: Scene) -> None:
    scene.ask()
    scene.answer(NOBODY)
    scene.answer(NOBODY)
    assert scene.decisions == [QuotaDecision(False, False, UNAVAILABLE_RETRY_S)]


def test_without_any_session_it_is_refused_at_once(scene: Scene) -> None:
    scene.addresses = []
    assert scene.ask() is None
    assert scene.decisions == [QuotaDecision(False, False, UNAVAILABLE_RETRY_S)]


def test_after_a_silence_another_one_is_asked(scene: Scene) -> None:
    scene.ask()
    scene.loop.run_for(NEXT_NODE_DELAY_S * 0.9)
    assert scene.to() == ["c1"]
    scene.loop.run_for(NEXT_NODE_DELAY_S * 0.2)
    assert scene.to() == ["c1", "c2"]
    scene.answer(YES, index=0)
    assert [item.granted for item in scene.decisions] == [True]


def test_silence_of_all_ends_at_the_deadline(scene: Scene) -> None:
    scene.ask()
    scene.loop.run_for(WAIT_S * 0.95)
    assert scene.decisions == []
    scene.loop.run_for(WAIT_S * 0.1)
    assert scene.decisions == [QuotaDecision(False, False, UNAVAILABLE_RETRY_S)]


def test_a_second_grant_serves_the_next_request(scene: Scene) -> None:
    scene.ask()
    scene.loop.run_for(NEXT_NODE_DELAY_S * 1.1)
    scene.answer(YES, index=0)
    scene.answer(YES, index=1)
    assert scene.ask(9.0) is None
    assert len(scene.asked) == 2
    assert [item.granted for item in scene.decisions] == [True, True]


def test_a_grant_that_comes_too_late_is_kept_for_a_moment_only(scene: Scene) -> None:
    scene.ask()
    scene.loop.run_for(WAIT_S * 1.05)
    scene.answer(YES, index=0)
    scene.loop.run_for(CREDIT_S * 1.01)
    assert scene.ask() is not None


def test_a_credit_is_used_once(scene: Scene) -> None:
    scene.client.return_units("t", 10.0)
    assert scene.ask(6.0) is None
    assert scene.ask(6.0) is not None
    assert scene.client.request("other", 1.0, WAIT_S, scene.decisions.append) is not None


def test_a_client_that_leaves_takes_its_ask_along(scene: Scene) -> None:
    number = scene.ask()
    assert number is not None
    scene.client.cancel(number)
    scene.answer(YES)
    assert scene.decisions == []
    assert scene.client.waiting == 0
    assert scene.ask() is None  # what was granted serves the next one


def test_an_answer_to_nobody_is_of_no_account(scene: Scene) -> None:
    scene.client.handle_response(QuotaResponse(77, YES))
    assert scene.ask() is not None


def granted_once(scene: Scene, units: float = 10.0) -> None:
    scene.ask(units)
    scene.answer(YES)
    scene.decisions.clear()


def test_in_an_outage_one_request_of_a_tenant_goes(scene: Scene) -> None:
    granted_once(scene)
    scene.addresses = []
    for _ in range(2):
        scene.ask()
    assert [item.granted for item in scene.decisions] == [True, False]
    assert scene.client.admitted_without_response == 1


def test_silence_and_ignorance_are_outages_too(scene: Scene) -> None:
    granted_once(scene)
    scene.ask()
    scene.answer(NOBODY)
    scene.loop.run_for(WAIT_S * 1.1)
    assert [item.granted for item in scene.decisions] == [True]


def test_it_goes_on_with_a_part_of_what_it_was_granted(scene: Scene) -> None:
    for _ in range(8):
        granted_once(scene)
    scene.addresses = []
    for _ in range(4):
        scene.ask()
    assert [item.granted for item in scene.decisions] == [True, True, False, False]


def test_a_tenant_whose_quota_is_spent_waits(scene: Scene) -> None:
    granted_once(scene)
    scene.ask()
    scene.answer(NO)
    scene.answer(NO)
    scene.decisions.clear()
    scene.addresses = []
    scene.ask()
    assert [item.granted for item in scene.decisions] == [False]
    assert scene.client.request("other", 1.0, WAIT_S, scene.decisions.append) is None
    assert [item.granted for item in scene.decisions] == [False, True]


def test_one_control_scheduler_s_word_that_it_is_spent_is_enough(scene: Scene) -> None:
    granted_once(scene)
    scene.ask()
    scene.answer(NO)
    scene.loop.run_for(WAIT_S * 1.1)  # the other one is silent
    assert [item.granted for item in scene.decisions] == [False]


@pytest.mark.parametrize(("since_s", "goes"), [(MAX_OUTAGE_S - 0.05, True), (MAX_OUTAGE_S + 0.05, False)])
def test_a_long_outage_ends_it(scene: Scene, since_s: float, goes: bool) -> None:
    granted_once(scene)
    scene.loop.run_for(since_s)
    scene.addresses = []
    scene.ask()
    assert [item.granted for item in scene.decisions] == [goes]


def test_who_never_had_an_answer_sends_nothing(scene: Scene) -> None:
    scene.addresses = []
    scene.ask()
    assert [item.granted for item in scene.decisions] == [False]


def test_tenants_of_which_nothing_is_left_are_forgotten() -> None:
    allowance = OutageAllowance(WINDOW_S)
    allowance.record_grant("a", 1.0, 100.0)
    allowance.record_spent("b", 104.0)
    allowance.remove_expired(100.0 + WINDOW_S)
    assert list(allowance._tenants) == ["b"]
    allowance.remove_expired(104.0 + WINDOW_S)
    assert list(allowance._tenants) == []


class Passes:
    """Calls something after so many passes of the event loop, as bytes of a connection do."""

    def __init__(self, loop: VirtualLoop, passes: int, callback: Callable[[], None]) -> None:
        self._loop = loop
        self._left = passes
        self._callback = callback
        self._next()

    def _next(self) -> None:
        if self._left:
            self._left -= 1
            self._loop.call_soon(self._next)
        else:
            self._callback()


def test_an_answer_that_came_while_the_process_stood_still_counts(scene: Scene) -> None:
    """Else a process whose share of a processor is spent for 90 ms refuses what was granted to it."""
    scene.addresses = ["c1"]
    scene.ask()
    scene.loop.run_for(WAIT_S / 2)
    scene.loop._virtual.now += WAIT_S
    Passes(scene.loop, 4, lambda: scene.answer(YES))
    scene.loop.settle()
    assert [item.granted for item in scene.decisions] == [True]


def test_no_answer_behind_a_pause_is_still_a_refusal(scene: Scene) -> None:
    scene.addresses = ["c1"]
    scene.ask()
    scene.loop._virtual.now += 2 * WAIT_S
    scene.loop.settle()
    assert [item.granted for item in scene.decisions] == [False]
