"""Real processes: an acknowledged configuration comes back though the only complete member lost its disk.

Two machines are down in turn, and the third loses its disk as the one that is back is appended to it, before
that one has its copy. Guards against a fleet that is up, reaches a majority and answers every call with 503.
"""

from __future__ import annotations

import json
import os
import shutil
import signal
import threading
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from tests.control_plane_process.fleet import STARTUP_TIMEOUT_S, Fleet, Node
from tests.control_plane_process.stand_ins import configuration_document, wait_until

ROUTES = 350  # so that the copy takes a moment
RECOVERY_S = 12.0  # `recovery_s` of the smallest deployments
REPAIR_TIMEOUT_S = 10.0
MAX_ATTEMPTS = 3
TRANSFER_CLOSED = "state transfer closed"


@pytest.fixture
def fleet(tmp_path: Path) -> Iterator[Fleet]:
    """Three nodes that have acknowledged generation 3."""
    found = Fleet(tmp_path)
    found.start()
    try:
        found.put_until_accepted(configuration_document(3, ROUTES), 0, STARTUP_TIMEOUT_S)
        yield found
    finally:
        found.close()


def chain_of(fleet: Fleet, length: int) -> list[Node]:
    """Wait until the chain has this length, and return its members from head to tail."""

    def members() -> list[Node] | None:
        for node in fleet.nodes:
            if node.process is None or node.process.poll() is not None:
                continue
            status = node.status()
            if status.get("holds_majority") and len(status["chain"]) == length:
                by_address = {each.peer_address: each for each in fleet.nodes}
                return [by_address[address] for address in status["chain"]]
        return None

    return wait_until(members, REPAIR_TIMEOUT_S, f"a chain of {length}")


class KillAtNextView(threading.Thread):
    """Kills a process as soon as a log tells of this view."""

    def __init__(self, log_file: Path, view: int, pid: int) -> None:
        super().__init__()
        self._file = log_file.open("rb")
        self._file.seek(0, os.SEEK_END)
        self._wanted = b'"number":%d,' % view
        self._pid = pid
        self.killed = False

    def run(self) -> None:
        """Follow the log."""
        deadline = time.monotonic() + REPAIR_TIMEOUT_S
        with self._file:
            while time.monotonic() < deadline and not self.killed:
                if self._wanted in self._file.read():
                    os.kill(self._pid, signal.SIGKILL)
                    self.killed = True


def lose_the_only_copy(fleet: Fleet, generation: int) -> None:
    """Have a change acknowledged by two machines; then lose one, and the disk of the other one."""
    first, second, third = chain_of(fleet, 3)
    third.kill()
    chain_of(fleet, 2)
    fleet.put_until_accepted(configuration_document(generation, ROUTES), generation - 2, REPAIR_TIMEOUT_S)
    view = int(second.status()["view"])
    assert second.process is not None
    watcher = KillAtNextView(third.log_file, view + 1, second.process.pid)
    first.kill()
    watcher.start()
    third.start()
    watcher.join()
    assert watcher.killed, "the chain was not repaired"
    second.process.wait(5)
    shutil.rmtree(second.folder)
    time.sleep(0.5)
    first.start()
    second.start()


def test_an_acknowledged_configuration_comes_back_from_a_copy_outside_the_chain(fleet: Fleet) -> None:
    for attempt in range(MAX_ATTEMPTS):
        generation = 5 + 2 * attempt
        lose_the_only_copy(fleet, generation)

        def is_read_back(wanted: int = generation) -> bool:
            replies = [node.get() for node in fleet.nodes]
            read = [
                json.loads(reply.body)["generation"] for reply in replies if reply and reply.status == 200
            ]
            assert all(each >= wanted for each in read), "an older configuration is read"
            return bool(read)

        wait_until(is_read_back, RECOVERY_S, "the acknowledged configuration is read back")
        if any(TRANSFER_CLOSED in node.log_file.read_text() for node in fleet.nodes):
            return
        # The appended member got its copy before the kill.
