"""Tests of worker discovery against a fake platform, with and without the discovery lease."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import pytest

from reedspoke.common.messages import WorkerEntry, WorkerList, ZoneOrder
from reedspoke.common.node_settings import CloudApi
from reedspoke.common.worker_lists import MarkedWorkers, mark_evacuated
from reedspoke.control_plane.workers import discovery, platform_client
from reedspoke.control_plane.workers.discovery import WorkerDiscovery
from reedspoke.control_plane.workers.discovery_lease import DiscoveryLease, OutgoingMessage
from reedspoke.control_plane.workers.platform_client import PlatformClient, PlatformError, PlatformRateError
from reedspoke.control_plane.workers.worker_list import WorkerListState
from tests.control_plane_process.stand_ins import FakePlatform, platform_instance

OWN = "own"
ZONE = "za"  # of all workers of the platform


@pytest.fixture
def platform() -> Iterator[FakePlatform]:
    """Provide a fake platform with three workers."""
    made = FakePlatform("127.0.0.1")
    yield made
    made.close()


@pytest.fixture(autouse=True)
def _short_times(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(discovery, "POLL_INTERVAL_S", 0.05)
    monkeypatch.setattr(discovery, "RETRY_BACKOFF_S", 0.02)
    monkeypatch.setattr(discovery, "MAX_FAILURE_PERIOD_S", 0.2)
    monkeypatch.setattr(platform_client, "CALL_TIMEOUT_S", 0.3)


class DiscoveryHarness:
    """Worker discovery whose lease has one voter, this process."""

    def __init__(self, platform: FakePlatform, rate_per_s: float = 10_000.0) -> None:
        self.loop = asyncio.get_running_loop()
        self.lease = DiscoveryLease(OWN, self.loop.time(), fresh_fleet=True)
        self.worker_list = WorkerListState()
        self.published: list[WorkerList] = []
        self.drained = False
        self.known = True
        self.sent: list[OutgoingMessage] = []
        self.cloud_api = CloudApi(platform.address, rate_per_s)
        self.discovery = WorkerDiscovery(
            self.cloud_api,
            self.lease,
            self.worker_list,
            self.published.append,
            self.sent.extend,
            self.mark_workers,
        )

    def mark_workers(self, entries: tuple[WorkerEntry, ...]) -> MarkedWorkers | None:
        """Mark entries as the test sets it, or return None while the orders are unknown."""
        if not self.known:
            return None
        return mark_evacuated(entries, [ZoneOrder(ZONE, 1, self.drained)])

    def acquire_lease(self) -> None:
        """Make this process the only voter, which grants itself the lease."""
        self.lease.set_voters((OWN,))

    async def wait_until(self, condition: Callable[[], object]) -> None:
        """Tick the lease until the condition is true."""
        async with asyncio.timeout(5):
            while not condition():
                self.lease.tick(self.loop.time())
                self.discovery.check_lease()
                await asyncio.sleep(0.005)

    async def run_for(self, seconds: float) -> None:
        """Tick the lease for this time."""
        end = self.loop.time() + seconds
        await self.wait_until(lambda: self.loop.time() >= end)


def run_scenario(
    platform: FakePlatform,
    scenario: Callable[[DiscoveryHarness], Awaitable[None]],
    rate_per_s: float = 10_000.0,
) -> None:
    """Run the scenario with a running discovery task."""

    async def run() -> None:
        harness = DiscoveryHarness(platform, rate_per_s)
        task = asyncio.create_task(harness.discovery.run())
        await scenario(harness)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    asyncio.run(run())


def test_the_platform_is_not_called_without_the_lease(platform: FakePlatform) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        await harness.run_for(0.2)
        assert platform.calls == 0

    run_scenario(platform, scenario)


def test_the_holder_publishes_all_pages_and_every_change(platform: FakePlatform) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        assert [worker.instance_id for worker in harness.published[0].workers] == ["i-1", "i-2", "i-3"]
        await harness.run_for(0.2)
        assert len(harness.published) == 1
        platform.instances[2] = platform_instance("i-3", state="draining")
        await harness.wait_until(lambda: len(harness.published) == 2)
        assert [worker.draining for worker in harness.published[1].workers] == [False, False, True]

    run_scenario(platform, scenario)


@pytest.mark.parametrize("status", [500, 503, 404])
def test_a_holder_whose_calls_fail_releases_the_lease(platform: FakePlatform, status: int) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        platform.status = status
        await harness.wait_until(lambda: not harness.lease.is_held(harness.loop.time()))
        assert harness.worker_list.current == harness.published[0]

    run_scenario(platform, scenario)


def test_a_rate_limited_holder_keeps_the_lease(platform: FakePlatform) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        platform.status = 429
        await harness.run_for(0.6)
        assert harness.lease.is_held(harness.loop.time())

    run_scenario(platform, scenario)


def test_a_platform_that_does_not_respond_counts_as_failing(platform: FakePlatform) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        harness.discovery.update_settings(CloudApi(f"{host}:{port}", 1000.0))
        await harness.wait_until(lambda: harness.lease.is_held(harness.loop.time()))
        await harness.wait_until(lambda: not harness.lease.is_held(harness.loop.time()))
        assert harness.published == []
        server.close()

    run_scenario(platform, scenario)


def test_calls_stay_below_the_platforms_rate_limit(platform: FakePlatform) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.run_for(1.0)
        assert platform.calls <= 10

    run_scenario(platform, scenario, rate_per_s=10.0)


def test_a_newer_list_of_another_process_is_superseded_immediately(
    platform: FakePlatform, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "POLL_INTERVAL_S", 60.0)

    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        harness.worker_list.observe_version((70, 4))
        await harness.wait_until(lambda: len(harness.published) == 2)
        assert harness.published[1].version > (70, 4)
        assert harness.published[1].workers == harness.published[0].workers
        pages = 2
        assert platform.calls == pages

    run_scenario(platform, scenario)


def test_a_list_read_before_the_lease_was_lost_is_not_published_again(platform: FakePlatform) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        harness.lease.step_down(harness.loop.time())
        harness.discovery.check_lease()
        harness.worker_list.observe_version((70, 4))
        platform.status = 503
        await harness.run_for(0.3)
        assert len(harness.published) == 1

    run_scenario(platform, scenario)


def test_a_holder_fenced_between_two_pages_does_not_call_again(platform: FakePlatform) -> None:
    """Another process has published under a higher term, so the remaining pages are not requested."""

    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.wait_until(lambda: platform.calls == 1)
        harness.lease.set_voters(("another", "third"))  # This process cannot acquire the lease again.
        harness.lease.observe_term(harness.lease.term + 5)
        harness.discovery.check_lease()
        await harness.run_for(0.6)
        assert platform.calls == 1
        assert harness.published == []

    run_scenario(platform, scenario, rate_per_s=10.0)


def test_calls_share_one_connection_until_it_is_closed(platform: FakePlatform) -> None:
    async def run() -> None:
        client = PlatformClient(platform.address)
        pages = [await client.fetch_page(None)]
        while pages[-1].next_token is not None:
            pages.append(await client.fetch_page(pages[-1].next_token))
        assert [len(page.instances) for page in pages] == [2, 1]
        platform.status = 429
        with pytest.raises(PlatformRateError):
            await client.fetch_page(None)
        platform.status = 500
        with pytest.raises(PlatformError):
            await client.fetch_page(None)
        platform.status = 200
        assert len((await client.fetch_page(None)).instances) == 2
        client.close()
        assert len((await client.fetch_page(None)).instances) == 2
        client.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]",
        b'HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{"instances":[',
        b'HTTP/1.1 200 OK\r\nContent-Length: 16\r\n\r\n{"instances":[',
    ],
)
def test_a_malformed_response_is_an_error(answer: bytes) -> None:
    async def run() -> None:
        def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        with pytest.raises(PlatformError):
            await PlatformClient(f"{host}:{port}").fetch_page(None)
        server.close()

    asyncio.run(run())


def test_a_platform_that_closes_its_connections_is_called_on_new_ones(platform: FakePlatform) -> None:
    page = b'{"instances":[],"next_token":null}'
    head = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(page)

    async def run() -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + page)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        host, port = server.sockets[0].getsockname()
        client = PlatformClient(f"{host}:{port}")
        for _ in range(3):
            assert (await client.fetch_page(None)).instances == ()
        server.close()

    asyncio.run(run())


def test_a_list_read_without_the_lease_is_replaced_by_the_lease_holder(
    platform: FakePlatform,
) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        await harness.discovery.discover_without_lease()
        assert [workers.version for workers in harness.published] == [(0, 1)]
        harness.acquire_lease()
        await harness.wait_until(lambda: len(harness.published) == 2)
        assert harness.published[1].version[0] > 0
        assert harness.published[1].workers == harness.published[0].workers

    run_scenario(platform, scenario)


def test_the_first_list_is_requested_until_the_platform_responds(platform: FakePlatform) -> None:
    platform.status = 503

    async def scenario(harness: DiscoveryHarness) -> None:
        reading = asyncio.create_task(harness.discovery.discover_without_lease())
        await harness.run_for(0.2)
        assert harness.published == []
        platform.status = 200
        await harness.wait_until(lambda: harness.published)
        await reading

    run_scenario(platform, scenario)


def test_a_changed_order_is_published_without_the_platform(platform: FakePlatform) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        platform.status = 500
        await harness.run_for(0.2)
        harness.drained = True
        count = len(harness.published)
        await harness.wait_until(lambda: len(harness.published) > count)
        assert all(worker.draining for worker in harness.published[-1].workers)

    run_scenario(platform, scenario)


def test_a_changed_order_does_not_wait_for_the_next_poll(
    platform: FakePlatform, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(discovery, "POLL_INTERVAL_S", 60.0)

    async def scenario(harness: DiscoveryHarness) -> None:
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        harness.drained = True
        await harness.wait_until(lambda: len(harness.published) == 2)
        assert all(worker.draining for worker in harness.published[-1].workers)

    run_scenario(platform, scenario)


def test_nothing_is_published_while_the_orders_are_unknown(platform: FakePlatform) -> None:
    async def scenario(harness: DiscoveryHarness) -> None:
        harness.known = False
        task = asyncio.create_task(harness.discovery.discover_without_lease())
        harness.acquire_lease()
        await harness.run_for(0.3)
        assert harness.published == []
        harness.known = True
        await harness.wait_until(lambda: harness.published)
        await asyncio.wait_for(task, 5)

    run_scenario(platform, scenario)


def published_elsewhere(harness: DiscoveryHarness) -> WorkerList:
    """A list that another process has published, and this one has adopted."""
    up = WorkerEntry("i-1", "u1", "127.0.0.1:9", ZONE, "v1", 8, False)
    leaving = WorkerEntry("i-2", "u1", "127.0.0.1:9", ZONE, "v1", 8, True)
    marked = mark_evacuated((up, leaving), [ZoneOrder(ZONE, 1, harness.drained)])
    workers = WorkerList((1, 5), marked.workers, marked.evacuated, marked.orders)
    assert harness.worker_list.adopt(workers, harness.loop.time())
    harness.lease.observe_term(1)
    return workers


@pytest.mark.parametrize("first", [False, True], ids=["evacuated", "withdrawn"])
def test_a_holder_without_an_answer_marks_the_list_of_the_holder_before(
    platform: FakePlatform, first: bool
) -> None:
    """Guards against an order that nobody publishes once the lease has passed on in an outage."""
    platform.status = 503

    async def scenario(harness: DiscoveryHarness) -> None:
        harness.drained = first
        published_elsewhere(harness)
        harness.acquire_lease()
        await harness.run_for(0.1)
        assert harness.published == []
        harness.drained = not first
        await harness.wait_until(lambda: harness.published)
        (workers,) = harness.published
        assert workers.version[0] > 1
        assert [worker.draining for worker in workers.workers] == [not first, True]
        assert workers.evacuated == (() if first else ("i-1",))
        await harness.run_for(0.1)
        assert len(harness.published) == 1

    run_scenario(platform, scenario)


def test_a_holder_that_may_still_get_an_answer_does_not_mark_the_list_before(platform: FakePlatform) -> None:
    """The platform's next answer is newer than any list."""

    async def scenario(harness: DiscoveryHarness) -> None:
        published_elsewhere(harness)
        harness.drained = True
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        assert {worker.instance_id for worker in harness.published[0].workers} == {"i-1", "i-2", "i-3"}

    run_scenario(platform, scenario)


