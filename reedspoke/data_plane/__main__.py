"""`python3 -m reedspoke.data_plane`: run a data plane scheduler by the settings file."""

from __future__ import annotations

import sys

from reedspoke.cluster.entry import run
from reedspoke.cluster.errors import ErrorCode, FleetError
from reedspoke.cluster.node_settings import NodeSettings
from reedspoke.data_plane.process import serve

NEEDED_ADDRESSES = ("frontend", "readiness")


def check_settings(settings: NodeSettings) -> None:
    """Raises FleetError where the file lacks what this role needs."""
    for key in NEEDED_ADDRESSES:
        if not getattr(settings.bind, key):
            raise FleetError(ErrorCode.SETTINGS_INVALID, f"bind.{key}: an address is needed")


def main() -> int:
    """Exit status: 0 after SIGTERM, 2 where the settings cannot be used."""
    return run(serve, check_settings)


if __name__ == "__main__":
    sys.exit(main())
