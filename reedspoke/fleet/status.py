"""The fleet as seen by one scheduler: the JSON of `GET /v1/fleet`, printed by `reedspoke fleet status`.

The keys use the terms of the operator file, such as `duty` for a singleton role.
"""

from __future__ import annotations

import json
from typing import Any

from reedspoke.fleet.anti_entropy import MemberEntries
from reedspoke.fleet.failure_detector import FailureDetector
from reedspoke.fleet.node import FleetNode
from reedspoke.fleet.roles.singleton_roles import SingletonRoles

SECOND_US = 1_000_000


def status_json(node: FleetNode, now: int) -> str:
    """Returns the status as one line of JSON.

    It lists the members with their states, and each role with its holder, fencing token and the longest time
    until the lease expires.
    """
    detector, roles, entries = node.failure_detector, node.roles, node.entries
    status = {
        "me": node.channel.node_id,
        "majority": node.has_majority(),
        "members": _members(detector, now) if detector is not None else [],
        "duties": [_role(roles, name, now) for name in roles.leases] if roles is not None else [],
        "discord": sorted(roles.conflicting_members) if roles is not None else [],
        "view": _view(entries, now) if entries is not None else None,
    }
    return json.dumps(status) + "\n"


def _members(detector: FailureDetector, now: int) -> list[dict[str, Any]]:
    return [
        {
            "member": member,
            "is": record.state.name.lower(),
            "for_s": round((now - record.since) / SECOND_US, 1) if record.since else None,
        }
        for member, record in sorted(detector.members.items())
    ]


def _role(roles: SingletonRoles, name: str, now: int) -> dict[str, Any]:
    holder = roles.holder(name, now)
    return {
        "duty": name,
        "holder": holder.member if holder else None,
        "token": holder.token if holder else None,
        "left_s": round((holder.expires_at - now) / SECOND_US, 2) if holder else None,
        "wanted_here": roles.leases[name].candidate,
        "last_ended_here": roles.last_end_reason.get(name),
    }


def _view(entries: MemberEntries, now: int) -> dict[str, Any]:
    """Returns this member's copy of the entries, and whether the fleet has converged."""
    convergence = entries.convergence()
    return {
        "settled": convergence.converged,
        "for_s": round((now - convergence.since) / SECOND_US, 1),
        "digest": f"{convergence.digest:016x}",
        "behind": list(convergence.behind),
        "entries": [
            {
                "member": entry.member,
                "born": entry.start_time_s,
                "version": entry.version,
                "phase": entry.phase,
                "holds": list(entry.held_roles),
                "lacks": list(entry.missing),
            }
            for entry in sorted(entries.entries.values(), key=lambda entry: entry.member)
        ],
    }
