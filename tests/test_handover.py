"""Two processes of one scheduler: their shared listener, orders that apply to both, and common limits."""

from __future__ import annotations

import fcntl
import json
import signal
import time
from collections.abc import Callable
from pathlib import Path

import pytest

from reedspoke import interface as api
from reedspoke.net import effects as fx
from reedspoke.net import handover
from reedspoke.net.core import OPERATOR_DESCRIPTORS, Budget
from reedspoke.net.handover import ORDERS_FILE, Handover
from tests.peers import Node, Start, ask, took
from tests.test_reducer import ReducerHarness, arrived, listed


def wait_until_serving(node: Node) -> None:
    """Let the watch deliver a list, and wait until the process accepts clients."""
    node.watch.begin()
    node.list(*[host.entry() for host in node.hosts], full=True)
    node.watch.chunk(b"\n")
    while node.call("/v1/readyz").status != 200:
        pass


def test_a_successor_takes_over_without_refused_or_reset_clients(start: Start) -> None:
    """Guards the clients of a restart: the old process serves what it has accepted, idle connections are
    closed without a reset, and the new process serves new connections."""
    old = start(hosts=1, inherits=True)
    wait_until_serving(old)
    kept, busy = old.client(ask("1a")), old.client(ask("2b"))
    wires = [old.next_wire(), old.next_wire()]
    legs = {leg.fields["x-request-id"]: (wire, leg) for wire, leg in ((w, w.message()) for w in wires)}
    legs["1a"][0].serve(legs["1a"][1])
    assert kept.message().status == 200
    legs["2b"][0].begin()
    legs["2b"][0].state(legs["2b"][1], "started")
    new = start(beside=old)
    wait_until_serving(new)
    old.process.terminate()
    assert kept.ended()
    early = new.client(ask("3c"))
    wire = new.next_wire(*wires)
    wire.serve()
    assert early.message().status == 200
    legs["2b"][0].state(legs["2b"][1], "done", result="late")
    legs["2b"][0].end()
    answer = busy.message()
    assert (answer.status, answer.body, answer.fields["connection"]) == (200, b"late", "close")
    busy.close()
    assert old.process.wait(8) == 0
    again = new.client(ask("4d"))
    new.next_wire(wire).serve()
    assert again.message().status == 200, "the listener outlives the old process"


def test_a_request_concurrent_with_sigterm_is_served(start: Start) -> None:
    """Guards requests that are unread when SIGTERM is handled: both arrive while the process is stopped."""
    node = start(hosts=1, inherits=True)
    wait_until_serving(node)
    client = node.client(ask("1a"))
    wire = node.next_wire()
    wire.serve()
    assert client.message().status == 200
    node.process.send_signal(signal.SIGSTOP)
    client.send(ask("2b"))
    node.process.terminate()
    node.process.send_signal(signal.SIGCONT)
    node.next_wire(wire).serve()
    answer = client.message()
    assert (answer.status, answer.fields["connection"]) == (200, "close")


def test_accepts_no_clients_before_it_can_serve(start: Start) -> None:
    node = start(hosts=1, inherits=True)
    client = node.client(ask(deadline=4.0))
    assert node.call("/v1/readyz").status == 503
    assert node.quiet()
    since = time.monotonic()
    node.next_wire().serve()
    assert client.message().status == 200
    assert took(since) < 3.5, "it waits for the directory, but not for long"


def test_an_order_applies_to_both_processes_and_to_their_successors(start: Start) -> None:
    old = start(hosts=2, inherits=True)
    wait_until_serving(old)
    assert old.call("/v1/workers/s-0/suspend").status == 200
    assert old.call("/v1/scheduler/drain").status == 200
    new = start(beside=old)
    wait_until_serving(new)
    assert new.figures()["scheduler_ejected"] == 1
    assert new.ready() == 503
    assert old.stop() == 0
    assert new.call("/v1/scheduler/activate").status == 200
    newest = start(beside=new)
    wait_until_serving(newest)
    assert newest.ready() == 200
    assert newest.call("/v1/workers/s-0/resume").status == 200
    since = time.monotonic()
    while new.figures()["scheduler_ejected"]:
        assert took(since) < 0.5, "both processes check for orders continuously"


