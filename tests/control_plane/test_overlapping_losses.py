"""Losses that overlap beyond the tolerated number, with no more lost disks than tolerated: all comes back."""

from __future__ import annotations

import pytest

from tests.control_plane.overlapping_losses import SIZES, Size, run_schedule

STEPS = 60


@pytest.mark.parametrize("size", SIZES, ids=lambda size: f"{size.machines}-{size.tolerated}")
@pytest.mark.parametrize("seed", range(3000, 3004))
def test_drawn_schedules_recover(size: Size, seed: int) -> None:
    run_schedule(size, seed, STEPS)
