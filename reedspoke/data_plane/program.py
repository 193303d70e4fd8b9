"""The data plane program: checks its settings, runs the process and returns an exit status."""

from __future__ import annotations

from reedspoke.common.entry_point import run_program
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.node_settings import NodeSettings
from reedspoke.data_plane.process import serve

REQUIRED_ADDRESSES = ("frontend", "readiness")


def check_settings(settings: NodeSettings) -> None:
    """Check that the settings have the addresses that a data plane node needs; raises FleetError if not."""
    for key in REQUIRED_ADDRESSES:
        if not getattr(settings.bind, key):
            raise FleetError(ErrorCode.SETTINGS_INVALID, f"bind.{key}: an address is required")


def main() -> int:
    """Run the process and return its exit status: 0 after SIGTERM, 2 for unusable settings."""
    return run_program(serve, check_settings)
