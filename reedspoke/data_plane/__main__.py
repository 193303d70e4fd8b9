"""`python3 -m reedspoke.data_plane`: run a data plane scheduler by the settings file."""

from __future__ import annotations

import asyncio
import gc
import sys

from reedspoke.cluster import json_log
from reedspoke.cluster.errors import ErrorCode, FleetError
from reedspoke.cluster.node_settings import NodeSettings, load_settings
from reedspoke.data_plane.process import serve

SETTINGS_EXIT = 2
GC_THRESHOLD = 20000


def read_settings() -> NodeSettings:
    """The settings file, with what this role needs beyond its shape. Raises FleetError."""
    settings = load_settings()
    for key in ("frontend", "readiness"):
        if not getattr(settings.bind, key):
            raise FleetError(ErrorCode.SETTINGS_INVALID, f"bind.{key}: an address is needed")
    return settings


def main() -> int:
    """Exit status: 0 after SIGTERM, 2 where the settings cannot be used."""
    json_log.configure()
    try:
        settings = read_settings()
    except FleetError as error:
        json_log.log(
            json_log.ERROR, "settings unusable", code=int(error.code), name=error.code.name.lower(),
            message=error.message,
        )  # fmt: skip
        return SETTINGS_EXIT
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)
    asyncio.run(serve(settings))
    return 0


if __name__ == "__main__":
    sys.exit(main())
