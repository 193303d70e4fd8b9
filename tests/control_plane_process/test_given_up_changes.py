"""Changes of the configuration that got no answer, and later ones that were acknowledged, on real nodes."""

from __future__ import annotations

import signal
import threading
import time

from tests.control_plane_process.fleet import STARTUP_TIMEOUT_S, Fleet, Node
from tests.control_plane_process.stand_ins import configuration_document, wait_until

ACKNOWLEDGED_S = 10.0
STORED_S = 2.0
UNDISTURBED_S = 2.0
FIRST, GIVEN_UP, LAST = 3, 4, 5  # generations


def kill_all_once_stored(fleet: Fleet, node: Node, document: bytes) -> bool:
    """Send a change to a node, and kill all once its log has grown. Whether that was before an answer."""
    log = node.folder / "control.log"
    size = log.stat().st_size
    killed = threading.Event()

    def kill() -> None:
        end = time.monotonic() + STORED_S
        while time.monotonic() < end:
            if log.stat().st_size > size:
                for one in fleet.nodes:
                    one.signal(signal.SIGKILL)
                killed.set()
                return

    watcher = threading.Thread(target=kill)
    watcher.start()
    reply = node.put(document, str(FIRST))
    watcher.join()
    for one in fleet.nodes:
        one.kill()
    return killed.is_set() and reply is None


def generation_at(node: Node) -> int | None:
    """The generation that a node answers a read with; None without one."""
    reply = node.get()
    return int(reply.headers["ETag"].strip('"')) if reply is not None and reply.status == 200 else None


def test_a_change_in_one_log_does_not_replace_the_one_acknowledged_after_it(fleet: Fleet) -> None:
    """Guards against a change that comes back from the disk of the head after another one in its place."""
    head, other, third = fleet.nodes
    fleet.put_until_accepted(configuration_document(FIRST), 0, STARTUP_TIMEOUT_S)
    assert kill_all_once_stored(fleet, head, configuration_document(GIVEN_UP))
    for one in (other, third):
        one.start()
    wait_until(lambda: generation_at(other) is not None, ACKNOWLEDGED_S, "a configuration is read")
    taken = generation_at(other)
    assert taken in (FIRST, GIVEN_UP)  # without an answer it may have been accepted or not
    fleet.put_until_accepted(configuration_document(LAST), taken, ACKNOWLEDGED_S)
    head.start()
    wait_until(lambda: generation_at(head) == LAST, ACKNOWLEDGED_S, "the head has the last change")
    end = time.monotonic() + UNDISTURBED_S
    while time.monotonic() < end:
        assert {generation_at(node) for node in fleet.nodes} <= {LAST, None}
    wait_until(
        lambda: [generation_at(node) for node in fleet.nodes] == 3 * [LAST], ACKNOWLEDGED_S, "all agree"
    )
