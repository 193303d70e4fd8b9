"""Publishes committed configurations to data plane nodes.

It also knows the latest time at which the published configuration was confirmed to be the newest.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from reedspoke.common.configuration import Configuration
from reedspoke.common.json_log import ERROR, INFO, log
from reedspoke.control_plane.delivery.configuration_cache import ConfigurationCache, PreparedConfiguration
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.telemetry.invariants import Invariant, check

Value = TypeVar("Value")


class DocumentThread(Protocol):
    """Runs functions in order on another thread, one at a time."""

    def call(self, function: Callable[[], Value]) -> asyncio.Future[Value]:
        """Run the function. The future has its result or its exception."""


class ReplicaStatus(Protocol):
    """The replica's status that the publisher depends on."""

    def confirmed_as_of(self) -> float | None:
        """Return the time at which the replica's committed configuration was the newest, or None.

        It is None without contact with a majority.
        """

    def holds_majority(self) -> bool:
        """Return whether the replica currently has contact with a majority of voters."""


class ConfigurationPublisher:
    """Owns the newest committed configuration known here, and how recently the published one is confirmed.

    A large document is parsed on another thread, so a configuration is committed some time before it is
    published, and the published one is outdated in between. `on_published` is called with each newer
    configuration.
    """

    def __init__(
        self,
        cache: ConfigurationCache,
        documents: DocumentThread,
        replica: ReplicaStatus,
        on_published: Callable[[Configuration], None],
    ) -> None:
        self._cache = cache
        self._documents = documents
        self._replica = replica
        self._on_published = on_published
        self._newest_committed: CommittedConfiguration | None = None
        self._published_as_of: float | None = None

    def validate(self, document: bytes) -> asyncio.Future[Configuration]:
        """Parse and validate a document. The future raises FleetError if it is invalid."""
        return self._documents.call(lambda: self._cache.parse(document))

    def publish(self, committed: CommittedConfiguration) -> None:
        """Publish a committed configuration as soon as it is parsed."""
        self._newest_committed = committed
        prepared = self._documents.call(lambda: self._cache.prepare(committed))
        prepared.add_done_callback(self._preparation_done)

    def confirmed_as_of(self) -> float | None:
        """Return the latest time, on the steady clock, at which the published configuration was the newest.

        It is None while the replica has no contact with a majority, and until the published configuration was
        confirmed to be the newest for the first time.
        """
        as_of = self._replica.confirmed_as_of()
        if as_of is None:
            return None
        if self._cache.committed == self._newest_committed:
            self._published_as_of = as_of
        check(Invariant.STATE_HAS_GRANT, self._replica.holds_majority(), as_of=as_of)
        return self._published_as_of  # While a newer one is parsed, this is a time before its commit.

    def _preparation_done(self, future: asyncio.Future[PreparedConfiguration]) -> None:
        error = future.exception()
        if error is not None:
            log(ERROR, "committed configuration cannot be parsed; not published", message=str(error))
            return
        prepared = future.result()
        if self._cache.install(prepared):
            committed = prepared.committed
            log(INFO, "configuration in force", generation=committed.generation, sequence=committed.sequence)
            self._on_published(prepared.configuration)
