"""Runs many schedules of random losses: `python -m tests.control_plane.loss_hunt --steps N --seed S`.

The exit status is 1 if a check has failed.
"""

from __future__ import annotations

import argparse
import sys
import time

from msgspec import Struct

from tests.control_plane.loss_schedule import Figures, LossSchedule
from tests.control_plane.simulation import Simulation

STEPS_PER_SEED = 40


class Size(Struct, frozen=True):
    """A size of the core, and the time that it has to recover from a loss."""

    machines: int
    tolerated: int
    catch_up_s: float


SIZES = (Size(3, 1, 4.0), Size(5, 2, 6.0), Size(4, 1, 4.0), Size(7, 2, 6.0))


def run_schedule(size: Size, seed: int, steps: int = STEPS_PER_SEED, trial_share: float = 0.05) -> Figures:
    """Run one schedule. Raises AssertionError if a loss would violate a rule."""
    simulation = Simulation(seed, machines=size.machines, tolerated=size.tolerated)
    return LossSchedule(simulation, size.tolerated, size.catch_up_s, trial_share).play(steps)


def main() -> int:
    """Run schedules from the given seed on, until the given number of steps has been checked."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=2000)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--trial-share", type=float, default=0.05)
    arguments = parser.parse_args()
    total = Figures()
    seed = arguments.seed
    started = time.process_time()
    faults = 0
    while total.steps < arguments.steps:
        for size in SIZES:
            try:
                figures = run_schedule(size, seed, trial_share=arguments.trial_share)
            except AssertionError as error:
                faults += 1
                print(f"fault: seed {seed}, {size}: {error}", flush=True)
                continue
            total.losses += figures.losses
            total.steps += figures.steps
            total.sets += figures.sets
            total.trials += figures.trials
        seed += 1
    last = seed - 1
    elapsed = time.process_time() - started
    print(f"seeds {arguments.seed} to {last}: {faults} faults, {total}, {elapsed:.0f} s of processor time")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
