"""Long days as data: hundreds of changes beside replaced members, lost disks, cuts and losses of power.

Each day is written for a length of LENGTH_S; own_days_site.py sets it with ``--length``.
"""

from __future__ import annotations

from dataclasses import dataclass

from tests.fleet_days.troubles import Value, Way

LENGTH_S = 240
CHANGE_GAP_S = 0.35
CHANGES = 640
FIRST_CHANGE_S = 3.0


@dataclass(frozen=True)
class Course:
    """The troubles of a long day: ways that come by turns, one each ``gap_s`` from ``first_s`` on."""

    name: str
    ways: tuple[Way, ...]
    first_s: float = 12.0
    gap_s: float = 16.0
    last_s: float = LENGTH_S - 25.0

    def moments(self) -> list[float]:
        """The seconds at which a trouble begins."""
        steps = int((self.last_s - self.first_s) // self.gap_s) + 1
        return [round(self.first_s + step * self.gap_s, 1) for step in range(steps)]


def _on_control(kind: str, how: str, **fields: Value) -> Way:
    return Way(kind, how, {"on": "core", **fields})


REPLACED = Way("replace_core", "oldest", {"x": 1.0})
REPLACED_BY_PLAN = Way("replace_core", "planned", {"x": 1.0})
REPLACED_UNPLANNED = Way("replace_core", "", {"x": 5.0})
WIPED = Way("after_ack_wipe", "oldest", {"for_s": 3.0})
WIPED_TIMED = Way("after_ack_wipe", "timed", {"for_s": 3.0})
KILLED_AFTER_ACKNOWLEDGEMENT = Way("after_ack_kill", "timed", {"for_s": 3.0})
KILLED = _on_control("node_kill", "power leader race", for_s=3.0)
KILLED_MEETING = _on_control("node_kill", "turn meet", for_s=6.0)
ALL_WITHOUT_POWER = _on_control("herd_kill", "power", share=1.0, for_s=2.0)
ALL_TAKEN = _on_control("herd_kill", "taken all", share=1.0, for_s=2.0)
CUT_18_S = Way("core_cut", "leader both", {"for_s": 18.0})
CUT_20_S = Way("core_cut", "turn meet race hard", {"for_s": 20.0})
CUT_LURE = Way("core_cut", "leader lure", {"for_s": 20.0})
CUT_SEEDS = Way("core_cut", "seeds", {"for_s": 18.0})
ROLLED = _on_control("roll_term", "", gap_s=2.0, x=1.0)
REMOVED = _on_control("roll_term", "remove", gap_s=8.0, x=1.0)
LOST_ANSWERS = Way("ack_lost", "", {"x": 0.7, "for_s": 12.0})
RACES = Way("config_race", "", {"gap_s": 0.7}, (12,))
STALLED = Way("disk_stall", "leader", {"for_s": 4.0})
FULL = Way("disk_full", "leader", {"for_s": 6.0})
CLOCKS = _on_control("clock_step", "back", share=0.4, x=5000, for_s=6.0)
NEW_SEEDS = Way("seed_turnover")

COURSES = (
    Course("replaced-one-after-another", (REPLACED, REPLACED_BY_PLAN), gap_s=14.0),
    Course("replaced-just-before-a-kill", (REPLACED_UNPLANNED, KILLED), gap_s=9.0),
    Course("wiped-just-after-a-replacement", (REPLACED, WIPED, REPLACED_BY_PLAN, WIPED_TIMED), gap_s=9.0),
    Course("cut-while-others-are-replaced", (CUT_18_S, REPLACED, CUT_20_S, REPLACED_BY_PLAN), gap_s=12.0),
    Course("cut-then-all-without-power", (CUT_20_S, ALL_WITHOUT_POWER, CUT_LURE, ALL_TAKEN), gap_s=22.0),
    Course("lost-answers-and-races", (LOST_ANSWERS, RACES, CUT_20_S, KILLED), gap_s=10.0),
    Course("lost-answers-and-kills", (LOST_ANSWERS, KILLED_AFTER_ACKNOWLEDGEMENT, KILLED_MEETING), gap_s=8.0),
    Course("disks", (STALLED, WIPED, FULL, WIPED_TIMED, KILLED), gap_s=10.0),
    Course("restarts", (ROLLED, KILLED_MEETING, REMOVED, CUT_SEEDS, NEW_SEEDS), gap_s=24.0),
    Course("clocks-and-cuts", (CLOCKS, CUT_18_S, CLOCKS, CUT_LURE), gap_s=11.0),
    Course(
        "all-kinds",
        (
            CUT_18_S,
            REPLACED,
            WIPED,
            ALL_WITHOUT_POWER,
            LOST_ANSWERS,
            RACES,
            STALLED,
            ROLLED,
            CLOCKS,
            CUT_20_S,
        ),
        gap_s=11.0,
    ),
    Course(
        "all-kinds-close",
        (KILLED, WIPED, REPLACED_UNPLANNED, CUT_SEEDS, KILLED_AFTER_ACKNOWLEDGEMENT, ALL_TAKEN, FULL),
        gap_s=7.0,
    ),
)
