"""Builds a node from the platform's configuration and an operator file."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Coroutine
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING, Any

from reedspoke.errors import ReedspokeError
from reedspoke.fleet.settings import Fleet
from reedspoke.net import node as nodes
from reedspoke.net.config import Config, ConfigError, Peers, address
from reedspoke.net.core import ExtensionLimits
from reedspoke.net.node import Node
from reedspoke.operator.types import Operator
from reedspoke.start import join_peers
from reedspoke.units import parse_microseconds

if TYPE_CHECKING:
    from reedspoke.fleet.service import FleetOptions

# Descriptors for TLS: a listener, the challenge listener and its connections, calls of threads, files and a
# command's pipe.
DESCRIPTORS = 48
MEMORY_MB = 48  # the libraries for TLS, ACME and metrics
HANDSHAKE_KB = 60  # memory of OpenSSL for each connection
CERTIFICATES = "certificates"  # the singleton role that orders certificates for the whole fleet
CERTIFICATES_TERM = 5_000_000  # us
FLEET_DESCRIPTORS = 12  # the UDP socket, and calls of singleton roles
FLEET_MB = 8  # a scheduler takes 35 MB with a fleet section, 29 MB without an operator file


def extra_resources(operator: Operator) -> ExtensionLimits:
    """The share of the resource limits that the optional parts need."""
    fleet = (FLEET_DESCRIPTORS, FLEET_MB) if operator.fleet is not None else (0, 0)
    if operator.tls is None:
        return ExtensionLimits(*fleet)
    return ExtensionLimits(DESCRIPTORS + fleet[0], MEMORY_MB + fleet[1], HANDSHAKE_KB)


def assemble(config: Config, operator: Operator, path: Path) -> Node:
    """Build a node inside a running event loop. Raises ConfigError that names the key."""
    peers = select_peers(config, operator.fleet) if operator.fleet is not None else None
    node = build_node(replace(config, peers=None) if peers is not None else config, operator, path)
    if operator.fleet is not None and peers is not None:
        from reedspoke.fleet.service import build_fleet

        me = operator.fleet.me if operator.fleet.members else config.settings.scheduler_index
        zone = config.settings.zone
        options = fleet_options(operator.fleet, len(peers.addresses), zone)
        try:
            fleet_node, part = build_fleet(node.runtime, peers, me, options, config.name or str(me), zone)
            node.add_subsystem(part)
            if operator.bookings is not None:
                from reedspoke.booking.subsystem import build_bookings

                node.add_subsystem(build_bookings(node.runtime, fleet_node, operator.bookings))
        except (ValueError, ReedspokeError) as error:  # unusable keys, or conflicting singleton roles
            raise ConfigError(f"fleet: {error}") from None
    return node


def select_peers(config: Config, fleet: Fleet) -> Peers:
    """The members in the operator file or, if it names none, the platform's peers. Raises ConfigError."""
    if fleet.members:
        if config.peers is not None:
            raise ConfigError("fleet.members: the platform names peers already; leave it out")
        each = tuple(address(text, f"fleet.members[{at}]") for at, text in enumerate(fleet.members))
        return Peers(address(fleet.listen, "fleet.listen") if fleet.listen else each[fleet.me], each)
    if config.peers is None or not config.peers.addresses:
        raise ConfigError("fleet.members: is missing, and the platform names no peers")
    if config.settings.scheduler_index >= len(config.peers.addresses):
        raise ConfigError(
            f"fleet: scheduler {config.settings.scheduler_index} is not among the platform's peers"
        )
    return config.peers


