"""The laboratory's experiments run, hold, and say so in the form that all share."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from reedspoke.lab.experiment import Result, write
from tests.peers import ROOT


def lab(*words: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "reedspoke", *words], cwd=ROOT, capture_output=True, text=True, timeout=90,
        check=False,
    )  # fmt: skip


@pytest.mark.parametrize("style", ["asked", "pushed"])
def test_demo_does_the_main_job(style: str) -> None:
    told = lab("demo", "--seconds", "2", "--discovery", style, "--json", "-")
    assert told.returncode == 0, told.stdout + told.stderr
    figures = json.loads(told.stdout)
    assert figures["served"] > 0
    assert figures["lost"] == figures["twice"] == figures["after_drain"] == 0
    assert figures["watches"] == 1
    assert {"served", "refused", "failed", "lost"} <= figures.keys()
    assert figures["served"] + figures["refused"] + figures["failed"] == figures["requests"]


def test_acme_experiment_renews_and_loses_nothing(tmp_path: Path) -> None:
    file = tmp_path / "figures.json"
    told = lab("lab", "acme", "--seconds", "12", "--seed", "3", "--json", str(file))
    figures = json.loads(file.read_text())
    assert told.returncode == 0, figures
    assert figures["renewals"] >= 1
    assert "all held" in told.stdout
    named = {
        "renewals", "refused_by_authority", "requests", "lost", "twice", "resets", "expired_served",
        "handshakes", "handshake_p99_ms",
    }  # fmt: skip
    assert named <= figures.keys()


def test_identity_experiment_refuses_attackers_and_no_caller() -> None:
    told = lab("lab", "identity", "--seconds", "9", "--seed", "2", "--json", "-")
    figures = json.loads(told.stdout)
    assert told.returncode == 0, figures
    assert figures["rotations"] >= 1
    assert figures["attacks_tried"] >= 20
    assert figures["valid_refused"] == figures["wrong_accepted"] == figures["lost"] == 0


def test_duties_experiment_has_one_holder_whatever_happens() -> None:
    told = lab("lab", "duties", "--seconds", "12", "--seed", "4", "--json", "-")
    figures = json.loads(told.stdout)
    assert told.returncode == 0, figures
    assert figures["faults"] > 3
    named = ("two_holders", "stale_accepted", "lost", "twice")
    assert [figures[name] for name in named] == [0] * 4
    assert figures["longest_gap_s"] <= figures["gap_bound_s"]


def test_what_does_not_hold_is_said(capsys: pytest.CaptureFixture[str]) -> None:
    result = Result({"lost": 1})
    result.hold("lost is 0", holds=False)
    write(result, None)
    assert "NOT held: lost is 0" in capsys.readouterr().out
