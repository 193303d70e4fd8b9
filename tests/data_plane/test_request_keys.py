"""Requests with API keys, from the client connection to the worker, at each time limit."""

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
from tests.data_plane.world import IDEMPOTENT, LIMITS, NON_IDEMPOTENT, RESUMABLE, document, request_bytes

REVOKE_S = 5.0
STRICT = NodeSettings(
    "edge-1", "127.0.0.1", "za", bounds=Bounds(revoke_strict=True, revoke_ms=REVOKE_S * 1000)
)
MAX_KEY_AGE_S = REVOKE_S - CLOCK_DRIFT_MARGIN_S  # since the last confirmation
TENANTS: list[dict[str, object]] = [
    {"name": "first", "api_keys": ["k1", "k2"]},
    {"name": "limited", "api_keys": ["k3"], "rate_per_s": 100, "unit": "token_count", "plain_tokens": 200},
]


def configuration(tenants: list[dict[str, object]], public: Collection[str] = ()) -> bytes:
    parsed = json.loads(document(2, LIMITS))
    for route in parsed["routes"]:
        route["public"] = route["path_prefix"] in public
    return json.dumps(parsed | {"tenants": tenants}).encode()


def configure(
    plane: Plane, tenants: list[dict[str, object]], sequence: int = 1, public: Collection[str] = ()
) -> None:
    plane.plane._confirmation.record_report((1, sequence), plane.loop.time())
    plane.plane._subscription.apply(ConfigurationSnapshot((1, sequence), configuration(tenants, public)))


def confirm(plane: Plane, sequence: int = 1) -> None:
    plane.plane._confirmation.record_report((1, sequence), plane.loop.time())


@pytest.fixture
def keyed(monkeypatch: pytest.MonkeyPatch) -> Iterator[Plane]:
    """A data plane with tenants in its configuration and strict revocation."""
    monkeypatch.setattr(plane_module, "settings", lambda: STRICT)
    with fresh_plane() as plane:
        plane.receive_state()
        configure(plane, TENANTS)
        yield plane


def send_request(
    plane: Plane, path: str = NON_IDEMPOTENT, attempt_id: str = "a1", **fields: str
) -> TransportStandIn:
    transport = plane.connect()
    transport.arrive(request_bytes(path, attempt_id, b"the question", **fields))
    plane.loop.settle()
    return transport


def status_and_code(transport: TransportStandIn) -> tuple[int, int]:
    response = answer(transport)
    return response.status, json.loads(response.body)["error"]["code"]


def head_at_worker(plane: Plane) -> bytes:
    return bytes(plane.arrival().worker.transport.written).lower()


def test_worker_gets_the_tenant_name_and_never_the_key(keyed: Plane) -> None:
    send_request(keyed, Reedspoke_Key="k1", Reedspoke_Tenant_Name="forged")
    seen = head_at_worker(keyed)
    assert b"reedspoke-tenant-name: first\r\n" in seen
    assert b"forged" not in seen
    assert b"reedspoke-key" not in seen
    assert b"k1" not in seen


def test_without_tenants_the_key_is_removed_too(plane: Plane) -> None:
    plane.receive_state()
    send_request(plane, Reedspoke_Key="k1", Reedspoke_Tenant_Name="forged")
    assert b"reedspoke-key" not in head_at_worker(plane)
    assert b"tenant" not in head_at_worker(plane)


@pytest.mark.parametrize("fields", [{}, {"Reedspoke_Key": "wrong"}, {"Reedspoke_Key": "K1"}])
def test_unknown_key_gets_401_and_nothing_is_forwarded(keyed: Plane, fields: dict[str, str]) -> None:
    assert status_and_code(send_request(keyed, **fields)) == (401, ErrorCode.UNKNOWN_KEY)
    assert keyed.network.arrivals == []


def test_unknown_key_in_doubt_gets_503(keyed: Plane) -> None:
    keyed.loop.run_for(3.0)
    assert status_and_code(send_request(keyed, Reedspoke_Key="new")) == (503, ErrorCode.KEY_IN_DOUBT)


