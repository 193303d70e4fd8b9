"""A running fleet of control schedulers."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.control_plane_process.fleet import STARTUP_TIMEOUT_S, Fleet
from tests.control_plane_process.stand_ins import wait_until


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    made = Fleet(tmp_path)
    made.start()
    try:
        wait_until(
            lambda: all(node.is_voter_among(len(made.nodes)) for node in made.nodes),
            STARTUP_TIMEOUT_S,
            "all are voters",
        )
        yield made
    finally:
        made.close()
