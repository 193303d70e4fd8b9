"""The counters of the reducer as Prometheus text: a pure function of the state and the avoided workers."""

from __future__ import annotations

from collections.abc import Iterable

from reedspoke.net.state import State

PREFIX = "scheduler"
ENDS = ("succeeded", "declined", "aborted")  # each job ends in exactly one of these ways
ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n"})
HELP = {
    "succeeded_total": "Jobs served, by class.",
    "declined_total": "Jobs refused, by class.",
    "aborted_total": "Jobs failed, by class.",
    "forwards_total": "Attempts written whole to workers.",
    "sighup_applied_total": "Configurations taken up after SIGHUP.",
    "sighup_rejected_total": "Configurations found unusable after SIGHUP.",
    "outstanding": "Jobs taken and not yet ended.",
    "discovered": "Workers in the list.",
    "ejected": "Listed workers that are avoided now, by hand or by choice.",
}


def label(value: str) -> str:
    """Quote a label value and escape characters that would end the label or the line."""
    return f'"{value.translate(ESCAPES)}"'


def family(name: str, samples: Iterable[tuple[str, int]]) -> str:
    """One metric with its HELP and TYPE lines."""
    kind = "counter" if name.endswith("_total") else "gauge"
    lines = [f"# HELP {PREFIX}_{name} {HELP[name]}", f"# TYPE {PREFIX}_{name} {kind}"]
    lines += [f"{PREFIX}_{name}{labels} {value}" for labels, value in samples]
    return "\n".join(lines) + "\n"


def text(state: State, classes: Iterable[str], avoided: Iterable[str]) -> str:
    """All metrics of the scheduler.

    Every class and metric is present from the start with the value 0, because a missing one would look like
    a dead process.
    """
    classes = tuple(classes)
    counted = state.metric_counters
    parts = [
        family(f"{end}_total", [(f"{{service={label(cls)}}}", counted[end, cls]) for cls in classes])
        for end in ENDS
    ]
    parts += [family(f"{name}_total", [("", counted[name, ""])]) for name in ("forwards", "sighup_applied")]
    parts.append(family("sighup_rejected_total", [("", counted["sighup_rejected", ""])]))
    parts.append(family("outstanding", [("", len(state.open_request_ids))]))
    parts.append(family("discovered", [("", len(state.workers))]))
    parts.append(family("ejected", [("", len(state.workers.keys() & set(avoided)))]))
    return "".join(parts)
