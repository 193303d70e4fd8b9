"""`QuotaClient` at each of its time limits."""

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
GRANTED_OUTCOME, SPENT_OUTCOME, UNAVAILABLE_OUTCOME = (
    QuotaOutcome.GRANTED,
    QuotaOutcome.SPENT,
    QuotaOutcome.UNAVAILABLE,
)


class Scene:
    """A quota client with sessions at `addresses`; records the requests sent and the decisions."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.addresses = ["c1", "c2"]
        self.sent: list[tuple[str, QuotaRequest]] = []
        self.decisions: list[QuotaDecision] = []
        self.client = QuotaClient(loop, self._send, WINDOW_S)

    def _send(self, request: QuotaRequest, tried: Collection[str]) -> str | None:
        address = next((item for item in self.addresses if item not in tried), None)
        if address is not None:
            self.sent.append((address, request))
        return address

    def request(self, units: float = 10.0) -> int | None:
        return self.client.request("t", units, WAIT_S, self.decisions.append)

    def respond(self, outcome: QuotaOutcome, index: int = -1, retry_after_s: float = 0.0) -> None:
        self.client.handle_response(QuotaResponse(self.sent[index][1].request_id, outcome, retry_after_s))

    def addresses_sent_to(self) -> list[str]:
        return [address for address, _ in self.sent]


@pytest.fixture
def scene() -> Iterator[Scene]:
    loop = VirtualLoop()
    yield Scene(loop)
    loop.run_for(1)
    loop.close()


def test_grant_decides(scene: Scene) -> None:
    scene.request()
    assert scene.decisions == []
    scene.respond(GRANTED_OUTCOME)
    assert [item.granted for item in scene.decisions] == [True]
    assert scene.client.waiting == 0


@pytest.mark.parametrize("outcome", [SPENT_OUTCOME, UNAVAILABLE_OUTCOME])
def test_refused_request_is_sent_to_the_next_node(scene: Scene, outcome: QuotaOutcome) -> None:
    scene.request()
    scene.respond(outcome)
    assert scene.addresses_sent_to() == ["c1", "c2"]
    scene.respond(GRANTED_OUTCOME)
    assert [item.granted for item in scene.decisions] == [True]


def test_when_all_refuse_the_longest_retry_delay_is_reported(scene: Scene) -> None:
    scene.request()
    scene.respond(SPENT_OUTCOME, retry_after_s=0.7)
    scene.respond(SPENT_OUTCOME, retry_after_s=0.3)
    assert scene.decisions == [QuotaDecision(False, True, 0.7)]


def test_unavailable_at_all_nodes_is_not_reported_as_spent(scene: Scene) -> None:
    scene.request()
    scene.respond(UNAVAILABLE_OUTCOME)
    scene.respond(UNAVAILABLE_OUTCOME)
    assert scene.decisions == [QuotaDecision(False, False, UNAVAILABLE_RETRY_S)]


def test_without_any_session_it_is_refused_at_once(scene: Scene) -> None:
    scene.addresses = []
    assert scene.request() is None
    assert scene.decisions == [QuotaDecision(False, False, UNAVAILABLE_RETRY_S)]


def test_after_a_delay_without_a_response_another_node_is_tried(scene: Scene) -> None:
    scene.request()
    scene.loop.run_for(NEXT_NODE_DELAY_S * 0.9)
    assert scene.addresses_sent_to() == ["c1"]
    scene.loop.run_for(NEXT_NODE_DELAY_S * 0.2)
    assert scene.addresses_sent_to() == ["c1", "c2"]
    scene.respond(GRANTED_OUTCOME, index=0)
    assert [item.granted for item in scene.decisions] == [True]


def test_without_any_response_it_is_refused_at_the_deadline(scene: Scene) -> None:
    scene.request()
    scene.loop.run_for(WAIT_S * 0.95)
    assert scene.decisions == []
    scene.loop.run_for(WAIT_S * 0.1)
    assert scene.decisions == [QuotaDecision(False, False, UNAVAILABLE_RETRY_S)]


def test_second_grant_is_used_for_the_next_request(scene: Scene) -> None:
    scene.request()
    scene.loop.run_for(NEXT_NODE_DELAY_S * 1.1)
    scene.respond(GRANTED_OUTCOME, index=0)
    scene.respond(GRANTED_OUTCOME, index=1)
    assert scene.request(9.0) is None
    assert len(scene.sent) == 2
    assert [item.granted for item in scene.decisions] == [True, True]


def test_late_grant_is_kept_for_a_short_time_only(scene: Scene) -> None:
    scene.request()
    scene.loop.run_for(WAIT_S * 1.05)
    scene.respond(GRANTED_OUTCOME, index=0)
    scene.loop.run_for(CREDIT_S * 1.01)
    assert scene.request() is not None


def test_credit_is_used_once(scene: Scene) -> None:
    scene.client.return_units("t", 10.0)
    assert scene.request(6.0) is None
    assert scene.request(6.0) is not None
    assert scene.client.request("other", 1.0, WAIT_S, scene.decisions.append) is not None


def test_cancelled_request_gets_no_decision(scene: Scene) -> None:
    request_id = scene.request()
    assert request_id is not None
    scene.client.cancel(request_id)
    scene.respond(GRANTED_OUTCOME)
    assert scene.decisions == []
    assert scene.client.waiting == 0
    assert scene.request() is None  # the late grant is used for this one


def test_response_to_an_unknown_request_is_ignored(scene: Scene) -> None:
    scene.client.handle_response(QuotaResponse(77, GRANTED_OUTCOME))
    assert scene.request() is not None


def granted_once(scene: Scene, units: float = 10.0) -> None:
    scene.request(units)
    scene.respond(GRANTED_OUTCOME)
    scene.decisions.clear()


def test_in_an_outage_one_request_of_a_tenant_is_admitted(scene: Scene) -> None:
    granted_once(scene)
    scene.addresses = []
    for _ in range(2):
        scene.request()
    assert [item.granted for item in scene.decisions] == [True, False]
    assert scene.client.admitted_without_response == 1


def test_no_response_and_unavailable_count_as_an_outage(scene: Scene) -> None:
    granted_once(scene)
    scene.request()
    scene.respond(UNAVAILABLE_OUTCOME)
    scene.loop.run_for(WAIT_S * 1.1)
    assert [item.granted for item in scene.decisions] == [True]


def test_in_an_outage_a_fraction_of_the_granted_units_is_admitted(scene: Scene) -> None:
    for _ in range(8):
        granted_once(scene)
    scene.addresses = []
    for _ in range(4):
        scene.request()
    assert [item.granted for item in scene.decisions] == [True, True, False, False]


def test_in_an_outage_nothing_is_admitted_of_a_spent_quota(scene: Scene) -> None:
    granted_once(scene)
    scene.request()
    scene.respond(SPENT_OUTCOME)
    scene.respond(SPENT_OUTCOME)
    scene.decisions.clear()
    scene.addresses = []
    scene.request()
    assert [item.granted for item in scene.decisions] == [False]
    assert scene.client.request("other", 1.0, WAIT_S, scene.decisions.append) is None
    assert [item.granted for item in scene.decisions] == [False, True]


def test_one_spent_response_prevents_admission(scene: Scene) -> None:
    granted_once(scene)
    scene.request()
    scene.respond(SPENT_OUTCOME)
    scene.loop.run_for(WAIT_S * 1.1)  # the other node does not respond
    assert [item.granted for item in scene.decisions] == [False]


@pytest.mark.parametrize(("since_s", "admitted"), [(MAX_OUTAGE_S - 0.05, True), (MAX_OUTAGE_S + 0.05, False)])
def test_nothing_is_admitted_in_a_long_outage(scene: Scene, since_s: float, admitted: bool) -> None:
    granted_once(scene)
    scene.loop.run_for(since_s)
    scene.addresses = []
    scene.request()
    assert [item.granted for item in scene.decisions] == [admitted]


def test_nothing_is_admitted_before_the_first_response(scene: Scene) -> None:
    scene.addresses = []
    scene.request()
    assert [item.granted for item in scene.decisions] == [False]


def test_tenants_without_records_are_removed() -> None:
    allowance = OutageAllowance(WINDOW_S)
    allowance.record_grant("a", 1.0, 100.0)
    allowance.record_spent("b", 104.0)
    allowance.remove_expired(100.0 + WINDOW_S)
    assert list(allowance._tenants) == ["b"]
    allowance.remove_expired(104.0 + WINDOW_S)
    assert list(allowance._tenants) == []


class DelayedCallback:
    """Calls `callback` after this many event loop iterations; received bytes arrive with such a delay."""

    def __init__(self, loop: VirtualLoop, iterations: int, callback: Callable[[], None]) -> None:
        self._loop = loop
        self._remaining = iterations
        self._callback = callback
        self._next()

    def _next(self) -> None:
        if self._remaining:
            self._remaining -= 1
            self._loop.call_soon(self._next)
        else:
            self._callback()


def test_response_received_while_the_process_was_suspended_is_used(scene: Scene) -> None:
    """Otherwise a process that is throttled for 90 ms by its CPU quota refuses requests that were granted."""
    scene.addresses = ["c1"]
    scene.request()
    scene.loop.run_for(WAIT_S / 2)
    scene.loop._virtual.now += WAIT_S
    DelayedCallback(scene.loop, 4, lambda: scene.respond(GRANTED_OUTCOME))
    scene.loop.settle()
    assert [item.granted for item in scene.decisions] == [True]


def test_without_a_response_after_a_suspension_it_is_refused(scene: Scene) -> None:
    scene.addresses = ["c1"]
    scene.request()
    scene.loop._virtual.now += 2 * WAIT_S
    scene.loop.settle()
    assert [item.granted for item in scene.decisions] == [False]
