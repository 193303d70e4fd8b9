"""Draws the troubles of a run from its seed; a run is played again from the file of its plan."""

from __future__ import annotations

import math
from enum import Enum
from pathlib import Path
from random import Random

import msgspec
from msgspec import Struct

LEAST_S = 0.05  # the shortest trouble
LONGEST_S = 7.0  # longer than every lease, session and time-out of the fleet
FIRST_AT_S = 0.5
APARTS_S = (0.8, 1.5, 4.0)  # between two troubles that do not come together: one of these averages a run
TOGETHER = 0.6  # share of troubles that come within TOGETHER_S of the one before
TOGETHER_S = 0.4


class Kind(Enum):
    """What is done."""

    PAUSE_CONTROL = "pause_control"  # SIGSTOP, later SIGCONT
    PAUSE_EDGE = "pause_edge"
    KILL_CONTROL = "kill_control"  # SIGKILL, started again later
    KILL_EDGE = "kill_edge"
    POWER_CONTROL = "power_control"  # as killed, and the disk loses what was not synced
    POWER_ALL = "power_all"  # all control machines at once
    TERM_CONTROL = "term_control"  # SIGTERM, started again when it has ended
    TERM_EDGE = "term_edge"
    HUP = "hup"  # SIGHUP to any process, with other seeds in its file
    CUT_CONTROL = "cut_control"  # one control machine from the other control machines
    CUT_ONE_WAY = "cut_one_way"  # what it sends is lost to the other control machines
    CUT_HALVES = "cut_halves"  # the control machines into two parts
    CUT_EDGE = "cut_edge"  # an edge machine from all control machines
    CUT_WORKER = "cut_worker"  # a worker from all edge machines
    RESET = "reset"  # all connections of a machine
    DISK_FULL = "disk_full"
    DISK_SLOW = "disk_slow"
    DISK_STALL = "disk_stall"
    DISK_LOST = "disk_lost"  # the machine comes back with an empty disk
    DISK_LOST_POWER_ALL = "disk_lost_power_all"  # and all other machines lose power at that moment
    REPLACE = "replace"  # an empty machine at another address, the old one is killed
    REPLACE_PLANNED = "replace_planned"  # the new one first, then SIGTERM
    WORKER_DARK = "worker_dark"
    WORKER_CRASH = "worker_crash"  # reset; another incarnation at the same address later
    WORKER_DRAIN = "worker_drain"  # planned: drains, then another incarnation
    PLATFORM_DOWN = "platform_down"  # the list of workers does not answer
    TERM_ROLL = "term_roll"  # SIGTERM to each control machine in turn, and then to each edge machine
    HUP_SERIES = "hup_series"  # several SIGHUP to one process in quick succession, a SIGTERM among them
    KILL_ALL = "kill_all"  # every process of both planes at the same moment, their disks stay
    CUT_LONG = "cut_long"  # the control machines into two parts, and twice in a row


FIRST_SERIES = list(Kind).index(Kind.TERM_ROLL)
SINGLE_KINDS = list(Kind)[:FIRST_SERIES]
SERIES_KINDS = list(Kind)[FIRST_SERIES:]
SERIES_SHARE = 0.2  # of the troubles, in a plan that has series


class Trouble(Struct, frozen=True):
    """One trouble: from `at_s` for `for_s` seconds; `pick` chooses whom it befalls."""

    kind: Kind
    at_s: float
    for_s: float
    pick: int


class Plan(Struct, frozen=True):
    """Everything that differs between two runs."""

    seed: int
    seconds: float
    troubles: tuple[Trouble, ...]
    control: int = 3
    edges: int = 2
    workers: int = 4
    per_s: float = 30.0
    applications: int = 4  # that add to tallies


def draw_plan(seed: int, seconds: float, *, series: bool = False) -> Plan:
    """The plan of a seed; with `series`, signals and restarts also come in series."""
    random = Random(seed)
    apart_s = random.choice(APARTS_S)
    troubles = []
    at = FIRST_AT_S
    while at < seconds:
        troubles.append(_draw_trouble(random, at, series))
        near = random.random() < TOGETHER
        at += random.uniform(0, TOGETHER_S) if near else random.expovariate(1 / apart_s)
    return Plan(seed, seconds, tuple(troubles))


def _draw_trouble(random: Random, at: float, series: bool) -> Trouble:
    lasting = math.exp(random.uniform(math.log(LEAST_S), math.log(LONGEST_S)))
    in_series = series and random.random() < SERIES_SHARE
    kind = random.choice(SERIES_KINDS if in_series else SINGLE_KINDS)
    return Trouble(kind, round(at, 3), round(lasting, 3), random.randrange(1 << 16))


def overlapping(troubles: tuple[Trouble, ...]) -> int:
    """How many troubles begin while another one lasts."""
    ends = 0.0
    count = 0
    for trouble in sorted(troubles, key=lambda item: item.at_s):
        count += trouble.at_s < ends
        ends = max(ends, trouble.at_s + trouble.for_s)
    return count


def write_plan(plan: Plan, path: Path) -> None:
    """Keep a plan to play it again."""
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan)))


def read_plan(path: Path) -> Plan:
    """A plan that was kept."""
    return msgspec.json.decode(path.read_bytes(), type=Plan)
