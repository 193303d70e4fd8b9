"""A request that waits for its tenant's quota; once that is granted, its exchange takes its place."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.data_plane.client_connection import RequestHandler
from reedspoke.data_plane.quota_client import QuotaClient, QuotaDecision

Begin = Callable[[], RequestHandler]
Refuse = Callable[[QuotaDecision], None]


class QuotaWait:
    """Stands for the request towards its client's connection."""

    def __init__(self, client: QuotaClient, begin: Begin, refuse: Refuse, gone: Callable[[], None]) -> None:
        self._client = client
        self._begin = begin
        self._refuse = refuse
        self._gone = gone  # the client has left before the decision
        self._request_id: int | None = None
        self._exchange: RequestHandler | None = None
        self._is_over = False
        self._writable = True

    def start(self, tenant: str, units: float, wait_s: float) -> None:
        """Ask for the quota."""
        self._request_id = self._client.ask(tenant, units, wait_s, self._decided)

    @property
    def is_waiting(self) -> bool:
        """Whether there is no decision yet."""
        return self._exchange is None and not self._is_over

    def client_disconnected(self) -> None:
        """The client has left."""
        if self._exchange is not None:
            self._exchange.client_disconnected()
        elif self._cancel():
            self._gone()

    def set_writable(self, writable: bool) -> None:
        """The client takes bytes, or takes none for now."""
        self._writable = writable
        if self._exchange is not None:
            self._exchange.set_writable(writable)

    def break_off(self) -> None:
        """The process ends before the decision."""
        if self._cancel():
            self._refuse(QuotaDecision(False))

    def _cancel(self) -> bool:
        if not self.is_waiting:
            return False
        self._is_over = True
        if self._request_id is not None:
            self._client.cancel(self._request_id)
        return True

    def _decided(self, decision: QuotaDecision) -> None:
        if not decision.granted:
            self._is_over = True
            self._refuse(decision)
            return
        self._exchange = self._begin()
        if not self._writable:
            self._exchange.set_writable(False)
