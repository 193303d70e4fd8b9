"""Ports of processes under test: no other program gets one before the process listens on it."""

from __future__ import annotations

import socket
from pathlib import Path

import pytest

from tests.ports import FIRST, SPAN, WORKERS, free_port

EPHEMERAL_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
HOSTS = ("127.0.0.1", "127.0.1.2")


def test_all_ranges_lie_below_the_ephemeral_ports() -> None:
    assert int(EPHEMERAL_RANGE.read_text().split()[0]) >= FIRST + WORKERS * SPAN


def test_workers_do_not_share_a_range(monkeypatch: pytest.MonkeyPatch) -> None:
    found = []
    for worker in range(WORKERS):
        monkeypatch.setenv("PYTEST_XDIST_WORKER", f"gw{worker}")
        found.append((free_port() - FIRST) // SPAN)
    assert found == list(range(WORKERS))


@pytest.mark.parametrize("taken_at", HOSTS)
def test_a_port_in_use_at_one_of_the_addresses_is_skipped(taken_at: str) -> None:
    first = free_port(HOSTS)
    with socket.socket() as taken:
        taken.bind((taken_at, first + 1 if (first + 1 - FIRST) % SPAN else first + 1 - SPAN))
        assert free_port(HOSTS) != taken.getsockname()[1]
