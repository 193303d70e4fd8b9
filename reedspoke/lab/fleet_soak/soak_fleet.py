"""The processes of a run: programs of both planes that can be paused, killed, cut off and replaced."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from random import Random

import msgspec
from msgspec import structs

from reedspoke.common.node_settings import FaultTolerance, NodeSettings
from reedspoke.lab.fleet_emulator.ingress import EdgeAddress
from reedspoke.lab.fleet_emulator.layout import Layout, control_settings, edge_settings
from reedspoke.lab.fleet_emulator.process import CONTROL_PLANE, DATA_PLANE, FleetProcess
from reedspoke.lab.fleet_soak.disk_layer import NONE
from reedspoke.lab.fleet_soak.node import ENTERED_LINE
from reedspoke.lab.fleet_soak.node_run import NODE_VARIABLE, NodeFile
from reedspoke.lab.fleet_soak.power_loss import lose_disk, lose_power
from reedspoke.lab.fleet_soak.soak_tenants import BOUNDS

NODE_MODULE = "reedspoke.lab.fleet_soak.node"
MOST_SEEDS = 3
GRACE_S = 8.0  # as the settings have it
END_MARGIN_S = 1.5  # beyond it, for a process that was paused meanwhile
LOOK_S = 0.05


class SoakProcess(FleetProcess):
    """A program of the fleet under the stand-ins of `node.py`."""

    def __init__(self, module: str, settings: NodeSettings, folder: Path, relay: str) -> None:
        super().__init__(module, settings, folder)
        self.settings = settings
        self.paused = 0
        self.wanted = False  # whether it is to run now
        self.starts = 0
        self.ends: list[float] = []  # when it was killed, or got SIGTERM; seconds of the steady clock
        self._log_begin = 0  # bytes of the log that earlier lives wrote
        self._folder = folder
        self._words = [sys.executable, "-m", NODE_MODULE, module]
        self.node_path = folder / f"{settings.node_name}.node"
        self.node_path.write_bytes(msgspec.json.encode(self._node_file(relay)))

    def _node_file(self, relay: str) -> NodeFile:
        if self.settings.data_dir is None:
            return NodeFile(self.name, relay)
        synced = self._folder / f"{self.name}.synced"
        synced.mkdir(exist_ok=True)
        self.trouble_path = self._folder / f"{self.name}.trouble"
        self.set_disk(NONE)
        return NodeFile(self.name, relay, self.settings.data_dir, str(synced), str(self.trouble_path))

    def environment(self) -> dict[str, str]:
        return {**super().environment(), NODE_VARIABLE: str(self.node_path)}

    @property
    def is_control(self) -> bool:
        """Whether it serves control."""
        return self.settings.data_dir is not None

    def change_settings(self, **changes: object) -> None:
        """Write the settings file anew; the process is not told."""
        self.settings = structs.replace(self.settings, **changes)
        self.settings_path.write_bytes(msgspec.json.encode(self.settings))

    def start(self) -> None:
        self.wanted = True
        self.starts += 1
        self._log_begin = self.log_path.stat().st_size if self.log_path.exists() else 0
        super().start()

    def set_disk(self, trouble: str) -> None:
        """The state of the disk from now on."""
        self.trouble_path.write_text(trouble)

    def pause(self) -> None:
        """Stop it without its knowledge; pauses may overlap."""
        self.paused += 1
        self.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """End one pause."""
        self.paused = max(0, self.paused - 1)
        if not self.paused:
            self.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        self.ends.append(time.monotonic())
        self.wanted = False
        self.paused = 0
        super().kill()

    def lose_power(self, random: Random) -> str:
        """Kill it, and let its disk lose what was not synced."""
        self.kill()
        assert self.settings.data_dir is not None
        return lose_power(Path(self.settings.data_dir), self._folder / f"{self.name}.synced", random)

    def lose_disk(self) -> None:
        """Kill it and empty its disk."""
        self.kill()
        assert self.settings.data_dir is not None
        lose_disk(Path(self.settings.data_dir), self._folder / f"{self.name}.synced")

    async def end(self) -> int | None:
        """SIGTERM, and the exit status; None where it had to be killed, after the grace.

        The time in which it stood still does not count.
        """
        self.ends.append(time.monotonic())
        self.wanted = False
        self.terminate()
        status, left_s = None, GRACE_S + END_MARGIN_S
        while status is None and left_s > 0:
            await asyncio.sleep(LOOK_S)
            left_s -= 0.0 if self.paused else LOOK_S
            status = self.exit_status()
        if status is None:
            await asyncio.to_thread(super().kill)
        self.paused = 0
        return status

    def has_entered(self) -> bool:
        """Whether this life of it runs code of its own: before that any signal just ends the interpreter."""
        begun = self.log_path.read_bytes()[self._log_begin :] if self.log_path.exists() else b""
        return ENTERED_LINE in begun

    def exit_status(self) -> int | None:
        """None while it runs."""
        return None if self._process is None else self._process.poll()

    def has_ended_itself(self) -> bool:
        """Whether it has ended though it was to run."""
        return self.wanted and not self.running()


class SoakFleet:
    """All processes; `control` are the machines in service, `gone` those that were replaced."""

    def __init__(self, layout: Layout, control: int, edges: int, folder: Path, relay: str) -> None:
        self.layout = layout
        self.gone: list[SoakProcess] = []
        self._folder = folder
        self._relay = relay
        self._next_control = control
        self._tolerated = (control - 1) // 2
        self.control = [self._control(number, min(control, MOST_SEEDS)) for number in range(control)]
        self.edges = [self._edge(number, min(control, MOST_SEEDS)) for number in range(edges)]

    def _edge(self, number: int, seeds: int) -> SoakProcess:
        settings = structs.replace(edge_settings(self.layout, number, seeds), bounds=BOUNDS)
        return SoakProcess(DATA_PLANE, settings, self._folder, self._relay)

    def _control(self, number: int, seeds: int) -> SoakProcess:
        data_dir = self._folder / f"disk-{number}"
        data_dir.mkdir()
        settings = control_settings(self.layout, number, seeds, str(data_dir))
        tolerance = FaultTolerance(machines=self._tolerated)
        settings = structs.replace(settings, fault_tolerance=tolerance, bounds=BOUNDS)
        return SoakProcess(CONTROL_PLANE, settings, self._folder, self._relay)

    @property
    def processes(self) -> list[SoakProcess]:
        """All machines in service."""
        return [*self.control, *self.edges]

    @property
    def seeds(self) -> tuple[str, ...]:
        """Addresses of the control machines in service, as the operators' list has them."""
        return tuple(process.settings.bind.control_plane for process in self.control)

    @property
    def edge_addresses(self) -> tuple[EdgeAddress, ...]:
        """Where clients and the platform reach the data plane."""
        return tuple(
            EdgeAddress(process.settings.bind.frontend, process.settings.bind.readiness)
            for process in self.edges
        )

    def add_control(self) -> SoakProcess:
        """A new control machine with an empty disk; it is not started."""
        number = self._next_control
        self._next_control += 1
        process = self._control(number, 0)
        process.change_settings(bootstrap=False, seed_nodes=self.seeds[:MOST_SEEDS])
        self.control.append(process)
        return process

    def remove_control(self, process: SoakProcess) -> None:
        """A control machine is gone for good."""
        self.control.remove(process)
        self.gone.append(process)

    def life_of(self, address: str) -> int:
        """Which life the process that serves control at an address is in."""
        for process in self.control:
            if process.settings.bind.control_plane == address:
                return process.starts
        return 0

    def machine_of(self, address: str) -> str:
        """The machine that listens at an address; others are named by the address itself."""
        host = address.rpartition(":")[0]
        for process in [*self.control, *self.gone, *self.edges]:
            if process.settings.ip_address == host:
                return process.name
        return address

    async def stop(self) -> None:
        """End all that run."""
        for process in [*self.processes, *self.gone]:
            process.send_signal(signal.SIGCONT)
            process.wanted = False
            process.terminate()
        for process in [*self.processes, *self.gone]:
            await asyncio.to_thread(process.wait, GRACE_S + END_MARGIN_S)
