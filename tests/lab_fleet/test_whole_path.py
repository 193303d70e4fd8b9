"""The whole path on loopback: real control plane and data plane processes between emulated parties."""

from __future__ import annotations

import asyncio
from pathlib import Path

from reedspoke.lab.fleet_emulator.experiment import Options, run_in
from reedspoke.lab.fleet_emulator.report_text import report_text

LEAST_SERVED = 0.95


def test_a_calm_fleet_loses_and_doubles_nothing(tmp_path: Path) -> None:
    options = Options(control=3, edges=2, workers=3, seconds=4.0, per_s=30.0)
    report = asyncio.run(run_in(tmp_path, options))
    text = report_text(report)
    assert report.sound(), text
    requests = sum(kind.requests for kind in report.kinds)
    in_time = sum(kind.served for kind in report.kinds)
    failed = sum(kind.failed for kind in report.kinds)
    assert requests > 60, text
    assert failed == 0, text
    assert in_time >= LEAST_SERVED * requests, text
