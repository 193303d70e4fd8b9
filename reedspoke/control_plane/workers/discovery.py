"""The holder of the discovery lease polls the platform's list of workers and publishes changes.

A process that has just started and has no list polls once without the lease. After a loss of all control
plane nodes the lease cannot be granted until its full duration has passed, and an additional read does no
harm. The list that it reads has a lower version than that of any lease holder.

While the platform does not answer, the holder publishes the newest list again whenever the orders of
operators change, also if another process has published it: the list tells how the platform has the workers.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.messages import Version, WorkerEntry, WorkerList
from reedspoke.common.node_settings import CloudApi
from reedspoke.common.worker_lists import MarkedWorkers
from reedspoke.control_plane.workers.discovery_lease import DiscoveryLease, OutgoingMessage
from reedspoke.control_plane.workers.platform_client import PlatformClient, PlatformError, PlatformRateError
from reedspoke.control_plane.workers.platform_messages import PlatformPage, merge_pages
from reedspoke.control_plane.workers.worker_list import UNLEASED_TERM, WorkerListState

POLL_INTERVAL_S = 0.8  # interval between polls of the full list; the platform charges for each call
RETRY_BACKOFF_S = 0.25  # delay after a failed call
MAX_FAILURE_PERIOD_S = 1.0  # A holder whose calls fail for longer releases the lease to another node.
RATE_SHARE = 0.8  # used share of the platform's rate limit, as the previous holder may have just called
MIN_RATE_PER_S = 0.1
MAX_PAGES = 200
UNLEASED_VERSION: Version = (UNLEASED_TERM, 1)

Publish = Callable[[WorkerList], None]
# Marks the platform's entries by the orders of operators; returns None while these are unknown.
MarkWorkers = Callable[[tuple[WorkerEntry, ...]], MarkedWorkers | None]
Send = Callable[[list[OutgoingMessage]], None]


class WorkerDiscovery:
    """Polls while the lease is held. A task runs it for the lifetime of the process.

    It owns the connection to the platform and the newest response under the current lease. `worker_list` is
    the state that the process shares with the delivery to data plane nodes. `mark_workers` marks the
    platform's entries by the orders of operators.
    """

    def __init__(
        self,
        cloud_api: CloudApi,
        lease: DiscoveryLease,
        worker_list: WorkerListState,
        publish: Publish,
        send: Send,
        mark_workers: MarkWorkers = MarkedWorkers,
    ) -> None:
        self._lease = lease
        self._worker_list = worker_list
        self._publish = publish
        self._send = send
        self._mark_workers = mark_workers
        self._loop = asyncio.get_running_loop()
        self._failing_since: float | None = None
        self._lease_held = asyncio.Event()
        self._latest: tuple[WorkerEntry, ...] | None = None  # the platform's entries, read under this lease
        self._poll_failed = False  # whether a call under this lease has failed
        self._held_since = 0.0  # when this process noticed that it holds the lease
        self._cloud_api = cloud_api
        self._client = PlatformClient(cloud_api.address)

    def update_settings(self, cloud_api: CloudApi) -> None:
        """Apply settings that may have changed the address or rate limit of the platform's API."""
        if cloud_api.address != self._cloud_api.address:
            self._client.close()
            self._client = PlatformClient(cloud_api.address)
        self._cloud_api = cloud_api

    def check_lease(self) -> None:
        """Start or stop polling with the state of the lease; called periodically and when the lease changes.

        If another process has a newer list, or the marks of workers have changed, the platform's last
        response is published again without waiting for the next poll.
        """
        now = self._loop.time()
        if not self._lease.is_held(now):
            self._lease_held.clear()
            self._latest = None
            self._poll_failed = False
            return
        if not self._lease_held.is_set():
            self._held_since = now
            self._lease_held.set()
        if self._latest is not None:
            self._publish_again(self._latest)
        elif self._poll_failed or now - self._held_since > MAX_FAILURE_PERIOD_S:
            self._mark_newest_list(now)

    def _publish_again(self, entries: tuple[WorkerEntry, ...]) -> None:
        """Publish the platform's last response if it is no longer what was published last."""
        marked = self._mark_workers(entries)
        if marked is None:
            return
        if self._worker_list.is_behind() or not self._worker_list.is_marked_as(marked):
            self._publish_answer(entries)

    def _mark_newest_list(self, now: float) -> None:
        """Publish the newest list of any process again if its marks are outdated.

        Nothing is published while another process has a newer list, which would be replaced by an older one.
        """
        entries = self._worker_list.platform_entries(now)
        if entries is None or self._worker_list.is_behind():
            return
        marked = self._mark_workers(entries)
        if marked is not None and not self._worker_list.is_marked_as(marked):
            self._publish_answer(entries, is_answer=False)

    async def run(self) -> None:
        """Poll and publish in a loop until cancelled."""
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
        """Read the list once without the lease, unless a list arrives from another node first."""
        client = PlatformClient(self._cloud_api.address)
        while self._worker_list.current is None:
            try:
                pages = await self._fetch_pages(client, None)
            except PlatformError:
                await asyncio.sleep(RETRY_BACKOFF_S)
                continue
            assert pages is not None
            marked = self._mark_workers(merge_pages(pages))
            if marked is None:
                await asyncio.sleep(RETRY_BACKOFF_S)
                continue
            workers = WorkerList(UNLEASED_VERSION, marked.workers, marked.evacuated, marked.orders)
            if self._worker_list.adopt(workers, self._loop.time()):
                self._publish(workers)
        client.close()

    async def _poll(self) -> float:
        """Read the full list once, and return the time in seconds from the start of this poll to the next."""
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
        self._publish_answer(merge_pages(pages))
        return max(POLL_INTERVAL_S, len(pages) * self._call_interval_s())

    async def _fetch_pages(self, client: PlatformClient, term: int | None) -> list[PlatformPage] | None:
        """Fetch all pages under this term of the lease, or without the lease if `term` is None.

        Returns None if the lease ended between two pages, because a fenced holder must make no further calls.
        """
        pages = [await client.fetch_page(None)]
        while pages[-1].next_token is not None:
            if len(pages) >= MAX_PAGES:
                raise PlatformError("the platform's list has too many pages")
            await asyncio.sleep(self._call_interval_s())
            if term is not None and not self._is_held_under(term):
                return None
            pages.append(await client.fetch_page(pages[-1].next_token))
        return pages

    def _is_held_under(self, term: int) -> bool:
        return self._lease.is_held(self._loop.time()) and self._lease.term == term

    def _call_interval_s(self) -> float:
        """Return the interval between calls that stays below the platform's rate limit."""
        return 1.0 / max(MIN_RATE_PER_S, self._cloud_api.rate_per_s * RATE_SHARE)

    def _publish_answer(self, entries: tuple[WorkerEntry, ...], *, is_answer: bool = True) -> None:
        """Publish changes if the lease is still held. If the term is too low, first request a higher one.

        `is_answer` is whether the platform has answered with these entries under this lease.
        """
        now = self._loop.time()
        if not self._lease.is_held(now):
            return
        if is_answer:
            self._latest = entries
        marked = self._mark_workers(entries)
        if marked is None:
            return
        term_to_exceed = self._worker_list.term_to_exceed(self._lease.term)
        if term_to_exceed is not None:
            self._lease.require_term_above(term_to_exceed, now)
            return
        published = self._worker_list.update_from_platform(self._lease.term, marked, now)
        if published is not None:
            self._publish(published)

    def _handle_failure(self, reason: str) -> None:
        """Handle a failed call. A holder whose calls have failed for too long releases the lease."""
        now = self._loop.time()
        self._poll_failed = True
        if self._failing_since is None:
            log(WARNING, "platform listing failed", reason=reason)
            self._failing_since = now
        elif now - self._failing_since > MAX_FAILURE_PERIOD_S and self._lease.is_held(now):
            log(WARNING, "discovery lease released", term=self._lease.term)
            self._send(self._lease.step_down(now))
            self.check_lease()