def test_an_id_open_in_one_process_is_refused_by_the_other(start: Start) -> None:
    """Guards jobs that must not run twice."""
    old = start(hosts=1, inherits=True)
    wait_until_serving(old)
    first = old.client(ask("1a", cls="book"))
    wire = old.next_wire()
    leg = wire.message()
    wire.begin()
    new = start(beside=old)
    wait_until_serving(new)
    old.process.terminate()
    old.logged("stopping")
    twin = new.client(ask("1a", cls="book"))
    assert twin.message().status == 400
    wire.state(leg, "done", result="once")
    wire.end()
    assert first.message().body == b"once"
    again = new.client(ask("1a", cls="book"))
    new.next_wire(wire).serve()
    assert again.message().status == 200, "the id is free after the authorisation has ended"


def test_a_killed_predecessor_does_not_block_its_successor(start: Start) -> None:
    old = start(hosts=1, inherits=True)
    wait_until_serving(old)
    busy = old.client(ask("1a"))
    wire = old.next_wire()
    old.process.kill()
    old.process.wait(8)
    busy.close()
    wire.close()
    new = start(beside=old)
    wait_until_serving(new)
    client = new.client(ask("1a"))
    new.next_wire().serve()
    assert client.message().status == 200
    old.process = new.process  # the old one has been killed on purpose


class Runtime:
    def __init__(self) -> None:
        self.events: list[fx.Event] = []

    def emit(self, event: fx.Event) -> None:
        self.events.append(event)


def make(folder: Path | None, name: str = "n0") -> tuple[Handover, list[fx.Event]]:
    runtime = Runtime()
    return Handover(runtime, name, folder), runtime.events  # type: ignore[arg-type]


def do(part: Handover, effect: fx.Effect) -> None:
    part.effects()[type(effect)](effect)


SUSPEND = fx.RecordOrder(7, fx.OperatorCommand.SUSPEND, "s-1", ("10.0.0.1", 80))
GOOD = {"name": "n0", "version": 5, "suspended": {"s-9": ["10.0.0.9", 80]}, "drained": False}


@pytest.mark.parametrize(
    "found",
    [b"", b'{"name":"n0","versi', b"\xff\x00", b"[]", json.dumps({**GOOD, "name": "other"}).encode(),
     json.dumps({**GOOD, "suspended": 3}).encode(), json.dumps({**GOOD, "version": -1}).encode(), None],
    ids=["empty", "torn", "garbage", "list", "foreign", "wrong", "stale", "folder"],
)  # fmt: skip
def test_unusable_orders_are_skipped_and_replaced(tmp_path: Path, found: bytes | None) -> None:
    part, events = make(tmp_path)
    if found is None:
        (tmp_path / ORDERS_FILE).mkdir()
    else:
        (tmp_path / ORDERS_FILE).write_bytes(found)
    do(part, fx.ReadSharedState())
    assert not events
    do(part, SUSPEND)
    if found is None:
        assert events == [fx.OrderNotRecorded(SUSPEND, again=False)]
    else:
        assert events == [fx.OrdersRecorded({"s-1": ("10.0.0.1", 80)}, False, 7)]
        other, other_events = make(tmp_path)
        do(other, fx.ReadSharedState())
        assert other_events == [fx.OrdersRecorded({"s-1": ("10.0.0.1", 80)}, False)]


