"""Calls of operators that another replica answers: sent on, sent again, and ended within a bound."""

from __future__ import annotations

from typing import Generic, TypeVar

from msgspec import Struct

from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import MAJORITY_CONTACT_WAIT_S
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.majority_contact import ContactState


class PendingRequest(Struct, kw_only=True):
    """A call without answer; `sent_view` is the view whose member got it last, 0 before it was sent."""

    submitted_at: float
    sent_view: int = 0


Call = TypeVar("Call", bound=PendingRequest)


class RequestForwarder(Generic[Call]):
    """Calls by the name of their request. Each is sent once a majority of voters has granted."""

    def __init__(self, name: str, outbox: Outbox, answer_limit_s: float) -> None:
        self._name = name
        self._outbox = outbox
        self._limit_s = answer_limit_s
        self._pending: dict[str, Call] = {}
        self._count = 0

    def tick(self, view: View | None, contact: ContactState) -> None:
        """Send again what may have been lost; end what has waited too long."""
        for request in list(self._pending):
            self._advance(request, view, contact)

    def _begin(self, call: Call, view: View | None, contact: ContactState) -> None:
        self._count += 1
        request = f"{self._name}:{self._count}"
        self._pending[request] = call
        self._advance(request, view, contact)

    def _advance(self, request: str, view: View | None, contact: ContactState) -> None:
        call = self._pending[request]
        waited = self._outbox.now - call.submitted_at
        if waited >= self._limit_s:
            self._expire(self._pending.pop(request))
        elif view is not None and contact is ContactState.CONFIRMED:
            if call.sent_view != view.number or self._is_due(call):
                call.sent_view = view.number
                self._send(request, call, view)
        elif not call.sent_view and (contact is ContactState.NONE or waited >= MAJORITY_CONTACT_WAIT_S):
            self._reject(self._pending.pop(request))

    def _is_due(self, call: Call) -> bool:
        """Whether to send it again to the same member."""
        raise NotImplementedError

    def _send(self, request: str, call: Call, view: View) -> None:
        raise NotImplementedError

    def _expire(self, call: Call) -> None:
        """No answer has come in time."""
        raise NotImplementedError

    def _reject(self, call: Call) -> None:
        """This machine reaches no majority, and nothing was sent."""
        raise NotImplementedError
