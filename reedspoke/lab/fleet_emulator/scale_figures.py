"""Results of scale runs."""

from __future__ import annotations

from msgspec import Struct, field

from reedspoke.lab.fleet_emulator.measurement import Delays, Slope

LIST_RATE_PER_S = 200.0  # calls of the platform's list, enough for any size


class ScalePoint(Struct, frozen=True):
    """Size of one run."""

    edges: int
    workers: int
    routes: int
    control: int
    load_size: int  # workers at which each scheduler says that it has requests
    real_edges: int
    hosts: int  # processes that share the hollow schedulers
    seconds: float  # of each steady phase
    list_rate_per_s: float = LIST_RATE_PER_S


class PhaseFigures(Struct, frozen=True):
    """One phase of a run: processor time in percent of a core, bytes a second as one scheduler sees them."""

    phase: str
    seconds: float
    control_cpu: float  # all control processes together
    control_cpu_worst: float
    control_mb_worst: float
    edge_in_bps: float
    edge_out_bps: float
    hollow_cpu: float  # for each hollow scheduler
    real_cpu: float  # of a real data plane process
    real_mb: float


class ChangeFigures(Struct, frozen=True):
    """Changes of one phase: from the send until acknowledged, and until in force at all schedulers."""

    phase: str
    changes: int
    acknowledged: Delays
    in_force: Delays


class RunFigures(Struct):
    """One run."""

    point: ScalePoint
    start_s: float
    settle_s: float  # from the loss of the chain's head until all sessions stand again
    hollow_mb: float  # resident memory of hollow processes for each scheduler
    sessions_lost: int  # in calm phases
    end_causes: dict[str, int]  # of all sessions that ended, by the error that ended them
    phases: list[PhaseFigures] = field(default_factory=list)
    changes: list[ChangeFigures] = field(default_factory=list)


class SlopeFigures(Struct, frozen=True):
    """How a figure of a phase grows with one dimension of the size."""

    dimension: str
    phase: str
    figure: str
    slope: Slope


class FailedRun(Struct, frozen=True):
    """A size at which the control plane did not go on answering, and what was said then."""

    point: ScalePoint
    reason: str


class ScaleReport(Struct):
    """All runs and the slopes through them."""

    runs: list[RunFigures]
    slopes: list[SlopeFigures]
    failed: list[FailedRun] = field(default_factory=list)
