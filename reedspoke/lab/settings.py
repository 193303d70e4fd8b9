"""Two small deployments for demonstrations and experiments, in the platform's form: one whose scheduler
asks for its lists, and one whose lists an agent pushes. What the program does follows from these alone."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

# name, what a repeat does, longest wait and aim in us, worth, mean work in us, share of the jobs
Row = tuple[str, str, int, int, float, int, float]


@dataclass(slots=True, frozen=True)
class Deployment:
    classes: tuple[Row, ...]
    tenants: tuple[tuple[str, float], ...]
    zones: tuple[str, ...] = ("a",)
    pushed: bool = False
    report: str = "answers"  # or "probe": reports come with probes alone
    names: tuple[str, ...] = ("mean_ms", "depth", "x0", "x1")
    conn_idle: int = 60_000_000  # us
    drain_grace: int = 250_000  # us
    window: int = 15_000_000  # us in which the hosts of a zone drop a keyed job's repeat
    cross_zone: float = 0.03
    most_connections: int = 0  # that a host holds at once; told nowhere, 0: as many as come

    def of(self, repeat: str) -> frozenset[str]:
        """The classes of which a repeat does that."""
        return frozenset(row[0] for row in self.classes if row[1] == repeat)

    def work(self) -> dict[str, float]:
        """Mean work of each class, s."""
        return {row[0]: row[5] / 1e6 for row in self.classes}

    def settings(self) -> dict[str, Any]:
        return {
            "balancers": 1,
            "me": 0,
            "zone": self.zones[0],
            "zones": list(self.zones),
            "categories": [
                {
                    "name": name, "repeat": repeat, "hard_limit": longest, "aim": aim, "importance": worth,
                    "group": "zone", "window": self.window,
                }
                for name, repeat, longest, aim, worth, *_ in self.classes
            ],
            "tenants": [{"name": name, "portion": portion} for name, portion in self.tenants],
            "ceilings": {
                "try_limit": 5, "cancelling": True, "probes": True, "retry_after": True,
                "max_retry_after": 2_000_000, "connect_timeout": 250_000, "conn_idle": self.conn_idle,
            },
            "safety": {
                "answer_slack": 20_000, "ask_within": 0 if self.pushed else 10_000_000, "cold_from": 0.34,
                "drain_grace": self.drain_grace, "fall": 2_000_000, "tip_multiple": 2.5,
                "warm_up": 8_900_000,
            },
            "deductions": {"cross_zone": self.cross_zone},
            "discovery": "pushed" if self.pushed else "on_request",
            "flavors": ["fast"],
            "family_info": {"class_stretch": [2.0] * len(self.classes), "tells_start": True},
            "report": {"how": self.report, "names": list(self.names)},
            "resolution": 5000,
            "worth_by": "work",
        }  # fmt: skip


ASKED = Deployment(
    (
        ("offer-quote", "pure", 5_000_000, 250_000, 1.0, 20_000, 0.40),
        ("balance-view", "pure", 7_500_000, 500_000, 1.0, 30_000, 0.25),
        ("loan-booking", "side_effect", 15_000_000, 600_000, 8.0, 60_000, 0.22),
        ("repayment-post", "side_effect", 7_500_000, 500_000, 2.0, 30_000, 0.13),
    ),
    (("alpenhaus", 0.4), ("donau-bank", 0.3), ("moebel-steiner", 0.2), ("tirol-rad", 0.1)),
)
PUSHED = Deployment(
    (
        ("issue-query", "pure", 5_000_000, 60_000, 1.0, 14_000, 0.43),
        ("symbolicate", "pure", 6_000_000, 250_000, 5.0, 55_000, 0.26),
        ("event-ingest", "token", 10_000_000, 600_000, 3.0, 80_000, 0.18),
        ("alert-page", "side_effect", 5_000_000, 60_000, 10.0, 7_000, 0.13),
    ),
    (("hinode-games", 0.4), ("sakura-pay", 0.3), ("minato-rail", 0.2), ("kaze-mobile", 0.1)),
    zones=("hakata", "kitakyushu"), pushed=True, report="probe",
    names=("depth", "concurrent", "x0", "x1"), conn_idle=5_000_000, drain_grace=3_000_000, cross_zone=0.12,
    most_connections=12,
)  # fmt: skip
STYLES = {"asked": ASKED, "pushed": PUSHED}

CLASSES, TENANTS, UNSAFE = ASKED.classes, ASKED.tenants, ASKED.of("side_effect")
