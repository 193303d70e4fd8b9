"""The holder of the discovery lease polls the platform's list of workers, and publishes what has changed.

A process that has just started and knows no list polls once without the lease: after a loss of all control
schedulers the lease cannot be granted before its longest term has passed, and a read harms nobody. What it
reads has a version below that of any holder.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.messages import Version, WorkerEntry, WorkerList
from reedspoke.common.node_settings import CloudApi
from reedspoke.control_plane.workers.discovery_lease import DiscoveryLease, OutgoingMessage
from reedspoke.control_plane.workers.platform_client import PlatformClient, PlatformError, PlatformRateError
from reedspoke.control_plane.workers.platform_messages import PlatformPage, merge_pages
from reedspoke.control_plane.workers.worker_list import UNLEASED_TERM, WorkerListState

POLL_INTERVAL_S = 0.8  # between polls of the full list; each call has a price
RETRY_BACKOFF_S = 0.25  # after a call that failed
MAX_FAILURE_PERIOD_S = 1.0  # a holder whose calls fail for longer gives the lease to another
RATE_SHARE = 0.8  # of the platform's rate, as the holder before may have called just now
MIN_RATE_PER_S = 0.1
MAX_PAGES = 200
UNLEASED_VERSION: Version = (UNLEASED_TERM, 1)

Publish = Callable[[WorkerList], None]
# What is published of the platform's answer; None: that is not known yet.
AdjustWorkers = Callable[[tuple[WorkerEntry, ...]], tuple[WorkerEntry, ...] | None]
Send = Callable[[list[OutgoingMessage]], None]


class WorkerDiscovery:
    """Polls while the lease is held; a task of the process runs it from start to end.

    Owns the connection to the platform and the newest answer under the present lease. `worker_list` is the
    state that the process shares with the delivery to data plane nodes. `adjust_workers` turns the platform's
    answer into what is published.
    """

    def __init__(
        self,
        cloud_api: CloudApi,
        lease: DiscoveryLease,
        worker_list: WorkerListState,
        publish: Publish,
        send: Send,
        adjust_workers: AdjustWorkers = lambda entries: entries,
    ) -> None:
        self._lease = lease
        self._worker_list = worker_list
        self._publish = publish
        self._send = send
        self._adjust_workers = adjust_workers
        self._loop = asyncio.get_running_loop()
        self._failing_since: float | None = None
        self._lease_held = asyncio.Event()
        self._latest: tuple[WorkerEntry, ...] | None = None  # from the platform, under this lease
        self._adjusted: tuple[WorkerEntry, ...] | None = None  # what is published of it
        self._cloud_api = cloud_api
        self._client = PlatformClient(cloud_api.address)

    def update_settings(self, cloud_api: CloudApi) -> None:
        """The platform's API may have another address or rate."""
        if cloud_api.address != self._cloud_api.address:
            self._client.close()
            self._client = PlatformClient(cloud_api.address)
        self._cloud_api = cloud_api

    def check_lease(self) -> None:
        """Time has passed, or the lease has a new state: begin, end or go on accordingly.

        Where another process is known to hold a newer list, or workers are adjusted otherwise now, what the
        platform answered last is published anew, without waiting for the next poll.
        """
        if not self._lease.is_held(self._loop.time()):
            self._lease_held.clear()
            self._latest = None
            return
        self._lease_held.set()
        if self._latest is None:
            return
        if self._worker_list.is_behind() or self._adjust_workers(self._latest) != self._adjusted:
            self._take_answer(self._latest)

    async def run(self) -> None:
        """Poll, publish, wait; until cancelled."""
        while True:
            if not self._lease_held.is_set():
                self._client.close()
                self._failing_since = None
                await self._lease_held.wait()
                log(INFO, "discovery lease acquired", term=self._lease.term)
            began = self._loop.time()
            interval_s = await self._poll()
            await asyncio.sleep(max(0.0, began + interval_s - self._loop.time()))

    async def discover_without_lease(self) -> None:
        """Read the list once without the lease, unless a list comes from elsewhere before."""
        client = PlatformClient(self._cloud_api.address)
        while self._worker_list.current is None:
            try:
                pages = await self._fetch_pages(client, None)
            except PlatformError:
                await asyncio.sleep(RETRY_BACKOFF_S)
                continue
            assert pages is not None
            adjusted = self._adjust_workers(merge_pages(pages))
            if adjusted is None:
                await asyncio.sleep(RETRY_BACKOFF_S)
                continue
            workers = WorkerList(UNLEASED_VERSION, adjusted)
            if self._worker_list.adopt(workers, self._loop.time()):
                self._publish(workers)
        client.close()

    async def _poll(self) -> float:
        """Read the full list once; the time from the start of this poll to the next one, in seconds."""
        try:
            pages = await self._fetch_pages(self._client, self._lease.term)
        except PlatformRateError:
            return POLL_INTERVAL_S
        except PlatformError as error:
            self._handle_failure(str(error))
            return RETRY_BACKOFF_S
        if pages is None:
            return 0.0
        if self._failing_since is not None:
            log(INFO, "platform listing recovered")
            self._failing_since = None
        self._take_answer(merge_pages(pages))
        return max(POLL_INTERVAL_S, len(pages) * self._call_interval_s())

    async def _fetch_pages(self, client: PlatformClient, term: int | None) -> list[PlatformPage] | None:
        """All pages, called under this term of the lease; None: without the lease.

        The result is None where the lease has ended between two of them: a fenced holder calls no more.
        """
        pages = [await client.fetch_page(None)]
        while pages[-1].next_token is not None:
            if len(pages) >= MAX_PAGES:
                raise PlatformError("the list has too many pages")
            await asyncio.sleep(self._call_interval_s())
            if term is not None and not self._is_held_under(term):
                return None
            pages.append(await client.fetch_page(pages[-1].next_token))
        return pages

    def _is_held_under(self, term: int) -> bool:
        return self._lease.is_held(self._loop.time()) and self._lease.term == term

    def _call_interval_s(self) -> float:
        """Between two calls that keep the platform's rate."""
        return 1.0 / max(MIN_RATE_PER_S, self._cloud_api.rate_per_s * RATE_SHARE)

    def _take_answer(self, entries: tuple[WorkerEntry, ...]) -> None:
        """Publish what has changed, if the lease is still held; where needed get a higher term first."""
        now = self._loop.time()
        if not self._lease.is_held(now):
            return
        self._latest = entries
        self._adjusted = self._adjust_workers(entries)
        if self._adjusted is None:
            return
        term_to_exceed = self._worker_list.term_to_exceed(self._lease.term)
        if term_to_exceed is not None:
            self._lease.require_term_above(term_to_exceed, now)
            return
        published = self._worker_list.update_from_platform(self._lease.term, self._adjusted, now)
        if published is not None:
            self._publish(published)

    def _handle_failure(self, reason: str) -> None:
        """A call has failed; a holder that fails for too long gives the lease to another."""
        now = self._loop.time()
        if self._failing_since is None:
            log(WARNING, "platform listing failed", reason=reason)
            self._failing_since = now
        elif now - self._failing_since > MAX_FAILURE_PERIOD_S and self._lease.is_held(now):
            log(WARNING, "discovery lease released", term=self._lease.term)
            self._send(self._lease.step_down(now))
            self.check_lease()
