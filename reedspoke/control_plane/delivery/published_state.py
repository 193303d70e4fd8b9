"""The state that data plane nodes can fetch: the version of each source and its encoded messages.

Each message is encoded once per version, regardless of how many nodes fetch it.
"""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.common.messages import (
    CONFIGURATION,
    EVACUATIONS,
    MEMBERS,
    NO_VERSION,
    WORKERS,
    EvacuationOrders,
    Version,
    WorkerList,
    ZoneOrder,
    encode,
)
from reedspoke.common.worker_lists import subtract_elapsed
from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache
from reedspoke.control_plane.delivery.membership import Membership
from reedspoke.control_plane.workers.worker_list import WorkerListState

# A list of workers that are still warming up contains their remaining times, so its encoding becomes
# outdated.
ENCODED_WORKERS_MAX_AGE_S = 0.5


ConfirmedAsOf = Callable[[], float | None]


class PublishedState:
    """The newest state of each source in this process. It owns only the encoded messages.

    `confirmed_as_of` returns the latest time, on the steady clock, at which this node's configuration was the
    newest, or None while this node has no contact with a majority. `evacuations` are the newest orders of
    operators, or None while this node does not know them.
    """

    def __init__(
        self,
        configuration: ConfigurationCache,
        workers: WorkerListState,
        membership: Membership,
        confirmed_as_of: ConfirmedAsOf,
    ) -> None:
        self.configuration = configuration
        self.workers = workers
        self.membership = membership
        self.evacuations: EvacuationOrders | None = None
        self._confirmed_as_of = confirmed_as_of
        self._encoded_workers = b""
        self._encoded_workers_version = NO_VERSION
        self._encoded_workers_at = 0.0
        self._encoded_members = b""
        self._encoded_members_version = NO_VERSION

    def confirmed_ago_s(self, now: float) -> float | None:
        """Return how long ago this node's configuration was confirmed as the newest.

        It is None while no state may be sent as current.
        """
        as_of = self._confirmed_as_of()
        return None if as_of is None else max(0.0, now - as_of)

    def set_evacuations(self, orders: tuple[ZoneOrder, ...], version: Version) -> bool:
        """Set the newest orders on zones. Return whether they have changed."""
        if self.evacuations is not None and self.evacuations.version == version:
            return False
        self.evacuations = EvacuationOrders(version, orders)
        return True

    def versions(self) -> dict[str, Version]:
        """Return the newest version of each source that is known."""
        versions = {
            CONFIGURATION: self.configuration.version,
            WORKERS: self.workers.version,
            MEMBERS: self.membership.members.version,
        }
        if self.evacuations is not None:
            versions[EVACUATIONS] = self.evacuations.version
        return versions

    def has_update_for(self, known_versions: dict[str, Version]) -> bool:
        """Return whether a node with these versions is to be notified immediately."""
        return (
            self.configuration.version > known_versions.get(CONFIGURATION, NO_VERSION)
            or self.workers.version > known_versions.get(WORKERS, NO_VERSION)
            or self.membership.members.version != known_versions.get(MEMBERS, NO_VERSION)
            or self._has_evacuations_for(known_versions)
        )

    def _has_evacuations_for(self, known_versions: dict[str, Version]) -> bool:
        """Return whether a node with these versions lacks the orders; earlier versions name none."""
        if self.evacuations is None or EVACUATIONS not in known_versions:
            return False
        return known_versions[EVACUATIONS] != self.evacuations.version

    def encoded_update(self, source: str, known_version: Version, now: float) -> bytes | None:
        """Return the message of a source for a node with `known_version`.

        It is None if the source is unknown, has no state yet or has nothing newer.
        """
        if source == CONFIGURATION:
            return self.configuration.encoded_update(known_version)
        if source == WORKERS:
            return self.encoded_workers(now) if self.workers.version > known_version else None
        if source == EVACUATIONS:
            return self._encoded_evacuations_update(known_version)
        return self._encoded_members_update(known_version) if source == MEMBERS else None

    def encoded_workers(self, now: float) -> bytes | None:
        """Return the encoded list of workers, or None before the first."""
        current = self.workers.current
        if current is None:
            return None
        warming_up = any(entry.cold_left_ms for entry in current.workers)
        outdated = warming_up and now - self._encoded_workers_at > ENCODED_WORKERS_MAX_AGE_S
        if outdated or current.version != self._encoded_workers_version:
            age_ms = (now - self.workers.received_at) * 1000
            entries = subtract_elapsed(current.workers, age_ms)
            self._encoded_workers = encode(
                WorkerList(current.version, entries, current.evacuated, current.orders)
            )
            self._encoded_workers_version = current.version
            self._encoded_workers_at = now
        return self._encoded_workers

    def _encoded_evacuations_update(self, known_version: Version) -> bytes | None:
        if self.evacuations is None or self.evacuations.version == known_version:
            return None
        return encode(self.evacuations)

    def _encoded_members_update(self, known_version: Version) -> bytes | None:
        members = self.membership.members
        if members.version == known_version:
            return None
        if members.version != self._encoded_members_version:
            self._encoded_members = encode(members)
            self._encoded_members_version = members.version
        return self._encoded_members
