"""The fleet as one scheduler sees it: as JSON for `reedspoke fleet status`, as figures for the door."""

from __future__ import annotations

import json
from collections import Counter
from typing import TYPE_CHECKING, Any

from reedspoke.fleet.membership import Standing

if TYPE_CHECKING:
    from reedspoke.fleet.concern import Fellowship
    from reedspoke.fleet.shell import Socket

SECOND = 1_000_000


def status(fellowship: Fellowship, now: int) -> str:
    """Whose view it is, members by standing, each duty's holder, its token and how long it lasts at most."""
    membership, duties = fellowship.membership, fellowship.duties
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
        "me": fellowship.mail.me, "majority": fellowship.majority(), "members": members, "duties": held,
        "discord": sorted(duties.discord) if duties is not None else [],
    }  # fmt: skip
    return json.dumps(told) + "\n"


def figures(fellowship: Fellowship, shell: Socket, now: int) -> str:
    """Prometheus text. The words on jobs keep the names that they had."""
    mail, sharing = fellowship.mail, fellowship.sharing
    plain: dict[str, int] = {
        "words_heard": mail.counted["heard"], "words_malformed": mail.counted["malformed"],
        "words_stale": mail.counted["stale"] + (sharing.stale if sharing is not None else 0),
        "words_of_strangers": mail.counted["strangers"] + shell.strangers, "datagrams_sent": shell.sent,
        "bytes_sent": shell.bytes, "sends_failed": shell.failed,
        "words_unsealed": mail.counted["unsealed"],
        "words_waited": sharing.waited if sharing is not None else 0,
    }  # fmt: skip
    text = "".join(
        f"# TYPE scheduler_peer_{name}_total counter\nscheduler_peer_{name}_total {count}\n"
        for name, count in plain.items()
    )
    if fellowship.membership is not None:
        count = Counter(one.standing for one in fellowship.membership.members.values())
        text += "# TYPE scheduler_fleet_members gauge\n"
        text += "".join(
            f'scheduler_fleet_members{{standing="{one.name.lower()}"}} {count[one]}\n' for one in Standing
        )
    if fellowship.duties is not None:
        duties = fellowship.duties
        text += f"# TYPE scheduler_fleet_majority gauge\nscheduler_fleet_majority {+fellowship.majority()}\n"
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
