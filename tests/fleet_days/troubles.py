"""The ways in which the bench's troubles reach the control machines, as data for make_days.py.

The words are those of ``fleetbench kinds SITE``.  Each way names the text of ``how`` and the fields
that it needs beside the usual ones.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

Value = str | int | float


@dataclass(frozen=True)
class Way:
    """One trouble at one strength, without its moment."""

    kind: str
    how: str = ""
    fields: Mapping[str, Value] = field(default_factory=dict)
    counts: tuple[int, ...] = (1,)

    @property
    def label(self) -> str:
        """A short name for file names."""
        return "-".join([self.kind.replace("_", "-"), *self.how.replace("_", "-").split()])


ONE_OR_TWO = (1, 2)
SHORT_CUT_S = 6.0
LONG_CUT_S = 20.0

_CUT_HOWS = (
    "",
    "all",
    "near",
    "oldest",
    "one_way",
    "seeds",
    "both",
    "lure",
    "turn",
    "leader",
    "reader",
    "seed",
    "leader refuse",
    "leader reset",
    "leader one_way race drain hard",
    "leader race",
    "turn meet",
    "leader both race hard",
    "leader lure drain",
    "all turn meet drain",
)
_KILL_HOWS = (
    "",
    "power",
    "leader",
    "power leader",
    "turn",
    "reader",
    "seed race",
    "meet drain",
    "leader race drain hard",
    "power leader meet",
)

CUTS = tuple(Way("core_cut", how, {"for_s": LONG_CUT_S}, ONE_OR_TWO) for how in _CUT_HOWS)
SHORT_CUTS = tuple(
    Way("core_cut", how, {"for_s": SHORT_CUT_S}, ONE_OR_TWO) for how in ("", "both", "leader race", "lure")
)
KILLS = tuple(Way("node_kill", how, {"on": "core", "for_s": 3.0}, ONE_OR_TWO) for how in _KILL_HOWS)
REPLACEMENTS = tuple(
    Way("replace_core", how, {"x": delay_s})
    for how in ("", "oldest", "planned", "planned oldest", "leader", "leader race")
    for delay_s in (1.0,)
)
KILLS_AFTER_ACKNOWLEDGEMENT = tuple(
    Way("after_ack_kill", how, {"for_s": 3.0}, ONE_OR_TWO)
    for how in ("", "kill", "timed", "kill timed", "taken", "taken gone")
)
WIPES_AFTER_ACKNOWLEDGEMENT = tuple(
    Way("after_ack_wipe", how, {"for_s": 3.0}, ONE_OR_TWO) for how in ("", "oldest", "timed", "oldest timed")
)
LOSSES_OF_ALL = tuple(
    Way("herd_kill", how, {"on": "core", "share": 1.0, "for_s": 2.0})
    for how in ("", "power", "taken", "taken all")
)
ORDERS = (
    Way("config_race", "", {"gap_s": 0.7}, (30,)),
    Way("config_race", "", {"gap_s": 2.0}, (10,)),
    Way("ack_lost", "", {"x": 0.7, "for_s": 25.0}),
    Way("ack_lost", "", {"x": 0.95, "for_s": 25.0}),
    Way("bad_config", "same_version", {"gap_s": 1.0}, (10,)),
    Way("bad_config", "old_version", {"gap_s": 1.0}, (10,)),
    Way("bad_config", "stale_match", {"gap_s": 1.0}, (10,)),
    Way("big_config", "", {}, (350,)),
)
RESTARTS = tuple(
    Way("roll_term", how, {"on": "core", "gap_s": gap_s, "x": 1.0})
    for how, gap_s in (
        ("", 1.3),
        ("", 6.0),
        ("busy", 1.3),
        ("remove", 6.0),
        ("meet", 6.0),
        ("race hard", 6.0),
    )
)
DISKS = tuple(
    Way(kind, how, {"for_s": for_s, **strength}, ONE_OR_TWO)
    for kind, strength, for_s in (
        ("disk_slow", {"x": 30.0}, 6.0),
        ("disk_stall", {}, 4.0),
        ("disk_full", {}, 6.0),
    )
    for how in ("", "leader")
)
CLOCKS_AND_SLOWNESS = (
    Way("clock_step", "", {"on": "core", "share": 0.4, "x": 2000, "for_s": 5.0}),
    Way("clock_step", "back", {"on": "core", "share": 1.0, "x": 5000, "for_s": 5.0}),
    Way("clock_step", "ahead", {"on": "core", "share": 1.0, "x": 5000, "for_s": 5.0}),
    Way("node_freeze", "", {"on": "core", "for_s": 4.0}, ONE_OR_TWO),
    Way("node_freeze", "leader", {"on": "core", "for_s": 4.0}, ONE_OR_TWO),
    Way("node_freeze", "leader race hard", {"on": "core", "for_s": 20.0}, ONE_OR_TWO),
    Way("node_slow", "leader", {"on": "core", "x": 5.0, "for_s": 6.0}, ONE_OR_TWO),
    Way("reset_conns", "", {"on": "core", "share": 1.0, "x": 1.0}),
    Way("seed_turnover"),
    Way("hup", "", {"share": 0.3, "gap_s": 3.0}),
)

SINGLES = (
    *CUTS,
    *SHORT_CUTS,
    *KILLS,
    *REPLACEMENTS,
    *KILLS_AFTER_ACKNOWLEDGEMENT,
    *WIPES_AFTER_ACKNOWLEDGEMENT,
    *LOSSES_OF_ALL,
    *ORDERS,
    *RESTARTS,
    *DISKS,
    *CLOCKS_AND_SLOWNESS,
)

PAIRED = (
    Way("core_cut", "both", {"for_s": SHORT_CUT_S}),
    Way("core_cut", "leader race", {"for_s": LONG_CUT_S}),
    Way("node_kill", "power leader meet", {"on": "core", "for_s": 3.0}),
    Way("replace_core", "oldest", {"x": 1.0}),
    Way("replace_core", "planned", {"x": 1.0}),
    Way("after_ack_kill", "timed", {"for_s": 3.0}),
    Way("after_ack_wipe", "oldest", {"for_s": 3.0}),
    Way("herd_kill", "power", {"on": "core", "share": 1.0, "for_s": 2.0}),
    Way("ack_lost", "", {"x": 0.7, "for_s": 15.0}),
    Way("config_race", "", {"gap_s": 1.0}, (15,)),
    Way("roll_term", "", {"on": "core", "gap_s": 1.3, "x": 1.0}),
    Way("disk_stall", "leader", {"for_s": 4.0}),
    Way("clock_step", "back", {"on": "core", "share": 0.4, "x": 4000, "for_s": 5.0}),
    Way("node_freeze", "leader", {"on": "core", "for_s": 4.0}),
)