def test_public_route_needs_no_key(keyed: Plane) -> None:
    configure(keyed, TENANTS, 2, public=(NON_IDEMPOTENT,))
    send_request(keyed)
    assert b"tenant" not in head_at_worker(keyed)


@pytest.mark.parametrize(
    ("age_s", "served"), [(MAX_KEY_AGE_S - 0.05, True), (MAX_KEY_AGE_S + 0.05, False), (60.0, False)]
)
def test_known_key_is_accepted_until_the_revocation_limit(keyed: Plane, age_s: float, served: bool) -> None:
    keyed.loop.run_for(age_s)
    client = send_request(keyed, Reedspoke_Key="k1")
    assert bool(keyed.network.arrivals) is served
    if not served:
        assert status_and_code(client) == (503, ErrorCode.KEY_IN_DOUBT)
        confirm(keyed)
        send_request(keyed, Reedspoke_Key="k1")
        assert keyed.network.arrivals


def test_suspended_process_accepts_no_key_when_it_resumes(keyed: Plane) -> None:
    client = keyed.connect()
    keyed.loop._virtual.now += 30.0
    client.arrive(request_bytes(NON_IDEMPOTENT, Reedspoke_Key="k1"))
    keyed.loop.settle()
    assert status_and_code(client) == (503, ErrorCode.KEY_IN_DOUBT)
    assert keyed.network.arrivals == []


def test_revoked_key_is_not_accepted(keyed: Plane) -> None:
    configure(keyed, [{"name": "first", "api_keys": ["k2"]}], 2)
    assert status_and_code(send_request(keyed, Reedspoke_Key="k1")) == (401, ErrorCode.UNKNOWN_KEY)
    send_request(keyed, Reedspoke_Key="k2")
    assert b"tenant-name: first" in head_at_worker(keyed)


def test_key_moved_to_another_tenant_is_used_for_that_tenant(keyed: Plane) -> None:
    configure(keyed, [{"name": "second", "api_keys": ["k1"]}], 2)
    send_request(keyed, Reedspoke_Key="k1")
    assert b"tenant-name: second" in head_at_worker(keyed)


def wait_for_connection(plane: Plane) -> TransportStandIn:
    """A request whose connection to the worker is not established yet."""
    plane.network.plan.append("slow")
    return send_request(plane, Reedspoke_Key="k1")


def revoke(plane: Plane) -> None:
    configure(plane, [{"name": "first", "api_keys": ["k2"]}], 2)


def partition(plane: Plane) -> None:
    plane.loop._virtual.now += MAX_KEY_AGE_S + 1


@pytest.mark.parametrize("invalidate", [revoke, partition])
def test_waiting_request_is_checked_again_before_it_is_sent(
    keyed: Plane, invalidate: Callable[[Plane], None]
) -> None:
    client = wait_for_connection(keyed)
    invalidate(keyed)
    keyed.loop.run_for(1.0)
    assert keyed.network.arrivals == []
    assert answer(client).status == 503
    assert keyed.plane.open_requests() == 0


def test_broken_stream_is_not_resumed_with_a_revoked_key(keyed: Plane) -> None:
    send_request(keyed, RESUMABLE, Reedspoke_Key="k1")
    first = keyed.arrival()
    event = b"id: 1\ndata: x\n\n"
    first.worker.send(first.stream_head() + b"%x\r\n%b\r\n" % (len(event), event))
    revoke(keyed)
    first.worker.reset()
    keyed.loop.run_for(1.0)
    assert keyed.network.arrivals == [first]


class FakeQuotaService:
    """Records the quota requests and sends the responses."""

    def __init__(self, plane: Plane, monkeypatch: pytest.MonkeyPatch) -> None:
        self.plane = plane.plane
        self.requests: list[QuotaRequest] = []
        monkeypatch.setattr(plane.plane._sessions, "request_quota", self._request)

    def _request(self, request: QuotaRequest, tried: Collection[str]) -> str | None:
        if tried:
            return None
        self.requests.append(request)
        return "c1"

    def respond(self, outcome: QuotaOutcome, retry_after_s: float = 0.0) -> None:
        self.plane._quota_client.handle_response(
            QuotaResponse(self.requests[-1].request_id, outcome, retry_after_s)
        )


