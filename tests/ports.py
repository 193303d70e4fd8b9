"""Free ports for the processes that tests start."""

from __future__ import annotations

import os
import random
import socket
from contextlib import ExitStack
from itertools import count

FIRST = 10_000
WORKERS = 16  # pytest-xdist workers, each with its own range of ports
# Size of a range. All ranges lie below the system's ephemeral ports and below the laboratory's ports.
SPAN = 1_100
LOOPBACK = ("127.0.0.1",)

_numbers = count(random.randrange(SPAN))


def free_port(hosts: tuple[str, ...] = LOOPBACK) -> int:
    """Return a port that is free at all of these addresses.

    Ephemeral ports are unsuitable: until the process listens, or while it restarts, the system may assign
    the port to any connection of this machine. No port is returned twice within SPAN calls.
    """
    worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw")) % WORKERS
    while True:
        port = FIRST + worker * SPAN + next(_numbers) % SPAN
        if _is_free(port, hosts):
            return port


def _is_free(port: int, hosts: tuple[str, ...]) -> bool:
    with ExitStack() as probes:
        try:
            for host in hosts:
                probes.enter_context(socket.socket()).bind((host, port))
        except OSError:
            return False
    return True
