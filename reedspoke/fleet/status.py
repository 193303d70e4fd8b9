"""The fleet as one scheduler sees it: as JSON for `reedspoke fleet status`, as figures for the door."""

from __future__ import annotations

import json
from collections import Counter
from dataclasses import dataclass
from typing import Any

from reedspoke.fleet.membership import Standing
from reedspoke.fleet.party import Party
from reedspoke.fleet.sharing import Sharing
from reedspoke.fleet.view import View

SECOND = 1_000_000


@dataclass(slots=True)
class Sent:
    """What the socket has counted."""

    strangers: int = 0
    datagrams: int = 0
    bytes: int = 0
    failed: int = 0


def status(party: Party, now: int) -> str:
    """Whose view it is, members by standing, each duty's holder, its token and how long it lasts at most."""
    membership, duties = party.membership, party.duties
    members: list[dict[str, Any]] = []
    if membership is not None:
        for number, one in sorted(membership.members.items()):
            since = round((now - one.since) / SECOND, 1) if one.since else None
            members.append({"member": number, "is": one.standing.name.lower(), "for_s": since})
    held: list[dict[str, Any]] = []
    for name, lease in duties.leases.items() if duties is not None else ():
        grip = duties.holder(name, now) if duties is not None else None
        held.append({
            "duty": name, "holder": grip.member if grip else None, "token": grip.token if grip else None,
            "left_s": round((grip.until - now) / SECOND, 2) if grip else None, "wanted_here": lease.wanted,
            "last_ended_here": duties.last.get(name) if duties is not None else None,
        })  # fmt: skip
    told = {
        "me": party.mail.me, "majority": party.majority(), "members": members, "duties": held,
        "discord": sorted(duties.discord) if duties is not None else [],
        "view": _view(party.view, now) if party.view is not None else None,
    }  # fmt: skip
    return json.dumps(told) + "\n"


def _view(view: View, now: int) -> dict[str, Any]:
    """What all say of themselves, as it is believed here, and whether everybody has heard the same."""
    told = view.settled()
    return {
        "settled": told.settled, "for_s": round((now - told.since) / SECOND, 1),
        "digest": f"{told.digest:016x}", "behind": list(told.behind),
        "entries": [
            {
                "member": one.number, "born": one.born, "version": one.version, "phase": one.phase,
                "holds": list(one.holds), "lacks": list(one.lacks),
            }
            for one in sorted(view.entries.values(), key=lambda one: one.number)
        ],
    }  # fmt: skip


def figures(party: Party, sharing: Sharing | None, sent: Sent, now: int) -> str:
    """Prometheus text. The words on jobs keep the names that they had."""
    mail = party.mail
    plain: dict[str, int] = {
        "words_heard": mail.counted["heard"], "words_malformed": mail.counted["malformed"],
        "words_stale": mail.counted["stale"] + (sharing.stale if sharing is not None else 0),
        "words_of_strangers": mail.counted["strangers"] + sent.strangers, "datagrams_sent": sent.datagrams,
        "bytes_sent": sent.bytes, "sends_failed": sent.failed,
        "words_unsealed": mail.counted["unsealed"],
        "words_waited": sharing.waited if sharing is not None else 0,
    }  # fmt: skip
    text = "".join(
        f"# TYPE scheduler_peer_{name}_total counter\nscheduler_peer_{name}_total {count}\n"
        for name, count in plain.items()
    )
    if party.membership is not None:
        count = Counter(one.standing for one in party.membership.members.values())
        text += "# TYPE scheduler_fleet_members gauge\n"
        text += "".join(
            f'scheduler_fleet_members{{standing="{one.name.lower()}"}} {count[one]}\n' for one in Standing
        )
    if party.view is not None:
        told = party.view.settled()
        for name, value in {"settled": +told.settled, "behind": len(told.behind)}.items():
            text += f"# TYPE scheduler_fleet_{name} gauge\nscheduler_fleet_{name} {value}\n"
        for name, value in {"compared": party.view.compared, "merged": party.view.merged}.items():
            text += f"# TYPE scheduler_fleet_{name}_total counter\nscheduler_fleet_{name}_total {value}\n"
    if party.duties is not None:
        duties = party.duties
        text += f"# TYPE scheduler_fleet_majority gauge\nscheduler_fleet_majority {+party.majority()}\n"
        text += f"# TYPE scheduler_fleet_discord gauge\nscheduler_fleet_discord {len(duties.discord)}\n"
        text += "# TYPE scheduler_duty_held gauge\n"
        text += "".join(
            f'scheduler_duty_held{{duty="{name}"}} {+duties.holds(name, now)}\n' for name in duties.leases
        )
        text += "# TYPE scheduler_duty_ended_total counter\n"
        text += "".join(
            f'scheduler_duty_ended_total{{duty="{name}",why="{why}"}} {times}\n'
            for (name, why), times in sorted(duties.counted.items())
        )
        text += "# TYPE scheduler_duty_stale_words_total counter\n"
        text += "".join(
            f'scheduler_duty_stale_words_total{{duty="{name}"}} {fence.refused}\n'
            for name, fence in duties.fences.items()
        )
    return text
