"""Requests with API keys, from the client's connection to the worker, at the edge of each bound."""

from __future__ import annotations

import json
from collections.abc import Callable, Collection, Iterator

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import ConfigurationSnapshot, QuotaOutcome, QuotaRequest, QuotaResponse
from reedspoke.common.node_settings import Bounds, NodeSettings
from reedspoke.data_plane.key_check import CLOCK_DRIFT_MARGIN_S
from reedspoke.telemetry.invariants import Invariant, monitor
from tests.data_plane import plane as plane_module
from tests.data_plane.plane import Plane, answer, fresh_plane
from tests.data_plane.wire import TransportStandIn
from tests.data_plane.world import AGAIN, LIMITS, ONCE, RESUME, document, request_bytes

REVOKE_S = 5.0
STRICT = NodeSettings(
    "edge-1", "127.0.0.1", "za", bounds=Bounds(revoke_strict=True, revoke_ms=REVOKE_S * 1000)
)
SERVED_S = REVOKE_S - CLOCK_DRIFT_MARGIN_S  # after the last confirmation
TENANTS: list[dict[str, object]] = [
    {"name": "first", "api_keys": ["k1", "k2"]},
    {"name": "limited", "api_keys": ["k3"], "rate_per_s": 100, "unit": "token_count", "plain_tokens": 200},
]


def configuration(tenants: list[dict[str, object]], public: Collection[str] = ()) -> bytes:
    made = json.loads(document(2, LIMITS))
    for route in made["routes"]:
        route["public"] = route["path_prefix"] in public
    return json.dumps(made | {"tenants": tenants}).encode()


def teach(
    plane: Plane, tenants: list[dict[str, object]], sequence: int = 1, public: Collection[str] = ()
) -> None:
    plane.plane._confirmation.record_report((1, sequence), plane.loop.time())
    plane.plane._subscription.apply(ConfigurationSnapshot((1, sequence), configuration(tenants, public)))


def confirm(plane: Plane, sequence: int = 1) -> None:
    plane.plane._confirmation.record_report((1, sequence), plane.loop.time())


@pytest.fixture
def keyed(monkeypatch: pytest.MonkeyPatch) -> Iterator[Plane]:
    """A data plane that knows tenants, with strict revocation."""
    monkeypatch.setattr(plane_module, "settings", lambda: STRICT)
    with fresh_plane() as plane:
        plane.learn()
        teach(plane, TENANTS)
        yield plane


def ask(plane: Plane, path: str = ONCE, attempt_id: str = "a1", **fields: str) -> TransportStandIn:
    transport = plane.connect()
    transport.arrive(request_bytes(path, attempt_id, b"the question", **fields))
    plane.loop.settle()
    return transport


def code_of(transport: TransportStandIn) -> tuple[int, int]:
    told = answer(transport)
    return told.status, json.loads(told.body)["error"]["code"]


def head_at_worker(plane: Plane) -> bytes:
    return bytes(plane.arrival().worker.transport.written).lower()


def test_the_worker_is_told_the_tenant_and_never_the_key(keyed: Plane) -> None:
    ask(keyed, Reedspoke_Key="k1", Reedspoke_Tenant_Name="forged")
    seen = head_at_worker(keyed)
    assert b"reedspoke-tenant-name: first\r\n" in seen
    assert b"forged" not in seen
    assert b"reedspoke-key" not in seen
    assert b"k1" not in seen


def test_without_tenants_a_key_is_withheld_too(plane: Plane) -> None:
    plane.learn()
    ask(plane, Reedspoke_Key="k1", Reedspoke_Tenant_Name="forged")
    assert b"reedspoke-key" not in head_at_worker(plane)
    assert b"tenant" not in head_at_worker(plane)


@pytest.mark.parametrize("fields", [{}, {"Reedspoke_Key": "wrong"}, {"Reedspoke_Key": "K1"}])
def test_an_unknown_key_gets_401_and_nothing_runs(keyed: Plane, fields: dict[str, str]) -> None:
    assert code_of(ask(keyed, **fields)) == (401, ErrorCode.UNKNOWN_KEY)
    assert keyed.network.arrivals == []


