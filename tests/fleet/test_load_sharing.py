"""Load sharing over a simulated network: reports, losses, restarts and the byte credit."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.load_sharing import (
    BYTES_PER_ATTEMPT,
    BYTES_PER_SECOND,
    EXPIRY_US,
    MAX_CREDIT_ATTEMPTS,
    PEER_IDLE_TIMEOUT_US,
    REFRESH_US,
    LoadSharing,
    WorkerLoads,
)
from reedspoke.fleet.messages.sizes import MAX_FRAME_BYTES
from reedspoke.fleet.messages.worker_load import WORK_UNIT_US, LoadReport
from reedspoke.fleet.transport.channel import FrameChannel

MS = 1000
HOSTS = [f"s-{number:08x}" for number in range(20)]


class Scheduler:
    """One scheduler's load sharing with its channel."""

    def __init__(self, me: int, schedulers: int, incarnation: int) -> None:
        self.channel, self.sharing = FrameChannel(me, schedulers, incarnation), LoadSharing(schedulers)
        self.others, self.expire = self.sharing.loads_of_others, self.sharing.expire
        self.attempts = 0

    def due_frames(self, now: int, reserved: WorkerLoads) -> list[bytes]:
        return self.channel.encode(self.sharing.due_reports(now, reserved, self.attempts))

    def receive(self, now: int, body: bytes) -> bool:
        frame = self.channel.receive(body)
        if frame is None:
            return False
        reports = [message for message in frame.messages if isinstance(message, LoadReport)]
        updated = [self.sharing.receive(now, frame, report) for report in reports]
        return any(updated)


def scheduler_pair() -> tuple[Scheduler, Scheduler]:
    return Scheduler(0, 3, 11), Scheduler(1, 3, 12)


def send(sender: Scheduler, receiver: Scheduler, now: int, reserved: WorkerLoads) -> list[bytes]:
    bodies = sender.due_frames(now, reserved)
    for body in bodies:
        receiver.receive(now, body)
    return bodies


def test_only_a_change_is_reported_and_at_once() -> None:
    one, two = scheduler_pair()
    assert len(send(one, two, 0, {"a": (1, 500_000.0)})) == 1
    assert two.others(["a", "b"]) == {"a": (1, 500_000.0)}
    assert send(one, two, 5 * MS, {"a": (1, 500_000.0)}) == []
    send(one, two, 9 * MS, {"b": (2, 100_000.0)})
    assert two.others(["a", "b"]) == {"b": (2, 100_000.0)}
    send(one, two, 10 * MS, {})
    assert two.others(["a", "b"]) == {}


def test_bytes_follow_traffic_and_deferred_changes_are_reported_later() -> None:
    """With hundreds of receivers, reporting each change to all of them costs more than the job earns."""
    one, sent = Scheduler(0, 200, 1), 0
    for step in range(2000):
        one.attempts = step // 2
        sent += (
            sum(len(body) for body in one.due_frames(step * MS, {f"h{step % 7}": (1 + step % 3, 0.0)})) * 199
        )
    assert (
        sent
        < 1000 * BYTES_PER_ATTEMPT
        + MAX_CREDIT_ATTEMPTS * BYTES_PER_ATTEMPT
        + 2 * BYTES_PER_SECOND * 199
        + 199 * MAX_FRAME_BYTES
    )
    assert one.sharing.deferred > 100
    assert one.due_frames(9_000 * MS, {"h1": (1, 0.0)}), "the deferred change is reported later"


def test_a_lost_report_is_repeated_after_the_refresh_interval() -> None:
    one, two = scheduler_pair()
    one.due_frames(0, {"a": (1, 0.0)})  # lost
    assert two.others(["a"]) == {}
    send(one, two, REFRESH_US, {"a": (1, 0.0)})
    assert two.others(["a"]) == {"a": (1, 0.0)}
    one.due_frames(REFRESH_US + 1, {})  # the report of the end is lost and not repeated
    two.expire(REFRESH_US + EXPIRY_US)
    assert two.others(["a"]) == {}, "the reservation expires"


def test_a_late_report_does_not_restore_an_ended_reservation() -> None:
    one, two = scheduler_pair()
    first, second = one.due_frames(0, {"a": (1, 0.0)}), one.due_frames(5 * MS, {})
    assert two.receive(9 * MS, second[0])
    two.receive(10 * MS, first[0])
    assert two.others(["a"]) == {}
    assert two.sharing.stale == 1


def test_a_peer_that_restarts_has_nothing_reserved() -> None:
    """The last reports of a killed scheduler may arrive after the first ones of the restarted process."""
    one, two = scheduler_pair()
    send(one, two, 0, {"a": (2, 0.0)})
    late = one.due_frames(MS, {"a": (2, 0.0), "b": (1, 0.0)})
    restarted = Scheduler(0, 3, 99)
    send(restarted, two, 5 * MS, {"b": (1, 0.0)})
    two.receive(6 * MS, late[0])
    assert two.others(["a", "b"]) == {"b": (1, 0.0)}


def test_the_state_of_an_idle_peer_is_removed() -> None:
    one, two = scheduler_pair()
    send(one, two, 0, {"a": (1, 0.0)})
    two.expire(PEER_IDLE_TIMEOUT_US)
    assert not two.sharing._peers


@pytest.mark.parametrize("loss", [0.0, 0.2, 0.5])
def test_loads_converge_after_losses_and_delays(loss: float) -> None:
    """Six schedulers on a network that loses, duplicates, reorders, and delays messages by up to 29 ms."""
    rng = Random(17)
    fleet = [Scheduler(number, 6, number + 1) for number in range(6)]
    reserved: list[WorkerLoads] = [{} for _ in fleet]
    in_flight: list[tuple[int, int, bytes]] = []
    attempts = sent = now = 0
    while now < 20_000 * MS:
        now += 5 * MS
        for number, one in enumerate(fleet):
            if now < 15_000 * MS and rng.random() < 0.05:
                attempts += 1
                host = rng.choice(HOSTS)
                reserved[number][host] = (rng.randrange(1, 3), rng.randrange(1, 50) * float(WORK_UNIT_US))
            if reserved[number] and rng.random() < 0.05:
                del reserved[number][rng.choice(sorted(reserved[number]))]
            one.attempts = attempts
            for body in one.due_frames(now, reserved[number]):
                for to in range(6):
                    sent += len(body) if to != number else 0
                    for _ in range(1 + (rng.random() < 0.05)):
                        if to != number and rng.random() >= loss:
                            in_flight.append((now + rng.randrange(1, 29) * MS, to, body))
            one.expire(now)
        for item in [item for item in in_flight if item[0] <= now]:
            in_flight.remove(item)
            fleet[item[1]].receive(item[0], item[2])
    for number, one in enumerate(fleet):
        truth: WorkerLoads = {}
        for other, loads in enumerate(reserved):
            for host, (slots, work) in loads.items() if other != number else ():
                before = truth.get(host, (0, 0.0))
                truth[host] = before[0] + slots, before[1] + work
        assert one.others(HOSTS) == truth
    assert sent / attempts < 256, (
        "bytes for each job, over all receivers: at most a quarter of the full price"
    )
