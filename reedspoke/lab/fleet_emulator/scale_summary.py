"""Figures of one scale run, out of what was recorded during it. No I/O."""

from __future__ import annotations

from collections import Counter

from msgspec import Struct, field

from reedspoke.lab.fleet_emulator.hollow_host import HollowResult
from reedspoke.lab.fleet_emulator.measurement import (
    Delays,
    arrivals_of,
    bytes_between,
    delays,
    list_arrivals,
    settled_after,
    worst_of,
)
from reedspoke.lab.fleet_emulator.scale_figures import ChangeFigures, PhaseFigures, RunFigures, ScalePoint

LIST_PHASE = "list"


class Moment(Struct, frozen=True):
    """What all processes have used until then."""

    at: float
    control_cpu: tuple[float, ...]
    control_mb: tuple[float, ...]
    hollow_cpu: float
    real_cpu: float
    real_mb: float


class Phase(Struct, frozen=True):
    """A named span of the run."""

    name: str
    begin: Moment
    end: Moment


class Change(Struct, frozen=True):
    """A change of the configuration."""

    phase: str
    generation: int
    sent_at: float
    acknowledged_at: float


class Recording(Struct):
    """What a run has recorded; `generation` is the one that would be sent next."""

    point: ScalePoint
    generation: int = 0
    start_s: float = 0.0
    hollow_mb: float = 0.0
    lost_at: float = 0.0
    phases: list[Phase] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)


class ScaleSummary:
    """A recording beside the results of the hollow schedulers."""

    def __init__(self, recording: Recording, results: list[HollowResult]) -> None:
        self._recording = recording
        self._point = recording.point
        self._results = results

    def figures(self) -> RunFigures:
        """All figures of the run."""
        recording = self._recording
        first, last = recording.phases[0].begin.at, recording.phases[-1].end.at
        ends = [at for result in self._results for at in result.meter.session_ends if first <= at <= last]
        causes = sum((Counter(result.meter.end_causes) for result in self._results), Counter[str]())
        return RunFigures(
            point=self._point,
            start_s=round(recording.start_s, 2),
            settle_s=round(settled_after(self._results, recording.lost_at), 2),
            hollow_mb=round(recording.hollow_mb, 3),
            sessions_lost=len(ends),
            end_causes=dict(causes),
            phases=[self._phase_figures(phase) for phase in recording.phases],
            changes=[*self._all_changes(), self._list_figures()],
        )

    def in_force(self, change: Change) -> Delays:
        """A scheduler that went past a version has it in force when the next one is."""
        arrivals = arrivals_of(self._results, change.generation)
        later = change.generation
        while len(arrivals) < self._point.edges and later < self._recording.generation:
            later += 1
            arrivals += arrivals_of(self._results, later)[: self._point.edges - len(arrivals)]
        return delays(arrivals, change.sent_at, self._point.edges)

    def _phase_figures(self, phase: Phase) -> PhaseFigures:
        begin, end = phase.begin, phase.end
        seconds = end.at - begin.at
        pairs = zip(begin.control_cpu, end.control_cpu, strict=True)
        shares = [100 * (after - before) / seconds for before, after in pairs]
        traffic = [bytes_between(result.traffic, begin.at, end.at) for result in self._results]
        edge_seconds = seconds * self._point.edges
        real_seconds = seconds * max(1, self._point.real_edges)
        return PhaseFigures(
            phase=phase.name,
            seconds=round(seconds, 2),
            control_cpu=round(sum(shares), 2),
            control_cpu_worst=round(max(shares), 2),
            control_mb_worst=round(max(end.control_mb), 1),
            edge_in_bps=round(sum(into for into, _ in traffic) / edge_seconds),
            edge_out_bps=round(sum(out for _, out in traffic) / edge_seconds),
            hollow_cpu=round(100 * (end.hollow_cpu - begin.hollow_cpu) / edge_seconds, 3),
            real_cpu=round(100 * (end.real_cpu - begin.real_cpu) / real_seconds, 2),
            real_mb=round(end.real_mb, 1),
        )

    def _all_changes(self) -> list[ChangeFigures]:
        names = dict.fromkeys(change.phase for change in self._recording.changes)
        return [self._change_figures(name) for name in names]

    def _change_figures(self, name: str) -> ChangeFigures:
        changes = [change for change in self._recording.changes if change.phase == name]
        waits = [change.acknowledged_at - change.sent_at for change in changes]
        return ChangeFigures(
            phase=name,
            changes=len(changes),
            acknowledged=delays(waits, 0.0, len(changes)),
            in_force=worst_of([self.in_force(change) for change in changes]),
        )

    def _list_figures(self) -> ChangeFigures:
        """From the first scheduler that has a new list of workers to the others."""
        phase = next(phase for phase in self._recording.phases if phase.name == LIST_PHASE)
        spreads = [
            delays(arrivals, min(arrivals), self._point.edges)
            for arrivals in list_arrivals(self._results).values()
            if min(arrivals) > phase.begin.at
        ]
        return ChangeFigures(LIST_PHASE, len(spreads), delays((), 0.0, 0), worst_of(spreads))