def fleet_options(fleet: Fleet, members: int, zone: str) -> FleetOptions:
    """The options of the fleet: `duties` in the operator file are singleton roles, `granters` are the voters.

    Raises ConfigError for a voter that is no member.
    """
    from reedspoke.fleet.roles.call_client import CallTarget
    from reedspoke.fleet.roles.singleton_roles import DEFAULT_VOTERS, SingletonRole, VoterConfiguration
    from reedspoke.fleet.service import FleetOptions, PeriodicCallOptions

    voters = tuple(fleet.granters) or tuple(range(min(DEFAULT_VOTERS, members)))
    if max(voters) >= members:
        raise ConfigError(f"fleet.granters: there is no member {max(voters)} among {members} members")
    roles = [
        SingletonRole(one.name, parse_microseconds(one.term), not one.zone or one.zone == zone)
        for one in fleet.duties
    ]
    calls = {
        one.name: PeriodicCallOptions(
            CallTarget(one.call.url, parse_microseconds(one.call.limit)), parse_microseconds(one.call.every)
        )
        for one in fleet.duties
        if one.call is not None
    }
    delegated_roles: frozenset[str] = frozenset()
    if fleet.certificates:
        delegated_roles = frozenset({CERTIFICATES})
        roles.append(SingletonRole(CERTIFICATES, CERTIFICATES_TERM))
    return FleetOptions(
        VoterConfiguration(members, voters, fleet.drift),
        parse_microseconds(fleet.period),
        tuple(roles),
        calls,
        delegated_roles,
        fleet.key_file,
    )


def build_node(config: Config, operator: Operator, path: Path) -> Node:
    """Build the node, and its TLS listener if there is one. Raises ConfigError."""
    extra = extra_resources(operator)
    if operator.tls is None:
        node = Node(config, extra)
        join_peers(node)
        require_identity(node, operator, path)
        return node
    if config.sockets < extra.descriptors + 64:
        raise ConfigError(
            f"limits.sockets is {config.sockets}, but with tls at least {extra.descriptors + 64} are needed"
        )
    from reedspoke.acme.service import Service
    from reedspoke.tls.front import Front
    from reedspoke.tls.handshakes import Handshakes
    from reedspoke.tls.meters import Meters
    from reedspoke.tls.store import Store, StoreError

    node = Node(config, extra)
    join_peers(node)
    reducer = node.runtime.reducer
    meters = Meters()
    handshakes = Handshakes(
        reducer.core, reducer.clients, parse_microseconds(operator.tls.handshake), operator.tls.handshakes
    )
    reducer.add(handshakes)
    try:
        store = Store(operator.tls.store)
    except StoreError as error:
        raise ConfigError(str(error)) from None
    partners = operator.identity.certificates if operator.identity is not None else None
    try:
        front = Front(
            node.client_server, address(operator.tls.listen, "tls.listen"), operator.tls.minimum, meters,
            partners=partners.ca_file if partners is not None else "",
        )  # fmt: skip
    except (OSError, ssl.SSLError) as error:
        raise ConfigError(f"identity.certificates.ca_file: {error}") from None
    service = Service(
        operator, path, store, front, handshakes, meters, clock=node.runtime.clock.now
    )  # fmt: skip
    node.add_extension(front)
    node.add_extension(service)
    require_identity(node, operator, path)
    if node.operator_api is not None:
        node.operator_api.figures.append(meters.text)
    return node


def require_identity(node: Node, operator: Operator, path: Path) -> None:
    """Add authentication of callers if the operator file requires it. Raises ConfigError."""
    if operator.identity is None:
        return
    from reedspoke.identity.extension import IdentityExtension
    from reedspoke.identity.key_files import KeySetError

    try:
        extension = IdentityExtension(operator, path, node.runtime.emit)
    except (KeySetError, ValueError) as error:
        raise ConfigError(str(error)) from None
    node.client_server.gate = extension
    node.add_extension(extension)
    if node.operator_api is not None:
        node.operator_api.figures.append(extension.text)


def run(load: Callable[[], Config], operator: Operator, path: Path) -> int:
    """Run a scheduler with an operator file. Returns the exit status as `reedspoke.net.node.run` does."""

    def serve(config: Config) -> Coroutine[Any, Any, None]:
        """Serve with a node that has the optional parts."""
        return nodes.serve(config, lambda loaded: assemble(loaded, operator, path))

    return nodes.run(load, serve)
