"""A small deployment for demonstrations and experiments: classes, tenants and limits in the platform's
form."""

from __future__ import annotations

from typing import Any

# name, what a repeat does, longest wait and aim in us, worth, mean work in us, share of the jobs
CLASSES = (
    ("offer-quote", "pure", 5_000_000, 250_000, 1.0, 20_000, 0.40),
    ("balance-view", "pure", 7_500_000, 500_000, 1.0, 30_000, 0.25),
    ("loan-booking", "side_effect", 15_000_000, 600_000, 8.0, 60_000, 0.22),
    ("repayment-post", "side_effect", 7_500_000, 500_000, 2.0, 30_000, 0.13),
)
UNSAFE = frozenset(name for name, repeat, *_ in CLASSES if repeat == "side_effect")
TENANTS = (("alpenhaus", 0.4), ("donau-bank", 0.3), ("moebel-steiner", 0.2), ("tirol-rad", 0.1))


def settings() -> dict[str, Any]:
    return {
        "balancers": 1,
        "me": 0,
        "zone": "a",
        "zones": ["a"],
        "categories": [
            {"name": name, "repeat": repeat, "hard_limit": longest, "aim": aim, "importance": worth}
            for name, repeat, longest, aim, worth, *_ in CLASSES
        ],
        "tenants": [{"name": name, "portion": portion} for name, portion in TENANTS],
        "ceilings": {
            "try_limit": 5, "cancelling": True, "probes": True, "retry_after": True,
            "max_retry_after": 2_000_000, "connect_timeout": 250_000, "conn_idle": 60_000_000,
        },
        "safety": {
            "answer_slack": 20_000, "ask_within": 10_000_000, "cold_from": 0.34, "drain_grace": 250_000,
            "fall": 2_000_000, "tip_multiple": 2.5, "warm_up": 8_900_000,
        },
        "discovery": "on_request",
        "flavors": ["fast"],
        "family_info": {"class_stretch": [2.0] * len(CLASSES), "tells_start": True},
        "report": {"how": "answers", "names": ["mean_ms", "depth", "x0", "x1"]},
        "resolution": 5000,
        "worth_by": "work",
    }  # fmt: skip
