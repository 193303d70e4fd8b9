"""Metrics of the state of a data plane process; those of its requests are in `request_log`."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from reedspoke.telemetry.metrics import Registry


class ProcessState(Protocol):
    """The state that the gauges are read from."""

    def is_ready(self) -> bool: ...

    def in_doubt(self) -> bool: ...

    def generation(self) -> int | None: ...

    def open_connections(self) -> int: ...

    def open_requests(self) -> int: ...

    def confirmed_sessions(self) -> int: ...

    def known_workers(self) -> int | None: ...

    def avoided_workers(self) -> int: ...


def register_process_metrics(registry: Registry, state: ProcessState) -> None:
    """Register a gauge for each method of `ProcessState`; what is not known yet (None) has no value."""
    gauges = (
        ("ready", "Whether readiness is state.", state.is_ready),
        ("configuration_in_doubt", "Whether the configuration in force may be an old one.", state.in_doubt),
        ("configuration_generation", "Generation of the configuration in force.", state.generation),
        ("client_connections", "Connections of clients.", state.open_connections),
        ("open_requests", "Requests without a whole answer.", state.open_requests),
        ("control_sessions", "Sessions with control schedulers with a majority.", state.confirmed_sessions),
        ("workers", "Workers on the list.", state.known_workers),
        ("avoided_workers", "Workers that several schedulers suspect.", state.avoided_workers),
    )
    for name, help_text, read in gauges:
        registry.gauge(f"reedspoke_{name}", help_text, _number(read))


def _number(read: Callable[[], float | None]) -> Callable[[], float | None]:
    """Read a flag or a count as a number."""

    def number() -> float | None:
        value = read()
        return None if value is None else float(value)

    return number
