"""The control plane's program: checks its settings, serves, and returns the exit status."""

from __future__ import annotations

from reedspoke.common.entry_point import run_program
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.node_settings import NodeSettings
from reedspoke.control_plane.process import serve


def check_settings(settings: NodeSettings) -> None:
    """Check that the settings have all that a control plane node needs. Raises FleetError if not."""
    if not settings.data_dir:
        raise FleetError(ErrorCode.SETTINGS_INVALID, "data_dir: missing; a control plane node needs one")


def main() -> int:
    """Serve, and return the exit status: 0 after SIGTERM, 2 for invalid settings."""
    return run_program(serve, check_settings)
