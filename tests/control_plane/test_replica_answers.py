"""Answers to operators with slow or failing disks, short chains, outdated members and large documents."""

from __future__ import annotations

import pytest

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import SendMessage
from reedspoke.control_plane.replication.entry import ChangeId
from reedspoke.control_plane.replication.log_records import restore
from reedspoke.control_plane.replication.messages import AppendRequest
from reedspoke.control_plane.replication.settings import (
    LOG_REWRITE_THRESHOLD_BYTES,
    MAX_HISTORY_CHANGES,
    READ_LEASE_TTL_S,
)
from reedspoke.control_plane.storage.log_format import BATCH_COPIES
from tests.control_plane.schedule import come_back
from tests.control_plane.simulated_parts import DiskMode
from tests.control_plane.simulation import Simulation

ANSWER_LIMIT_S = 0.9 + 0.1  # the limit on an answer plus two ticks


@pytest.fixture
def core() -> Simulation:
    simulation = Simulation(seed=31)
    simulation.network.check_encoding = True
    simulation.settle()
    simulation.run(1.0)
    assert simulation.put_and_wait("m2", 0, 1, b"first") is None
    return simulation


def _error(simulation: Simulation, call: int) -> ErrorCode | None:
    return simulation.judge.put_answers[call].error


def test_no_configuration_yet() -> None:
    simulation = Simulation(seed=32)
    simulation.settle()
    answer = simulation.get_and_wait("m2")
    assert answer is not None
    assert answer.error is ErrorCode.NO_CONFIGURATION


def test_a_change_before_the_first_view_fails_at_once() -> None:
    simulation = Simulation(seed=33)
    simulation.start("m1")
    assert _error(simulation, simulation.put("m1", 0, 1, b"x")) is ErrorCode.NO_QUORUM


@pytest.mark.parametrize("address", ["m1", "m2", "m3"])
def test_stale_matches_are_rejected_and_future_ones_get_an_unclear_answer(
    core: Simulation, address: str
) -> None:
    assert core.put_and_wait(address, 0, 2, b"on nothing") is ErrorCode.CONFIGURATION_STALE_MATCH
    assert core.put_and_wait(address, 7, 8, b"on what is not there") is ErrorCode.WRITE_UNCLEAR
    assert core.put_and_wait(address, 1, 1, b"the same number") is ErrorCode.CONFIGURATION_OLD_GENERATION


def test_changes_submitted_at_once_are_accepted_in_order(core: Simulation) -> None:
    calls = [core.put("m1", generation, generation + 1, b"%d" % generation) for generation in range(1, 9)]
    core.run(1.0)
    assert [_error(core, call) for call in calls] == [None] * 8


def test_duplicates_of_a_change_in_flight_are_acknowledged_with_it(core: Simulation) -> None:
    calls = [core.put(address, 1, 2, b"second") for address in ("m1", "m2", "m3", "m1")]
    core.run(0.5)
    assert [_error(core, call) for call in calls] == [None] * 4


@pytest.mark.parametrize("mode", [DiskMode.FULL, DiskMode.FAILS])
def test_an_entry_whose_store_failed_at_the_head_is_not_forwarded(core: Simulation, mode: DiskMode) -> None:
    sent: list[SendMessage] = []
    core.on_send = sent.append
    head = core.chain()[0]
    core.set_disk(head, mode)
    call = core.put(head, 1, 2, b"second")
    core.run(0.05)
    assert _error(core, call) is ErrorCode.WRITE_UNCLEAR
    core.run(3.0)
    assert not [effect for effect in sent if isinstance(effect.message, AppendRequest)]
    core.on_send = None
    assert core.put_and_wait(core.chain()[0], 1, 3, b"another") is None
    come_back(core)
    answer = core.get_and_wait(head)
    assert answer is not None
    assert answer.committed is not None
    assert answer.committed.document == b"another"


def test_a_change_is_answered_in_time_despite_a_stalled_disk(core: Simulation) -> None:
    core.set_disk(core.chain()[0], DiskMode.STALLS)
    call = core.put("m3", 1, 2, b"second")
    core.run(ANSWER_LIMIT_S)
    assert call in core.judge.put_answers


