"""Singleton roles in a simulated fleet: one holder each, calls of the handler, and fencing."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.events import RoleAcquired, RoleLost
from reedspoke.fleet.lease.tokens import proposal_number, proposer_id, round_of
from reedspoke.fleet.messages.fields import name_hash
from reedspoke.fleet.messages.lease import LeaseHeld, LeaseMessage, PrepareRequest
from reedspoke.fleet.roles.delegated import DelegatedRole
from reedspoke.fleet.roles.singleton_roles import SingletonRole, SingletonRoles, VoterConfiguration
from reedspoke.lab.virtual import SECOND, Play, Weather

TTL = 3 * SECOND


def test_each_role_has_one_holder_and_all_members_know_it() -> None:
    play = Play(7, 1, duties=5)
    play.run(4 * TTL)
    for name in play.processes[0].duties.leases:
        holder = play.holder(name)
        assert holder is not None
        known = {one.duties.holder(name, one.clock()) for one in play.processes.values()}
        assert {known_holder.member for known_holder in known if known_holder is not None} == {holder}
        assert None not in known
    assert play.two_holders == play.token_fell == 0


@pytest.mark.parametrize("seed", range(6))
def test_there_is_one_holder_and_tokens_increase_under_random_faults(seed: int) -> None:
    """Random restarts, stops, partitions and network faults, with clock rates half a percent apart."""
    play, rng = Play(5, seed), Random(seed)
    play.run(2 * TTL)
    for _ in range(60):
        draw, one = rng.random(), rng.randrange(5)
        if draw < 0.2 and one in play.processes:
            play.kill(one)
        elif draw < 0.5 and one not in play.processes:
            play.start(one)
        elif draw < 0.6 and one in play.processes:
            play.processes[one].stopped = True
        elif draw < 0.7:
            play.weather.cuts |= {(one, at) for at in range(5) if at != one}
        elif draw < 0.8:
            play.weather.loss, play.weather.delay = 0.2, (200, 200_000)
        else:
            end_faults(play)
        play.run(rng.randrange(TTL))
    assert play.two_holders == play.token_fell == 0
    end_faults(play)
    play.run(4 * TTL)
    assert play.holder() is not None
    assert len(play.begun) > 1


def end_faults(play: Play) -> None:
    play.weather = Weather()
    for one in play.processes.values():
        one.stopped = False


def test_members_with_different_voters_hold_no_role_until_they_agree() -> None:
    """While new voters are rolled out, both {0, 1, 2} and {3, 4, 5} have a majority."""
    play = Play(6, 3, granters=(0, 1, 2))
    play.run(3 * TTL)
    assert play.holder() is not None
    for number in (3, 4, 5):
        play.kill(number)
        play.electorates[number] = VoterConfiguration(6, (3, 4, 5), 0.01)
        play.start(number)
    play.run(3 * TTL)
    assert play.holder() is None
    for number in (0, 1, 2):
        play.kill(number)
        play.electorates[number] = play.electorates[3]
        play.start(number)
    play.run(8 * TTL)
    assert play.holder() is not None
    assert play.two_holders == play.token_fell == 0


def test_a_lease_message_with_another_time_to_live_is_ignored() -> None:
    roles, now = sole_voter()
    proposal = token_after(roles, 50)
    for ttl_ms, answers in ((TTL // 1000 + 1, 0), (TTL // 1000, 1)):
        message = LeaseMessage(name_hash("x"), ttl_ms, PrepareRequest(proposal))
        assert len(roles.receive(1, message, now)) == answers
    assert roles.lease_ends["x", "other term"] == 1


def test_a_fleet_without_faults_sends_few_bytes() -> None:
    """Hundreds of candidates would overload the voters if they kept proposing while the role is held."""
    play = Play(50, 2)
    play.run(10 * TTL)
    before = play.bytes
    play.run(10 * SECOND)
    assert (play.bytes - before) / 50 / 10 < 200


def sole_voter() -> tuple[SingletonRoles, int]:
    """Returns a member that is the only voter and holds the role "x", and the current time."""
    roles = SingletonRoles(0, VoterConfiguration(2, (0,), 0.01), 1, 0, 10**15, Random(1))
    roles.add(SingletonRole("x", TTL), DelegatedRole("x"))
    roles.set_candidacy(True, -1, 0)
    now = 0
    while not roles.holds("x", now):
        now += TTL // 40
        roles.tick(now)
    return roles, now


def token_after(roles: SingletonRoles, rounds: int, member: int = 1) -> int:
    """Returns a token that the member could have obtained that many rounds after the current one."""
    later_round = round_of(roles.leases["x"].token) + rounds
    return proposal_number(later_round, proposer_id(member, 0))


def test_a_handler_is_notified_of_its_lease_and_its_effects_are_collected() -> None:
    roles, now = sole_voter()
    token, expires_at = roles.leases["x"].token, roles.leases["x"].expires_at
    for _ in range(40):
        now += TTL // 40
        roles.tick(now)
    roles.set_candidacy(False, 1, now)
    first, *more, last = roles.effects
    assert first == RoleAcquired("x", token, expires_at)
    assert more
    assert all(isinstance(one, RoleAcquired) and one.expires_at > expires_at for one in more)
    assert last == RoleLost("x")
    assert roles.lease_ends == {("x", "released"): 1}


@pytest.mark.parametrize("by", ["announcement", "call"])
def test_a_higher_token_ends_a_lease_that_has_not_expired(by: str) -> None:
    """Clocks may differ by more than configured. The next token of this member must also be higher."""
    roles, now = sole_voter()
    later = token_after(roles, 50)
    if by == "announcement":
        roles.receive(1, LeaseHeld(name_hash("x"), later, 1000), now)
    else:
        roles.call_rejected("x", later, now)
    assert not roles.holds("x", now)
    assert roles.last_end_reason["x"] == "overtaken"
    assert roles.effects[-1] == RoleLost("x")
    while not roles.holds("x", now):
        now += TTL // 40
        roles.tick(now)
    assert roles.leases["x"].token > later


@pytest.mark.parametrize(
    ("sender", "token_of"), [(1, 0), (0, 1)], ids=["token of the receiver", "sent by the receiver"]
)
def test_an_announcement_counts_only_from_the_member_of_its_token(sender: int, token_of: int) -> None:
    roles, now = sole_voter()
    later = token_after(roles, 50, token_of)
    roles.receive(sender, LeaseHeld(name_hash("x"), later, 1000), now)
    roles.receive(1, LeaseHeld(name_hash("other"), later, 1000), now)
    assert roles.holds("x", now)


def test_a_role_with_the_hash_of_another_one_is_rejected() -> None:
    roles, _ = sole_voter()
    with pytest.raises(ValueError, match="choose another name"):
        roles.add(SingletonRole("x", TTL))
