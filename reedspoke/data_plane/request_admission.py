"""Takes requests from clients' connections: finds the route, checks the key, asks for the quota."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from reedspoke.common.configuration import Configuration
from reedspoke.common.errors import ErrorCode
from reedspoke.common.messages import Version
from reedspoke.common.node_settings import Bounds
from reedspoke.data_plane.answers import WholeAnswer, key_in_doubt, own_answer, status_of
from reedspoke.data_plane.authorization import Authorization
from reedspoke.data_plane.client_connection import ClientConnection, ClientRequest, Exchange
from reedspoke.data_plane.confirmation import Confirmation
from reedspoke.data_plane.forwarder import Forwarder
from reedspoke.data_plane.headers import API_KEY, ATTEMPT_ID, TOKEN_COUNT, text_of
from reedspoke.data_plane.job_builder import parse_token_count, time_limit
from reedspoke.data_plane.key_check import Certainty, KeyCheck, KeyVerdict, check_key, most_age_s
from reedspoke.data_plane.quota_client import QuotaClient, QuotaDecision
from reedspoke.data_plane.quota_wait import QuotaWait
from reedspoke.data_plane.request_log import RequestLog
from reedspoke.data_plane.request_trace import RequestOutcome, RequestTrace
from reedspoke.data_plane.route_table import CompiledRoute, RouteTable
from reedspoke.data_plane.tenant_directory import KeyHolder, TenantDirectory
from reedspoke.net.http import Head
from reedspoke.telemetry.invariants import Invariant, check

NOT_READY_RETRY_S = 0.3
IN_DOUBT_RETRY_S = 0.3
QUOTA_WAIT_PART = 0.2  # of the aim: the queue has the rest of the time in which a refusal is early
MOST_QUOTA_WAIT_S = 0.25


class NullExchange:
    """Stands for a request that was answered at once."""

    def client_gone(self) -> None:
        """Nothing is left to do."""

    def writable(self, on: bool) -> None:
        """Nothing is being written."""


class RequestAdmission:
    """The way in, by the configuration in force."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        forwarder: Forwarder,
        request_log: RequestLog,
        confirmation: Confirmation,
        quota: QuotaClient,
        bounds: Bounds,
    ) -> None:
        self.routes = RouteTable()
        self.tenants = TenantDirectory()
        self._loop = loop
        self._forwarder = forwarder
        self._request_log = request_log
        self._confirmation = confirmation
        self._quota = quota
        self._most_key_age = most_age_s(bounds)
        self._revoke_s = bounds.revoke_ms / 1000 if bounds.revoke_strict else None
        self._waits: set[QuotaWait] = set()

    def configure(self, configuration: Configuration, version: Version) -> None:
        """This configuration is in force from now on."""
        self.routes = RouteTable(configuration, version)
        self.tenants = TenantDirectory(configuration)
        self._forwarder.configure(configuration)

    def begin(self, request: ClientRequest, connection: ClientConnection) -> Exchange:
        """Take a request that was read whole."""
        trace = self._trace(request)
        if self.routes.configuration is None:
            message = "no configuration has come yet"
            answer = own_answer(503, ErrorCode.NOT_READY, message, NOT_READY_RETRY_S)
            return self._answer(connection, answer, trace, message)
        host, path = place_of(request)
        route = self.routes.find(host, path)
        if route is None:
            return self._answer(connection, self._no_route(), trace, f"no route for {host}{path}")
        checked = self._check_key(request.head, route)
        trace.route = route.name
        match checked.verdict:
            case KeyVerdict.UNKNOWN:
                answer = own_answer(401, ErrorCode.UNKNOWN_KEY, "no tenant holds the key")
                return self._answer(connection, answer, trace, "unknown key")
            case KeyVerdict.IN_DOUBT:
                return self._answer(connection, key_in_doubt(), trace, "key in doubt")
        return self._take(request, connection, route, checked.holder, trace)

    def open_requests(self) -> int:
        """Requests without a whole answer."""
        return self._forwarder.open_exchanges() + len(self._waits)

    def in_doubt(self) -> bool:
        """Whether the configuration that is held may be an old one."""
        return self._confirmation.in_doubt(self._loop.time())

    def break_off_all(self) -> None:
        """The process ends: what is left gets its final answer."""
        for wait in list(self._waits):
            wait.break_off()
        self._forwarder.break_off_all()

    # ---- routes and keys ----

    def _trace(self, request: ClientRequest) -> RequestTrace:
        configuration = self.routes.configuration
        return RequestTrace(
            text_of(request.head, ATTEMPT_ID),
            generation=0 if configuration is None else configuration.generation,
            version=self.routes.version,
            in_doubt=self.in_doubt(),
        )

    def _no_route(self) -> WholeAnswer:
        """Final only while it is certain that no route has come for the request."""
        if self.in_doubt():
            message = "the configuration that is held may be an old one"
            return own_answer(503, ErrorCode.CONFIGURATION_IN_DOUBT, message, IN_DOUBT_RETRY_S)
        return own_answer(404, ErrorCode.NO_ROUTE, "no route for this host and path")

    def _check_key(self, head: Head, route: CompiledRoute) -> KeyCheck:
        key = head.get(API_KEY) or b""
        certainty = self._certainty()
        return check_key(
            self.tenants, key, public=route.public, certainty=certainty, most_age=self._most_key_age
        )

    def _certainty(self) -> Certainty:
        now = self._loop.time()
        as_of = self._confirmation.as_of()
        age_s = math.inf if as_of is None else now - as_of
        return Certainty(age_s, self._confirmation.in_doubt(now))

    def _authorization(
        self, head: Head, route: CompiledRoute, holder: KeyHolder | None, arrived: float
    ) -> Authorization:
        """What the request is run by; whether it still may is asked again each time that it is sent."""
        if holder is None:
            return Authorization(arrived)

        def is_valid() -> bool:
            return self._check_key(head, route).verdict is KeyVerdict.RUN

        return Authorization(arrived, holder.name, holder.priority, is_valid)

    def _check_certain(self, holder: KeyHolder | None, trace: RequestTrace) -> None:
        if holder is not None and self._revoke_s is not None:
            age_s = self._certainty().age_s
            check(Invariant.KEY_IS_CERTAIN, age_s <= self._revoke_s, age_s=age_s, attempt_id=trace.attempt_id)

    # ---- quotas ----

    def _take(
        self,
        request: ClientRequest,
        connection: ClientConnection,
        route: CompiledRoute,
        holder: KeyHolder | None,
        trace: RequestTrace,
    ) -> Exchange:
        upstream = route.upstream_for(request.head.get(ATTEMPT_ID) or b"")
        authorization = self._authorization(request.head, route, holder, request.began)
        self._check_certain(holder, trace)

        def begin() -> Exchange:
            return self._forwarder.begin(request, connection, route, upstream, trace, authorization)

        if holder is None or holder.quota is None:
            return begin()
        units = holder.quota.units(sum(parse_token_count(text_of(request.head, TOKEN_COUNT))))
        trace.tenant, trace.units = holder.name, units
        left_s = authorization.arrived_at + time_limit(request.head, route) - self._loop.time()
        wait_s = max(0.0, min(MOST_QUOTA_WAIT_S, QUOTA_WAIT_PART * route.latency_target_s, left_s))
        return self._wait_for_quota(holder.name, units, wait_s, connection, trace, begin)

    def _wait_for_quota(
        self,
        tenant: str,
        units: float,
        wait_s: float,
        connection: ClientConnection,
        trace: RequestTrace,
        begin: Callable[[], Exchange],
    ) -> Exchange:
        arrived = self._loop.time()

        def begin_granted() -> Exchange:
            self._waits.discard(wait)
            return begin()

        def refuse(decision: QuotaDecision) -> None:
            self._waits.discard(wait)
            reason = "quota spent" if decision.spent else "no answer on the quota"
            self._answer(connection, quota_refusal(decision), trace, reason, self._loop.time() - arrived)

        def gone() -> None:
            self._waits.discard(wait)
            trace.ended(RequestOutcome.CLIENT_LEFT, 0, "", round(1000 * (self._loop.time() - arrived), 1))
            self._request_log.ended(trace)

        wait = QuotaWait(self._quota, begin_granted, refuse, gone)
        self._waits.add(wait)
        wait.start(tenant, units, wait_s)
        return wait

    # ---- answers ----

    def _answer(
        self,
        connection: ClientConnection,
        answer: WholeAnswer,
        trace: RequestTrace,
        reason: str,
        after_s: float = 0.0,
    ) -> Exchange:
        connection.answer_whole(answer)
        trace.ended(RequestOutcome.NOT_ROUTED, status_of(answer), reason, round(after_s * 1000, 1))
        self._request_log.ended(trace)
        return NullExchange()


def quota_refusal(decision: QuotaDecision) -> WholeAnswer:
    """The tenant's quota is spent, or nobody could be asked; nothing has run."""
    if decision.spent:
        message = "the tenant's quota is spent"
        return own_answer(429, ErrorCode.QUOTA_SPENT, message, decision.retry_after_s)
    message = "no control scheduler told of the tenant's quota"
    return own_answer(503, ErrorCode.QUOTA_UNAVAILABLE, message, decision.retry_after_s)


def place_of(request: ClientRequest) -> tuple[str, str]:
    """Host and path; a target that names its host goes before the field."""
    target = bytes(request.head.target).decode("latin-1")
    if not target.lower().startswith("http://"):
        return text_of(request.head, b"host"), target
    host, slash, path = target[len("http://") :].partition("/")
    return host, slash + path
