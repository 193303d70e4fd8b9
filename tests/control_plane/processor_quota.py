"""Processors shared by quota: a process runs until its part of a period is spent, then stands still."""

from __future__ import annotations

from functools import partial

from tests.control_plane.random_schedule import FaultScenario

PERIOD_S = 0.1
RUNS_S = 0.01  # of each period; the rest of it the process stands still


class ProcessorQuota:
    """All processes of a scenario, each with a phase of its own."""

    def __init__(self, scenario: FaultScenario, runs_s: float = RUNS_S) -> None:
        self._scenario = scenario
        self._simulation = scenario.simulation
        self._stands_s = PERIOD_S - runs_s
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
        self._later(self._stands_s, partial(self._run_control, address))

    def _run_control(self, address: str) -> None:
        self._simulation.resume(address)
        self._later(self._runs_s, partial(self._stop_control, address))

    def _stop_edge(self, name: str) -> None:
        self._scenario.fleet.data_plane.stand_still(name)
        self._later(self._stands_s, partial(self._run_edge, name))

    def _run_edge(self, name: str) -> None:
        self._scenario.fleet.data_plane.go_on(name)
        self._later(self._runs_s, partial(self._stop_edge, name))
