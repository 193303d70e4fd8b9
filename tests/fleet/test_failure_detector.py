"""The failure detector in a simulated fleet that exchanges real frames, and a single detector."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.failure_detector import FailureDetector, MemberState
from reedspoke.fleet.messages.failure_detector import Ack, MemberUpdate, Ping, PingRequest
from reedspoke.fleet.messages.frame import Message
from reedspoke.lab.virtual import SECOND, Play, Weather

PERIOD = SECOND


def simulated_fleet(size: int, seed: int = 1, span: int = 8 * SECOND) -> Play:
    play = Play(size, seed)
    play.run(span)
    return play


def states_of(play: Play, of: int) -> set[MemberState]:
    return {one.membership.state(of) for at, one in play.processes.items() if at != of}


def detection_time(play: Play) -> int:
    return 3 * play.processes[min(play.processes)].membership.suspicion_timeout_us + 4 * PERIOD


@pytest.mark.parametrize("size", [2, 3, 10, 50])
def test_all_members_discover_each_other_and_none_is_declared_gone(size: int) -> None:
    play = simulated_fleet(size, span=20 * SECOND)
    for number in range(size):
        assert states_of(play, number) == {MemberState.ALIVE}
    assert play.said_gone == []
    assert play.largest <= 204


@pytest.mark.parametrize("size", [3, 10, 50])
def test_all_members_detect_a_crash_and_a_restart(size: int) -> None:
    play = simulated_fleet(size)
    play.kill(size - 1)
    play.run(detection_time(play))
    assert states_of(play, size - 1) == {MemberState.GONE}
    assert {whom for _, _, whom in play.said_gone} == {size - 1}
    play.start(size - 1)
    play.run(8 * SECOND)
    assert states_of(play, size - 1) == {MemberState.ALIVE}


@pytest.mark.parametrize("receives_nothing", [True, False], ids=["receives nothing", "sends nothing"])
def test_a_partition_in_one_direction_causes_no_flapping(receives_nothing: bool) -> None:
    """A member that cannot send, or cannot receive the suspicion, is declared gone at most once by each."""
    play = simulated_fleet(6)
    cut_links = {(at, 5) if receives_nothing else (5, at) for at in range(5)}
    play.weather.cuts |= cut_links
    play.run(60 * SECOND)
    reported = [whom for _, by, whom in play.said_gone if by != 5]
    assert set(reported) <= {5}
    assert len(reported) <= 5, "each member declares it gone at most once"


@pytest.mark.parametrize("span", [2, 4])
def test_a_stopped_process_refutes_its_suspicion(span: int) -> None:
    """A process that was stopped neither remains gone nor declares the others gone."""
    play = simulated_fleet(10)
    play.processes[4].stopped = True
    play.run(span * SECOND)
    play.processes[4].stopped = False
    play.run(20 * SECOND)
    assert all(states_of(play, number) == {MemberState.ALIVE} for number in range(10))
    assert [whom for _, by, whom in play.said_gone if by == 4] == []


@pytest.mark.parametrize(
    "weather", [Weather(0.2, (200, 200_000), 0.05), Weather(cuts={(0, 1), (1, 0)})], ids=["rough", "one link"]
)
def test_loss_jitter_or_one_cut_link_causes_no_false_detection(weather: Weather) -> None:
    """Either 20% loss, delays of up to 0.2 s and duplicates, or no connection between two members."""
    play = simulated_fleet(10, seed=3)
    play.weather = weather
    play.run(60 * SECOND)
    assert play.said_gone == []


def test_two_partitions_declare_each_other_gone_and_recover() -> None:
    play = simulated_fleet(6)
    play.weather.cuts |= {(a, b) for a in range(6) for b in range(6) if (a < 3) != (b < 3)}
    play.run(40 * SECOND)
    assert states_of(play, 0) == {MemberState.ALIVE, MemberState.GONE}
    play.weather.cuts.clear()
    play.run(30 * SECOND)
    assert states_of(play, 0) == {MemberState.ALIVE}


def new_detector() -> FailureDetector:
    return FailureDetector(0, 4, 7, PERIOD, 0, Random(1))


def test_an_update_about_a_past_incarnation_is_ignored() -> None:
    one = new_detector()
    one.receive(1, 20, [], 0)
    one.receive(1, 21, [], 10)
    one.receive(2, 5, [MemberUpdate(1, 20, 9, MemberState.GONE)], 5 * PERIOD)
    assert one.state(1) is MemberState.ALIVE


def test_a_suspicion_of_a_recently_active_member_is_forwarded_and_not_adopted() -> None:
    one = new_detector()
    one.receive(1, 20, [], 0)
    suspicion = MemberUpdate(1, 20, 0, MemberState.SUSPECT)
    assert (1, suspicion) in one.receive(2, 5, [suspicion], PERIOD // 2)
    assert one.state(1) is MemberState.ALIVE
    one.receive(2, 5, [suspicion], 2 * PERIOD)
    assert one.state(1) is MemberState.SUSPECT


def test_only_the_suspected_member_refutes() -> None:
    one = new_detector()
    one.receive(2, 5, [MemberUpdate(0, 7, 0, MemberState.SUSPECT)], 0)
    assert MemberUpdate(0, 7, 1, MemberState.ALIVE) in one.take_updates()
    one.receive(2, 5, [MemberUpdate(0, 6, 9, MemberState.GONE)], 0)
    assert one.refutation == 1, "an update about another incarnation is not refuted"


def test_unexpected_messages_are_tolerated() -> None:
    one = new_detector()
    messages: list[Message] = [Ack(9), Ping(3), MemberUpdate(3999, 1, 1, 2), MemberUpdate(3, 1, 1, 1)]
    assert (1, Ack(3)) in one.receive(1, 1, messages, 0)
    assert one.state(3) is MemberState.SUSPECT
    for now in range(0, one.suspicion_timeout_us + PERIOD, PERIOD // 8):
        one.tick(now)
    assert one.state(3) is MemberState.GONE
    assert 1 in one.alive()


def test_an_ack_ends_a_probe_and_indirect_probes_are_bounded() -> None:
    one, sent = new_detector(), 0
    one.receive(1, 20, [], 0)
    pings: list[Ping] = []
    for now in range(2 * PERIOD, 6 * PERIOD, PERIOD // 8):
        pings = [message for to, message in one.tick(now) if to == 1 and isinstance(message, Ping)]
        if pings:
            break
    one.receive(1, 20, [Ack(pings[0].probe_number)], now + 1)
    assert not [message for _, message in one.tick(now + PERIOD // 2) if isinstance(message, PingRequest)]
    for number in range(1000):
        answers = one.receive(2, 5, [PingRequest(number, 3)], now)
        sent += sum(isinstance(message, Ping) for _, message in answers)
    assert 0 < sent <= 32


def test_an_old_suspicion_is_refuted_again() -> None:
    """A member that had missed a refutation considered the sender gone until it got the update by chance."""
    detector = FailureDetector(1, 3, 7, SECOND, 0, Random(1))
    detector.receive(2, 5, [MemberUpdate(1, 7, 0, MemberState.SUSPECT)], 0)
    assert detector.refutation == 1
    for _ in range(50):
        detector.take_updates()
    assert not detector.take_updates()
    detector.receive(0, 5, [MemberUpdate(1, 7, 0, MemberState.GONE)], SECOND)
    assert detector.refutation == 1
    assert MemberUpdate(1, 7, 1, MemberState.ALIVE) in detector.take_updates()
