"""Sums the load and the suspected workers that all data plane nodes report, for each worker."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping

from reedspoke.control_plane.peers.messages import SessionEntry

WorkerLoads = dict[str, tuple[int, int]]  # requests and prompt tokens in flight by instance id of the worker


class LoadTotals:
    """Owns the sums over the newest entry of each data plane node, as of the last `update`."""

    def __init__(self) -> None:
        self._running: WorkerLoads = {}
        self._running_of: dict[str, WorkerLoads] = {}
        self._suspects: Counter[str] = Counter()
        self._suspects_of: dict[str, tuple[str, ...]] = {}

    def update(self, entries: Mapping[str, SessionEntry]) -> None:
        """Recompute the sums from `entries`, the newest entry of each data plane node by name."""
        total: WorkerLoads = {}
        for entry in entries.values():
            for instance, (requests, tokens) in entry.running.items():
                all_requests, all_tokens = total.get(instance, (0, 0))
                total[instance] = (all_requests + requests, all_tokens + tokens)
        self._running = total
        self._running_of = {name: entry.running for name, entry in entries.items()}
        self._suspects = Counter(worker for entry in entries.values() for worker in entry.suspects)
        self._suspects_of = {name: entry.suspects for name, entry in entries.items() if entry.suspects}

    def running_except(self, node_name: str) -> WorkerLoads:
        """Return the load of each worker from all data plane nodes except this one."""
        own = self._running_of.get(node_name)
        if not own:
            return self._running
        others = dict(self._running)
        for instance, (requests, tokens) in own.items():
            all_requests, all_tokens = others[instance]
            if all_requests > requests or all_tokens > tokens:
                others[instance] = (all_requests - requests, all_tokens - tokens)
            else:
                del others[instance]
        return others

    def suspects_except(self, node_name: str) -> dict[str, int]:
        """Return how many data plane nodes, except this one, suspect each worker."""
        own = self._suspects_of.get(node_name)
        return dict(self._suspects - Counter(own) if own else self._suspects)