@pytest.fixture
def quota_service(keyed: Plane, monkeypatch: pytest.MonkeyPatch) -> FakeQuotaService:
    return FakeQuotaService(keyed, monkeypatch)


def test_no_quota_is_requested_for_a_tenant_without_limit(
    keyed: Plane, quota_service: FakeQuotaService
) -> None:
    send_request(keyed, Reedspoke_Key="k1")
    assert quota_service.requests == []
    assert keyed.network.arrivals


@pytest.mark.parametrize(("fields", "units"), [({}, 200), ({"Reedspoke_Token_Count": "1460,80"}, 1540)])
def test_limited_request_is_forwarded_once_granted(
    keyed: Plane, quota_service: FakeQuotaService, fields: dict[str, str], units: float
) -> None:
    send_request(keyed, Reedspoke_Key="k3", **fields)
    assert keyed.network.arrivals == []
    assert keyed.plane.open_requests() == 1
    assert (quota_service.requests[0].tenant, quota_service.requests[0].units) == ("limited", units)
    quota_service.respond(QuotaOutcome.GRANTED)
    keyed.loop.settle()
    assert b"tenant-name: limited" in head_at_worker(keyed)


def test_spent_quota_gets_429(keyed: Plane, quota_service: FakeQuotaService) -> None:
    client = send_request(keyed, Reedspoke_Key="k3")
    quota_service.respond(QuotaOutcome.SPENT, 0.4)
    response = answer(client)
    assert (response.status, response.get("retry-after")) == (429, "0.40")
    assert json.loads(response.body)["error"]["code"] == ErrorCode.QUOTA_SPENT
    assert keyed.network.arrivals == []


def test_without_a_quota_response_it_gets_503_in_time(keyed: Plane, quota_service: FakeQuotaService) -> None:
    client = send_request(keyed, IDEMPOTENT, Reedspoke_Key="k3")
    keyed.loop.run_for(0.27)
    assert status_and_code(client) == (503, ErrorCode.QUOTA_UNAVAILABLE)


def test_client_that_disconnects_before_the_grant_uses_no_units(
    keyed: Plane, quota_service: FakeQuotaService
) -> None:
    send_request(keyed, Reedspoke_Key="k3").abort()
    keyed.loop.settle()
    quota_service.respond(QuotaOutcome.GRANTED)
    keyed.loop.settle()
    assert keyed.network.arrivals == []
    assert keyed.plane.open_requests() == 0
    send_request(keyed, Reedspoke_Key="k3")  # the late grant is used for the next request
    assert len(quota_service.requests) == 1
    assert keyed.network.arrivals


def test_shutdown_answers_waiting_requests(keyed: Plane, quota_service: FakeQuotaService) -> None:
    client = send_request(keyed, Reedspoke_Key="k3")
    keyed.plane._admission.abort_all()
    assert answer(client).status == 503
    assert keyed.plane.open_requests() == 0


def test_invariants_detect_missing_checks(keyed: Plane, monkeypatch: pytest.MonkeyPatch) -> None:
    """Each invariant is violated when the check before it is disabled."""
    monkeypatch.setattr(keyed.plane._admission, "_max_key_age_s", None)
    keyed.loop.run_for(30.0)
    send_request(keyed, Reedspoke_Key="k1")
    assert monitor.violated[Invariant.KEY_IS_CERTAIN] == 1
    keyed.arrival().worker.send(keyed.arrival().complete_answer())
    monitor.reset_violations()
    monkeypatch.setattr("reedspoke.data_plane.headers.WITHHELD", frozenset())
    send_request(keyed, Reedspoke_Key="k2")
    assert monitor.violated[Invariant.TENANT_IS_KEY_HOLDER] == 1
    monitor.reset_violations()
