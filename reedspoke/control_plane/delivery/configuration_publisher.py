"""Publishes committed configurations to data plane nodes, and says as of when the published one was the
newest.
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
    """Runs functions on another thread, one at a time, in order."""

    def call(self, function: Callable[[], Value]) -> asyncio.Future[Value]:
        """Run the function; the future has its result or its error."""


class ReplicaStatus(Protocol):
    """What the publisher needs of the replica."""

    def confirmed_as_of(self) -> float | None:
        """The time as of which what the replica has committed was the newest; None without a majority."""

    def holds_majority(self) -> bool:
        """Whether a majority of voters stands behind the replica at this instant."""


class ConfigurationPublisher:
    """Owns which committed configuration is the newest known here, and as of when the published one is
    confirmed.

    A large document is parsed on another thread, so a configuration is committed some time before it is
    published. Until then what is published is an old one. `on_published` is called with each newer
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
        """Parse and validate a document. The future has a FleetError where it is invalid."""
        return self._documents.call(lambda: self._cache.parse(document))

    def publish(self, committed: CommittedConfiguration) -> None:
        """Publish a configuration as soon as it is parsed."""
        self._newest_committed = committed
        prepared = self._documents.call(lambda: self._cache.prepare(committed))
        prepared.add_done_callback(self._prepared)

    def confirmed_as_of(self) -> float | None:
        """The time on the steady clock as of which the published configuration was certainly the newest.

        None while no majority stands behind the replica, and until the first time that it was known to be the
        newest.
        """
        as_of = self._replica.confirmed_as_of()
        if as_of is None:
            return None
        if self._cache.committed == self._newest_committed:
            self._published_as_of = as_of
        check(Invariant.STATE_HAS_GRANT, self._replica.holds_majority(), as_of=as_of)
        return self._published_as_of  # while a newer one is parsed: a time before that one was committed

    def _prepared(self, future: asyncio.Future[PreparedConfiguration]) -> None:
        error = future.exception()
        if error is not None:
            log(ERROR, "committed configuration cannot be read", message=str(error))
            return
        prepared = future.result()
        if self._cache.install(prepared):
            committed = prepared.committed
            log(INFO, "configuration in force", generation=committed.generation, sequence=committed.sequence)
            self._on_published(prepared.configuration)
