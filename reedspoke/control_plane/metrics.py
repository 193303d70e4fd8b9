"""Metrics of the state of a control plane node. `api/call_log.py` has those of operators' calls."""

from __future__ import annotations

from typing import Protocol

from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.telemetry.metrics import Registry


class MetricsSource(Protocol):
    """The values that the metrics read at each scrape."""

    def status(self) -> StatusAnswer:
        """Return the state of this node."""

    def open_sessions(self) -> int:
        """Return the number of connections from data plane nodes."""

    def pending_calls(self) -> int:
        """Return the number of operators' calls that have no response yet."""

    def disk_works(self) -> bool:
        """Return whether the data folder is open and its disk completes writes."""

    def tally_figures(self) -> dict[str, float]:
        """Return the metrics of this node's tallies by name."""


def add_state_metrics(registry: Registry, source: MetricsSource) -> None:
    """Register one labelled gauge for the node's state and one for its tallies."""

    def values() -> dict[str, float]:
        status = source.status()
        return {
            "view": status.view,
            "voters": len(status.voters),
            "chain": len(status.chain),
            "generation": status.generation or 0,
            "sequence": status.sequence,
            "edges": len(status.edges),
            "peers": len(status.peers),
            "workers": status.workers,
            "holds_list_duty": status.holds_list_duty,
            "holds_majority": status.holds_majority,
            "sessions": source.open_sessions(),
            "waiting_calls": source.pending_calls(),
            "disk_works": source.disk_works(),
        }

    registry.labelled_gauge("reedspoke_control_state", "State of this control scheduler.", "what", values)
    registry.labelled_gauge(
        "reedspoke_tally_state", "State of the tallies here.", "what", source.tally_figures
    )
