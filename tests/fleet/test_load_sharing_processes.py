"""Several real processes that share their loads, with the lab's relay between them."""

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
    """The lab's relay on an event loop of its own, beside the processes that a test starts."""

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
    """Two that share two hosts of one slot each, as far as they know."""
    first = start(hosts=2, me=0, balancers=2, more=peer_settings(relay, 0), peer_messages=True)
    second = start(hosts_of=first, me=1, balancers=2, more=peer_settings(relay, 1), peer_messages=True)
    return [first, second]


def peer_settings(relay: RelayThread, number: int) -> dict[str, Any]:
    return {"peers": relay.relay.peers, "peer_listen": f"127.0.0.1:{relay.listen[number]}"}


def start_job(node: Node, name: str) -> tuple[Wire, int]:
    """A job that goes on running: the connection of its attempt, and the port of its worker."""
    node.client(ask(name))
    leg = node.next_wire()
    told = leg.message()
    leg.begin()
    leg.state(told, "started")
    return leg, leg.sock.getsockname()[1]


def wait_for_a_report(node: Node) -> None:
    end = time.monotonic() + 8
    while not node.figures()["scheduler_peer_words_heard_total"]:
        assert time.monotonic() < end
        time.sleep(0.02)


def test_a_job_goes_where_no_other_scheduler_has_one(start: Start, relay: RelayThread) -> None:
    """Both idle workers look alike until their own reports come, a second later."""
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
def test_a_bad_address_is_reported_by_its_key(
    start: Start, tmp_path: Path, more: dict[str, Any], key: str
) -> None:
    node = start(hosts=1)
    told = {**node.told, **more}
    told["settings"] = {
        **told["settings"],
        "ceilings": {**told["settings"]["ceilings"], "peer_messages": True},
    }
    file = tmp_path / "bad.json"
    file.write_text(json.dumps(told))
    with pytest.raises(ConfigError, match=key.replace("[", r"\[")):
        load({"PROXY_CONFIG": str(file)})
    told["settings"]["ceilings"]["peer_messages"] = False
    file.write_text(json.dumps(told))
    assert load({"PROXY_CONFIG": str(file)}).peers is None, "where messages are forbidden nobody looks"


# ---- the decision module ----


def test_placement_heeds_the_reservations_of_others() -> None:
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


def test_a_job_that_would_start_late_behind_the_others_waits_until_a_slot_is_free() -> None:
    """Seen in overload at the second deployment: four to six schedulers with a position at each of twelve
    hosts queued three deep in two slots; a fifth of all answers came too late, the short class got 0.41."""
    world = World(settings(scheduler_count=2), [entry("a")])
    world.dispatcher.workers["a"].peak_slots = 2
    world.request(1, hint=200 * MS)
    world.start(world.in_flight()[0])
    world.handle(PeerLoads({"a": (4, 9_000.0 * MS)}))
    world.request(2, hint=200 * MS)
    assert len(world.in_flight()) == 1
    world.handle(PeerLoads({}))
    assert len(world.in_flight()) == 2
