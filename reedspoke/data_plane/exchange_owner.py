"""The owner of exchanges as an exchange sees it, and the containment of errors inside one exchange."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import TYPE_CHECKING, Concatenate, ParamSpec, Protocol

from reedspoke.decision.attempt_fate import Evidence

if TYPE_CHECKING:
    from reedspoke.data_plane.exchange import Exchange


class ExchangeOwner(Protocol):
    """Holds the exchanges and passes their events to the dispatcher."""

    def data_received(self, exchange: Exchange) -> None:
        """Data of an answer arrived from the worker."""

    def answer_started(self, exchange: Exchange) -> None:
        """The first event of a stream, or the body of another success, has started."""

    def attempt_ended(self, exchange: Exchange, evidence: Evidence) -> None:
        """An attempt ended without being cancelled by the exchange."""

    def exchange_finished(self, exchange: Exchange) -> None:
        """The final answer has been written."""

    def unavailable_since(self, instance_id: str) -> float | None:
        """When the worker was first seen to drain or to be gone; None if it is available."""

    def exchange_aborted(self, exchange: Exchange) -> None:
        """The exchange ended the request without a decision of the dispatcher, and cancelled its attempt."""


Arguments = ParamSpec("Arguments")


def contain_errors(
    method: Callable[Concatenate[Exchange, Arguments], None],
) -> Callable[Concatenate[Exchange, Arguments], None]:
    """Ends only this request on an unexpected error, so that the caller continues with other requests."""

    @wraps(method)
    def call(self: Exchange, /, *arguments: Arguments.args, **keywords: Arguments.kwargs) -> None:
        try:
            method(self, *arguments, **keywords)
        except Exception as error:
            self.abort_on_error(error)

    return call