def test_an_older_list_is_not_marked_and_published_over_a_newer_one(platform: FakePlatform) -> None:
    platform.status = 503

    async def scenario(harness: DiscoveryHarness) -> None:
        published_elsewhere(harness)
        harness.worker_list.observe_version((1, 6))
        harness.drained = True
        harness.acquire_lease()
        await harness.run_for(0.3)
        assert harness.published == []

    run_scenario(platform, scenario)


@pytest.mark.parametrize("kind", ["rate limit", "silent"])
def test_a_holder_that_gets_no_answer_marks_the_list_of_the_holder_before(
    platform: FakePlatform, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Also where calls do not count as failed, or last long."""
    monkeypatch.setattr(platform_client, "CALL_TIMEOUT_S", 3.0)
    platform.status = 429

    async def scenario(harness: DiscoveryHarness) -> None:
        published_elsewhere(harness)
        if kind == "silent":
            server = await asyncio.start_server(lambda reader, writer: None, "127.0.0.1", 0)
            host, port = server.sockets[0].getsockname()
            harness.discovery.update_settings(CloudApi(f"{host}:{port}", 1000.0))
        harness.drained = True
        harness.acquire_lease()
        await harness.wait_until(lambda: harness.published)
        assert all(worker.draining for worker in harness.published[0].workers)

    run_scenario(platform, scenario)
