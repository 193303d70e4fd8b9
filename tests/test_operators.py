"""The operator API: its calls and metrics, suspended hosts, and draining of the scheduler."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator

import pytest

from reedspoke.net import metrics
from reedspoke.net.state import State, Worker
from tests.peers import Message, Node, Start, Wire, ask, nodes, took

COMPLETE_CALL = b"GET /v1/readyz HTTP/1.1\r\nHost: ops\r\n\r\n"


@pytest.mark.parametrize(
    ("call", "status"),
    [
        ("GET /v1/readyz", 200),
        ("GET /v1/metrics", 200),
        ("GET /v1/metrics?all=1", 200),
        ("GET /v1/nothing", 404),
        ("GET /", 404),
        ("POST /v1/workers//suspend", 404),
        ("POST /v1/workers/s-0/stop", 404),
        ("POST /v1/workers/never-listed/suspend", 404),
        ("POST /v1/workers/never-listed/resume", 404),
        ("POST /v1/workers/%73-0/suspend", 200),
        ("POST /v1/workers/%ff/suspend", 400),
        ("POST /v1/readyz", 405),
        ("GET /v1/scheduler/drain", 405),
        ("GET /v1/workers/s-0/resume", 405),
        ("GET nowhere", 400),
        ("no call at all", 400),
        (f"GET /{'x' * 8000}", 431),
    ],
    ids=lambda value: str(value)[:40],
)
def test_each_call_has_its_answer(node: Node, call: str, status: int) -> None:
    wire = node.caller(f"{call} HTTP/1.1\r\nHost: ops\r\n\r\n".encode())
    answer = wire.message()
    assert answer.status == status
    assert answer.fields["connection"] == "close"
    assert answer.fields.get("allow") == {405: "GET" if "readyz" in call else "POST"}.get(status)
    assert wire.ended()


@pytest.fixture(scope="module")
def node(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Node]:
    with nodes(tmp_path_factory.mktemp("operators")) as starter:
        yield starter(hosts=1)


def test_a_call_may_arrive_in_parts(node: Node) -> None:
    for at in range(1, len(COMPLETE_CALL)):
        wire = node.caller(COMPLETE_CALL[:at])
        wire.send(COMPLETE_CALL[at:])
        assert wire.message().status == 200


def test_incomplete_calls_delay_no_other_caller(node: Node) -> None:
    """Guards the operator API: with more of them than its limit, complete calls are answered within 1 s."""
    stalled = [node.caller(COMPLETE_CALL[: 3 * (at % 2)]) for at in range(40)]
    for _ in range(5):
        since = time.monotonic()
        assert node.call("/v1/readyz").status == 200
        assert took(since) < 1
    assert all(wire.ended() for wire in stalled), "they are closed in time"


def legs_by_name(*wires: Wire) -> dict[str, tuple[Wire, Message]]:
    legs = [(wire, wire.message()) for wire in wires]
    return {leg.fields["x-request-id"]: (wire, leg) for wire, leg in legs}


def test_metrics_count_jobs_and_reloads(start: Start) -> None:
    node = start(hosts=1)
    assert node.figures() == {
        **{f'scheduler_{end}_total{{service="{cls}"}}': 0
           for end in ("succeeded", "declined", "aborted") for cls in ("quote", "book", "store")},
        "scheduler_forwards_total": 0, "scheduler_sighup_applied_total": 0,
        "scheduler_sighup_rejected_total": 0, "scheduler_outstanding": 0, "scheduler_discovered": 1,
        "scheduler_ejected": 0,
    }  # fmt: skip
    served, lost = node.client(ask("1a")), node.client(ask("2b", cls="book"))
    legs = legs_by_name(node.next_wire(), node.next_wire())
    assert node.figures()["scheduler_outstanding"] == 2
    legs["1a"][0].serve(legs["1a"][1])
    legs["2b"][0].close()
    assert (served.message().status, lost.message().status) == (200, 502)
    node.reload("{")
    node.logged("the old configuration stays")
    found = node.figures()
    assert {name: value for name, value in found.items() if value} == {
        'scheduler_succeeded_total{service="quote"}': 1, 'scheduler_aborted_total{service="book"}': 1,
        "scheduler_forwards_total": 2, "scheduler_sighup_rejected_total": 1, "scheduler_discovered": 1,
    }  # fmt: skip


@pytest.mark.parametrize(
    ("cls", "shown"), [("a", '"a"'), ('a"b', r'"a\"b"'), ("a\\b", r'"a\\b"'), ("a\nb", r'"a\nb"')]
)
def test_label_values_are_escaped(cls: str, shown: str) -> None:
    state = State()
    state.metric_counters["declined", cls] = 3
    assert f"scheduler_declined_total{{service={shown}}} 3\n" in metrics.text(state, [cls], [])


def test_only_listed_hosts_count_as_ejected() -> None:
    state = State(workers={"a": Worker("a", ("127.0.0.1", 1), 0, 0)})  # type: ignore[arg-type]
    assert "scheduler_ejected 1\n" in metrics.text(state, [], ["a", "gone"])


def no_list(_: Node) -> None:
    pass


def listed_again(node: Node) -> None:
    node.watch.begin()
    node.list(node.hosts[0].entry(boot_ms=int(time.time() * 1000)), node.hosts[1].entry(), full=True)


def fresh_uid(node: Node) -> None:
    node.watch.begin()
    node.list({**node.hosts[0].entry(), "uid": "s-new"}, node.hosts[1].entry(), full=True)


@pytest.mark.parametrize("update", [no_list, listed_again, fresh_uid], ids=lambda update: update.__name__)
def test_a_suspended_host_gets_nothing_until_it_is_resumed(
    start: Start, update: Callable[[Node], None]
) -> None:
    """Guards suspensions: neither a list nor a new uid at the address of the host ends one."""
    node = start(hosts=2)
    for _ in range(2):
        assert node.call("/v1/workers/s-0/suspend").status == 200
    assert node.figures()["scheduler_ejected"] == 1
    update(node)
    node.hosts[0].sock.setblocking(False)
    other = node.hosts.pop(1)
    for number in range(4):
        client = node.client(ask(f"{number}"))
        wire = other.accept()
        wire.serve()
        assert client.message().status == 200
        wire.close()
    with pytest.raises(BlockingIOError):
        node.hosts[0].sock.accept()
    assert node.call("/v1/workers/s-0/resume").status == 200
    assert node.figures()["scheduler_ejected"] == 0


def test_a_drained_scheduler_closes_connections_until_it_is_activated(start: Start) -> None:
    node = start(hosts=1)
    kept, busy = node.client(ask("1a")), node.client(ask("2b"))
    first, second = node.next_wire(), node.next_wire()
    legs = legs_by_name(first, second)
    legs["2b"][0].begin()  # otherwise it would be cancelled as silent
    legs["2b"][0].state(legs["2b"][1], "started")
    legs["1a"][0].serve(legs["1a"][1])
    assert kept.message().fields["connection"] == "keep-alive"
    since = time.monotonic()
    assert node.call("/v1/scheduler/drain").status == 200
    assert node.ready() == 503
    assert node.call("/v1/readyz").status == 200, "it can serve"
    late = node.client(ask("3c"))
    node.next_wire(legs["1a"][0]).serve()
    assert late.message().fields["connection"] == "close"
    assert took(since) < 0.5, "requests that the load balancer still sends are served"
    assert kept.ended()
    assert 0.5 < took(since) < 2
    legs["2b"][0].state(legs["2b"][1], "done", result="fine")
    legs["2b"][0].end()
    answer = busy.message()
    assert (answer.status, answer.fields["connection"]) == (200, "close")
    assert node.call("/v1/scheduler/activate").status == 200
    assert node.ready() == 200
    again = node.client(ask("4d"))
    node.next_wire(first, second).serve()
    assert again.message().fields["connection"] == "keep-alive"