def test_a_chain_that_is_too_short_acknowledges_nothing(core: Simulation) -> None:
    core.set_disk("m3", DiskMode.FULL)
    core.run(2.0)
    core.set_disk("m2", DiskMode.FULL)
    core.run(2.0)
    for address in core.machines:
        answer = core.put_and_wait(address, 1, 2, b"second")
        assert answer in (ErrorCode.NO_QUORUM, ErrorCode.WRITE_UNCLEAR)
    come_back(core)
    assert core.put_and_wait("m1", 1, 2, b"second") is None


def test_a_frozen_tail_answers_no_read_from_its_old_lease(core: Simulation) -> None:
    tail = core.chain()[-1]
    core.freeze(tail)
    core.run(2.0)
    assert core.put_and_wait(core.chain()[0], 1, 2, b"second") is None
    call = core.get(tail)
    core.thaw(tail)
    core.run(1.5)
    answer = core.judge.get_answers[call]
    assert answer.committed is None or answer.committed.generation == 2


def test_a_partitioned_tail_stops_answering_reads_before_a_new_view(core: Simulation) -> None:
    tail = core.chain()[-1]
    core.isolate(tail)
    cut_at = core.now
    assert core.run_until(lambda: core.chain()[-1] != tail, 3.0)
    assert core.now - cut_at >= READ_LEASE_TTL_S - 0.15
    call = core.get(tail)
    core.run(1.2)
    assert core.judge.get_answers[call].error is ErrorCode.NO_QUORUM


def test_a_partitioned_head_does_not_reject_a_change_acknowledged_by_others(core: Simulation) -> None:
    head = core.chain()[0]
    core.isolate(head)
    core.run(2.0)
    assert core.put_and_wait(core.chain()[0], 1, 2, b"second") is None
    for step in range(12):
        core.heal() if step == 4 else None
        call = core.put(head, 1, 2, b"second")
        core.run(0.02)
        if call in core.judge.put_answers:
            assert _error(core, call) in (None, ErrorCode.NO_QUORUM)
    core.run(1.5)


def test_a_large_document_is_sent_once_to_each_successor(core: Simulation) -> None:
    sent: list[SendMessage] = []
    core.on_send = sent.append
    document = b"x" * 4_000_000
    core.network.check_encoding = False
    assert core.put_and_wait("m2", 1, 2, document) is None
    large = [effect for effect in sent if isinstance(effect.message, AppendRequest)]
    assert len(large) == 2


def test_the_log_is_rewritten_before_it_grows_large(core: Simulation) -> None:
    document = b"x" * 1_000_000
    for generation in range(2, 30):
        assert core.put_and_wait("m1", generation - 1, generation, document + b"%d" % generation) is None
    for machine in core.machines.values():
        size = sum(map(len, machine.disk.records))
        assert BATCH_COPIES * size < LOG_REWRITE_THRESHOLD_BYTES + 4 * 2_000_000
    for address in core.machines:
        core.lose_power(address)
    core.run(1.0)
    core.settle()
    assert core.put_and_wait("m3", 28, 29, document + b"29") is None


def test_the_snapshot_restores_the_state(core: Simulation) -> None:
    assert core.put_and_wait("m2", 1, 2, b"second") is None
    core.run(0.5)
    for address, machine in core.machines.items():
        from_log = restore(machine.disk.records)
        from_snapshot = restore(core.replica(address).snapshot_records())
        assert from_snapshot.view == from_log.view
        assert from_snapshot.entry == from_log.entry
        assert from_snapshot.history == from_log.history
        assert from_snapshot.seeds == from_log.seeds
        assert from_snapshot.synced_since == from_log.synced_since


def test_the_history_is_bounded() -> None:
    assert MAX_HISTORY_CHANGES == 8192
    history = restore([]).history
    for generation in range(1, MAX_HISTORY_CHANGES + 2):
        history.add(ChangeId(generation, bytes(32)))
    assert len(history) == MAX_HISTORY_CHANGES
    assert history.oldest_generation == 2
