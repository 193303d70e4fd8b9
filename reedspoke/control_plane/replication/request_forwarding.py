"""Operator calls that another replica answers: forwarded, retried and ended within a time limit."""

from __future__ import annotations

from typing import Generic, TypeVar

from msgspec import Struct

from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.settings import MAJORITY_CONTACT_WAIT_S
from reedspoke.control_plane.replication.view import View
from reedspoke.control_plane.views.majority_contact import ContactState


class PendingRequest(Struct, kw_only=True):
    """A call without an answer; `sent_view` is the view in which it was last sent, 0 if it was not sent."""

    submitted_at: float
    sent_view: int = 0


Call = TypeVar("Call", bound=PendingRequest)


class RequestForwarder(Generic[Call]):
    """Owns the calls without an answer, by request id.

    A call is sent only while a majority of voters has confirmed this replica's view. Otherwise a partitioned
    replica would send it to the head or tail of an outdated view.
    """

    def __init__(self, name: str, outbox: Outbox, answer_limit_s: float) -> None:
        self._name = name
        self._outbox = outbox
        self._limit_s = answer_limit_s
        self._pending: dict[str, Call] = {}
        self._count = 0

    def tick(self, view: View | None, contact: ContactState) -> None:
        """Resend requests that may have been lost, and end calls at their time limit."""
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
        """Whether to resend the request to the same member, as it or its reply may have been lost."""
        raise NotImplementedError

    def _send(self, request: str, call: Call, view: View) -> None:
        """Send the request to the member of this view that answers it."""
        raise NotImplementedError

    def _expire(self, call: Call) -> None:
        """Answer a call at its time limit."""
        raise NotImplementedError

    def _reject(self, call: Call) -> None:
        """Answer a call that was not sent, and so had no effect, as this replica reaches no majority."""
        raise NotImplementedError
