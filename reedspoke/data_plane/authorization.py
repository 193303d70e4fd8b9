"""The authorization of a request: the tenant of its API key, and whether the key is still valid."""

from __future__ import annotations

from collections.abc import Callable

from msgspec import Struct


def always_valid() -> bool:
    """The check of a request that needs no key."""
    return True


class Authorization(Struct, frozen=True):
    """The authorization of one request; `is_valid` is called before each attempt to send it to a worker."""

    arrived_at: float  # when the first bytes of the request arrived, on the event loop's clock
    tenant: str = ""  # empty: the request has no key
    priority: int | None = None  # of the tenant; None: the priority of the route applies
    is_valid: Callable[[], bool] = always_valid
