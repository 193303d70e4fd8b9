"""Puts a node together from the platform's configuration and an operator file."""

from __future__ import annotations

import ssl
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

from reedspoke.net import node as nodes
from reedspoke.net.config import Config, ConfigError, address
from reedspoke.net.core import Further
from reedspoke.net.node import Node
from reedspoke.operator.types import Operator
from reedspoke.operator.units import microseconds

# A listener, the challenge listener with its callers, threads' calls, files and a command's pipe.
DESCRIPTORS = 48
MEMORY_MB = 48  # measured: the libraries of TLS, ACME and figures
HANDSHAKE_KB = 60  # of OpenSSL, for each connection


def further(operator: Operator) -> Further:
    """What the operator's parts take of the limits."""
    if operator.tls is None:
        return Further()
    return Further(DESCRIPTORS, MEMORY_MB, HANDSHAKE_KB)


def assemble(config: Config, operator: Operator, path: Path) -> Node:
    """Inside a running loop. Raises ConfigError, its text names the key."""
    extra = further(operator)
    if operator.tls is None:
        node = Node(config)
        keep(node, operator, path)
        return node
    if config.sockets < extra.descriptors + 64:
        raise ConfigError(
            f"limits.sockets is {config.sockets}, with tls at least {extra.descriptors + 64} are needed"
        )
    from reedspoke.acme.service import Service
    from reedspoke.tls.front import Front
    from reedspoke.tls.handshakes import Handshakes
    from reedspoke.tls.meters import Meters
    from reedspoke.tls.store import Store, StoreError

    node = Node(config, extra)
    reducer = node.runtime.reducer
    meters = Meters()
    handshakes = Handshakes(
        reducer.core, reducer.clients, microseconds(operator.tls.handshake), operator.tls.handshakes
    )
    reducer.add(handshakes)
    try:
        store = Store(operator.tls.store)
    except StoreError as error:
        raise ConfigError(str(error)) from None
    partners = operator.identity.certificates if operator.identity is not None else None
    try:
        front = Front(
            node.acquirer, address(operator.tls.listen, "tls.listen"), operator.tls.minimum, meters,
            partners=partners.ca_file if partners is not None else "",
        )  # fmt: skip
    except (OSError, ssl.SSLError) as error:
        raise ConfigError(f"identity.certificates.ca_file: {error}") from None
    service = Service(operator, path, store, front, handshakes, meters)
    node.extend(front)
    node.extend(service)
    keep(node, operator, path)
    if node.door is not None:
        figures = node.door.more
        node.door.more = lambda: meters.text() + figures()
    return node


def keep(node: Node, operator: Operator, path: Path) -> None:
    """The gate, where callers have to prove who they are. Raises ConfigError."""
    if operator.identity is None:
        return
    from reedspoke.identity.keeper import Keeper
    from reedspoke.identity.sources import SourceError

    try:
        keeper = Keeper(operator, path, node.runtime.emit)
    except (SourceError, ValueError) as error:
        raise ConfigError(str(error)) from None
    node.acquirer.gate = keeper
    node.extend(keeper)
    if node.door is not None:
        node.door.more = keeper.text


def run(load: Callable[[], Config], operator: Operator, path: Path) -> int:
    """The exit status, as `reedspoke.net.node.run` has it."""

    def serve(config: Config) -> Coroutine[Any, Any, None]:
        return nodes.serve(config, lambda told: assemble(told, operator, path))

    return nodes.run(load, serve)
