"""Child processes of an experiment: their files, and what the system says of them."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path

import msgspec

from reedspoke.common.node_settings import SETTINGS_VARIABLE, NodeSettings

CONTROL_PLANE = "reedspoke.control_plane"
DATA_PLANE = "reedspoke.data_plane"
PASSED_VARIABLES = ("PATH", "HOME", "LANG", "PYTHONPATH", "PYTHONDONTWRITEBYTECODE")
ROOT = Path(__file__).resolve().parents[3]
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
KIB = 1024
STOP_TIMEOUT_S = 10.0


class ChildProcess:
    """One `python -m MODULE ARGUMENTS`, with its output in a log file."""

    def __init__(self, name: str, module: str, arguments: tuple[str, ...], folder: Path) -> None:
        self.name = name
        self.log_path = folder / f"{name}.log"
        self._words = [sys.executable, "-m", module, *arguments]
        self._process: subprocess.Popen[bytes] | None = None

    def environment(self) -> dict[str, str]:
        """The variables that the process gets."""
        return {name: os.environ[name] for name in PASSED_VARIABLES if name in os.environ}

    @property
    def pid(self) -> int:
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        with self.log_path.open("ab") as log:
            self._process = subprocess.Popen(
                self._words, env=self.environment(), cwd=ROOT, stdout=log, stderr=log
            )

    def running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Nothing where the process has ended."""
        if self.running():
            os.kill(self.pid, number)

    def terminate(self) -> None:
        """SIGTERM, without waiting."""
        self.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """SIGKILL, and wait for the end."""
        if self._process is not None and self.running():
            self.send_signal(signal.SIGKILL)
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


class FleetProcess(ChildProcess):
    """A program of the fleet with a settings file of its own."""

    def __init__(self, module: str, settings: NodeSettings, folder: Path) -> None:
        super().__init__(settings.node_name, module, (), folder)
        self.settings_path = folder / f"{settings.node_name}.json"
        self.settings_path.write_bytes(msgspec.json.encode(settings))

    def environment(self) -> dict[str, str]:
        return {**super().environment(), SETTINGS_VARIABLE: str(self.settings_path)}


def status_kib(pid: int, name: str) -> int:
    """A figure of `/proc/PID/status` in KiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith(f"{name}:"):
            return int(line.split()[1])
    return 0
