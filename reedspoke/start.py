"""The program that the platform starts: a scheduler, with load sharing if the settings allow messages."""

from __future__ import annotations

import logging
import sys

from reedspoke.net.config import Config, load
from reedspoke.net.node import Node, run, serve


def join_peers(node: Node) -> None:
    """Add load sharing if the configuration names peers and the settings allow messages."""
    config = node.config
    if config.peers is not None:
        from reedspoke.fleet.service import build_fleet

        node.add_subsystem(build_fleet(node.runtime, config.peers, config.settings.scheduler_index)[1])


def platform_node(config: Config) -> Node:
    """Create the node of the platform's program."""
    node = Node(config)
    join_peers(node)
    return node


def main() -> int:
    """Configure the log and run a scheduler. Returns the exit status."""
    logging.basicConfig(
        stream=sys.stderr, level=logging.INFO, format="%(asctime)s.%(msecs)03d %(levelname)s %(message)s",
        datefmt="%H:%M:%S",
    )  # fmt: skip
    return run(load, lambda config: serve(config, platform_node))
