"""Duties among members in virtual time; what a holder's part is told, what operators see, and the fence."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.calls import Calls
from reedspoke.fleet.duties import Duties, Duty, Electorate
from reedspoke.fleet.events import Act, Enter, Leave
from reedspoke.fleet.frames import Holder, Leased, Prepare, mark
from reedspoke.fleet.handed import Handed
from reedspoke.fleet.lease import IDENTITY, LIVES
from reedspoke.lab.virtual import DUTY, SECOND, Play, Weather

TERM = 3 * SECOND


def test_each_duty_has_one_holder_and_all_know_it() -> None:
    play = Play(7, 1, duties=5)
    play.run(4 * TERM)
    for name in play.processes[0].duties.leases:
        holder = play.holder(name)
        assert holder is not None
        told = {one.duties.holder(name, one.clock()) for one in play.processes.values()}
        assert {grip.member for grip in told if grip is not None} == {holder}
        assert None not in told
    assert play.two_holders == play.token_fell == 0


@pytest.mark.parametrize("seed", range(6))
def test_any_faults_leave_one_holder_and_rising_tokens(seed: int) -> None:
    """Restarts, stops, cuts and rough weather by lot, clocks half a percent apart."""
    play, rng = Play(5, seed), Random(seed)
    play.run(2 * TERM)
    for _ in range(60):
        dice, one = rng.random(), rng.randrange(5)
        if dice < 0.2 and one in play.processes:
            play.kill(one)
        elif dice < 0.5 and one not in play.processes:
            play.start(one)
        elif dice < 0.6 and one in play.processes:
            play.processes[one].stopped = True
        elif dice < 0.7:
            play.weather.cuts |= {(one, at) for at in range(5) if at != one}
        elif dice < 0.8:
            play.weather.loss, play.weather.delay = 0.2, (200, 200_000)
        else:
            heal(play)
        play.run(rng.randrange(TERM))
    assert play.two_holders == play.token_fell == 0
    heal(play)
    play.run(4 * TERM)
    assert play.holder() is not None
    assert len(play.begun) > 1


def heal(play: Play) -> None:
    play.weather = Weather()
    for one in play.processes.values():
        one.stopped = False


def test_two_electorates_hold_nothing_until_they_agree() -> None:
    """Guards a roll-out of other granters: {0, 1, 2} and {3, 4, 5} have a majority each."""
    play = Play(6, 3, granters=(0, 1, 2))
    play.run(3 * TERM)
    assert play.holder() is not None
    for number in (3, 4, 5):
        play.kill(number)
        play.electorates[number] = Electorate(6, (3, 4, 5), 0.01)
        play.start(number)
    play.run(3 * TERM)
    assert play.holder() is None
    for number in (0, 1, 2):
        play.kill(number)
        play.electorates[number] = play.electorates[3]
        play.start(number)
    play.run(8 * TERM)
    assert play.holder() is not None
    assert play.two_holders == play.token_fell == 0


def test_a_lease_of_another_term_is_not_heeded() -> None:
    duties, now = alone()
    ballot = (duties.leases["x"].token >> IDENTITY) + 50 << IDENTITY | 1 << LIVES
    for term, answers in ((TERM // 1000 + 1, 0), (TERM // 1000, 1)):
        assert len(duties.hear(1, Leased(mark("x"), term, Prepare(ballot)), now)) == answers
    assert duties.counted["x", "other term"] == 1


def test_a_fleet_in_calm_sends_little() -> None:
    """Guards the granters of hundreds of members: who knows the holder asks nobody."""
    play = Play(50, 2)
    play.run(10 * TERM)
    before = play.bytes
    play.run(10 * SECOND)
    assert (play.bytes - before) / 50 / 10 < 200


def alone() -> tuple[Duties, int]:
    """One member that grants itself; when it holds."""
    duties = Duties(0, Electorate(2, (0,), 0.01), 1, 0, 10**15, Random(1))
    duties.add(Duty("x", TERM), Handed("x"))
    duties.want(True, -1, 0)
    now = 0
    while not duties.holds("x", now):
        now += TERM // 40
        duties.tick(now)
    return duties, now


def test_a_work_hears_of_its_duty_and_its_effects_go_out() -> None:
    duties, now = alone()
    token, until = duties.leases["x"].token, duties.leases["x"].until
    for _ in range(40):
        now += TERM // 40
        duties.tick(now)
    duties.want(False, 1, now)
    first, *more, last = duties.effects
    assert first == Enter("x", token, until)
    assert more
    assert all(isinstance(one, Enter) and one.until > until for one in more)
    assert last == Leave("x")
    assert duties.counted == {("x", "released"): 1}


@pytest.mark.parametrize("by", ["word", "act"])
def test_a_later_token_ends_what_our_clock_would_go_on_with(by: str) -> None:
    """Guards a duty against clocks that differ by more than was told, and the next token against theirs."""
    duties, now = alone()
    later = (duties.leases["x"].token >> IDENTITY) + 50 << IDENTITY | 1 << LIVES
    if by == "word":
        duties.hear(1, Holder(mark("x"), later, 1000), now)
    else:
        duties.refused("x", later, now)
    assert not duties.holds("x", now)
    assert duties.last["x"] == "overtaken"
    assert duties.effects[-1] == Leave("x")
    while not duties.holds("x", now):
        now += TERM // 40
        duties.tick(now)
    assert duties.leases["x"].token > later


@pytest.mark.parametrize(("sender", "token_of"), [(1, 0), (0, 1)], ids=["in another's name", "of a stranger"])
def test_a_holder_s_word_is_its_own(sender: int, token_of: int) -> None:
    duties, now = alone()
    later = (duties.leases["x"].token >> IDENTITY) + 50 << IDENTITY | token_of << LIVES
    duties.hear(sender, Holder(mark("x"), later, 1000), now)
    duties.hear(1, Holder(mark("other"), later, 1000), now)
    assert duties.holds("x", now)


def test_two_duties_too_like_each_other_are_told() -> None:
    duties, _ = alone()
    with pytest.raises(ValueError, match="choose another name"):
        duties.add(Duty("x", TERM))


def test_calls_go_out_one_at_a_time_and_only_while_the_duty_is_held() -> None:
    calls = Calls(DUTY, SECOND)
    assert calls.begin(5, 10 * SECOND, 0) == [Act(DUTY, 5, 10 * SECOND)]
    assert calls.tick(2 * SECOND) == [], "the last one is out still"
    calls.acted(200)
    assert len(calls.tick(2 * SECOND)) == 1
    calls.acted(0)
    assert calls.tick(2 * SECOND + 1) == []
    assert calls.tick(10 * SECOND) == [], "the lease is over"
    calls.extend(20 * SECOND, 10 * SECOND)
    assert len(calls.tick(10 * SECOND)) == 1
    calls.end("released", 10 * SECOND)
    calls.acted(204)
    assert calls.tick(12 * SECOND) == []
    assert (calls.done, calls.failed) == (2, 1)
