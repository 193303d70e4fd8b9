"""Metrics of the reservations in Prometheus text format. Dashboards depend on the metric names."""

from __future__ import annotations

from reedspoke.booking.booking_node import BookingNode
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog


def metrics_text(node: BookingNode) -> str:
    """Return all reservation metrics of this scheduler."""
    text = _outcomes_text(node)
    if node.replicated_log is not None:
        text += _replicated_log_text(node.replicated_log)
    return text


def _outcomes_text(node: BookingNode) -> str:
    counts = sorted(node.service.outcome_counts.items())
    if not counts:
        return ""
    lines = [f'scheduler_bookings_told_total{{what="{status}"}} {count}\n' for status, count in counts]
    return "# TYPE scheduler_bookings_told_total counter\n" + "".join(lines)


def _replicated_log_text(replicated_log: ReplicatedLog) -> str:
    gauges = {
        "agreed": replicated_log.commit_index,
        "blank": int(replicated_log.recovering),
        "serving": int(replicated_log.serving),
    }
    text = "".join(
        f"# TYPE scheduler_record_{name} gauge\nscheduler_record_{name} {value}\n"
        for name, value in gauges.items()
    )
    unclean_recoveries = replicated_log.replica.unclean_recoveries
    return (
        text
        + f"# TYPE scheduler_record_torn_total counter\nscheduler_record_torn_total {unclean_recoveries}\n"
    )
