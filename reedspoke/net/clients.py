"""Client connections: states, eviction at the connection limit, and the final response of each request.

The states of a client connection:

    (ClientConnected) -> NOTHING_ASKED -> reading -> waiting -> SERVED, or ANSWERED without any result
                                                             -> CLOSING, if the response was its last
    SERVED, ANSWERED -> reading ...
    any -> closing (evicted) -> removed (ClientDisconnected)

`RequestReceived` starts the wait from any state, `ResponseSent` ends it, and `ClientDisconnected` is the last
event in any state. Only clients that are owed no response have an `IdleState`, and only these are evicted. A
request is open from `RequestReceived` to its final response or to `ClientDisconnected`.
"""

from __future__ import annotations

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net.core import MS, SECOND, Component, EventHandlers, TimerHandlers
from reedspoke.net.state import Client, ClientRequest, IdleState, ProcessPhase

CLIENT_IDLE_TIMEOUT = 300 * SECOND
FIRST_REQUEST_TIMEOUT = (
    2 * SECOND
)  # from connecting to the last byte of the first request: a response is due in 3 s
REQUEST_READ_TIMEOUT = 2 * SECOND  # from the first to the last byte of a request
NEW_CLIENT_GRACE = 50 * MS  # a client with a request has sent its first bytes by then
NEW_STATES = (IdleState.HANDSHAKING, IdleState.NOTHING_ASKED)  # a first request may be in flight
OUTCOME_METRICS = {  # the metric that counts each outcome
    fx.Outcome.SERVED: "succeeded",
    fx.Outcome.REJECTED: "declined",
    fx.Outcome.FAILED: "aborted",
    fx.Outcome.TIMED_OUT: "aborted",
    fx.Outcome.INVALID: "aborted",
    fx.Outcome.REVOKED: "declined",
}
TIMEOUT_SLACK_SHARE = 0.5  # share of the answer slack, after which an open request is answered


