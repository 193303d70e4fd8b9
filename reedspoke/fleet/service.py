"""Builds the fleet subsystem of a scheduler: the node, its component, the socket and the operator calls."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from random import Random

from reedspoke.fleet.anti_entropy import MemberEntries
from reedspoke.fleet.component import FleetComponent
from reedspoke.fleet.failure_detector import FailureDetector
from reedspoke.fleet.load_sharing import LoadSharing
from reedspoke.fleet.messages.fields import UINT16_MASK, name_hash
from reedspoke.fleet.messages.frame import FIELD_MASK
from reedspoke.fleet.metrics import metrics_text
from reedspoke.fleet.node import FleetNode
from reedspoke.fleet.roles.call_client import CallTarget, RoleCallClient
from reedspoke.fleet.roles.delegated import DelegatedRole
from reedspoke.fleet.roles.handler import RoleHandler
from reedspoke.fleet.roles.periodic_call import PeriodicCall
from reedspoke.fleet.roles.singleton_roles import SingletonRole, SingletonRoles, VoterConfiguration
from reedspoke.fleet.transport.authentication import load_keys
from reedspoke.fleet.transport.channel import FrameChannel
from reedspoke.fleet.transport.udp_socket import PeerSocket
from reedspoke.net.config import Peers
from reedspoke.net.runtime import Runtime
from reedspoke.net.subsystem import NAME, Call, Subsystem

SECOND_US = 1_000_000
US_PER_INCARNATION = 1000  # the incarnation of a process is its start time in milliseconds


@dataclass(slots=True, frozen=True)
class PeriodicCallOptions:
    """The HTTP target that the holder of a role calls, and the time between the starts of two calls."""

    target: CallTarget
    interval_us: int


@dataclass(slots=True, frozen=True)
class FleetOptions:
    """The options of all protocols other than load sharing, from the operator file.

    `period_us` is the period of the failure detector, `calls` is keyed by role. `delegated_roles` are carried
    out by a subsystem with I/O of its own. Frames are authenticated if `key_file` is not empty.
    """

    voter_configuration: VoterConfiguration
    period_us: int
    roles: tuple[SingletonRole, ...] = ()
    calls: Mapping[str, PeriodicCallOptions] = field(default_factory=dict)
    delegated_roles: frozenset[str] = frozenset()
    key_file: str = ""

    def handler(self, role: str) -> RoleHandler | None:
        """Returns the handler of a role, or None if the role has no general handler."""
        if role in self.calls:
            return PeriodicCall(role, self.calls[role].interval_us)
        return DelegatedRole(role) if role in self.delegated_roles else None


def build_fleet(
    runtime: Runtime,
    peers: Peers,
    node_id: int,
    options: FleetOptions | None = None,
    scheduler: str = "",
    zone: str = "",
) -> tuple[FleetNode, Subsystem]:
    """Returns the node, to which extensions can be added, and the subsystem that runs it.

    `node_id` is this scheduler's position among the peers, `scheduler` its name. Load reports are exchanged
    if the settings allow it, all other messages if `options` is given. Raises FrameKeysError.
    """
    settings, now = runtime.reducer.settings, runtime.clock.now()
    members = max(len(peers.addresses), settings.scheduler_count if settings.limits.peer_messages else 0)
    key_file = options.key_file if options is not None else ""
    keys = load_keys(key_file) if key_file else None
    channel = FrameChannel(node_id, members, now // US_PER_INCARNATION & FIELD_MASK, keys)
    peer_socket = PeerSocket(runtime, peers, node_id, channel, key_file)
    load_sharing = LoadSharing(members) if settings.limits.peer_messages else None
    node = FleetNode(channel)
    parts: list[PeerSocket | RoleCallClient] = [peer_socket]
    if options is not None:
        _add_protocols(node, options, len(peers.addresses), zone, now)
        targets = {role: call.target for role, call in options.calls.items()}
        parts.append(RoleCallClient(runtime, scheduler, targets))
    component = FleetComponent(runtime.reducer.core, node, load_sharing)
    return node, Subsystem(
        name="fleet",
        components=(component,),
        extensions=tuple(parts),
        calls=_operator_calls(component) if options is not None else (),
        figures=lambda: metrics_text(node, load_sharing, peer_socket.counters, runtime.clock.now()),
    )


def _add_protocols(node: FleetNode, options: FleetOptions, members: int, zone: str, now: int) -> None:
    """Adds the protocols that the options configure to the node."""
    member, incarnation = node.channel.node_id, now // US_PER_INCARNATION
    random = Random(now ^ member)
    node.failure_detector = FailureDetector(
        member, members, incarnation & FIELD_MASK, options.period_us, now, random
    )
    start_time_s = now // SECOND_US
    node.entries = MemberEntries(member, members, start_time_s, name_hash(zone), options.period_us, now)
    node.roles = SingletonRoles(
        member, options.voter_configuration, incarnation & UINT16_MASK, now, now, random
    )
    for role in options.roles:
        node.roles.add(role, options.handler(role.name))


def _operator_calls(component: FleetComponent) -> tuple[Call, ...]:
    release = (b"fleet", NAME, b"release")
    return (
        Call(b"GET", (b"fleet",), component.on_status),
        Call(b"POST", release, component.on_release),
        Call(b"POST", (*release, NAME), component.on_release),
    )
