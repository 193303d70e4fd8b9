"""A record in a folder: what was confirmed is there again, whatever tears, fills up or fails."""

from __future__ import annotations

import os
from pathlib import Path
from random import Random

import pytest

from reedspoke.fleet.log_messages import Append, Confirm
from reedspoke.fleet.record import KEEP, Record
from reedspoke.fleet.shelf import Shelf, ShelfError
from tests.fleet.recordplay import PACE, Notes


def fresh() -> Record:
    return Record(1, (0, 1, 2), 5, Notes(), PACE)


def grown(
    shelf: Shelf, seed: int, count: int = 60, states: list[list[tuple[int, bytes]]] | None = None
) -> Record:
    """A granter that has heard a holder, and another one that goes on otherwise now and then."""
    lot, record = Random(seed), fresh()
    record.blank = False
    token, number = 1, 0
    for _ in range(count):
        if lot.random() < 0.1:
            token += 1
            number = lot.randint(record.agreed, number)
        number += 1
        before = record.token_at(number - 1)
        agreed = number - 1 if lot.random() < 0.5 else record.agreed
        record.hear(0, Append(token, number, before, token, agreed, b"entry %d" % number), 0)
        changes, record.changes = record.changes, []
        if changes:
            shelf.keep(changes, record)
            if states is not None:
                states.append(list(record.entries))
    return record


def loaded(folder: Path) -> tuple[Record, str]:
    record, shelf = fresh(), Shelf(str(folder), "it")
    line = shelf.load(record)
    shelf.close()
    return record, line


@pytest.mark.parametrize("count", [1, 60, 4 * KEEP])
def test_what_was_confirmed_is_there_again(tmp_path: Path, count: int) -> None:
    for seed in range(5):
        folder = tmp_path / str(seed)
        shelf = Shelf(str(folder), "it")
        record = grown(shelf, seed, count)
        again, line = loaded(folder)
        assert not again.blank
        assert "from it.whole" in line
        assert again.whole() == record.whole()
        assert again.agreed == record.base
        shelf.close()


def test_a_log_torn_at_any_byte_loses_its_last_item_alone(tmp_path: Path) -> None:
    shelf, states = Shelf(str(tmp_path), "it"), list[list[tuple[int, bytes]]]()
    record = grown(shelf, 3, 12, states)
    shelf.close()
    raw, last = (tmp_path / "it.log").read_bytes(), -1
    for cut in range(len(raw)):
        (tmp_path / "it.log").write_bytes(raw[:cut])
        again, _ = loaded(tmp_path)
        at = max(at for at, state in enumerate(states) if state[: len(again.entries)] == again.entries)
        assert at >= last, "never an older state than a shorter log gives"
        last = at if again.entries == states[at] else last
    (tmp_path / "it.log").write_bytes(raw)
    assert loaded(tmp_path)[0].whole() == record.whole()


@pytest.mark.parametrize("what", ["torn", "foreign", "other form", "garbled", "none"])
def test_a_state_that_cannot_be_read_is_told_and_begins_blank(tmp_path: Path, what: str) -> None:
    shelf = Shelf(str(tmp_path), "it")
    grown(shelf, 1)
    shelf.close()
    file = tmp_path / "it.whole"
    raw = file.read_bytes()
    if what == "none":
        file.unlink()
    else:
        file.write_bytes({
            "torn": raw[:-3], "foreign": b"#!/bin/sh\n", "other form": raw.replace(b" 1 ", b" 9 ", 1),
            "garbled": raw[:80] + b"\x00" + raw[81:],
        }[what])  # fmt: skip
    again, line = loaded(tmp_path)
    assert again.blank
    assert ("remembers nothing" in line) == (what != "none")


def test_a_log_of_another_state_is_not_added_to_it(tmp_path: Path) -> None:
    shelf = Shelf(str(tmp_path), "it")
    grown(shelf, 2, 10)
    old = (tmp_path / "it.log").read_bytes()
    record = grown(shelf, 2, 4 * KEEP)
    shelf.close()
    (tmp_path / "it.log").write_bytes(old)
    again, line = loaded(tmp_path)
    assert again.base == record.base
    assert line.endswith(" 0 changes")


@pytest.mark.parametrize("fails", ["fsync", "write"])
def test_what_cannot_be_kept_is_said(tmp_path: Path, monkeypatch: pytest.MonkeyPatch, fails: str) -> None:
    shelf, record = Shelf(str(tmp_path), "it"), fresh()
    record.blank = False
    shelf.keep([], record)
    (answer,) = record.hear(0, Append(1, 1, 0, 1, 0, b"x"), 0)
    assert isinstance(answer[1], Confirm), "it goes out once it is kept, and not before"

    def no(*_: object) -> int:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, fails, no)
    with pytest.raises(ShelfError, match="No space left"):
        shelf.keep(record.changes, record)
    record.silence()
    assert record.hear(0, Append(1, 2, 1, 1, 0, b"y"), 0) == []
    assert record.tick(PACE * 9) == []


def test_a_folder_that_others_may_write_is_refused(tmp_path: Path) -> None:
    (tmp_path / "open").mkdir(mode=0o777)
    (tmp_path / "open").chmod(0o777)
    with pytest.raises(ShelfError, match="others may write"):
        Shelf(str(tmp_path / "open"), "it")
