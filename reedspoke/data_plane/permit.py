"""By what a request may run: the tenant whose key it carries, and whether that still counts."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct


def always() -> bool:
    """A request without a key needs none."""
    return True


class Permit(Struct, frozen=True):
    """`still_holds` is asked each time that the request is about to be sent to a worker."""

    arrived: float  # when the first bytes of the request came, on the loop's clock
    tenant: str = ""  # empty: the request has no key
    priority: int | None = None  # of the tenant; None: that of the route counts
    still_holds: Callable[[], bool] = always
