"""The fleet's metrics in the Prometheus text format.

Names and labels are a public interface and use older terms: *duty* for a singleton role, *words* for frames
and load reports, *strangers* for unknown senders, *unsealed* for unauthenticated and *settled* for converged.
The message metrics have the prefix `scheduler_peer_`, because load reports are older than the fleet.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from reedspoke.fleet.anti_entropy import MemberEntries
from reedspoke.fleet.failure_detector import FailureDetector, MemberState
from reedspoke.fleet.load_sharing import LoadSharing
from reedspoke.fleet.node import FleetNode
from reedspoke.fleet.roles.singleton_roles import SingletonRoles
from reedspoke.fleet.transport.channel import FrameChannel
from reedspoke.fleet.transport.udp_socket import SocketCounters


def metrics_text(node: FleetNode, load_sharing: LoadSharing | None, sent: SocketCounters, now: int) -> str:
    """Returns the metrics of all protocols that are in use."""
    text = _message_metrics(node.channel, load_sharing, sent)
    if node.failure_detector is not None:
        text += _member_metrics(node.failure_detector)
    if node.entries is not None:
        text += _entry_metrics(node.entries)
    if node.roles is not None:
        text += _gauge("scheduler_fleet_majority", int(node.has_majority()))
        text += _role_metrics(node.roles, now)
    return text


def _message_metrics(channel: FrameChannel, load_sharing: LoadSharing | None, sent: SocketCounters) -> str:
    received = channel.counters
    counts = {
        "words_heard": received["accepted"],
        "words_malformed": received["malformed"],
        "words_stale": received["stale"] + (load_sharing.stale if load_sharing is not None else 0),
        "words_of_strangers": received["unknown_sender"] + sent.unknown_senders,
        "datagrams_sent": sent.datagrams,
        "bytes_sent": sent.bytes,
        "sends_failed": sent.failed,
        "words_unsealed": received["unauthenticated"],
        "words_waited": load_sharing.deferred if load_sharing is not None else 0,
    }
    return "".join(_counter(f"scheduler_peer_{name}_total", count) for name, count in counts.items())


def _member_metrics(detector: FailureDetector) -> str:
    members = Counter(record.state for record in detector.members.values())
    samples = [({"standing": state.name.lower()}, members[state]) for state in MemberState]
    return _family("scheduler_fleet_members", "gauge", samples)


def _entry_metrics(entries: MemberEntries) -> str:
    convergence = entries.convergence()
    return (
        _gauge("scheduler_fleet_settled", int(convergence.converged))
        + _gauge("scheduler_fleet_behind", len(convergence.behind))
        + _counter("scheduler_fleet_compared_total", entries.compared_ranges)
        + _counter("scheduler_fleet_merged_total", entries.merged_entries)
    )


def _role_metrics(roles: SingletonRoles, now: int) -> str:
    held = [({"duty": name}, int(roles.holds(name, now))) for name in roles.leases]
    ended = [
        ({"duty": name, "why": reason}, count) for (name, reason), count in sorted(roles.lease_ends.items())
    ]
    fenced = [({"duty": name}, guard.rejections) for name, guard in roles.fencing_guards.items()]
    return (
        _gauge("scheduler_fleet_discord", len(roles.conflicting_members))
        + _family("scheduler_duty_held", "gauge", held)
        + _family("scheduler_duty_ended_total", "counter", ended)
        + _family("scheduler_duty_stale_words_total", "counter", fenced)
    )


def _family(name: str, kind: str, samples: Iterable[tuple[Mapping[str, str], int]]) -> str:
    lines = [f"# TYPE {name} {kind}\n"]
    for labels, value in samples:
        text = ",".join(f'{label}="{content}"' for label, content in labels.items())
        lines.append(f"{name}{{{text}}} {value}\n")
    return "".join(lines)


def _gauge(name: str, value: int) -> str:
    return f"# TYPE {name} gauge\n{name} {value}\n"


def _counter(name: str, value: int) -> str:
    return f"# TYPE {name} counter\n{name} {value}\n"
