"""A real process of the fleet: its settings file, its log, and what the system says of it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

from reedspoke.cluster.node_settings import SETTINGS_VARIABLE, NodeSettings

CONTROL_PLANE = "reedspoke.control_plane"
DATA_PLANE = "reedspoke.data_plane"
PASSED_VARIABLES = ("PATH", "HOME", "LANG", "PYTHONPATH", "PYTHONDONTWRITEBYTECODE")
ROOT = Path(__file__).resolve().parents[3]
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
KIB = 1024
STOP_TIMEOUT_S = 10.0


class FleetProcess:
    """One `python -m MODULE` with a settings file of its own."""

    def __init__(self, module: str, settings: NodeSettings, folder: Path) -> None:
        self.module = module
        self.settings = settings
        self.settings_path = folder / f"{settings.node_name}.json"
        self.log_path = folder / f"{settings.node_name}.log"
        self.settings_path.write_bytes(msgspec.json.encode(settings))
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def name(self) -> str:
        return self.settings.node_name

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        environment = {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}
        environment[SETTINGS_VARIABLE] = str(self.settings_path)
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", self.module], env=environment, cwd=ROOT, stdout=log, stderr=log
            )

    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def terminate(self) -> None:
        """SIGTERM, without waiting."""
        if self.running():
            self._signal(signal.SIGTERM)

    def kill(self) -> None:
        """SIGKILL, and wait for the end."""
        if self._process is not None and self.running():
            self._signal(signal.SIGKILL)
            self._process.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """The exit status; None where the process still runs after this time and had to be killed."""
        if self._process is None:
            return 0
        try:
            return self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return None

    def _signal(self, number: signal.Signals) -> None:
        os.kill(self.pid, number)

    def log_tail(self, lines: int = 5) -> str:
        """The end of the log."""
        if not self.log_path.exists():
            return ""
        return "\n".join(self.log_path.read_text(errors="replace").splitlines()[-lines:])

    def cpu_seconds(self) -> float:
        """User and system time so far."""
        fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def resident_mb(self) -> float:
        """Memory that is resident now."""
        return status_kib(self.pid, "VmRSS") / KIB


def status_kib(pid: int, name: str) -> int:
    """A figure of `/proc/PID/status` in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    return 0
