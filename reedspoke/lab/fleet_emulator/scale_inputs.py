"""What scale runs feed the control plane with: long configurations, and long lists of workers that change."""

from __future__ import annotations

from reedspoke.cluster.configuration import Document, Route
from reedspoke.lab.fleet_emulator.layout import (
    HOSTNAME,
    MODEL_UPSTREAM,
    Layout,
    configuration,
    request_kinds,
    zone_of,
)
from reedspoke.lab.fleet_emulator.worker import WorkerProfile, WorkerState
from reedspoke.lab.fleet_emulator.worker_list import ListedWorker, listed

ROUTE_TIMEOUT_MS = 5000
HOLLOW_CAPACITY = 64
REPLACED_SHARE = 0.01  # of the workers, at each change of the list


def long_configuration(routes: int) -> Document:
    """A configuration with this many routes."""
    document = configuration(request_kinds(1.0))
    sample = document["routes"][0]
    for number in range(len(document["routes"]), routes):
        route: Route = {**sample}
        route["name"] = f"route-{number}"
        route["hostname"] = HOSTNAME
        route["path_prefix"] = f"/tenant-{number}/"
        route["timeout_ms"] = ROUTE_TIMEOUT_MS
        document["routes"].append(route)
    return document


def hollow_worker(layout: Layout, number: int) -> ListedWorker:
    """An entry of the list behind which there is nothing."""
    profile = WorkerProfile(
        instance_id=f"i-{number:08x}",
        upstream=MODEL_UPSTREAM,
        address=layout.worker(number),
        zone=zone_of(number),
        capacity=HOLLOW_CAPACITY,
        models=("m",),
    )
    return listed(profile, WorkerState.UP)


class HollowWorkers:
    """A list of hollow workers of one length, whose entries are replaced in turn."""

    def __init__(self, layout: Layout, count: int) -> None:
        self.entries: dict[str, ListedWorker] = {}
        self._layout = layout
        self._count = count
        self._made = 0
        self._add(count)

    def replace_oldest(self) -> None:
        """The oldest workers are gone, as many new ones have come."""
        replaced = max(1, int(self._count * REPLACED_SHARE))
        for name in list(self.entries)[:replaced]:
            del self.entries[name]
        self._add(replaced)

    def _add(self, count: int) -> None:
        for _ in range(count):
            entry = hollow_worker(self._layout, self._made)
            self.entries[entry.instance_id] = entry
            self._made += 1
