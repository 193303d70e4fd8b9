"""What a program of the data plane needs before it serves, and its exit status."""

from __future__ import annotations

from reedspoke.common.entry_point import run_program
from reedspoke.common.errors import ErrorCode, FleetError
from reedspoke.common.node_settings import NodeSettings
from reedspoke.data_plane.process import serve

NEEDED_ADDRESSES = ("frontend", "readiness")


def check_settings(settings: NodeSettings) -> None:
    """Raises FleetError where the file lacks what this role needs."""
    for key in NEEDED_ADDRESSES:
        if not getattr(settings.bind, key):
            raise FleetError(ErrorCode.SETTINGS_INVALID, f"bind.{key}: an address is needed")


def main() -> int:
    """Exit status: 0 after SIGTERM, 2 where the settings cannot be used."""
    return run_program(serve, check_settings)
