"""A member that lost both copies of its newest synced batch detects it by messages of others and rejoins."""

from __future__ import annotations

import pytest
from msgspec import Struct

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.events import MessageReceived
from reedspoke.control_plane.replication.log_records import EntryRecord, encode_record
from reedspoke.control_plane.replication.messages import (
    AppendRequest,
    CommitNotification,
    Heartbeat,
    SuccessorStatus,
)
from reedspoke.control_plane.storage.log_format import encode_batch
from tests.control_plane.simulated_files import SimulatedFiles
from tests.control_plane.storage_simulation import StorageSimulation

POSITIONS = {"head": 0, "middle": 1, "tail": 2}
CATCH_UP_S = 4.0
CHANGES = 3


def _fleet(monkeypatch: pytest.MonkeyPatch, seed: int) -> StorageSimulation:
    simulation = StorageSimulation(monkeypatch, seed)
    simulation.settle()
    simulation.run(1.0)
    for generation in range(CHANGES):
        assert simulation.put_and_wait("m1", generation, generation + 1, b"document %d" % generation) is None
    simulation.run(0.3)
    return simulation


def _lose_newest_entry(simulation: StorageSimulation, address: str) -> None:
    """Kill the process, and overwrite both copies of its newest batch."""
    entry = simulation.replica(address)._register.entry
    assert entry is not None
    batch = encode_batch([encode_record(EntryRecord(entry))])
    simulation.kill(address, restart_after=None)
    disk = simulation.disk(address)
    ((name, content),) = disk.files.after_kill().items()
    assert content.endswith(batch)
    disk.files = SimulatedFiles({name: content[: -len(batch)] + bytes(len(batch))})


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("seed", range(3))
def test_a_member_that_lost_its_newest_entry_rejoins(
    monkeypatch: pytest.MonkeyPatch, seed: int, position: str
) -> None:
    simulation = _fleet(monkeypatch, seed)
    address = simulation.chain()[POSITIONS[position]]
    view = simulation.newest_view()
    assert view is not None
    _lose_newest_entry(simulation, address)
    simulation.run(0.1)
    simulation.start(address)
    assert simulation.replica(address)._register.generation == CHANGES - 1
    for _ in range(60):
        for asked in simulation.machines:
            simulation.get(asked)
        simulation.run(0.02)
    assert simulation.run_until(simulation.all_in_chain, CATCH_UP_S)
    for asked in simulation.machines:
        answer = simulation.get_and_wait(asked)
        assert answer is not None
        assert answer.committed is not None
        assert answer.committed.generation == CHANGES
    error = simulation.put_and_wait(address, CHANGES, CHANGES + 1, b"next")
    assert error is None


@pytest.mark.parametrize("source", ["successor", "tail", "ping"])
def test_a_member_that_learns_of_a_lost_entry_leaves_the_chain(
    monkeypatch: pytest.MonkeyPatch, source: str
) -> None:
    simulation = _fleet(monkeypatch, 1)
    head, middle, _ = simulation.chain()
    view = simulation.newest_view()
    assert view is not None
    link = view.chain[1]
    messages: dict[str, Struct] = {
        "successor": SuccessorStatus(view.number, link.member.folder_id, link.joined_view, True, CHANGES + 1),
        "tail": CommitNotification(view.number, CHANGES + 1),
        "ping": Heartbeat(link.member, view.number, (), True, 0, CHANGES + 1),
    }
    assert simulation.replica(head).in_chain
    simulation.inject(head, MessageReceived(middle, messages[source]))
    assert not simulation.replica(head).in_chain
    assert simulation.run_until(lambda: simulation.chain()[0] == middle, CATCH_UP_S)
    simulation.settle()


def test_a_head_accepts_no_change_before_its_successor_has_sent_its_state(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Otherwise it might replace an entry that it has lost by another one."""
    simulation = _fleet(monkeypatch, 1)
    head = simulation.chain()[0]
    appended: list[AppendRequest] = []

    def fault(_: str, receiver: str, message: Struct) -> list[float]:
        if isinstance(message, AppendRequest):
            appended.append(message)
        return [] if receiver == head and isinstance(message, SuccessorStatus) else [0.0]

    simulation.kill(head, restart_after=0.1)
    simulation.message_fault = fault
    simulation.run(0.5)
    before = simulation.replica(head)._register.sequence
    call = simulation.put(head, CHANGES, CHANGES + 1, b"next")
    simulation.run(1.5)
    assert simulation.judge.put_answers[call].error in (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR)
    assert simulation.replica(head)._register.sequence == before
    assert appended == []
    simulation.message_fault = None
    simulation.run(0.5)
    assert simulation.put_and_wait(head, CHANGES, CHANGES + 1, b"next") is None
