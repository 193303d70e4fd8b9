"""The log on a disk that fails, or loses power, at each numbered call.

After a power loss, each possible state of the unsynced data is checked.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import pytest

from reedspoke.common.errors import FleetError
from reedspoke.control_plane.storage.log_opening import OpenedLog, open_log
from reedspoke.control_plane.storage.log_slots import CONTROL_LOG_NAME, OTHER_SLOT_NAME
from tests.control_plane.simulated_files import FOLDER, PowerLost, SimulatedFiles, use

Files = dict[str, bytes]

REDUCED_TORN_PARTS = 5


@dataclass(frozen=True)
class Step:
    """One call of the writer."""

    records: tuple[bytes, ...]
    replace: bool = False

    def after(self, expected_records: tuple[bytes, ...]) -> tuple[bytes, ...]:
        """The records of the log after this step."""
        return self.records if self.replace else expected_records + self.records

    def run(self, opened: OpenedLog) -> None:
        """Carry out the step."""
        (opened.writer.rewrite if self.replace else opened.writer.append)(self.records)


STEPS = (
    Step((b"one",)),
    Step((b"two" * 9, b"")),
    Step((b"snapshot" * 5, b"rest"), replace=True),
    Step((b"three",)),
    Step((b"newer snapshot",), replace=True),
    Step((b"newest snapshot", b"-" * 60), replace=True),
    Step((b"four" * 20,)),
)


class StepRunner:
    """Runs the steps, and keeps the records that the log must have and those that it may have."""

    def __init__(self, files: SimulatedFiles) -> None:
        self.files = files
        self.folder_id: str | None = None
        self.expected_records: tuple[bytes, ...] = ()
        self.unclear: tuple[Step, ...] = ()

    def run(self) -> None:
        """Run all steps, unless power is lost. A step that fails is skipped."""
        try:
            self._run_steps()
        except PowerLost:
            return

    def open(self) -> OpenedLog:
        """Open the log, retrying while the disk fails."""
        while True:
            try:
                opened = open_log(FOLDER)
            except FleetError:
                continue
            self.folder_id = opened.folder_id
            return opened

    def step(self, opened: OpenedLog, step: Step) -> None:
        """Run one step. Its outcome is unclear until it or a later step has succeeded."""
        self.unclear += (step,)
        try:
            step.run(opened)
        except FleetError:
            return
        self.expected_records = step.after(self.expected_records)
        self.unclear = ()

    def check(self, files: Files) -> None:
        """Check the log that another process finds in this folder."""
        opened = open_log(FOLDER)
        if self.folder_id is not None:
            assert opened.folder_id == self.folder_id, files
        allowed = [self.expected_records, *(step.after(self.expected_records) for step in self.unclear)]
        assert tuple(opened.records) in allowed, files

    def _run_steps(self) -> None:
        opened = self.open()
        for step in STEPS:
            self.step(opened, step)


Prepare = Callable[[SimulatedFiles], None]


def _call_count(monkeypatch: pytest.MonkeyPatch) -> int:
    files = use(monkeypatch, SimulatedFiles())
    StepRunner(files).run()
    return files.calls


def _check_after_power_loss(monkeypatch: pytest.MonkeyPatch, runner: StepRunner) -> list[Files]:
    """Open and check all folders that a power loss may leave, and return them."""
    found = list(runner.files.after_power_loss())
    for files in found:
        use(monkeypatch, SimulatedFiles(files))
        runner.check(files)
    return found


def test_the_steps_make_enough_numbered_calls(monkeypatch: pytest.MonkeyPatch) -> None:
    assert 25 < _call_count(monkeypatch) < 60


def test_power_is_lost_at_each_call(monkeypatch: pytest.MonkeyPatch) -> None:
    checked = 0
    for number in range(1, _call_count(monkeypatch) + 2):
        files = use(monkeypatch, SimulatedFiles())
        files.lose_power_at = number
        runner = StepRunner(files)
        runner.run()
        checked += len(_check_after_power_loss(monkeypatch, runner))
    assert checked > 500


def test_power_is_lost_again_at_each_call_of_the_next_opening(monkeypatch: pytest.MonkeyPatch) -> None:
    seen: set[tuple[tuple[str, bytes], ...]] = set()
    for number in range(1, _call_count(monkeypatch) + 2):
        files = use(monkeypatch, SimulatedFiles())
        files.lose_power_at = number
        runner = StepRunner(files)
        runner.run()
        for left in files.after_power_loss(REDUCED_TORN_PARTS):
            key = tuple(sorted(left.items()))
            if key not in seen:
                seen.add(key)
                _lose_power_while_opening(monkeypatch, runner, left)


def _lose_power_while_opening(monkeypatch: pytest.MonkeyPatch, runner: StepRunner, left: Files) -> None:
    number = 0
    lost = True
    while lost:
        number += 1
        files = use(monkeypatch, SimulatedFiles(left))
        files.lose_power_at = number
        lost = False
        try:
            open_log(FOLDER)
        except PowerLost:
            lost = True
        for contents in files.after_power_loss(REDUCED_TORN_PARTS):
            use(monkeypatch, SimulatedFiles(contents))
            runner.check(contents)


def test_a_process_is_killed_at_each_call_and_power_is_lost_during_the_next_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All that the next process reads or stores must survive a power loss."""
    for number in range(1, _call_count(monkeypatch) + 2):
        files = use(monkeypatch, SimulatedFiles())
        files.lose_power_at = number
        runner = StepRunner(files)
        runner.run()
        files.lose_power_at = 0
        opened = open_log(FOLDER)
        runner.folder_id = opened.folder_id
        runner.expected_records, runner.unclear = tuple(opened.records), ()
        _check_after_power_loss(monkeypatch, runner)
        use(monkeypatch, files)
        runner.step(opened, Step((b"next process",)))
        assert not runner.unclear
        _check_after_power_loss(monkeypatch, runner)


