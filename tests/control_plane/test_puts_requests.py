"""Requests between replicas: unique names, and replies that are late, duplicated or reordered."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from pathlib import Path

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.replication import replica_storage
from reedspoke.control_plane.replication.driver import ReplicaDriver, ReplicaEnvironment
from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.entry import CommittedConfiguration
from reedspoke.control_plane.replication.messages import GetReply, GetRequest, PutReply, PutRequest
from reedspoke.control_plane.replication.outbox import Outbox
from reedspoke.control_plane.replication.rejection_confirmation import RejectionConfirmer
from reedspoke.control_plane.replication.replica import Replica, ReplicaSettings
from reedspoke.control_plane.replication.view import Member, View
from tests.control_plane.schedule import Faults, Operator, check_end, come_back
from tests.control_plane.simulation import Simulation

STEPS = 25
MAX_EXTRA_DELAY_S = 2.5  # longer than the limit on an answer and than a repair
SHUFFLED = (PutRequest, PutReply, GetRequest, GetReply)


class ShufflingSimulation(Simulation):
    """Delivers requests and replies one to three times, each copy after a delay of its own."""

    shuffles = True

    def _transmit(self, sender: str, receiver: str, message: Struct, extra: float) -> None:
        if not (self.shuffles and isinstance(message, SHUFFLED)):
            super()._transmit(sender, receiver, message, extra)
            return
        for _ in range(self.random.randint(1, 3)):
            delay = self.random.choice([0.001, 0.02, 0.3, MAX_EXTRA_DELAY_S]) * self.random.random()
            super()._transmit(sender, receiver, message, delay)


@pytest.mark.parametrize("machines", [3, 5])
@pytest.mark.parametrize("seed", range(7000, 7030))
def test_requests_and_replies_in_any_order(seed: int, machines: int) -> None:
    tolerated = (machines - 1) // 2
    simulation = ShufflingSimulation(seed, machines=machines, tolerated=tolerated)
    simulation.settle()
    operator = Operator(simulation)
    faults = Faults(simulation, tolerated)
    for _ in range(STEPS):
        faults.act() if simulation.random.random() < 0.2 else operator.act()
        simulation.run(simulation.random.uniform(0.0, 0.4))
    come_back(simulation)
    simulation.run(MAX_EXTRA_DELAY_S)
    simulation.shuffles = False
    check_end(simulation)


# ---- request ids ----


class EmptyEnvironment(ReplicaEnvironment):
    """A process environment that does nothing."""

    def send(self, effect: SendMessage) -> None:
        """Do nothing."""

    def deliver(self, committed: CommittedConfiguration) -> None:
        """Do nothing."""

    def view_changed(self, view: View) -> None:
        """Do nothing."""

    def ticked(self) -> None:
        """Do nothing."""


def test_request_names_are_unique_to_each_incarnation(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Names are unique even with the same folder and the same clock reading, as after a reboot."""
    names: list[str] = []

    class RecordingReplica(Replica):
        def __init__(
            self, settings: ReplicaSettings, records: Sequence[bytes], now: float, incarnation: str
        ) -> None:
            names.append(f"{settings.folder_id}:{incarnation}")
            super().__init__(settings, records, now, incarnation)

    monkeypatch.setattr(replica_storage, "Replica", RecordingReplica)

    async def run_process() -> None:
        count = len(names)
        loop = asyncio.get_running_loop()
        monkeypatch.setattr(loop, "time", lambda: 1.0)
        settings = NodeSettings("node", "127.0.0.1", "za", data_dir=str(tmp_path))
        ReplicaDriver(settings, "127.0.0.1:1", EmptyEnvironment()).start()
        while len(names) == count:
            await asyncio.sleep(0)

    for _ in range(3):
        asyncio.run(run_process())
    assert len({name.partition(":")[0] for name in names}) == 1
    assert len(set(names)) == 3


def test_a_replica_does_not_choose_its_own_incarnation() -> None:
    settings = ReplicaSettings("f", "m1", "z", ("m1",), False, 0)
    with pytest.raises(TypeError, match="incarnation"):
        Replica(settings, [], 1.0)  # type: ignore[call-arg]


def test_two_incarnations_share_no_request_id() -> None:
    simulation = Simulation(seed=71)
    sent: set[str] = set()
    simulation.on_send = lambda effect: _note_request(effect, sent)
    simulation.settle()
    forwarder = simulation.chain()[-1]
    assert simulation.put_and_wait(forwarder, 0, 1, b"first") is None
    first = set(sent)
    simulation.kill(forwarder, restart_after=0.1)
    simulation.run(2.0)
    simulation.settle()
    sent.clear()
    assert simulation.put_and_wait(forwarder, 1, 2, b"second") is None
    assert first
    assert sent
    assert not first & sent


def _note_request(effect: SendMessage, sent: set[str]) -> None:
    if isinstance(effect.message, PutRequest):
        sent.add(effect.message.request_id)


# ---- confirmations of rejections ----


def _confirmer(name: str, outbox: Outbox) -> RejectionConfirmer:
    rejections = RejectionConfirmer(name, outbox)
    rejections.enter_view(1, Member(folder_id="t", address="tail"))
    return rejections


def _key(outbox: Outbox) -> str:
    (effect,) = (effect for effect in outbox.take_effects() if isinstance(effect, SendMessage))
    assert isinstance(effect.message, GetRequest)
    return effect.message.request_id


def test_a_late_confirmation_does_not_count_after_a_restart_of_the_head() -> None:
    outbox = Outbox("head", 10.0, 0)
    ends: list[bool] = []
    first_head = _confirmer("head:1", outbox)
    first_head.add("forwarder:1:1", 11.0, ends.append)
    late = GetReply(1, _key(outbox), ready=True)
    second_head = _confirmer("head:2", outbox)
    second_head.add("forwarder:1:1", 11.0, ends.append)
    key = _key(outbox)
    assert second_head.receive_reply(late)
    assert ends == []
    assert second_head.receive_reply(GetReply(1, key, ready=True))
    assert ends == [True]


def test_a_confirmation_counts_once_in_its_view_and_only_when_ready() -> None:
    outbox = Outbox("head", 10.0, 0)
    ends: list[bool] = []
    rejections = _confirmer("head:1", outbox)
    rejections.add("forwarder:1:1", 11.0, ends.append)
    key = _key(outbox)
    rejections.receive_reply(GetReply(1, key, ready=False))
    rejections.receive_reply(GetReply(2, key, ready=True))
    assert ends == []
    assert rejections.is_pending("forwarder:1:1")
    rejections.receive_reply(GetReply(1, key, ready=True))
    rejections.receive_reply(GetReply(1, key, ready=True))
    assert ends == [True]
    assert not rejections.is_pending("forwarder:1:1")


def test_a_rejection_that_is_not_confirmed_becomes_an_unclear_answer() -> None:
    simulation = Simulation(seed=72)
    simulation.settle()
    simulation.run(1.0)
    assert simulation.put_and_wait("m1", 0, 1, b"first") is None
    head, *_, tail = simulation.chain()
    simulation.cut(tail, head)
    assert simulation.put_and_wait(head, 0, 2, b"stale") is not None
    errors = [answer.error for answer in simulation.judge.put_answers.values()]
    assert errors == [None, ErrorCode.WRITE_UNCLEAR]
