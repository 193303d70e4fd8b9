"""Fixture with a running fleet of control plane nodes."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.control_plane_process.fleet import STARTUP_TIMEOUT_S, Fleet
from tests.control_plane_process.stand_ins import wait_until


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Provide a fleet of three control plane nodes that are all voters."""
    running = Fleet(tmp_path)
    running.start()
    try:
        wait_until(
            lambda: all(node.is_voter_among(len(running.nodes)) for node in running.nodes),
            STARTUP_TIMEOUT_S,
            "all are voters",
        )
        yield running
    finally:
        running.close()
