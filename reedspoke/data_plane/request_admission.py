"""Admission of client requests: finds the route, checks the API key, and requests quota."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from reedspoke.common.configuration import Configuration
from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import Version
from reedspoke.common.node_settings import Bounds
from reedspoke.data_plane.answers import CompleteAnswer, error_answer, status_of, unconfirmed_key_answer
from reedspoke.data_plane.authorization import Authorization
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest, RequestHandler
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.forwarder import Forwarder
from reedspoke.data_plane.headers import API_KEY, ATTEMPT_ID, TOKEN_COUNT, field_text
from reedspoke.data_plane.job_builder import parse_token_count, request_timeout_s
from reedspoke.data_plane.key_check import (
    ConfigurationFreshness,
    KeyCheck,
    KeyVerdict,
    check_key,
    max_configuration_age_s,
)
from reedspoke.data_plane.quota_client import QuotaClient, QuotaDecision
from reedspoke.data_plane.quota_wait import QuotaWait
from reedspoke.data_plane.request_log import RequestLog
from reedspoke.data_plane.request_trace import RequestOutcome, RequestTrace
from reedspoke.data_plane.route_table import CompiledRoute, RouteTable
from reedspoke.data_plane.tenant_directory import KeyHolder, TenantDirectory
from reedspoke.net.http import Head
from reedspoke.telemetry.invariants import Invariant, check

NOT_READY_RETRY_S = 0.3  # Retry-After of a refusal while there is no configuration yet.
IN_DOUBT_RETRY_S = 0.3  # Retry-After of a refusal while the configuration may be out of date.
# A request waits for quota for at most this fraction of its latency target. The rest is left for the time in
# the queue, so that a request refused there still gets its refusal early.
QUOTA_WAIT_FRACTION = 0.2
MAX_QUOTA_WAIT_S = 0.25  # The limit of the wait for quota on routes with a long latency target.


class NullExchange:
    """The exchange of a request that already has its response."""

    def client_disconnected(self) -> None:
        """Ignored, as there is nothing to cancel."""

    def set_writable(self, writable: bool) -> None:
        """Ignored, as nothing more is written."""


class RequestAdmission:
    """Admits requests by the configuration in force and hands them to the forwarder."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        forwarder: Forwarder,
        request_log: RequestLog,
        confirmation: Confirmation,
        quota_client: QuotaClient,
        bounds: Bounds,
    ) -> None:
        self.routes = RouteTable()
        self.tenants = TenantDirectory()
        self._loop = loop
        self._forwarder = forwarder
        self._request_log = request_log
        self._confirmation = confirmation
        self._quota_client = quota_client
        self._max_key_age_s = max_configuration_age_s(bounds)
        # After this time no node may accept a revoked key; None if the deployment sets no such strict limit.
        self._revoke_s = bounds.revoke_ms / 1000 if bounds.revoke_strict else None
        self._quota_waits: set[QuotaWait] = set()

    def configure(self, configuration: Configuration, version: Version) -> None:
        """Put this configuration into force."""
        self.routes = RouteTable(configuration, version)
        self.tenants = TenantDirectory(configuration)
        self._forwarder.configure(configuration)

    def begin(self, request: ClientRequest, connection: ClientConnection) -> RequestHandler:
        """Admit or refuse a request that was read completely; return the handler of its further events."""
        trace = self._trace(request)
        if self.routes.configuration is None:
            message = "no configuration received yet"
            answer = error_answer(503, ErrorCode.NOT_READY, message, NOT_READY_RETRY_S)
            return self._answer(connection, answer, trace, message)
        host, path = host_and_path(request)
        route = self.routes.find(host, path)
        if route is None:
            return self._answer(connection, self._no_route(), trace, f"no route for {host}{path}")
        key_check = self._check_key(request.head, route)
        trace.route = route.name
        match key_check.verdict:
            case KeyVerdict.UNKNOWN:
                answer = error_answer(401, ErrorCode.UNKNOWN_KEY, "no tenant has this API key")
                return self._answer(connection, answer, trace, "unknown key")
            case KeyVerdict.IN_DOUBT:
                return self._answer(connection, unconfirmed_key_answer(), trace, "key in doubt")
        return self._admit(request, connection, route, key_check.holder, trace)

    def open_requests(self) -> int:
        """The number of requests without a complete response."""
        return self._forwarder.open_exchange_count() + len(self._quota_waits)

    def in_doubt(self) -> bool:
        """Whether the configuration in force may be out of date."""
        return self._confirmation.in_doubt(self._loop.time())

    def abort_all(self) -> None:
        """End all open requests with a final response, because the process is shutting down."""
        for wait in list(self._quota_waits):
            wait.abort()
        self._forwarder.abort_all()

    # ---- routes and keys ----

    def _trace(self, request: ClientRequest) -> RequestTrace:
        configuration = self.routes.configuration
        return RequestTrace(
            field_text(request.head, ATTEMPT_ID),
            generation=0 if configuration is None else configuration.generation,
            version=self.routes.version,
            in_doubt=self.in_doubt(),
        )

    def _no_route(self) -> CompleteAnswer:
        """The response to a request without a route.

        404 tells the client not to try again. So it is sent only while the configuration is certainly up to
        date, as otherwise a newer one may have the route.
        """
        if self.in_doubt():
            message = "the configuration in force may be out of date"
            return error_answer(503, ErrorCode.CONFIGURATION_IN_DOUBT, message, IN_DOUBT_RETRY_S)
        return error_answer(404, ErrorCode.NO_ROUTE, "no route for this host and path")

    def _check_key(self, head: Head, route: CompiledRoute) -> KeyCheck:
        key = head.get(API_KEY) or b""
        freshness = self._freshness()
        return check_key(
            self.tenants, key, public=route.public, freshness=freshness, max_age_s=self._max_key_age_s
        )

    def _freshness(self) -> ConfigurationFreshness:
        now = self._loop.time()
        as_of = self._confirmation.as_of()
        age_s = math.inf if as_of is None else now - as_of
        return ConfigurationFreshness(age_s, self._confirmation.in_doubt(now))

    def _authorize(
        self, head: Head, route: CompiledRoute, holder: KeyHolder | None, arrived: float
    ) -> Authorization:
        """The authorization of a request; its key is checked again before each attempt to send it."""
        if holder is None:
            return Authorization(arrived)

        def is_valid() -> bool:
            return self._check_key(head, route).verdict is KeyVerdict.ALLOWED

        return Authorization(arrived, holder.name, holder.priority, is_valid)

    def _check_key_freshness(self, holder: KeyHolder | None, trace: RequestTrace) -> None:
        """Check the invariant that a key is accepted only while it cannot have been revoked for too long."""
        if holder is not None and self._revoke_s is not None:
            age_s = self._freshness().age_s
            check(Invariant.KEY_IS_CERTAIN, age_s <= self._revoke_s, age_s=age_s, attempt_id=trace.attempt_id)

    # ---- quotas ----

    def _admit(
        self,
        request: ClientRequest,
        connection: ClientConnection,
        route: CompiledRoute,
        holder: KeyHolder | None,
        trace: RequestTrace,
    ) -> RequestHandler:
        """Forward the request, at once or after its tenant's quota has granted the units that it costs."""
        # A client that retries with the same attempt id gets the same upstream of a split route.
        upstream = route.upstream_for(request.head.get(ATTEMPT_ID) or b"")
        authorization = self._authorize(request.head, route, holder, request.first_byte_at)
        self._check_key_freshness(holder, trace)

        def begin() -> RequestHandler:
            return self._forwarder.forward(request, connection, route, upstream, trace, authorization)

        if holder is None or holder.quota is None:
            return begin()
        units = holder.quota.units(sum(parse_token_count(field_text(request.head, TOKEN_COUNT))))
        trace.tenant, trace.units = holder.name, units
        left_s = authorization.arrived_at + request_timeout_s(request.head, route) - self._loop.time()
        wait_s = max(0.0, min(MAX_QUOTA_WAIT_S, QUOTA_WAIT_FRACTION * route.latency_target_s, left_s))
        return self._wait_for_quota(holder.name, units, wait_s, connection, trace, begin)

    def _wait_for_quota(
        self,
        tenant: str,
        units: float,
        wait_s: float,
        connection: ClientConnection,
        trace: RequestTrace,
        begin: Callable[[], RequestHandler],
    ) -> RequestHandler:
        arrived = self._loop.time()

        def begin_granted() -> RequestHandler:
            self._quota_waits.discard(wait)
            return begin()

        def refuse(decision: QuotaDecision) -> None:
            self._quota_waits.discard(wait)
            reason = "quota spent" if decision.spent else "no response to the quota request"
            self._answer(connection, quota_refusal(decision), trace, reason, self._loop.time() - arrived)

        def on_client_gone() -> None:
            self._quota_waits.discard(wait)
            trace.request_ended(
                RequestOutcome.CLIENT_LEFT, 0, "", round(1000 * (self._loop.time() - arrived), 1)
            )
            self._request_log.record(trace)

        wait = QuotaWait(self._quota_client, begin_granted, refuse, on_client_gone)
        self._quota_waits.add(wait)
        wait.start(tenant, units, wait_s)
        return wait

    # ---- answers ----

    def _answer(
        self,
        connection: ClientConnection,
        answer: CompleteAnswer,
        trace: RequestTrace,
        reason: str,
        after_s: float = 0.0,
    ) -> RequestHandler:
        connection.send_answer(answer)
        trace.request_ended(RequestOutcome.NOT_ROUTED, status_of(answer), reason, round(after_s * 1000, 1))
        self._request_log.record(trace)
        return NullExchange()


def quota_refusal(decision: QuotaDecision) -> CompleteAnswer:
    """The response to a request, which has not run, as no units of its tenant's quota were granted.

    Either the quota is spent, or no control plane node responded in time.
    """
    if decision.spent:
        message = "the tenant's quota is spent"
        return error_answer(429, ErrorCode.QUOTA_SPENT, message, decision.retry_after_s)
    message = "no control plane node granted units of the tenant's quota"
    return error_answer(503, ErrorCode.QUOTA_UNAVAILABLE, message, decision.retry_after_s)


def host_and_path(request: ClientRequest) -> tuple[str, str]:
    """The host and path of a request; a target in absolute form takes precedence over the Host field."""
    target = bytes(request.head.target).decode("latin-1")
    if not target.lower().startswith("http://"):
        return field_text(request.head, b"host"), target
    host, slash, path = target[len("http://") :].partition("/")
    return host, slash + path