@pytest.mark.parametrize("length", [1, 2, 5])
def test_the_disk_fails_for_some_calls_from_each_call_on(
    monkeypatch: pytest.MonkeyPatch, length: int
) -> None:
    for number in range(1, _call_count(monkeypatch) + 1):
        files = use(monkeypatch, SimulatedFiles())
        files.failing_calls = range(number, number + length)
        runner = StepRunner(files)
        opened = runner.open()
        for step in STEPS:
            use(monkeypatch, files)
            runner.step(opened, step)
            _check_after_power_loss(monkeypatch, runner)
        while runner.unclear:
            use(monkeypatch, files)
            runner.step(opened, Step((b"last",)))
        _check_after_power_loss(monkeypatch, runner)


def test_power_is_lost_at_each_call_after_a_failed_one(monkeypatch: pytest.MonkeyPatch) -> None:
    count = _call_count(monkeypatch)
    for failed_call in range(1, count + 1):
        for number in range(failed_call + 1, min(failed_call + 8, count + 2)):
            files = use(monkeypatch, SimulatedFiles())
            files.failing_calls = range(failed_call, failed_call + 1)
            files.lose_power_at = number
            runner = StepRunner(files)
            runner.run()
            _check_after_power_loss(monkeypatch, runner)


def test_of_two_slots_the_newer_one_is_used(monkeypatch: pytest.MonkeyPatch) -> None:
    files = use(monkeypatch, SimulatedFiles())
    opened = open_log(FOLDER)
    opened.writer.append([b"old"])
    old = bytes(files.names[CONTROL_LOG_NAME].content)
    opened.writer.rewrite([b"new"])
    new = bytes(files.names[OTHER_SLOT_NAME].content)
    for one, other in ((CONTROL_LOG_NAME, OTHER_SLOT_NAME), (OTHER_SLOT_NAME, CONTROL_LOG_NAME)):
        left = use(monkeypatch, SimulatedFiles({one: old, other: new}))
        assert open_log(FOLDER).records == [b"new"]
        assert list(left.synced_names) == [other]
