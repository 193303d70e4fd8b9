"""Reports as tables of plain text."""

from __future__ import annotations

from collections.abc import Sequence

from msgspec import Struct, structs

from reedspoke.lab.fleet_emulator.experiment import Report
from reedspoke.operator_cli.rendering import render_table


def struct_table(rows: Sequence[Struct]) -> str:
    """A row for each structure; all are of one type."""
    if not rows:
        return ""
    header = rows[0].__struct_fields__
    return render_table(header, [structs.astuple(row) for row in rows])


def report_text(report: Report) -> str:
    """A run as text."""
    counts = report.findings.counts()
    found = ", ".join(f"{name} {count}" for name, count in counts.items())
    lines = [
        struct_table(report.kinds),
        "",
        struct_table(report.processes),
        "",
        f"started in {report.start_s} s; calls for the list {report.list_calls}, probes {report.probes}, "
        f"repeats {report.repeats}",
        f"broken: {found}, mixed {len(report.mixed)}",
        *report.mixed[:10],
    ]
    if report.causes:
        lines.append("not served: " + ", ".join(f"{cause} {n}" for cause, n in report.causes.items()))
    lines.append("sound" if report.sound() else "NOT sound")
    return "\n".join(lines)
