"""Asks the processes of a run for their figures."""

from __future__ import annotations

import re
from collections import Counter

from reedspoke.lab.fleet_emulator.http_messages import render_request
from reedspoke.lab.fleet_soak.operators import call
from reedspoke.lab.fleet_soak.soak_fleet import SoakProcess

EVALUATIONS = re.compile(r'^reedspoke_invariant_evaluations_total\{invariant="(\w+)"\} (\d+)$', re.MULTILINE)


async def figures_of(process: SoakProcess) -> str:
    """The text of a process's figures; empty where it does not answer."""
    port, slash, path = process.settings.metrics.partition("/")
    address = f"{process.settings.ip_address}:{port}"
    answer = await call(address, render_request("GET", slash + path, {"Host": address}))
    return "" if answer is None else answer.body.decode()


def evaluations_in(text: str) -> Counter[str]:
    """How often each invariant was evaluated."""
    return Counter({name: int(count) for name, count in EVALUATIONS.findall(text)})


def value_in(text: str, name: str) -> float | None:
    """A figure without labels, or with the labels that `name` holds."""
    found = re.search(rf"^{re.escape(name)} (\S+)$", text, re.MULTILINE)
    return None if found is None else float(found[1])
