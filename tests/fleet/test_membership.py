"""Who is alive, as each member comes to believe it: in virtual time, with the real frames."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.frames import Ack, Ask, Matter, News, Ping
from reedspoke.fleet.membership import Membership, Standing
from reedspoke.lab.virtual import SECOND, Play, Weather

PERIOD = SECOND


def fleet(size: int, seed: int = 1, span: int = 8 * SECOND) -> Play:
    play = Play(size, seed)
    play.run(span)
    return play


def believed(play: Play, of: int) -> set[Standing]:
    return {one.membership.standing(of) for at, one in play.processes.items() if at != of}


def patience(play: Play) -> int:
    return 3 * play.processes[min(play.processes)].membership.suspicion + 4 * PERIOD


@pytest.mark.parametrize("size", [2, 3, 10, 50])
def test_all_find_each_other_and_nobody_is_held_for_dead(size: int) -> None:
    play = fleet(size, span=20 * SECOND)
    for number in range(size):
        assert believed(play, number) == {Standing.ALIVE}
    assert play.said_gone == []
    assert play.largest <= 204


@pytest.mark.parametrize("size", [3, 10, 50])
def test_a_death_is_known_to_all_and_a_return_as_well(size: int) -> None:
    play = fleet(size)
    play.kill(size - 1)
    play.run(patience(play))
    assert believed(play, size - 1) == {Standing.GONE}
    assert {whom for _, _, whom in play.said_gone} == {size - 1}
    play.start(size - 1)
    play.run(8 * SECOND)
    assert believed(play, size - 1) == {Standing.ALIVE}


@pytest.mark.parametrize("deaf", [True, False], ids=["deaf", "dumb"])
def test_one_cut_one_way_does_not_make_the_fleet_flap(deaf: bool) -> None:
    """Who is not heard, or cannot hear that it is suspected, is gone, and that once."""
    play = fleet(6)
    ways = {(at, 5) if deaf else (5, at) for at in range(5)}
    play.weather.cuts |= ways
    play.run(60 * SECOND)
    told = [whom for _, by, whom in play.said_gone if by != 5]
    assert set(told) <= {5}
    assert len(told) <= 5, "each says it once at the most"


@pytest.mark.parametrize("span", [2, 4])
def test_a_slow_process_is_suspected_and_refutes(span: int) -> None:
    """Guards against one that was stopped: it neither stays dead nor holds all the others for dead."""
    play = fleet(10)
    play.processes[4].stopped = True
    play.run(span * SECOND)
    play.processes[4].stopped = False
    play.run(20 * SECOND)
    assert all(believed(play, number) == {Standing.ALIVE} for number in range(10))
    assert [whom for _, by, whom in play.said_gone if by == 4] == []


@pytest.mark.parametrize(
    "weather", [Weather(0.2, (200, 200_000), 0.05), Weather(cuts={(0, 1), (1, 0)})], ids=["rough", "one link"]
)
def test_loss_jitter_and_one_link_kill_nobody(weather: Weather) -> None:
    """A fifth is lost, delays are up to a fifth of a second, some come twice; or two cannot hear."""
    play = fleet(10, seed=3)
    play.weather = weather
    play.run(60 * SECOND)
    assert play.said_gone == []


def test_two_halves_take_each_other_for_gone_and_meet_again() -> None:
    play = fleet(6)
    play.weather.cuts |= {(a, b) for a in range(6) for b in range(6) if (a < 3) != (b < 3)}
    play.run(40 * SECOND)
    assert believed(play, 0) == {Standing.ALIVE, Standing.GONE}
    play.weather.cuts.clear()
    play.run(30 * SECOND)
    assert believed(play, 0) == {Standing.ALIVE}


def lone() -> Membership:
    return Membership(0, 4, 7, PERIOD, 0, Random(1))


def test_what_is_said_of_a_former_life_is_passed_over() -> None:
    one = lone()
    one.hear(1, 20, [], 0)
    one.hear(1, 21, [], 10)
    one.hear(2, 5, [News(1, 20, 9, Standing.GONE)], 5 * PERIOD)
    assert one.standing(1) is Standing.ALIVE


def test_a_rumour_of_one_just_heard_goes_to_itself_and_is_not_believed() -> None:
    one = lone()
    one.hear(1, 20, [], 0)
    rumour = News(1, 20, 0, Standing.SUSPECT)
    assert (1, rumour) in one.hear(2, 5, [rumour], PERIOD // 2)
    assert one.standing(1) is Standing.ALIVE
    one.hear(2, 5, [rumour], 2 * PERIOD)
    assert one.standing(1) is Standing.SUSPECT


def test_only_the_suspected_one_refutes() -> None:
    one = lone()
    one.hear(2, 5, [News(0, 7, 0, Standing.SUSPECT)], 0)
    assert News(0, 7, 1, Standing.ALIVE) in one.news()
    one.hear(2, 5, [News(0, 6, 9, Standing.GONE)], 0)
    assert one.rank == 1, "another life's is none of ours"


def test_what_strangers_could_say_ends_nothing() -> None:
    one = lone()
    matters: list[Matter] = [Ack(9), Ping(3), News(3999, 1, 1, 2), News(3, 1, 1, 1)]
    assert (1, Ack(3)) in one.hear(1, 1, matters, 0)
    assert one.standing(3) is Standing.SUSPECT
    for now in range(0, one.suspicion + PERIOD, PERIOD // 8):
        one.tick(now)
    assert one.standing(3) is Standing.GONE
    assert 1 in one.alive()


def test_an_answer_ends_a_look_and_a_flood_of_asks_is_bounded() -> None:
    one, sent = lone(), 0
    one.hear(1, 20, [], 0)
    pings: list[Ping] = []
    for now in range(2 * PERIOD, 6 * PERIOD, PERIOD // 8):
        pings = [told for to, told in one.tick(now) if to == 1 and isinstance(told, Ping)]
        if pings:
            break
    one.hear(1, 20, [Ack(pings[0].number)], now + 1)
    assert not [told for _, told in one.tick(now + PERIOD // 2) if isinstance(told, Ask)]
    for number in range(1000):
        sent += sum(isinstance(told, Ping) for _, told in one.hear(2, 5, [Ask(number, 3)], now))
    assert 0 < sent <= 32


def test_who_is_told_of_an_old_suspicion_says_its_later_rank_again() -> None:
    """Guards one that was deaf while a member refuted: it held that member for gone until chance brought the
    word."""
    me = Membership(1, 3, 7, SECOND, 0, Random(1))
    me.hear(2, 5, [News(1, 7, 0, Standing.SUSPECT)], 0)
    assert me.rank == 1
    for _ in range(50):
        me.news()
    assert not me.news()
    me.hear(0, 5, [News(1, 7, 0, Standing.GONE)], SECOND)
    assert me.rank == 1
    assert News(1, 7, 1, Standing.ALIVE) in me.news()
