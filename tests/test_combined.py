"""Combined failures. The harness asserts the rules at each step; the tests assert that service goes on."""

from __future__ import annotations

from reedspoke import interface as api
from tests.world import MS, SECOND, World, entry, settings


def serve(
    world: World, span: int, *, hung: frozenset[str] = frozenset(), report: tuple[float, ...] = ()
) -> None:
    """Workers run two jobs at a time, 100 ms each; hung ones do nothing."""
    end = world.now + span
    while world.now < end:
        for worker in [name for name in world.cells if name not in hung]:
            for sent in world.in_flight_at(worker)[:2]:
                if not sent.started and world.config.reports_start:
                    world.start(sent)
                if sent.taken_up_at < 0:
                    sent.taken_up_at = world.now
                if world.now - sent.taken_up_at >= 100 * MS:
                    world.finish(sent, api.Reason.OK, report)
        world.advance(20 * MS)


def test_overload_by_one_tenant_while_workers_hang() -> None:
    world = World(settings(tenants={"calm": 1, "flood": 1}), [entry(f"w{i}") for i in range(6)])
    number = 0
    for _ in range(60):
        for tenant, count in (("flood", 6), ("calm", 1)):
            for _ in range(count):
                world.request(number, tenant=tenant)
                number += 1
        serve(world, 60 * MS, hung=frozenset({"w0", "w1"}))
    serve(world, 8 * SECOND)
    calm = [n for n in world.requests if world.requests[n].tenant == "calm"]
    served = sum(world.answers[n] == "ok" for n in calm)
    assert served >= 0.8 * len(calm), "the calm tenant is served in spite of the overload"
    assert not world.unanswered()


def test_frozen_and_missing_load_reports() -> None:
    config = settings(reports_start=False, report_fields=("queue", "x0"), progress_interval=0)
    for report in ((0.0, 2.0), ()):
        world = World(config, [entry("w0"), entry("w1")])
        for number in range(100):
            world.request(number)
            serve(world, 40 * MS, report=report)
        serve(world, 8 * SECOND, report=report)
        assert sum(answer == "ok" for answer in world.answers.values()) >= 90
        assert not world.unanswered()


def test_start_reports_that_never_come_though_configured() -> None:
    world = World(settings(), [entry(f"w{i}") for i in range(4)])
    for number in range(60):
        world.request(number)
        world.advance(60 * MS)
        for sent in [s for s in world.in_flight() if world.now - s.sent_at >= 100 * MS]:
            world.finish(sent, api.Reason.OK)
    world.advance(8 * SECOND)
    assert sum(answer == "ok" for answer in world.answers.values()) >= 50


def test_drain_of_all_workers_with_jobs_in_the_queue() -> None:
    world = World(settings(), [entry("w0")])
    for number in range(20):
        world.request(number)
    world.advance(100 * MS)
    world.update_workers([entry("w0", api.WorkerState.DRAINING)])
    serve(world, 8 * SECOND)
    assert not world.unanswered(), "requests that no worker can serve are answered all the same"
    assert "refused" in world.answers.values()


def test_list_out_of_reach_after_a_restart_with_a_stale_list() -> None:
    world = World(settings(list_on_request=True), [entry("gone"), entry("here")])
    world.advance(100 * MS)
    asked = world.list_requests
    assert asked >= 1
    for number in range(40):
        world.update_workers([], api.ListKind.LOST)
        world.request(number)
        for sent in world.in_flight_at("gone"):
            world.finish(sent, api.Reason.CONNECT_FAILED)
        serve(world, 300 * MS, hung=frozenset({"gone"}))
    serve(world, 8 * SECOND)
    assert world.list_requests > asked + 5, "it goes on requesting the list"
    assert sum(answer == "ok" for answer in world.answers.values()) >= 36


def test_nothing_grows_with_the_requests_served() -> None:
    world = World(settings(), [entry("w0"), entry("w1")])
    for number in range(300):
        world.request(number)
        serve(world, 20 * MS)
    serve(world, 8 * SECOND)
    world.check_freed()
    assert len(world.dispatcher.flows) == 1
    assert all(len(worker.cold_sends) == 0 for worker in world.dispatcher.workers.values())
