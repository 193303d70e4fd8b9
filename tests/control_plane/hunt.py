"""Runs random schedules until one violates a rule, and shortens that schedule.

`python -m tests.control_plane.hunt --steps 10000 --seed 1 --machines 3 --tolerated 1`
"""

from __future__ import annotations

import argparse
import os
import sys
import traceback
from collections.abc import Sequence

import picologging

from reedspoke.common.json_log import LOGGER_NAME
from reedspoke.telemetry.invariants import Violation, monitor
from tests.control_plane.random_schedule import Step, draw_steps, play_schedule

STEPS_PER_SCHEDULE = 100
MAX_TRIALS = 400
EXIT_FOUND = 1
HASH_SEED = "0"


def failure(seed: int, steps: Sequence[Step], machines: int, tolerated: int) -> Exception | None:
    """The error in a schedule; None if it violates no rule and no invariant."""
    monitor.reset_violations()
    try:
        play_schedule(seed, steps, machines, tolerated)
    except Exception as error:  # any exception of the program is a failure as well
        return error
    return invariant_error(monitor.reset_violations())


def invariant_error(broken: list[Violation]) -> Exception | None:
    """An error for the invariant violations of the code under test; None if there are none."""
    return AssertionError(f"invariants were violated: {broken}") if broken else None


def shorten(seed: int, steps: Sequence[Step], machines: int, tolerated: int) -> list[Step]:
    """Remove steps, many at a time and then fewer, while the schedule fails in the same place."""
    kept = list(steps)
    wanted = _kind(failure(seed, kept, machines, tolerated))
    size = max(1, len(kept) // 2)
    trials = 0
    while size and trials < MAX_TRIALS:
        start = 0
        while start < len(kept) and trials < MAX_TRIALS:
            trials += 1
            shorter = kept[:start] + kept[start + size :]
            if _kind(failure(seed, shorter, machines, tolerated)) == wanted:
                kept = shorter
            else:
                start += size
        size //= 2
    return kept


def _kind(error: Exception | None) -> str:
    """The place of the failed check, which a shortened schedule must have in common."""
    if error is None:
        return ""
    if error.__traceback__ is None:
        return "invariant"
    place = traceback.extract_tb(error.__traceback__)[-1]
    return f"{place.name}:{place.lineno}"


def show(seed: int, steps: Sequence[Step], machines: int, tolerated: int) -> None:
    """Print the error and the steps of a failing schedule."""
    found = failure(seed, steps, machines, tolerated)
    print("".join(traceback.format_exception(found)[-4:]))
    for step in steps:
        print(f"  {step.number:4d} {step.kind}, then {step.pause:.3f} s")


def fix_hash_seed() -> None:
    """Restart with a fixed hash seed, so that sets have one order and a seed gives the same schedule."""
    if os.environ.get("PYTHONHASHSEED") != HASH_SEED:
        arguments = [sys.executable, "-m", "tests.control_plane.hunt", *sys.argv[1:]]
        os.execve(sys.executable, arguments, os.environ | {"PYTHONHASHSEED": HASH_SEED})


def main() -> int:
    """Run schedules until the number of steps is reached or one fails."""
    fix_hash_seed()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--steps", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--machines", type=int, default=3)
    parser.add_argument("--tolerated", type=int, default=1)
    parser.add_argument("--go-on", action="store_true", help="print only the seed of a find, and go on")
    arguments = parser.parse_args()
    picologging.getLogger(LOGGER_NAME).setLevel(picologging.CRITICAL)
    seed, done, found = arguments.seed, 0, 0
    while done < arguments.steps:
        steps = draw_steps(seed, STEPS_PER_SCHEDULE)
        error = failure(seed, steps, arguments.machines, arguments.tolerated)
        done += len(steps)
        if error is not None:
            found += 1
            print(f"seed {seed} fails: {type(error).__name__}: {error}", flush=True)
            if not arguments.go_on:
                show(
                    seed,
                    shorten(seed, steps, arguments.machines, arguments.tolerated),
                    arguments.machines,
                    arguments.tolerated,
                )
                return EXIT_FOUND
        seed += 1
    evaluated = {item.value: count for item, count in sorted(monitor.evaluated.items(), key=str)}
    print(f"evaluations: {evaluated}")
    print(f"{done} steps in {seed - arguments.seed} schedules from seed {arguments.seed}: {found} finds")
    return EXIT_FOUND if found else 0


if __name__ == "__main__":
    raise SystemExit(main())
