"""Load sharing between real processes, connected by the lab's relay, and its use in placement."""

from __future__ import annotations

import asyncio
import json
import threading
import time
from collections.abc import Coroutine, Iterator
from contextlib import closing
from pathlib import Path
from typing import Any

import pytest

from reedspoke.interface import PeerLoads
from reedspoke.lab.program import free_port
from reedspoke.lab.relay import Datagrams
from reedspoke.net.config import ConfigError, load
from tests.peers import Node, Start, Wire, ask
from tests.world import MS, World, entry, settings


class RelayThread:
    """Runs the lab's relay on an event loop in a thread of its own."""

    def __init__(self, count: int) -> None:
        self.listen = [free_port() for _ in range(count)]
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.relay = Datagrams(self.listen, 1)
        self.run(self.relay.open())

    def run(self, coroutine: Coroutine[Any, Any, None]) -> None:
        asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(5)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self.relay.close)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)


@pytest.fixture
def relay() -> Iterator[RelayThread]:
    with closing(RelayThread(2)) as one:
        yield one


def schedulers(start: Start, relay: RelayThread) -> list[Node]:
    """Two schedulers that share two hosts, each known to have one slot."""
    first = start(hosts=2, me=0, balancers=2, more=peer_settings(relay, 0), peer_messages=True)
    second = start(hosts_of=first, me=1, balancers=2, more=peer_settings(relay, 1), peer_messages=True)
    return [first, second]


def peer_settings(relay: RelayThread, number: int) -> dict[str, Any]:
    return {"peers": relay.relay.peers, "peer_listen": f"127.0.0.1:{relay.listen[number]}"}


def start_job(node: Node, name: str) -> tuple[Wire, int]:
    """Starts a job that keeps running. Returns the connection of its attempt and the port of its worker."""
    node.client(ask(name))
    leg = node.next_wire()
    message = leg.message()
    leg.begin()
    leg.state(message, "started")
    return leg, leg.sock.getsockname()[1]


def wait_for_a_report(node: Node) -> None:
    end = time.monotonic() + 8
    while not node.figures()["scheduler_peer_words_heard_total"]:
        assert time.monotonic() < end
        time.sleep(0.02)


def test_a_job_avoids_a_worker_that_another_scheduler_has_reserved(start: Start, relay: RelayThread) -> None:
    """Both workers seem idle until they send their own reports a second later."""
    one, two = schedulers(start, relay)
    first, port = start_job(one, "a")
    wait_for_a_report(two)
    second, other = start_job(two, "b")
    assert other != port
    wait_for_a_report(one)
    for wire in (first, second):
        wire.close()
    assert 0 < relay.relay.largest <= 256


@pytest.mark.parametrize(
    ("more", "key"),
    [
        ({"peers": ["nowhere"], "peer_listen": "127.0.0.1:9"}, "peers[0]"),
        ({"peers": ["127.0.0.1:8"]}, "peer_listen"),
    ],
)
def test_an_invalid_address_is_reported_with_its_key(
    start: Start, tmp_path: Path, more: dict[str, Any], key: str
) -> None:
    node = start(hosts=1)
    configuration = {**node.told, **more}
    configuration["settings"] = {
        **configuration["settings"],
        "ceilings": {**configuration["settings"]["ceilings"], "peer_messages": True},
    }
    file = tmp_path / "bad.json"
    file.write_text(json.dumps(configuration))
    with pytest.raises(ConfigError, match=key.replace("[", r"\[")):
        load({"PROXY_CONFIG": str(file)})
    configuration["settings"]["ceilings"]["peer_messages"] = False
    file.write_text(json.dumps(configuration))
    assert load({"PROXY_CONFIG": str(file)}).peers is None, "without peer messages the addresses are not read"


# ---- the decision module ----


def test_placement_considers_the_reservations_of_others() -> None:
    world = World(settings(scheduler_count=2), [entry("a"), entry("b")])
    for worker in world.dispatcher.workers.values():
        worker.peak_slots = 2
    world.handle(PeerLoads({"a": (2, 800.0 * MS)}))
    world.request(1)
    assert [sent.worker for sent in world.in_flight()] == ["b"]
    world.handle(PeerLoads({"b": (2, 800.0 * MS)}))
    world.request(2)
    assert [sent.worker for sent in world.in_flight()] == ["b", "a"], (
        "each report of loads replaces the last one"
    )


def test_a_job_waits_if_the_queues_of_others_would_delay_it() -> None:
    """Without this, the queues of several schedulers add up at the same worker.

    Seen in overload at the second deployment: four to six schedulers, each with a reservation at each of
    twelve hosts, queued three deep in two slots. A fifth of all answers was late, and the short class scored
    0.41.
    """
    world = World(settings(scheduler_count=2), [entry("a")])
    world.dispatcher.workers["a"].peak_slots = 2
    world.request(1, hint=200 * MS)
    world.start(world.in_flight()[0])
    world.handle(PeerLoads({"a": (4, 9_000.0 * MS)}))
    world.request(2, hint=200 * MS)
    assert len(world.in_flight()) == 1
    world.handle(PeerLoads({}))
    assert len(world.in_flight()) == 2
