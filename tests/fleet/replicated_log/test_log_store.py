"""The log store: acknowledged entries survive restarts, incomplete files, a full disk and failed writes."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random

import pytest

from reedspoke.fleet.replicated_log.log_state import COMPACTION_THRESHOLD, LogEntry
from reedspoke.fleet.replicated_log.log_store import LogStore, LogStoreError
from reedspoke.fleet.replicated_log.messages import Append, AppendAccepted
from reedspoke.fleet.replicated_log.replicated_log import ReplicatedLog
from tests.fleet.replicated_log.simulated_voters import RETRANSMIT_INTERVAL_US, CommandList


def new_log() -> ReplicatedLog:
    return ReplicatedLog(1, (0, 1, 2), 5, CommandList(), RETRANSMIT_INTERVAL_US)


def log_with_entries(
    store: LogStore, seed: int, count: int = 60, states: list[list[LogEntry]] | None = None
) -> ReplicatedLog:
    """Returns a voter that has followed a leader, which sometimes changed and replaced entries."""
    random, replicated_log = Random(seed), new_log()
    state = replicated_log.state
    state.recovering = False
    term, index = 1, 0
    for _ in range(count):
        if random.random() < 0.1:
            term += 1
            index = random.randint(state.commit_index, index)
        index += 1
        previous_term = state.term_at(index - 1)
        commit_index = index - 1 if random.random() < 0.5 else state.commit_index
        message = Append(term, index, previous_term, term, commit_index, b"entry %d" % index)
        replicated_log.receive(0, message, 0)
        changes, state.unsaved_changes = state.unsaved_changes, []
        if changes:
            store.save(changes, replicated_log)
            if states is not None:
                states.append(list(state.entries))
    return replicated_log


def load(folder: Path) -> tuple[ReplicatedLog, str]:
    replicated_log, store = new_log(), LogStore(str(folder), "it")
    line = store.load(replicated_log)
    store.close()
    return replicated_log, line


@pytest.mark.parametrize("count", [1, 60, 2 * COMPACTION_THRESHOLD])
def test_acknowledged_entries_are_restored(tmp_path: Path, count: int) -> None:
    for seed in range(5):
        folder = tmp_path / str(seed)
        store = LogStore(str(folder), "it")
        replicated_log = log_with_entries(store, seed, count)
        restored, line = load(folder)
        assert not restored.recovering
        assert "from it.whole" in line
        assert restored.state.persistent_state() == replicated_log.state.persistent_state()
        assert restored.commit_index == replicated_log.state.snapshot_index
        store.close()


def test_a_log_truncated_at_any_byte_loses_only_its_last_item(tmp_path: Path) -> None:
    store, states = LogStore(str(tmp_path), "it"), list[list[LogEntry]]()
    replicated_log = log_with_entries(store, 3, 12, states)
    store.close()
    raw, last = (tmp_path / "it.log").read_bytes(), -1
    for end in range(len(raw)):
        (tmp_path / "it.log").write_bytes(raw[:end])
        restored, _ = load(tmp_path)
        entries = restored.state.entries
        at = max(at for at, state in enumerate(states) if state[: len(entries)] == entries)
        assert at >= last, "a longer log never restores an older state"
        last = at if entries == states[at] else last
    (tmp_path / "it.log").write_bytes(raw)
    assert load(tmp_path)[0].state.persistent_state() == replicated_log.state.persistent_state()


@pytest.mark.parametrize("damage", ["torn", "foreign", "other format", "corrupt", "none"])
def test_an_unreadable_state_is_reported_and_the_replica_recovers(tmp_path: Path, damage: str) -> None:
    store = LogStore(str(tmp_path), "it")
    log_with_entries(store, 1)
    store.close()
    file = tmp_path / "it.whole"
    raw = file.read_bytes()
    if damage == "none":
        file.unlink()
    else:
        file.write_bytes({
            "torn": raw[:-3], "foreign": b"#!/bin/sh\n", "other format": raw.replace(b" 1 ", b" 9 ", 1),
            "corrupt": raw[:80] + b"\x00" + raw[81:],
        }[damage])  # fmt: skip
    restored, line = load(tmp_path)
    assert restored.recovering
    assert ("starting without state" in line) == (damage != "none")


def test_a_log_of_another_generation_is_not_applied(tmp_path: Path) -> None:
    store = LogStore(str(tmp_path), "it")
    log_with_entries(store, 2, 10)
    old = (tmp_path / "it.log").read_bytes()
    replicated_log = log_with_entries(store, 2, 2 * COMPACTION_THRESHOLD)
    store.close()
    (tmp_path / "it.log").write_bytes(old)
    restored, line = load(tmp_path)
    assert restored.state.snapshot_index == replicated_log.state.snapshot_index
    assert line.endswith(" 0 changes")


@pytest.mark.parametrize("fails", ["fsync", "write"])
def test_a_failed_write_is_reported_and_the_voter_sends_nothing(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str
) -> None:
    store, replicated_log = LogStore(str(tmp_path), "it"), new_log()
    replicated_log.state.recovering = False
    store.save([], replicated_log)
    (answer,) = replicated_log.receive(0, Append(1, 1, 0, 1, 0, b"x"), 0)
    assert isinstance(answer.message, AppendAccepted), "it is sent only after the change is stored"

    def no_space(*_: object) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, fails, no_space)
    with pytest.raises(LogStoreError, match="No space left"):
        store.save(replicated_log.state.unsaved_changes, replicated_log)
    replicated_log.fail_storage()
    assert replicated_log.receive(0, Append(1, 2, 1, 1, 0, b"y"), 0) == []
    assert replicated_log.tick(RETRANSMIT_INTERVAL_US * 9) == []


def test_a_directory_that_other_users_can_write_to_is_rejected(tmp_path: Path) -> None:
    (tmp_path / "open").mkdir(mode=0o777)
    (tmp_path / "open").chmod(0o777)
    with pytest.raises(LogStoreError, match="other users can write"):
        LogStore(str(tmp_path / "open"), "it")
