"""The entry of both programs: settings that cannot be used end it, others are served."""

from __future__ import annotations

import gc
import json
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from reedspoke.common import json_log
from reedspoke.common.entry_point import SETTINGS_EXIT_STATUS, run_program
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.node_settings import SETTINGS_VARIABLE, NodeSettings, parse_settings
from reedspoke.control_plane.program import check_settings as check_control_plane
from reedspoke.data_plane.program import check_settings as check_data_plane
from tests.common.test_node_settings import FILE


@pytest.fixture
def collector() -> Iterator[None]:
    thresholds = gc.get_threshold()
    yield
    gc.set_threshold(*thresholds)
    gc.unfreeze()


@pytest.fixture(autouse=True)
def log_lines(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    """The program's log, kept from the standard error that later tests read."""
    lines: list[dict[str, object]] = []

    def note(level: int, event: str, **fields: object) -> None:
        lines.append({"event": event, **fields})

    monkeypatch.setattr(json_log, "configure", lambda: None)
    monkeypatch.setattr(json_log, "log", note)
    return lines


@pytest.fixture
def write(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Callable[[dict[str, Any]], None]:
    path = tmp_path / "node.json"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))

    def to_file(settings: dict[str, Any]) -> None:
        path.write_text(json.dumps(settings))

    return to_file


@pytest.mark.usefixtures("collector")
def test_valid_settings_start_the_program(write: Callable[[dict[str, Any]], None]) -> None:
    write(FILE)
    served: list[str] = []

    async def serve(settings: NodeSettings) -> None:
        served.append(settings.node_name)

    assert run_program(serve, lambda settings: None) == 0
    assert served == [FILE["node_name"]]


@pytest.mark.parametrize("unusable", [{}, {"node_name": 1}])
def test_an_unusable_file_ends_the_program(
    write: Callable[[dict[str, Any]], None], unusable: dict[str, Any], log_lines: list[dict[str, object]]
) -> None:
    write(unusable)
    assert run_program(_never_served, lambda settings: None) == SETTINGS_EXIT_STATUS
    assert log_lines[0]["code"] == ErrorCode.SETTINGS_INVALID


def test_a_role_may_require_further_settings(write: Callable[[dict[str, Any]], None]) -> None:
    write(FILE)

    def refuse(settings: NodeSettings) -> None:
        raise FleetError(ErrorCode.SETTINGS_INVALID, "something is missing")

    assert run_program(_never_served, refuse) == SETTINGS_EXIT_STATUS


@pytest.mark.parametrize("missing", ["frontend", "readiness"])
def test_a_data_plane_scheduler_needs_two_addresses(missing: str) -> None:
    settings = _settings(bind={**FILE["bind"], missing: ""})
    with pytest.raises(FleetError, match=missing):
        check_data_plane(settings)


def test_a_control_scheduler_needs_a_folder() -> None:
    with pytest.raises(FleetError, match="data_dir"):
        check_control_plane(_settings(data_dir=""))
    check_control_plane(_settings(data_dir="/somewhere"))


def _settings(**changed: Any) -> NodeSettings:
    return parse_settings(json.dumps({**FILE, **changed}).encode())


async def _never_served(settings: NodeSettings) -> None:
    pytest.fail("unusable settings were served")
