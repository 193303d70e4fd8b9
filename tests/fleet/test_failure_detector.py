"""The failure detector in a simulated fleet, with the real frames, and alone."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.failure_detector import FailureDetector, MemberState
from reedspoke.fleet.messages.failure_detector import Ack, MemberUpdate, Ping, PingRequest
from reedspoke.fleet.messages.frame import Message
from reedspoke.lab.virtual import SECOND, Play, Weather

PERIOD = SECOND


def fleet(size: int, seed: int = 1, span: int = 8 * SECOND) -> Play:
    play = Play(size, seed)
    play.run(span)
    return play


def believed(play: Play, of: int) -> set[MemberState]:
    return {one.membership.state(of) for at, one in play.processes.items() if at != of}


def patience(play: Play) -> int:
    return 3 * play.processes[min(play.processes)].membership.suspicion_timeout_us + 4 * PERIOD


@pytest.mark.parametrize("size", [2, 3, 10, 50])
def test_all_find_each_other_and_nobody_is_taken_for_gone(size: int) -> None:
    play = fleet(size, span=20 * SECOND)
    for number in range(size):
        assert believed(play, number) == {MemberState.ALIVE}
    assert play.said_gone == []
    assert play.largest <= 204


@pytest.mark.parametrize("size", [3, 10, 50])
def test_a_death_is_known_to_all_and_a_return_as_well(size: int) -> None:
    play = fleet(size)
    play.kill(size - 1)
    play.run(patience(play))
    assert believed(play, size - 1) == {MemberState.GONE}
    assert {whom for _, _, whom in play.said_gone} == {size - 1}
    play.start(size - 1)
    play.run(8 * SECOND)
    assert believed(play, size - 1) == {MemberState.ALIVE}


@pytest.mark.parametrize("deaf", [True, False], ids=["deaf", "dumb"])
def test_a_member_partitioned_one_way_does_not_make_the_fleet_flap(deaf: bool) -> None:
    """A member that is not heard, or cannot hear that it is suspected, is gone, and that once."""
    play = fleet(6)
    ways = {(at, 5) if deaf else (5, at) for at in range(5)}
    play.weather.cuts |= ways
    play.run(60 * SECOND)
    reported = [whom for _, by, whom in play.said_gone if by != 5]
    assert set(reported) <= {5}
    assert len(reported) <= 5, "each reports it once at the most"


@pytest.mark.parametrize("span", [2, 4])
def test_a_slow_process_is_suspected_and_refutes(span: int) -> None:
    """A process that was stopped neither stays gone nor takes all the others for gone."""
    play = fleet(10)
    play.processes[4].stopped = True
    play.run(span * SECOND)
    play.processes[4].stopped = False
    play.run(20 * SECOND)
    assert all(believed(play, number) == {MemberState.ALIVE} for number in range(10))
    assert [whom for _, by, whom in play.said_gone if by == 4] == []


@pytest.mark.parametrize(
    "weather", [Weather(0.2, (200, 200_000), 0.05), Weather(cuts={(0, 1), (1, 0)})], ids=["rough", "one link"]
)
def test_loss_jitter_and_one_link_make_nobody_gone(weather: Weather) -> None:
    """A fifth is lost, delays are up to a fifth of a second, some come twice; or two cannot hear."""
    play = fleet(10, seed=3)
    play.weather = weather
    play.run(60 * SECOND)
    assert play.said_gone == []


def test_two_partitions_take_each_other_for_gone_and_meet_again() -> None:
    play = fleet(6)
    play.weather.cuts |= {(a, b) for a in range(6) for b in range(6) if (a < 3) != (b < 3)}
    play.run(40 * SECOND)
    assert believed(play, 0) == {MemberState.ALIVE, MemberState.GONE}
    play.weather.cuts.clear()
    play.run(30 * SECOND)
    assert believed(play, 0) == {MemberState.ALIVE}


def lone_detector() -> FailureDetector:
    return FailureDetector(0, 4, 7, PERIOD, 0, Random(1))


def test_an_update_about_a_past_incarnation_is_ignored() -> None:
    one = lone_detector()
    one.receive(1, 20, [], 0)
    one.receive(1, 21, [], 10)
    one.receive(2, 5, [MemberUpdate(1, 20, 9, MemberState.GONE)], 5 * PERIOD)
    assert one.state(1) is MemberState.ALIVE


def test_a_suspicion_of_a_member_just_heard_is_passed_on_to_it_and_not_believed() -> None:
    one = lone_detector()
    one.receive(1, 20, [], 0)
    suspicion = MemberUpdate(1, 20, 0, MemberState.SUSPECT)
    assert (1, suspicion) in one.receive(2, 5, [suspicion], PERIOD // 2)
    assert one.state(1) is MemberState.ALIVE
    one.receive(2, 5, [suspicion], 2 * PERIOD)
    assert one.state(1) is MemberState.SUSPECT


def test_only_the_suspected_one_refutes() -> None:
    one = lone_detector()
    one.receive(2, 5, [MemberUpdate(0, 7, 0, MemberState.SUSPECT)], 0)
    assert MemberUpdate(0, 7, 1, MemberState.ALIVE) in one.take_updates()
    one.receive(2, 5, [MemberUpdate(0, 6, 9, MemberState.GONE)], 0)
    assert one.refutation == 1, "of another incarnation"


def test_an_impossible_message_does_no_harm() -> None:
    one = lone_detector()
    messages: list[Message] = [Ack(9), Ping(3), MemberUpdate(3999, 1, 1, 2), MemberUpdate(3, 1, 1, 1)]
    assert (1, Ack(3)) in one.receive(1, 1, messages, 0)
    assert one.state(3) is MemberState.SUSPECT
    for now in range(0, one.suspicion_timeout_us + PERIOD, PERIOD // 8):
        one.tick(now)
    assert one.state(3) is MemberState.GONE
    assert 1 in one.alive()


def test_an_ack_ends_a_probe_and_indirect_probes_are_bounded() -> None:
    one, sent = lone_detector(), 0
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
    """A member that was deaf while another one refuted took it for gone until the update came by chance."""
    me = FailureDetector(1, 3, 7, SECOND, 0, Random(1))
    me.receive(2, 5, [MemberUpdate(1, 7, 0, MemberState.SUSPECT)], 0)
    assert me.refutation == 1
    for _ in range(50):
        me.take_updates()
    assert not me.take_updates()
    me.receive(0, 5, [MemberUpdate(1, 7, 0, MemberState.GONE)], SECOND)
    assert me.refutation == 1
    assert MemberUpdate(1, 7, 1, MemberState.ALIVE) in me.take_updates()