def test_orders_fail_while_the_other_process_has_the_lock_and_are_idempotent(tmp_path: Path) -> None:
    part, events = make(tmp_path)
    with (tmp_path / f"{ORDERS_FILE}.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        do(part, SUSPEND)
        assert events == [fx.OrderNotRecorded(SUSPEND, again=True)]
    for _ in range(2):
        do(part, SUSPEND)
    assert events[1:] == [fx.OrdersRecorded({"s-1": ("10.0.0.1", 80)}, False, 7)] * 2


def test_an_order_that_cannot_be_stored_is_refused_in_time(start: Start) -> None:
    """Guards operators against a process that holds the lock and hangs."""
    node = start(hosts=1, inherits=True)
    wait_until_serving(node)
    with (node.config.parent / f"{ORDERS_FILE}.lock").open("w") as lock:
        fcntl.flock(lock, fcntl.LOCK_EX)
        since = time.monotonic()
        assert node.call("/v1/workers/s-0/suspend").status == 503
        assert took(since) < 1
    assert node.figures()["scheduler_ejected"] == 0
    assert node.call("/v1/workers/s-0/suspend").status == 200


@pytest.mark.parametrize("folder", [None, "/proc/none"])
def test_without_a_folder_nothing_is_shared(folder: str | None) -> None:
    part, events = make(Path(folder) if folder else None)
    do(part, fx.ReadSharedState())
    do(part, fx.PublishUsage(False, 1, {}, api.LearnedState()))
    do(part, SUSPEND)
    assert part.claim("a")
    assert events == [fx.OrdersRecorded({"s-1": ("10.0.0.1", 80)}, False, 7)]


def test_the_file_of_a_dead_process_is_removed(tmp_path: Path) -> None:
    part, events = make(tmp_path)
    left = tmp_path / f"{handover.PROCESS_FILE_PREFIX}dead"
    left.write_bytes(b'{"name":"n0","leaving":false,"descriptors":9,"slots":{}}')
    do(part, fx.ReadSharedState())
    assert not events
    assert not left.exists()


@pytest.mark.parametrize(
    ("leaving", "left"), [(False, lambda whole, _: whole // 2), (True, lambda whole, held: whole - held)]
)
def test_descriptors_are_shared_with_the_other_process(
    leaving: bool, left: Callable[[int, int], int]
) -> None:
    """Guards the limit on descriptors, which applies to both processes together."""
    play = ReducerHarness(Budget.of(256, 80, OPERATOR_DESCRIPTORS))
    partner = fx.SiblingProcess(leaving, 100, {"a": 2}, api.LearnedState())
    play.tell(listed("a"), fx.SiblingsReported((partner,)))
    assert play.reducer.budget == Budget.of(left(256, 100), 40, OPERATOR_DESCRIPTORS)
    play.tell(fx.SiblingsReported(()))
    assert play.reducer.budget == Budget.of(256, 80, OPERATOR_DESCRIPTORS)


def test_legs_of_the_other_process_count_towards_the_cap_of_a_host() -> None:
    play = ReducerHarness(Budget.of(256, 80, OPERATOR_DESCRIPTORS))
    play.tell(listed("a"), *[fx.ClientConnected(n) for n in range(1, 6)])
    play.tell(fx.SiblingsReported((fx.SiblingProcess(True, 50, {"a": 1}, api.LearnedState()),)))
    dialled = [
        effect
        for n in range(1, 4)
        for effect in play.tell(arrived(n))
        if isinstance(effect, fx.ConnectWorker)
    ]
    assert len(dialled) == 1, "its cap is 2, and the other process uses 1"
    dialled = [
        effect for effect in play.tell(fx.SiblingsReported(())) if isinstance(effect, fx.ConnectWorker)
    ]
    assert len(dialled) == 1


def test_a_resumed_worker_is_cold_and_its_failures_are_reset() -> None:
    play = ReducerHarness(Budget.of(256, 80, OPERATOR_DESCRIPTORS))
    play.tell(listed("a"))
    module = play.reducer.module
    worker = module.workers["a"]
    assert module.capacity_share(worker) == 1
    worker.success_rate, worker.connect_failures, worker.paused_until = 0.1, 5, play.now + 10**9
    module.handle(play.now, api.SuspensionChange("a", True))
    assert not module.available
    module.handle(play.now, api.SuspensionChange("a", False))
    assert module.available == [worker]
    assert module.capacity_share(worker) == module.rules.cold_min_share
    assert (worker.success_rate, worker.connect_failures, worker.paused_until) == (1.0, 0, 0)
