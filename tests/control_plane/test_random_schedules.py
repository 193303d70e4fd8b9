"""Random schedules of all kinds of faults, in a separate process so that a seed is reproducible."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.control_plane.hunt import HASH_SEED

ROOT = Path(__file__).parents[2]


@pytest.mark.parametrize(
    ("machines", "tolerated", "seed", "steps"),
    [(3, 1, 1, 400), (3, 1, 11, 400), (4, 1, 21, 200), (5, 2, 31, 200), (1, 0, 41, 200)],
)
def test_no_schedule_breaks_a_rule(machines: int, tolerated: int, seed: int, steps: int) -> None:
    command = [sys.executable, "-m", "tests.control_plane.hunt", "--steps", str(steps)]
    command += ["--seed", str(seed), "--machines", str(machines), "--tolerated", str(tolerated)]
    environment = os.environ | {"PYTHONHASHSEED": HASH_SEED}
    done = subprocess.run(command, cwd=ROOT, env=environment, capture_output=True, text=True, check=False)
    assert done.returncode == 0, done.stdout + done.stderr
