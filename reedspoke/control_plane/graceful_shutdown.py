"""How long a control plane node stays after SIGTERM: until the others can do without its replica.

The replica may hold a copy of the configuration that no other machine has yet, so it stays in the chain until
its successor has one, as long as the platform's grace period allows.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

PENDING_CALLS_S = 1.0  # pending calls of operators are awaited for so long
GRACE_MARGIN_S = 1.0  # the process ends so long before the platform would kill it
CHECK_INTERVAL_S = 0.05
MIN_STAY_S = 0.3  # for the others to go on without this replica
VIEW_PROPAGATION_S = 0.2  # once this replica knows that it is out of the chain, the others know it after this


class ReplicaStatus(Protocol):
    """What the shutdown needs of the replica."""

    @property
    def pending_calls(self) -> int:
        """Calls of operators without a response."""

    @property
    def has_peer_not_draining(self) -> bool:
        """Whether a replica in reach is not about to shut down."""


class GracefulShutdown:
    """Waits after SIGTERM; `grace_s` returns the seconds that the platform grants."""

    def __init__(
        self, replica: ReplicaStatus, is_in_chain: Callable[[], bool], grace_s: Callable[[], float]
    ) -> None:
        self._replica = replica
        self._is_in_chain = is_in_chain
        self._grace_s = grace_s

    async def wait(self) -> None:
        """Return as soon as the others can do without this replica, or its time is up."""
        clock = asyncio.get_running_loop()
        started_at = clock.time()
        last_in_chain_at = started_at
        while not self._may_end(clock.time() - started_at, clock.time() - last_in_chain_at):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_in_chain():
                last_in_chain_at = clock.time()

    def _may_end(self, waited_s: float, out_of_chain_s: float) -> bool:
        if waited_s < MIN_STAY_S:
            return False
        out_of_chain = out_of_chain_s >= VIEW_PROPAGATION_S
        if waited_s < PENDING_CALLS_S:
            return out_of_chain and not self._replica.pending_calls
        time_is_up = waited_s >= self._grace_s() - GRACE_MARGIN_S
        return time_is_up or out_of_chain or not self._replica.has_peer_not_draining
