"""Metrics of the state of a control plane node. `api/call_log.py` has those of operators' calls."""

from __future__ import annotations

from typing import Protocol

from reedspoke.control_plane.api.schemas import StatusAnswer
from reedspoke.telemetry.metrics import Registry


class MetricsSource(Protocol):
    """The values that the metrics read at each scrape."""

    def is_open(self) -> bool:
        """Return whether the logs in the data folder are open, so that there is any state to tell."""

    def state(self) -> StatusAnswer:
        """Return the state of this node as far as it is known."""

    def open_sessions(self) -> int:
        """Return the number of connections from data plane nodes."""

    def pending_calls(self) -> int:
        """Return the number of operators' calls that have no response yet."""

    def disk_works(self) -> bool:
        """Return whether the data folder is open and its disk completes writes."""

    def tally_figures(self) -> dict[str, float]:
        """Return the metrics of this node's tallies by name."""


def add_state_metrics(registry: Registry, source: MetricsSource) -> None:
    """Register one labelled gauge for the node's state and one for its tallies.

    What the node does not know has no value: a 0 could not be told from none.
    """

    def values() -> dict[str, float]:
        state = source.state()
        stored = _stored_values(state) if source.is_open() else {}
        return stored | {
            "edges": len(state.edges),
            "peers": len(state.peers),
            "holds_list_duty": state.holds_list_duty,
            "holds_majority": state.holds_majority,
            "sessions": source.open_sessions(),
            "waiting_calls": source.pending_calls(),
            "disk_works": source.disk_works(),
        }

    registry.labelled_gauge("reedspoke_control_state", "State of this control scheduler.", "what", values)
    registry.labelled_gauge(
        "reedspoke_tally_state", "State of the tallies here.", "what", source.tally_figures
    )


def _stored_values(state: StatusAnswer) -> dict[str, float]:
    """The values that come from the node's logs and from other nodes, those that are known."""
    values = {
        "view": state.view,
        "voters": len(state.voters),
        "chain": len(state.chain),
        "generation": state.generation,
        "sequence": state.sequence,
        "workers": state.workers,
        "evacuated_zones": None if state.evacuated is None else len(state.evacuated),
    }
    return {name: value for name, value in values.items() if value is not None}