class Clients(Component):
    """Client connections and their requests."""

    def event_handlers(self) -> EventHandlers:
        """Return the handlers of its events."""
        return {
            fx.ClientConnected: self._on_client_connected,
            fx.RequestStarted: self._on_request_started,
            fx.RequestMalformed: self._on_request_malformed,
            fx.RequestReceived: self._on_request_received,
            fx.ResponseSent: self._on_response_sent,
            fx.ClientClosing: self._on_client_closing,
            fx.ClientDisconnected: self._on_client_disconnected,
            fx.CredentialRevoked: self._on_credential_revoked,
            fx.DescriptorsExhausted: self._on_descriptors_exhausted,
        }

    def timer_handlers(self) -> TimerHandlers:
        """Return the handlers of its timers."""
        return {
            "client": self._on_client_timer,
            "deadline": self._on_deadline_timer,
            "room": lambda _: self.make_room(),
        }

    def _on_client_connected(self, event: fx.ClientConnected) -> None:
        self.add(event.client, IdleState.NOTHING_ASKED)

    def add(self, number: int, idle_state: IdleState) -> None:
        """Add a new client; it counts towards the limit at once, also during its handshake."""
        client = self.state.clients[number] = Client(number, self.core.now)
        self.set_idle_state(client, idle_state)
        self.core.record_maximum("clients", len(self.state.clients))
        self.core.set_timer(("client", client.id), self.core.now + FIRST_REQUEST_TIMEOUT)
        self.make_room()

    def set_idle_state(self, client: Client, idle_state: IdleState | None) -> None:
        """Set the idle state of a client; None: it is reading, or owed a response, or being closed."""
        if client.idle_state is not None:
            self.state.idle_clients[client.idle_state].pop(client.id, None)
        client.idle_state = idle_state
        if idle_state is not None:
            self.state.idle_clients[idle_state][client.id] = None

    def make_room(self) -> None:
        """Evict idle clients at the connection limit, so that they cannot crowd out other clients.

        Accepting is suspended only while no client can be evicted."""
        state = self.state
        while len(state.clients) - len(state.closing_clients) >= self.core.budget.clients:
            if (client := self._eviction_candidate()) is None:
                break
            self._evict(client)
        free = len(state.clients) - len(state.closing_clients) < self.core.budget.clients
        accepting = free and state.workers_known
        if accepting != state.accepting:
            state.accepting = accepting
            self.core.request_effect(fx.SetAccepting(accepting))
            if not free:
                self.core.count("budget full")
                self.core.log_rate_limited("full", "clients: budget is full")

    def _evict(self, client: Client) -> None:
        self.core.count("crowded out")
        self.set_idle_state(client, None)
        self.state.closing_clients.add(client.id)
        self.core.request_effect(fx.CloseClient(client.id, fx.CloseMode.IMMEDIATELY))

    def _eviction_candidate(self) -> Client | None:
        """Return the client that eviction hurts least.

        A client that was answered before retries elsewhere if its next request crosses the close. A request
        on a new connection would fail, so a new client is kept until its first bytes had time to arrive."""
        state = self.state
        for idle_state in (
            IdleState.CLOSING,
            IdleState.HANDSHAKING,
            IdleState.ANSWERED,
            IdleState.NOTHING_ASKED,
            IdleState.SERVED,
        ):
            if (number := next(iter(state.idle_clients[idle_state]), None)) is None:
                continue
            client = state.clients[number]
            if idle_state not in NEW_STATES or self.core.now >= client.connected_at + NEW_CLIENT_GRACE:
                return client
        if any(state.idle_clients[idle_state] for idle_state in NEW_STATES):
            self.core.set_timer(("room", 0), self.core.now + NEW_CLIENT_GRACE)
        return None

    def _on_request_started(self, event: fx.RequestStarted) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            client.reading = True
            self.state.closing_clients.discard(client.id)
            if client.answered:  # the time-out of a first request runs from the connect
                self.set_idle_state(client, None)
                self.core.set_timer(("client", client.id), self.core.now + REQUEST_READ_TIMEOUT)

    def _on_request_malformed(self, event: fx.RequestMalformed) -> None:
        self.core.count(f"malformed {event.status}")
        self.core.log_rate_limited(
            f"malformed {event.status}", f"request malformed: {event.status} {event.reason}"
        )

    def _on_request_received(self, event: fx.RequestReceived) -> None:
        state = self.state
        if (client := state.clients.get(event.client)) is None:
            if not event.open_in_sibling and event.name not in state.open_request_ids:
                self.core.request_effect(fx.ReleaseRequestId(event.name))
            return
        client.reading = False
        state.closing_clients.discard(client.id)
        self.set_idle_state(client, None)
        self.core.cancel_timer(("client", client.id))
        self.core.count("authorisations")
        if event.open_in_sibling or event.name in state.open_request_ids:  # the job might run twice
            self.core.count("invalid")
            self.core.request_effect(
                fx.SendResponse(client.id, fx.Outcome.INVALID, last=self.state.leaving())
            )
            return
        deadline = self.core.now + event.timeout
        if state.phase is ProcessPhase.LISTENER_CLOSED:
            # A request that arrives 0.7 s after SIGTERM must be answered before SIGKILL.
            deadline = min(deadline, state.kill_at)
        request = ClientRequest(
            state.next_id(), event.name, event.cls, client.id, event.message, deadline, event.slots
        )
        state.requests[request.id] = client.request = request
        state.open_request_ids.add(event.name)
        self.core.record_maximum("open", len(state.open_request_ids))
        slack = int(TIMEOUT_SLACK_SHARE * self.core.settings.rules.answer_slack)
        self.core.set_timer(("deadline", request.id), request.deadline + slack)
        self.core.notify_module(
            api.Request(
                request.id,
                event.cls,
                request.deadline,
                event.cost_hint,
                event.slots,
                event.memory,
                self._tenant(event.tenant),
                event.key,
            )
        )

    def answer(
        self, request: ClientRequest, outcome: fx.Outcome, result: bytes = b"", retry_after: int = 0
    ) -> None:
        """Send the final response of a request."""
        self.core.count(outcome.value)
        self.core.count_metric(OUTCOME_METRICS[outcome], request.cls)
        self._close(request)
        if (client := self.state.clients.get(request.client)) is not None and client.request is request:
            client.request = None
            client.served |= outcome is fx.Outcome.SERVED
            self.core.request_effect(
                fx.SendResponse(client.id, outcome, result, retry_after, self.state.leaving())
            )

    def _close(self, request: ClientRequest) -> None:
        request.open = False
        request.message = None
        self.state.open_request_ids.discard(request.name)
        self.core.request_effect(fx.ReleaseRequestId(request.name))
        self.core.cancel_timer(("deadline", request.id))
        self.forget(request)

    def forget(self, request: ClientRequest) -> None:
        """Remove a request that is answered and has no attempt in flight."""
        if not request.open and not request.in_flight:
            self.state.requests.pop(request.id, None)

    def _on_response_sent(self, event: fx.ResponseSent) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            client.answered += 1
            client.reading = False
            self.set_idle_state(client, IdleState.SERVED if client.served else IdleState.ANSWERED)
            self.core.set_timer(("client", client.id), self.core.now + CLIENT_IDLE_TIMEOUT)
            if self.state.phase is ProcessPhase.LISTENER_CLOSED:
                self.core.request_effect(fx.CloseClient(client.id))
            else:
                self.make_room()

    def _on_client_closing(self, event: fx.ClientClosing) -> None:
        if (client := self.state.clients.get(event.client)) is not None:
            self.set_idle_state(client, IdleState.CLOSING)
            self.make_room()

    def _on_credential_revoked(self, event: fx.CredentialRevoked) -> None:
        """Reject the request of a client whose credential was revoked, unless an attempt was created."""
        client = self.state.clients.get(event.client)
        if (
            client is not None
            and (request := client.request) is not None
            and request.open
            and not request.attempts
        ):
            self.answer(request, fx.Outcome.REVOKED)
            self.core.notify_module(api.ClientDisconnected(request.id))

    def _on_client_disconnected(self, event: fx.ClientDisconnected) -> None:
        if (client := self.state.clients.pop(event.client, None)) is None:
            return
        self.set_idle_state(client, None)
        self.state.closing_clients.discard(client.id)
        self.core.cancel_timer(("client", client.id))
        if (request := client.request) is not None:
            self.abandon(request)
        if self.state.phase in (ProcessPhase.STARTING, ProcessPhase.SERVING, ProcessPhase.DRAINING):
            self.make_room()

    def abandon(self, request: ClientRequest) -> None:
        """Close a request whose client has disconnected: no response is owed, no further attempt starts."""
        if not request.open:
            return
        self.core.count("gone")
        if (client := self.state.clients.get(request.client)) is not None:
            client.request = None
        self._close(request)
        self.core.notify_module(api.ClientDisconnected(request.id))

    def _on_descriptors_exhausted(self, _: fx.DescriptorsExhausted) -> None:
        """Evict an idle client: the system provides fewer descriptors than configured, and clients wait."""
        if (client := self._eviction_candidate()) is not None:
            self._evict(client)

    def _on_client_timer(self, number: int) -> None:
        client = self.state.clients.get(number)
        if client is not None and client.request is None:
            if not client.answered and not client.reading:
                self.core.count("silent")
            self.core.request_effect(
                fx.CloseClient(number, fx.CloseMode.WITH_ERROR if client.reading else fx.CloseMode.IF_IDLE)
            )

    def _on_deadline_timer(self, number: int) -> None:
        """Answer a request that the decision module has left unanswered past its deadline."""
        request = self.state.requests.get(number)
        if request is not None and request.open:
            self.core.log_fault(
                "no response by the deadline: answered as timed out "
                f"(attempts {request.attempts}, in flight {len(request.in_flight)})"
            )
            self.answer(request, fx.Outcome.TIMED_OUT)
            self.core.notify_module(api.ClientDisconnected(request.id))

    def _tenant(self, name: str) -> str:
        """Map all tenants that the settings do not name to one, to bound the decision module's tables."""
        tenants = self.core.settings.tenants
        return name if not tenants or any(tenant.name == name for tenant in tenants) else ""
