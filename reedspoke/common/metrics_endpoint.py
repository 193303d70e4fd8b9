"""The metrics endpoint of a process of the fleet, with the metrics of its invariants and unhandled errors."""

from __future__ import annotations

import asyncio

from reedspoke.common.json_log import ERROR, WARNING, log
from reedspoke.common.log_rate_limit import LogRateLimiter
from reedspoke.common.node_settings import NodeSettings
from reedspoke.common.unhandled_errors import unhandled_errors
from reedspoke.telemetry.invariants import Invariant, Violation, monitor
from reedspoke.telemetry.metrics import Registry
from reedspoke.telemetry.metrics_server import MetricsServer

VIOLATION_EVENT = "invariant violated"


async def serve_metrics(settings: NodeSettings, registry: Registry) -> MetricsServer | None:
    """Log violations of invariants from now on, and listen where `settings.metrics` says.

    None where the settings name no port, or the port is in use: that is logged, and the process goes on
    without.
    """
    add_invariant_metrics(registry)
    registry.gauge(
        "reedspoke_unhandled_errors_total",
        "Errors that no code has handled.",
        lambda: float(unhandled_errors.count),
    )
    log_violations(LogRateLimiter(asyncio.get_running_loop().time))
    port, slash, path = settings.metrics.partition("/")
    if not port.isdigit():
        return None
    server = MetricsServer(slash + path, registry.text)
    try:
        await server.listen(settings.ip_address, int(port))
    except OSError as error:
        log(WARNING, "metrics are not served", port=port, message=str(error))
        return None
    return server


def add_invariant_metrics(registry: Registry) -> None:
    """Add counters of how often each invariant was evaluated, and violated."""
    registry.labelled_gauge(
        "reedspoke_invariant_evaluations_total",
        "Evaluations of each invariant.",
        "invariant",
        lambda: {item.value: monitor.evaluated[item] for item in Invariant},
    )
    registry.labelled_gauge(
        "reedspoke_invariant_violations_total",
        "Evaluations that found the invariant broken.",
        "invariant",
        lambda: {item.value: monitor.violated[item] for item in Invariant},
    )


def log_violations(rate_limiter: LogRateLimiter) -> None:
    """Write each violation to the log from now on, within the rate limit."""

    def report(violation: Violation) -> None:
        if rate_limiter.allows():
            log(ERROR, VIOLATION_EVENT, invariant=violation.invariant.value, **violation.facts)

    monitor.report_to(report)
