"""A request that waits for its tenant's quota, and is forwarded once units are granted."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.data_plane.client_connection import RequestHandler
from reedspoke.data_plane.quota_client import QuotaClient, QuotaDecision

StartExchange = Callable[[], RequestHandler]
RejectRequest = Callable[[QuotaDecision], None]


class QuotaWait:
    """The exchange of a waiting request as its client connection sees it.

    `begin` forwards the request, `refuse` sends the final response, and `on_client_gone` is called if the
    client disconnects before the decision. After the grant, calls are passed on to the new exchange.
    """

    def __init__(
        self,
        client: QuotaClient,
        begin: StartExchange,
        refuse: RejectRequest,
        on_client_gone: Callable[[], None],
    ) -> None:
        self._client = client
        self._begin = begin
        self._refuse = refuse
        self._on_client_gone = on_client_gone
        self._request_id: int | None = None
        self._exchange: RequestHandler | None = None
        self._is_finished = False
        self._writable = True

    def start(self, tenant: str, units: float, wait_s: float) -> None:
        """Request the units; the decision is made within `wait_s`."""
        self._request_id = self._client.request(tenant, units, wait_s, self._on_decision)

    @property
    def is_waiting(self) -> bool:
        """Whether there is no decision yet."""
        return self._exchange is None and not self._is_finished

    def client_disconnected(self) -> None:
        """The client has disconnected."""
        if self._exchange is not None:
            self._exchange.client_disconnected()
        elif self._cancel():
            self._on_client_gone()

    def set_writable(self, writable: bool) -> None:
        """Whether the client connection accepts more bytes at the moment."""
        self._writable = writable
        if self._exchange is not None:
            self._exchange.set_writable(writable)

    def abort(self) -> None:
        """Refuse the request if it still waits, because the process is shutting down."""
        if self._cancel():
            self._refuse(QuotaDecision(False))

    def _cancel(self) -> bool:
        if not self.is_waiting:
            return False
        self._is_finished = True
        if self._request_id is not None:
            self._client.cancel(self._request_id)
        return True

    def _on_decision(self, decision: QuotaDecision) -> None:
        if not decision.granted:
            self._is_finished = True
            self._refuse(decision)
            return
        self._exchange = self._begin()
        if not self._writable:
            self._exchange.set_writable(False)
