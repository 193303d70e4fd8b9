"""The metrics of a control plane node's state; those of operators' calls are in `api/call_log.py`."""

from __future__ import annotations

from typing import Protocol

from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.telemetry.metrics import Registry


class MetricsSource(Protocol):
    """What the metrics are read from at each scrape."""

    def status(self) -> StatusAnswer:
        """The state of this node."""

    def open_sessions(self) -> int:
        """Connections of data plane nodes."""

    def pending_calls(self) -> int:
        """Calls of operators without a response."""

    def disk_works(self) -> bool:
        """Whether the data folder is open and its disk answers."""

    def tally_figures(self) -> dict[str, float]:
        """Numbers of the tallies here."""


def add_state_metrics(registry: Registry, source: MetricsSource) -> None:
    """Add a gauge for each number of the node's state."""

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