def test_an_unknown_key_in_doubt_gets_503(keyed: Plane) -> None:
    keyed.loop.run_for(3.0)
    assert code_of(ask(keyed, Reedspoke_Key="new")) == (503, ErrorCode.KEY_IN_DOUBT)


def test_a_public_route_needs_no_key(keyed: Plane) -> None:
    teach(keyed, TENANTS, 2, public=(ONCE,))
    ask(keyed)
    assert b"tenant" not in head_at_worker(keyed)


@pytest.mark.parametrize(
    ("age_s", "served"), [(SERVED_S - 0.05, True), (SERVED_S + 0.05, False), (60.0, False)]
)
def test_a_known_key_is_served_only_as_long_as_it_may_be(keyed: Plane, age_s: float, served: bool) -> None:
    keyed.loop.run_for(age_s)
    client = ask(keyed, Reedspoke_Key="k1")
    assert bool(keyed.network.arrivals) is served
    if not served:
        assert code_of(client) == (503, ErrorCode.KEY_IN_DOUBT)
        confirm(keyed)
        ask(keyed, Reedspoke_Key="k1")
        assert keyed.network.arrivals


def test_a_process_that_was_stopped_serves_no_key_when_it_wakes(keyed: Plane) -> None:
    client = keyed.connect()
    keyed.loop._virtual.now += 30.0
    client.arrive(request_bytes(ONCE, Reedspoke_Key="k1"))
    keyed.loop.settle()
    assert code_of(client) == (503, ErrorCode.KEY_IN_DOUBT)
    assert keyed.network.arrivals == []


def test_a_key_that_was_taken_away_is_not_served_any_more(keyed: Plane) -> None:
    teach(keyed, [{"name": "first", "api_keys": ["k2"]}], 2)
    assert code_of(ask(keyed, Reedspoke_Key="k1")) == (401, ErrorCode.UNKNOWN_KEY)
    ask(keyed, Reedspoke_Key="k2")
    assert b"tenant-name: first" in head_at_worker(keyed)


def test_a_key_that_was_passed_on_is_run_for_its_new_holder(keyed: Plane) -> None:
    teach(keyed, [{"name": "second", "api_keys": ["k1"]}], 2)
    ask(keyed, Reedspoke_Key="k1")
    assert b"tenant-name: second" in head_at_worker(keyed)


def wait_for_connection(plane: Plane) -> TransportStandIn:
    """A request whose connection to the worker is still coming up."""
    plane.network.plan.append("slow")
    return ask(plane, Reedspoke_Key="k1")


def revoke(plane: Plane) -> None:
    teach(plane, [{"name": "first", "api_keys": ["k2"]}], 2)


def cut_off(plane: Plane) -> None:
    plane.loop._virtual.now += SERVED_S + 1


@pytest.mark.parametrize("trouble", [revoke, cut_off])
def test_what_waits_is_checked_again_as_it_is_sent(keyed: Plane, trouble: Callable[[Plane], None]) -> None:
    client = wait_for_connection(keyed)
    trouble(keyed)
    keyed.loop.run_for(1.0)
    assert keyed.network.arrivals == []
    assert answer(client).status == 503
    assert keyed.plane.open_requests() == 0


def test_a_stream_that_was_cut_is_not_resumed_with_a_revoked_key(keyed: Plane) -> None:
    ask(keyed, RESUME, Reedspoke_Key="k1")
    first = keyed.arrival()
    event = b"id: 1\ndata: x\n\n"
    first.worker.say(first.stream_head() + b"%x\r\n%b\r\n" % (len(event), event))
    revoke(keyed)
    first.worker.reset()
    keyed.loop.run_for(1.0)
    assert keyed.network.arrivals == [first]


