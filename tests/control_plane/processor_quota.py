"""Simulates CPU quotas: each process runs for a part of each period and is suspended for the rest."""

from __future__ import annotations

from functools import partial

from tests.control_plane.random_schedule import FaultScenario

PERIOD_S = 0.1
RUNS_S = 0.01  # running time in each period


class ProcessorQuota:
    """Applies the quota to all processes of a scenario, each with its own phase."""

    def __init__(self, scenario: FaultScenario, runs_s: float = RUNS_S) -> None:
        self._scenario = scenario
        self._simulation = scenario.simulation
        self._suspended_s = PERIOD_S - runs_s
        self._runs_s = runs_s
        for address in self._simulation.machines:
            self._begin(partial(self._stop_control, address))
        for name in scenario.fleet.data_plane.nodes:
            self._begin(partial(self._stop_edge, name))

    def _begin(self, stop: partial[None]) -> None:
        phase = self._simulation.random.uniform(0.0, PERIOD_S)
        self._simulation.at(self._simulation.now + phase, stop)

    def _later(self, seconds: float, step: partial[None]) -> None:
        self._simulation.at(self._simulation.now + seconds, step)

    def _stop_control(self, address: str) -> None:
        self._simulation.suspend(address)
        self._later(self._suspended_s, partial(self._run_control, address))

    def _run_control(self, address: str) -> None:
        self._simulation.resume(address)
        self._later(self._runs_s, partial(self._stop_control, address))

    def _stop_edge(self, name: str) -> None:
        self._scenario.fleet.data_plane.suspend(name)
        self._later(self._suspended_s, partial(self._run_edge, name))

    def _run_edge(self, name: str) -> None:
        self._scenario.fleet.data_plane.resume(name)
        self._later(self._runs_s, partial(self._stop_edge, name))
