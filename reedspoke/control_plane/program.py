"""What a program of the control plane needs before it serves, and its exit status."""

from __future__ import annotations

from reedspoke.common.entry_point import run_program
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.process import serve


def check_settings(settings: NodeSettings) -> None:
    """Raises FleetError where the file lacks what this role needs."""
    if not settings.data_dir:
        raise FleetError(ErrorCode.SETTINGS_INVALID, "data_dir: a control scheduler needs a folder on a disk")


def main() -> int:
    """Exit status: 0 after SIGTERM, 2 where the settings cannot be used."""
    return run_program(serve, check_settings)
