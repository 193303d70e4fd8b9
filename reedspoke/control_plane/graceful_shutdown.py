"""Delays the end of a control plane node after SIGTERM until the other nodes no longer need its replica.

The replica may hold the only copy of the configuration. It therefore stays in the chain until its successor
has a copy, or until the platform's grace period is nearly over.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

PENDING_CALLS_TIMEOUT_S = 1.0  # the longest wait for responses to operators' pending calls
GRACE_MARGIN_S = 1.0  # The process ends this long before the platform would kill it.
CHECK_INTERVAL_S = 0.05
MIN_SHUTDOWN_S = 0.3  # time for the other nodes to reconfigure the chain without this replica
VIEW_PROPAGATION_S = 0.2  # time until the other nodes also know a view that this replica has received


class ReplicaStatus(Protocol):
    """The replica's status that the shutdown depends on."""

    @property
    def pending_calls(self) -> int:
        """The number of operators' calls that have no response yet."""

    @property
    def has_peer_not_draining(self) -> bool:
        """Whether any reachable replica is not shutting down itself."""


class GracefulShutdown:
    """Waits after SIGTERM. `grace_s` returns the platform's grace period in seconds."""

    def __init__(
        self, replica: ReplicaStatus, is_in_chain: Callable[[], bool], grace_s: Callable[[], float]
    ) -> None:
        self._replica = replica
        self._is_in_chain = is_in_chain
        self._grace_s = grace_s

    async def wait(self) -> None:
        """Return once the other nodes no longer need this replica, or the grace period is nearly over."""
        clock = asyncio.get_running_loop()
        started_at = clock.time()
        last_in_chain_at = started_at
        while not self._may_end(clock.time() - started_at, clock.time() - last_in_chain_at):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_in_chain():
                last_in_chain_at = clock.time()

    def _may_end(self, waited_s: float, out_of_chain_s: float) -> bool:
        if waited_s < MIN_SHUTDOWN_S:
            return False
        out_of_chain = out_of_chain_s >= VIEW_PROPAGATION_S
        if waited_s < PENDING_CALLS_TIMEOUT_S:
            return out_of_chain and not self._replica.pending_calls
        time_is_up = waited_s >= self._grace_s() - GRACE_MARGIN_S
        return time_is_up or out_of_chain or not self._replica.has_peer_not_draining