class Controller:
    """Answers asks for quota."""

    def __init__(self, plane: Plane, monkeypatch: pytest.MonkeyPatch) -> None:
        self.plane = plane.plane
        self.asked: list[QuotaRequest] = []
        monkeypatch.setattr(plane.plane._sessions, "request_quota", self._ask)

    def _ask(self, ask: QuotaRequest, tried: Collection[str]) -> str | None:
        if tried:
            return None
        self.asked.append(ask)
        return "c1"

    def answer(self, outcome: QuotaOutcome, retry_after_s: float = 0.0) -> None:
        self.plane._quota_client.handle_response(
            QuotaResponse(self.asked[-1].request_id, outcome, retry_after_s)
        )


@pytest.fixture
def controller(keyed: Plane, monkeypatch: pytest.MonkeyPatch) -> Controller:
    return Controller(keyed, monkeypatch)


def test_a_tenant_without_limit_is_not_asked_for(keyed: Plane, controller: Controller) -> None:
    ask(keyed, Reedspoke_Key="k1")
    assert controller.asked == []
    assert keyed.network.arrivals


@pytest.mark.parametrize(("fields", "units"), [({}, 200), ({"Reedspoke_Token_Count": "1460,80"}, 1540)])
def test_a_limited_request_goes_once_it_is_granted(
    keyed: Plane, controller: Controller, fields: dict[str, str], units: float
) -> None:
    ask(keyed, Reedspoke_Key="k3", **fields)
    assert keyed.network.arrivals == []
    assert keyed.plane.open_requests() == 1
    assert (controller.asked[0].tenant, controller.asked[0].units) == ("limited", units)
    controller.answer(QuotaOutcome.GRANTED)
    keyed.loop.settle()
    assert b"tenant-name: limited" in head_at_worker(keyed)


def test_a_spent_quota_is_answered_with_429(keyed: Plane, controller: Controller) -> None:
    client = ask(keyed, Reedspoke_Key="k3")
    controller.answer(QuotaOutcome.SPENT, 0.4)
    told = answer(client)
    assert (told.status, told.get("retry-after")) == (429, "0.40")
    assert json.loads(told.body)["error"]["code"] == ErrorCode.QUOTA_SPENT
    assert keyed.network.arrivals == []


def test_without_an_answer_it_is_503_in_time(keyed: Plane, controller: Controller) -> None:
    client = ask(keyed, AGAIN, Reedspoke_Key="k3")
    keyed.loop.run_for(0.27)
    assert code_of(client) == (503, ErrorCode.QUOTA_UNAVAILABLE)


def test_a_client_that_leaves_before_the_grant_costs_nothing(keyed: Plane, controller: Controller) -> None:
    ask(keyed, Reedspoke_Key="k3").abort()
    keyed.loop.settle()
    controller.answer(QuotaOutcome.GRANTED)
    keyed.loop.settle()
    assert keyed.network.arrivals == []
    assert keyed.plane.open_requests() == 0
    ask(keyed, Reedspoke_Key="k3")  # the grant serves the next request
    assert len(controller.asked) == 1
    assert keyed.network.arrivals


def test_the_end_of_the_process_answers_what_waits(keyed: Plane, controller: Controller) -> None:
    client = ask(keyed, Reedspoke_Key="k3")
    keyed.plane._admission.abort_all()
    assert answer(client).status == 503
    assert keyed.plane.open_requests() == 0


def test_the_invariants_notice_missing_guards(keyed: Plane, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each invariant fails where the guard before it is broken."""
    monkeypatch.setattr(keyed.plane._admission, "_max_key_age_s", None)
    keyed.loop.run_for(30.0)
    ask(keyed, Reedspoke_Key="k1")
    assert monitor.violated[Invariant.KEY_IS_CERTAIN] == 1
    keyed.arrival().worker.say(keyed.arrival().whole())
    monitor.reset_violations()
    monkeypatch.setattr("reedspoke.data_plane.headers.WITHHELD", frozenset())
    ask(keyed, Reedspoke_Key="k2")
    assert monitor.violated[Invariant.TENANT_IS_KEY_HOLDER] == 1
    monitor.reset_violations()
