"""All that data plane schedulers can ask for: the versions of each source, and the encoded messages.

Each message is encoded once per version, however many ask for it.
"""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.common.messages import (
    CONFIGURATION,
    MEMBERS,
    NO_VERSION,
    WORKERS,
    Version,
    encode,
)
from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache
from reedspoke.control_plane.delivery.membership import Membership
from reedspoke.control_plane.workers.worker_list import WorkerListState, subtract_elapsed

WORKERS_FRAME_LIFE_S = 0.5  # a frame with workers that are still cold is older than this only in its encoding


ConfirmedAsOf = Callable[[], float | None]


class PublishedState:
    """The newest state of each source in this process.

    `confirmed_as_of` answers with the time as of which the configuration here was certainly the newest, on
    the steady clock; None while no majority stands behind this process.
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
        self._confirmed_as_of = confirmed_as_of
        self._workers_frame = b""
        self._workers_version = NO_VERSION
        self._workers_at = 0.0
        self._members_frame = b""
        self._members_version = NO_VERSION

    def confirmed_ago(self, now: float) -> float | None:
        """How long ago the configuration here was certainly the newest; None: it is not to be handed over."""
        as_of = self._confirmed_as_of()
        return None if as_of is None else max(0.0, now - as_of)

    def versions(self) -> dict[str, Version]:
        """The newest version of each source."""
        return {
            CONFIGURATION: self.configuration.version,
            WORKERS: self.workers.version,
            MEMBERS: self.membership.members.version,
        }

    def differs(self, held: dict[str, Version]) -> bool:
        """Whether the holder of these versions is to be told at once."""
        return (
            self.configuration.version > held.get(CONFIGURATION, NO_VERSION)
            or self.workers.version > held.get(WORKERS, NO_VERSION)
            or self.membership.members.version != held.get(MEMBERS, NO_VERSION)
        )

    def frame(self, source: str, have: Version, now: float) -> bytes | None:
        """The encoded message for a holder of `have`; None where there is none or it is not newer."""
        if source == CONFIGURATION:
            return self.configuration.frame(have)
        if source == WORKERS:
            return self.workers_frame(now) if self.workers.version > have else None
        return self._members(have) if source == MEMBERS else None

    def workers_frame(self, now: float) -> bytes | None:
        """The list of workers, encoded."""
        current = self.workers.current
        if current is None:
            return None
        cold = any(entry.cold_left_ms for entry in current.workers)
        stale = cold and now - self._workers_at > WORKERS_FRAME_LIFE_S
        if stale or current.version != self._workers_version:
            age_ms = (now - self.workers.received_at) * 1000
            self._workers_frame = encode(subtract_elapsed(current, age_ms))
            self._workers_version = current.version
            self._workers_at = now
        return self._workers_frame

    def _members(self, have: Version) -> bytes | None:
        members = self.membership.members
        if members.version == have:
            return None
        if members.version != self._members_version:
            self._members_frame = encode(members)
            self._members_version = members.version
        return self._members_frame
