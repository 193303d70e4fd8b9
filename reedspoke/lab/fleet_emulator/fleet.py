"""Starts and stops the processes of an emulated fleet, and sends its first configuration."""

from __future__ import annotations

import asyncio
from pathlib import Path

from reedspoke.errors import ReedspokeError
from reedspoke.lab.fleet_emulator.ingress import EdgeAddress, is_ready
from reedspoke.lab.fleet_emulator.layout import Layout, control_settings, edge_settings
from reedspoke.lab.fleet_emulator.process import CONTROL_PLANE, DATA_PLANE, FleetProcess
from reedspoke.operator_cli.client import ApiRequest, ApiResponse, OperatorClient
from reedspoke.operator_cli.commands import CONFIGURATION_PATH, JSON_HEADERS
from reedspoke.operator_cli.errors import OperatorError

MOST_SEEDS = 3
READY_TIMEOUT_S = 15.0
READY_PAUSE_S = 0.1
FIRST_CONFIGURATION_TIMEOUT_S = 15.0


class FleetStartError(ReedspokeError):
    """The emulated fleet did not come up."""

    code = "lab-fleet-not-up"
    remedy = "see the log that the message ends with"


class Fleet:
    """Real control plane and data plane processes; logs and settings files lie in `folder`."""

    def __init__(self, layout: Layout, control: int, edges: int, folder: Path) -> None:
        self.layout = layout
        seeds = min(control, MOST_SEEDS)
        self.control = [self._control(number, seeds, folder) for number in range(control)]
        self.edges = [
            FleetProcess(DATA_PLANE, edge_settings(layout, number, seeds), folder) for number in range(edges)
        ]

    def _control(self, number: int, seeds: int, folder: Path) -> FleetProcess:
        data_dir = folder / f"disk-{number}"
        data_dir.mkdir()
        settings = control_settings(self.layout, number, seeds, str(data_dir))
        return FleetProcess(CONTROL_PLANE, settings, folder)

    @property
    def processes(self) -> list[FleetProcess]:
        return [*self.control, *self.edges]

    @property
    def edge_addresses(self) -> tuple[EdgeAddress, ...]:
        return tuple(
            EdgeAddress(self.layout.frontend(number), self.layout.readiness(number))
            for number in range(len(self.edges))
        )

    @property
    def control_addresses(self) -> tuple[str, ...]:
        return tuple(self.layout.control(number) for number in range(len(self.control)))

    def start(self) -> None:
        for process in self.processes:
            process.start()

    async def send_configuration(
        self, document: bytes, match: int, timeout_s: float = FIRST_CONFIGURATION_TIMEOUT_S
    ) -> ApiResponse:
        """PUT a configuration, as operators do. Raises FleetStartError where nobody answers."""
        client = OperatorClient(self.control_addresses, timeout_s)
        call = ApiRequest("PUT", CONFIGURATION_PATH, document, {**JSON_HEADERS, "If-Match": str(match)})
        try:
            answer = await asyncio.to_thread(client.send, call)
        except OperatorError as error:
            raise FleetStartError(f"{error}; {self._first_log()}") from error
        if not answer.is_success:
            raise FleetStartError(f"configuration refused with {answer.status}: {answer.body!r}")
        return answer

    async def wait_ready(self) -> None:
        """Until every data plane process is ready. Raises FleetStartError after a time."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                for process, edge in zip(self.edges, self.edge_addresses, strict=True):
                    await self._wait_for(process, edge)
        except TimeoutError:
            raise FleetStartError(f"not ready in {READY_TIMEOUT_S:g} s; {self._first_log()}") from None

    async def _wait_for(self, process: FleetProcess, edge: EdgeAddress) -> None:
        while not await is_ready(edge.readiness):
            if not process.running():
                raise FleetStartError(f"{process.name} has ended:\n{process.log_tail()}")
            await asyncio.sleep(READY_PAUSE_S)

    def _first_log(self) -> str:
        ended = [process for process in self.processes if not process.running()]
        chosen = (ended or self.processes)[0]
        return f"log of {chosen.name}:\n{chosen.log_tail()}"

    async def stop(self) -> None:
        """SIGTERM to all that run, then wait; what does not end is killed."""
        for process in self.processes:
            process.terminate()
        for process in self.processes:
            await asyncio.to_thread(process.wait)
