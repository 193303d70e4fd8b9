"""By what a request may run: the tenant whose key it carries, and whether that still counts."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct


def always_valid() -> bool:
    """A request without a key needs none."""
    return True


class Authorization(Struct, frozen=True):
    """`is_valid` is asked each time that the request is about to be sent to a worker."""

    arrived_at: float  # when the first bytes of the request came, on the loop's clock
    tenant: str = ""  # empty: the request has no key
    priority: int | None = None  # of the tenant; None: that of the route counts
    is_valid: Callable[[], bool] = always_valid
