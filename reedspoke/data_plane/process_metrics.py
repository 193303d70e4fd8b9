"""The figures of a data plane scheduler besides those of its requests."""

from __future__ import annotations

from typing import Protocol

from reedspoke.telemetry.metrics import Registry


class Told(Protocol):
    """What the figures are read from."""

    def is_ready(self) -> bool: ...

    def in_doubt(self) -> bool: ...

    def generation(self) -> int: ...

    def open_connections(self) -> int: ...

    def open_requests(self) -> int: ...

    def sound_sessions(self) -> int: ...

    def known_workers(self) -> int: ...

    def avoided_workers(self) -> int: ...


def add_process_figures(registry: Registry, told: Told) -> None:
    """Gauges of the process's state."""
    gauges = (
        ("ready", "Whether readiness is told.", told.is_ready),
        ("configuration_in_doubt", "Whether the configuration in force may be an old one.", told.in_doubt),
        ("configuration_generation", "Generation of the configuration in force.", told.generation),
        ("client_connections", "Connections of clients.", told.open_connections),
        ("open_requests", "Requests without a whole answer.", told.open_requests),
        ("control_sessions", "Sessions with control schedulers with a majority.", told.sound_sessions),
        ("workers", "Workers on the list.", told.known_workers),
        ("avoided_workers", "Workers that several schedulers suspect.", told.avoided_workers),
    )
    for name, help_text, read in gauges:
        registry.gauge(f"reedspoke_{name}", help_text, lambda read=read: float(read()))  # type: ignore[misc]
