"""`reedspoke demo` and `reedspoke lab`: experiments in one form."""

from __future__ import annotations

import importlib
from functools import partial
from pathlib import Path

import click

# name -> module with `play`, default seconds, what it shows
EXPERIMENTS = {
    "acme": ("reedspoke.lab.acme", 30.0, "Renewals by the dozen from an authority that misbehaves."),
    "duties": (
        "reedspoke.lab.duties",
        40.0,
        "Duties that one scheduler holds, under faults between real processes.",
    ),
    "fleet": ("reedspoke.lab.fleet", 30.0, "Fleets of 3 to 200 in virtual time, and the lease core checked."),
    "identity": ("reedspoke.lab.identity", 30.0, "Callers, rotations under load, attackers beside them."),
    "tls": ("reedspoke.lab.tls", 30.0, "What TLS costs: CPU and requests a second, plain against TLS."),
}


def experiment(name: str, module: str, seconds: float, text: str) -> click.Command:
    @click.command(name, help=f"{text} Exit status 0 only if all held.")
    @click.option("--seconds", type=click.FloatRange(0.5, 3600), default=seconds, show_default=True)
    @click.option("--seed", type=int, default=1, show_default=True)
    @click.option("--json", "json_file", metavar="FILE", help="Write the figures as JSON; - for stdout.")
    def command(seconds: float, seed: int, json_file: str | None, style: str = "asked") -> int:
        from reedspoke.lab.experiment import run

        return run(importlib.import_module(module).play, seconds, seed, json_file, style)

    return command


STYLE = click.option(
    "--discovery", "style", type=click.Choice(["asked", "pushed"]), default="asked", show_default=True,
    help="Settings of a deployment whose lists are asked for, or of one where an agent pushes them.",
)  # fmt: skip
demo = STYLE(
    experiment("demo", "reedspoke.lab.demo", 8.0, "The main job on loopback, with nothing else at hand.")
)


@click.group()
def lab() -> None:
    """Experiments on loopback: real sockets, emulated peers, and invariants that these count."""


for _name, (_module, _seconds, _text) in EXPERIMENTS.items():
    lab.add_command(experiment(_name, _module, _seconds, _text))


@lab.command(
    "timeline", help="Timelines from files or by lot; docs/timelines.md. Exit status 0 only if all held."
)
@click.option("--file", "files", multiple=True, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--draw", "drawn", type=click.IntRange(0, 100_000), default=0, help="So many drawn by lot.")
@click.option("--stage", type=click.Choice(["real", "virtual"]), default="real", show_default=True)
@click.option("--side", type=click.IntRange(1, 16), default=4, show_default=True, help="Real ones at once.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "json_file", metavar="FILE", help="Write the figures as JSON; - for stdout.")
def timeline(
    files: tuple[Path, ...], drawn: int, stage: str, side: int, seed: int, json_file: str | None
) -> int:
    from reedspoke.lab.experiment import run
    from reedspoke.lab.timeline import TimelineError
    from reedspoke.lab.timelines import Plan, play

    plan = Plan(list(files), drawn, stage == "real", side)
    try:
        plan.timelines(seed)
    except TimelineError as error:
        raise click.ClickException(error.one_line()) from None
    return run(partial(play, plan=plan), 0, seed, json_file)


@lab.command("mutants", help="Take guards away one at a time: exit status 0 only if the tests catch each.")
@click.option("--name", "pattern", default="*", show_default=True, help="Those whose name matches alone.")
@click.option("--at-once", type=click.IntRange(1, 16), default=2, show_default=True)
@click.option("--limit", "limit_s", type=click.FloatRange(1, 3600), default=180.0, show_default=True,
              help="Seconds for the tests of one mutant.")  # fmt: skip
@click.option("--tree", type=click.Path(exists=True, file_okay=False, path_type=Path), default=Path(),
              help="The git checkout that is copied; the present folder by default.")  # fmt: skip
@click.option("--list", "list_file", type=click.Path(exists=True, dir_okay=False, path_type=Path),
              help="A list in place of the one of the safety guards.")  # fmt: skip
def mutants(pattern: str, at_once: int, limit_s: float, tree: Path, list_file: Path | None) -> int:
    from reedspoke.lab.mutation.command import play
    from reedspoke.lab.mutation.mutant_list import GUARDS_FILE
    from reedspoke.lab.mutation.runner import Settings

    return play(Settings(tree.resolve(), at_once, limit_s), list_file or GUARDS_FILE, pattern)
