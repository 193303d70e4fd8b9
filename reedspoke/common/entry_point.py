"""What the programs of both planes do before they serve: configure the log, read settings, tune garbage
collection.
"""

from __future__ import annotations

import asyncio
import gc
from collections.abc import Callable, Coroutine
from typing import Any

from reedspoke.common import json_log
from reedspoke.common.early_signals import ignore_signals
from reedspoke.common.errors import FleetError
from reedspoke.common.node_settings import NodeSettings, load_settings
from reedspoke.common.unhandled_errors import handle_all_errors

SETTINGS_EXIT_STATUS = 2
GC_THRESHOLDS = (20000, 20, 20)  # rarer collections than by default: each one delays all requests

Serve = Callable[[NodeSettings], Coroutine[Any, Any, None]]
CheckSettings = Callable[[NodeSettings], None]  # raises FleetError where the role lacks a setting


def run_program(serve: Serve, check: CheckSettings) -> int:
    """Read the settings file and serve. Exit status: 0 after SIGTERM, 2 where the settings cannot be used."""
    json_log.configure()
    try:
        settings = load_settings()
        check(settings)
    except FleetError as error:
        _log_unusable(error)
        return SETTINGS_EXIT_STATUS
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)
    asyncio.run(_serve(serve, settings))
    return 0


async def _serve(serve: Serve, settings: NodeSettings) -> None:
    handle_all_errors()
    try:
        await serve(settings)
    finally:
        ignore_signals(asyncio.get_running_loop())


def _log_unusable(error: FleetError) -> None:
    json_log.log(
        json_log.ERROR,
        "settings unusable",
        code=int(error.code),
        name=error.code.name.lower(),
        message=error.message,
    )
