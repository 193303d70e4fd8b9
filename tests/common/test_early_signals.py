"""A signal at each point of a program's start: a reload does not end it, an end is clean."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest

from tests.ports import free_port

ROOT = Path(__file__).resolve().parents[2]
DEADLINE_S = 30.0
POINTS = ("asyncio", "msgspec", "ormsgpack", "picologging", "reedspoke.common.entry_point")
FAULT = """
import os, sys
class SignalAtImport:
    def find_spec(self, name, path=None, target=None):
        if name == os.environ["POINT"]:
            sys.meta_path.remove(self)
            os.kill(os.getpid(), int(os.environ["NUMBER"]))
            if os.environ["NUMBER"] == "1":
                os.kill(os.getpid(), 15)
        return None
sys.meta_path.insert(0, SignalAtImport())
"""


def settings_file(folder: Path) -> Path:
    addresses = {name: f"127.0.0.1:{free_port()}" for name in ("frontend", "readiness", "control_plane")}
    made = {
        "node_name": "n1",
        "ip_address": "127.0.0.1",
        "zone": "za",
        "bind": addresses,
        "internal_ports": [free_port(), 65535],
        "data_dir": str(folder),
        "bounds": {"grace_s": 2},
        "metrics": "",
    }
    path = folder / "settings.json"
    path.write_bytes(msgspec.json.encode(made))
    return path


@pytest.mark.parametrize("plane", ["data_plane", "control_plane"])
@pytest.mark.parametrize("point", POINTS)
@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGTERM])
def test_a_signal_during_the_imports(tmp_path: Path, plane: str, point: str, number: int) -> None:
    """SIGHUP is followed by SIGTERM at the same point, so that the process ends by itself."""
    (tmp_path / "sitecustomize.py").write_text(FAULT)
    environment = dict(os.environ) | {
        "REEDSPOKE_NODE_FILE": str(settings_file(tmp_path)),
        "PYTHONPATH": f"{tmp_path}:{ROOT}",
        "POINT": point,
        "NUMBER": str(int(number)),
    }
    ended = subprocess.run(
        [sys.executable, "-m", f"reedspoke.{plane}"],
        env=environment,
        cwd=tmp_path,
        capture_output=True,
        timeout=DEADLINE_S,
        check=False,
    )
    assert ended.returncode == 0, ended.stderr[-500:]
    assert f"{plane.split('_')[0]} plane stopped".encode() in ended.stdout + ended.stderr


def test_a_signal_after_the_end_does_not_end_the_process_by_itself() -> None:
    """A process that had shut down ended with -1, as a SIGHUP came while its loop was being closed."""
    code = (
        "import asyncio, os, signal\n"
        "from reedspoke.common.early_signals import handle_signals, ignore_signals\n"
        "async def main():\n"
        "    loop = asyncio.get_running_loop()\n"
        "    handle_signals(loop, lambda: None, lambda: None)\n"
        "    ignore_signals(loop)\n"
        "asyncio.run(main())\n"
        "for number in (signal.SIGHUP, signal.SIGTERM):\n"
        "    os.kill(os.getpid(), number)\n"
    )
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0
