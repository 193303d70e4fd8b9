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

    def due_frames(self, now: int, held: WorkerLoads) -> list[bytes]:
        return self.channel.encode(self.sharing.due_reports(now, held, self.attempts))

    def receive(self, now: int, body: bytes) -> bool:
        frame = self.channel.receive(body)
        if frame is None:
            return False
        reports = [message for message in frame.messages if isinstance(message, LoadReport)]
        updated = [self.sharing.receive(now, frame, report) for report in reports]
        return any(updated)


def pair() -> tuple[Scheduler, Scheduler]:
    return Scheduler(0, 3, 11), Scheduler(1, 3, 12)


def send(sender: Scheduler, receiver: Scheduler, now: int, held: WorkerLoads) -> list[bytes]:
    bodies = sender.due_frames(now, held)
    for body in bodies:
        receiver.receive(now, body)
    return bodies


def test_a_change_is_reported_at_once_and_nothing_else() -> None:
    one, two = pair()
    assert len(send(one, two, 0, {"a": (1, 500_000.0)})) == 1
    assert two.others(["a", "b"]) == {"a": (1, 500_000.0)}
    assert send(one, two, 5 * MS, {"a": (1, 500_000.0)}) == []
    send(one, two, 9 * MS, {"b": (2, 100_000.0)})
    assert two.others(["a", "b"]) == {"b": (2, 100_000.0)}
    send(one, two, 10 * MS, {})
    assert two.others(["a", "b"]) == {}


def test_bytes_follow_traffic_and_deferred_changes_are_reported_later() -> None:
    """With hundreds of receivers, a report of each change to all of them costs more than the job is worth."""
    one, sent = Scheduler(0, 200, 1), 0
    for turn in range(2000):
        one.attempts = turn // 2
        sent += (
            sum(len(body) for body in one.due_frames(turn * MS, {f"h{turn % 7}": (1 + turn % 3, 0.0)})) * 199
        )
    assert (
        sent
        < 1000 * BYTES_PER_ATTEMPT
        + MAX_CREDIT_ATTEMPTS * BYTES_PER_ATTEMPT
        + 2 * BYTES_PER_SECOND * 199
        + 199 * MAX_FRAME_BYTES
    )
    assert one.sharing.deferred > 100
    assert one.due_frames(9_000 * MS, {"h1": (1, 0.0)}), "in the end it is reported"


def test_a_lost_report_is_made_good_within_a_refresh() -> None:
    one, two = pair()
    one.due_frames(0, {"a": (1, 0.0)})  # lost
    assert two.others(["a"]) == {}
    send(one, two, REFRESH_US, {"a": (1, 0.0)})
    assert two.others(["a"]) == {"a": (1, 0.0)}
    one.due_frames(REFRESH_US + 1, {})  # the end is lost: nothing reports it again
    two.expire(REFRESH_US + EXPIRY_US)
    assert two.others(["a"]) == {}, "it expires"


def test_reports_out_of_order_do_not_bring_back_what_has_ended() -> None:
    one, two = pair()
    first, second = one.due_frames(0, {"a": (1, 0.0)}), one.due_frames(5 * MS, {})
    assert two.receive(9 * MS, second[0])
    two.receive(10 * MS, first[0])
    assert two.others(["a"]) == {}
    assert two.sharing.stale == 1


def test_a_peer_that_restarts_has_nothing_reserved() -> None:
    """A killed scheduler's last reports may come behind the first ones of its successor."""
    one, two = pair()
    send(one, two, 0, {"a": (2, 0.0)})
    late = one.due_frames(MS, {"a": (2, 0.0), "b": (1, 0.0)})
    restarted = Scheduler(0, 3, 99)
    send(restarted, two, 5 * MS, {"b": (1, 0.0)})
    two.receive(6 * MS, late[0])
    assert two.others(["a", "b"]) == {"b": (1, 0.0)}


def test_an_idle_peer_is_forgotten_altogether() -> None:
    one, two = pair()
    send(one, two, 0, {"a": (1, 0.0)})
    two.expire(PEER_IDLE_TIMEOUT_US)
    assert not two.sharing._peers


@pytest.mark.parametrize("loss", [0.0, 0.2, 0.5])
def test_loads_agree_again_whatever_is_lost_or_late(loss: float) -> None:
    """Six schedulers over a network that loses, delays by up to 29 ms, and so reorders and doubles."""
    rng = Random(17)
    fleet = [Scheduler(number, 6, number + 1) for number in range(6)]
    held: list[WorkerLoads] = [{} for _ in fleet]
    in_flight: list[tuple[int, int, bytes]] = []
    attempts = sent = now = 0
    while now < 20_000 * MS:
        now += 5 * MS
        for number, one in enumerate(fleet):
            if now < 15_000 * MS and rng.random() < 0.05:
                attempts += 1
                host = rng.choice(HOSTS)
                held[number][host] = (rng.randrange(1, 3), rng.randrange(1, 50) * float(WORK_UNIT_US))
            if held[number] and rng.random() < 0.05:
                del held[number][rng.choice(sorted(held[number]))]
            one.attempts = attempts
            for body in one.due_frames(now, held[number]):
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
        for other, loads in enumerate(held):
            for host, (slots, work) in loads.items() if other != number else ():
                before = truth.get(host, (0, 0.0))
                truth[host] = before[0] + slots, before[1] + work
        assert one.others(HOSTS) == truth
    assert sent / attempts < 256, "bytes for each job, over all receivers: a quarter of a full price at most"
