"""The holder of the lease calls the platform's list of workers, and publishes what is new.

A process that has just started and knows no list calls once without the lease: after a loss of all control
schedulers the lease cannot be granted before its longest term has passed, and a read harms nobody. What it
reads has a version below that of any holder.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from reedspoke.common.json_log import INFO, WARNING, log
from reedspoke.common.messages import Version, WorkerEntry, WorkerList
from reedspoke.common.node_settings import CloudApi
from reedspoke.control_plane.workers.duty_lease import DutyLease, Outgoing
from reedspoke.control_plane.workers.platform_client import PlatformClient, PlatformError, PlatformRateError
from reedspoke.control_plane.workers.worker_list import UNLEASED_TERM, PlatformPage, WorkerBook, merge_pages

LIST_INTERVAL_S = 0.8  # between calls of the whole list; each call has a price
RETRY_S = 0.25  # after a call that failed
FAILING_S = 1.0  # calls that fail for longer give the lease to another
RATE_SHARE = 0.8  # of the platform's rate, as the holder before may have called just now
MOST_PAGES = 200
UNLEASED_VERSION: Version = (UNLEASED_TERM, 1)

Publish = Callable[[WorkerList], None]
Send = Callable[[list[Outgoing]], None]


class ListDuty:
    """Runs for the life of the process; does something only while the lease is held."""

    def __init__(
        self, cloud_api: CloudApi, lease: DutyLease, book: WorkerBook, publish: Publish, send: Send
    ) -> None:
        self._lease = lease
        self._book = book
        self._publish = publish
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._failing_since: float | None = None
        self._held = asyncio.Event()
        self._latest: tuple[WorkerEntry, ...] | None = None  # from the platform, under this lease
        self._cloud_api = cloud_api
        self._client = PlatformClient(cloud_api.address)

    def settings_changed(self, cloud_api: CloudApi) -> None:
        """The platform's service may have another address or rate."""
        if cloud_api.address != self._cloud_api.address:
            self._client.close()
            self._client = PlatformClient(cloud_api.address)
        self._cloud_api = cloud_api

    def look(self) -> None:
        """Time has passed, or the lease has a new state."""
        if not self._lease.holds(self._loop.time()):
            self._held.clear()
            self._latest = None
            return
        self._held.set()
        if self._latest is not None and self._book.behind():
            self._answered(self._latest)

    async def run(self) -> None:
        """Call, publish, wait; until cancelled."""
        while True:
            if not self._held.is_set():
                self._client.close()
                self._failing_since = None
                await self._held.wait()
                log(INFO, "list duty taken", term=self._lease.term)
            began = self._loop.time()
            pause = await self._call()
            await asyncio.sleep(max(0.0, began + pause - self._loop.time()))

    async def first_list(self) -> None:
        """Read the list once without the lease, unless a list comes from elsewhere before."""
        client = PlatformClient(self._cloud_api.address)
        while self._book.current is None:
            try:
                pages = await self._pages(client, None)
            except (PlatformRateError, PlatformError):
                await asyncio.sleep(RETRY_S)
                continue
            assert pages is not None
            workers = WorkerList(UNLEASED_VERSION, merge_pages(pages))
            if self._book.adopt(workers, self._loop.time()):
                self._publish(workers)
        client.close()

    async def _call(self) -> float:
        """One call of the whole list; the time from its start to the next one."""
        try:
            pages = await self._pages(self._client, self._lease.term)
        except PlatformRateError:
            return LIST_INTERVAL_S
        except PlatformError as error:
            return self._failed(str(error))
        if pages is None:
            return 0.0
        if self._failing_since is not None:
            log(INFO, "platform list answers again")
            self._failing_since = None
        self._answered(merge_pages(pages))
        return max(LIST_INTERVAL_S, len(pages) * self._call_gap())

    async def _pages(self, client: PlatformClient, term: int | None) -> list[PlatformPage] | None:
        """All pages, called under this term of the lease; None: without the lease. The result is None where
        the lease has ended between two of them."""
        pages = [await client.page(None)]
        while pages[-1].next_token is not None:
            if len(pages) >= MOST_PAGES:
                raise PlatformError("the list has too many pages")
            await asyncio.sleep(self._call_gap())
            if term is not None and not self._holds(term):
                return None
            pages.append(await client.page(pages[-1].next_token))
        return pages

    def _holds(self, term: int) -> bool:
        return self._lease.holds(self._loop.time()) and self._lease.term == term

    def _call_gap(self) -> float:
        """Between two calls that keep the platform's rate."""
        return 1.0 / max(0.1, self._cloud_api.rate_per_s * RATE_SHARE)

    def _answered(self, entries: tuple[WorkerEntry, ...]) -> None:
        now = self._loop.time()
        if not self._lease.holds(now):
            return
        self._latest = entries
        above = self._book.needs_term_above(self._lease.term)
        if above is not None:
            self._lease.need_higher_term(above, now)
            return
        published = self._book.platform_answered(self._lease.term, entries, now)
        if published is not None:
            self._publish(published)

    def _failed(self, reason: str) -> float:
        now = self._loop.time()
        if self._failing_since is None:
            log(WARNING, "platform list fails", reason=reason)
            self._failing_since = now
        elif now - self._failing_since > FAILING_S and self._lease.holds(now):
            log(WARNING, "list duty given up", term=self._lease.term)
            self._send(self._lease.give_up(now))
            self.look()
        return RETRY_S
