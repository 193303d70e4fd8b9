"""Plays days on two states of the code with the users' bench and prints their paired differences.

The second state is the first with one change of a list applied (the form of `lab/mutation/guards.toml`), so
that each mechanism can be switched off for an ablation without a switch in the program. Both play the same
days with the same seeds, without processor time, so that a difference is the change's.
"""

from __future__ import annotations

import argparse
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Sequence
from pathlib import Path

from msgspec import Struct

from reedspoke.lab.mutation.mutant_list import Mutant, load_mutants

ROOT = Path(__file__).resolve().parents[2]
LONGEST_DAY_S = 600.0
LEFT_OUT = shutil.ignore_patterns(".git", ".venv", "journal", "__pycache__")
ROW = re.compile(r"^(?P<day>\S+) +\d+/\d+ +(?P<score>[\d.]+) +(?P<worth>-?[\d.]+) ", re.MULTILINE)


class Play(Struct, frozen=True):
    """One day on one deployment with one seed."""

    site: Path
    day: str
    seed: int


class Result(Struct, frozen=True):
    """What the bench says of a play; `worth` is after prices."""

    worth: float
    broken: bool


class Bench(Struct, frozen=True):
    """The users' bench and how it is called."""

    program: Path
    why: str
    small: bool

    def play(self, tree: Path, play: Play) -> Result | None:
        """None where the day was not played."""
        command = [str(self.program), "run", str(play.site), play.day, "--no-cpu"]
        command += ["--seed", str(play.seed), "--why", self.why] + (["--small"] if self.small else [])
        try:
            done = subprocess.run(
                command, cwd=tree, capture_output=True, text=True, timeout=LONGEST_DAY_S, check=False
            )
        except subprocess.TimeoutExpired:
            return None
        return result_of(done.stdout)


def result_of(output: str) -> Result | None:
    """The row of the day in the bench's table."""
    row = ROW.search(output)
    if row is None:
        return None
    return Result(float(row["worth"]), "BROKEN" in output)


def changed_tree(folder: Path, mutant: Mutant | None) -> Path:
    """A copy of this checkout as a repository of its own, with the change applied."""
    tree = folder / ("as-it-is" if mutant is None else mutant.name)
    shutil.copytree(ROOT, tree, ignore=LEFT_OUT)
    if mutant is not None:
        path = tree / mutant.file
        text = path.read_text()
        if text.count(mutant.find) != 1:
            raise ValueError(f"{mutant.name}: its text does not stand in {mutant.file} exactly once")
        path.write_text(text.replace(mutant.find, mutant.replace))
    for words in (["init", "-q"], ["add", "-A"], ["commit", "-qm", tree.name]):
        subprocess.run(["git", *words], cwd=tree, check=True)
    return tree


def summary(name: str, before: Sequence[Result], after: Sequence[Result]) -> str:
    """Mean difference of worth with its standard error, and how often a rule broke."""
    differences = [second.worth - first.worth for first, second in zip(before, after, strict=True)]
    spread = statistics.stdev(differences) / len(differences) ** 0.5 if len(differences) > 1 else 0.0
    mean = statistics.fmean(differences)
    broken = sum(result.broken for result in after)
    return f"{name:28} {mean:+.4f} +- {spread:.4f} over {len(differences)} plays, {broken} broken"


def compare(bench: Bench, plays: Iterable[Play], mutants: Iterable[Mutant], folder: Path) -> None:
    """Play all on the code as it is and with each change; print a row for each change and deployment."""
    trees = {mutant.name: changed_tree(folder, mutant) for mutant in mutants}
    plain = changed_tree(folder, None)
    played = list(plays)
    before = {play: bench.play(plain, play) for play in played}
    for name, tree in trees.items():
        for site in sorted({play.site for play in played}):
            pairs = [(before[play], bench.play(tree, play)) for play in played if play.site == site]
            both = [(first, second) for first, second in pairs if first is not None and second is not None]
            firsts, seconds = [first for first, _ in both], [second for _, second in both]
            told = summary(name, firsts, seconds) if both else f"{name:28} not played"
            print(f"{site.stem:24} {told}", flush=True)


def parse_arguments() -> argparse.Namespace:
    """Reads the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("changes", type=Path, help="TOML list of changes")
    parser.add_argument("sites", type=Path, nargs="+", help="site files")
    parser.add_argument("--days", nargs="+", required=True, help="names of days that all sites have")
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2])
    parser.add_argument("--bench", type=Path, required=True, help="the users' bench program")
    parser.add_argument("--work", type=Path, required=True, help="folder for the copies, outside /tmp")
    parser.add_argument("--small", action="store_true", help="small twins of the days")
    parser.add_argument("--why", default="trial: ablation, paired")
    return parser.parse_args()


def main() -> int:
    """Plays and prints; the exit status."""
    arguments = parse_arguments()
    bench = Bench(arguments.bench.resolve(), arguments.why, arguments.small)
    sites = [site.resolve() for site in arguments.sites]
    plays = [Play(site, day, seed) for site in sites for day in arguments.days for seed in arguments.seeds]
    with tempfile.TemporaryDirectory(dir=arguments.work) as folder:
        compare(bench, plays, load_mutants(arguments.changes), Path(folder))
    return 0


if __name__ == "__main__":
    sys.exit(main())
