"""Ports for the processes that tests start."""

from __future__ import annotations

import os
import random
import socket
from contextlib import ExitStack
from itertools import count

FIRST = 10_000
WORKERS = 16  # processes that share the tests, each with a range of its own
SPAN = (
    1_100  # of a range: all lie below the ports that the system hands out, and below those of the laboratory
)
LOOPBACK = ("127.0.0.1",)

_numbers = count(random.randrange(SPAN))


def free_port(hosts: tuple[str, ...] = LOOPBACK) -> int:
    """A port that is free at all of these addresses.

    A port that the system hands out will not do: until the process listens there, or while it is being
    restarted, any connection of this machine may be given it. None comes twice within SPAN.
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
