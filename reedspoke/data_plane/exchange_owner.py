"""What an exchange needs of whoever holds it, and how an error inside one is kept from the others."""

from __future__ import annotations

from collections.abc import Callable
from functools import wraps
from typing import TYPE_CHECKING, Concatenate, ParamSpec, Protocol

from reedspoke.decision.attempt_fate import Evidence

if TYPE_CHECKING:
    from reedspoke.data_plane.exchange import Exchange


class Owner(Protocol):
    """Who holds the exchanges and asks the dispatcher."""

    def progress(self, exchange: Exchange) -> None: ...

    def first_event(self, exchange: Exchange) -> None: ...

    def attempt_ended(self, exchange: Exchange, evidence: Evidence) -> None: ...

    def finished(self, exchange: Exchange) -> None: ...

    def unavailable_since(self, instance_id: str) -> float | None: ...

    def called_off(self, exchange: Exchange) -> None: ...


Arguments = ParamSpec("Arguments")


def isolated(
    method: Callable[Concatenate[Exchange, Arguments], None],
) -> Callable[Concatenate[Exchange, Arguments], None]:
    """An error inside ends this request alone: not the work for others that its caller goes on with."""

    @wraps(method)
    def call(self: Exchange, /, *arguments: Arguments.args, **named: Arguments.kwargs) -> None:
        try:
            method(self, *arguments, **named)
        except Exception as error:
            self.end_broken(error)

    return call
