"""What the watcher of the relay counts as two holders: nothing of a sound lease, and those of broken ones."""

from __future__ import annotations

from random import Random

import pytest

from reedspoke.fleet.lease.events import LeaseEvent, SendMessage
from reedspoke.fleet.lease.participant import LeaseParticipant
from reedspoke.fleet.lease.tokens import INCARNATION_BITS
from reedspoke.fleet.messages.lease import (
    AcceptResponse,
    LeaseProtocolMessage,
    LeaseReleased,
    PrepareResponse,
)
from reedspoke.lab.leaseplay import DRIFT, EVEN, TERM, Fleet, TwoHoldersError
from reedspoke.lab.mutants import Blind, Forgetful, Minority, Yielding
from reedspoke.lab.watcher import Watcher

DUTY = 0
LASTS = TERM * (1 - DRIFT) / (1 + DRIFT)
GRANTERS = (0, 1, 2, 3, 4)


class WatchedFleet(Fleet):
    """Every message crosses a relay that a watcher observes: some pass it at once, some a while later, as if
    the relay were slow, the weather bad or the sender stopped between its decision and the datagram."""

    def __post_init__(self) -> None:
        self.watcher = Watcher(tuple(range(self.size)), LASTS)
        self.relay = Random(self.seed + 1)
        self.passed: set[int] = set()  # messages that have passed the relay and wait at their receiver
        self.really_two = 0
        self.slow = (0.0, 0.5, 1.0)[self.seed % 3]  # share of the messages
        super().__post_init__()

    def send(self, number: int, effect: SendMessage) -> None:
        self.watcher.sent(number, DUTY, effect.message, self.true)
        before = len(self.flying)
        super().send(number, effect)
        for sender, to, message in self.flying[before:]:
            if self.relay.random() >= self.slow:
                self.passed.add(id(message))
                self.watcher.received(sender, to, DUTY, message, self.true)  # type: ignore[arg-type]

    def deliver(self, at: int) -> None:
        sender, to, message = self.flying[at]
        if id(message) not in self.passed and (sender, to) not in self.cuts:
            self.watcher.received(sender, to, DUTY, message, self.true)  # type: ignore[arg-type]
        super().deliver(at)

    def tell(self, number: int, event: LeaseEvent) -> None:
        before = self.members[number].expires_at if len(self.members) > number else 0
        super().tell(number, event)
        member = self.members[number]
        if member.token and member.expires_at != before:
            self.watcher.told(number, DUTY, member.token, self.true)

    def restart(self, number: int) -> None:
        self.watcher.dead(number, self.true)
        super().restart(number)

    def check(self) -> None:
        try:
            super().check()
        except TwoHoldersError:
            self.really_two += 1


@pytest.mark.parametrize("seeds", [range(start, start + 60) for start in range(0, 300, 60)])
def test_it_never_counts_two_where_one_holds(seeds: range) -> None:
    """When a span began with a majority of accepts and ended with the time of the proposal, two of these 300
    plays were counted."""
    handovers = 0
    for seed in seeds:
        fleet = WatchedFleet(5, seed, rates=EVEN)
        fleet.calm(3 * TERM)
        fleet.wild(1500)
        assert fleet.really_two == 0
        assert fleet.watcher.overlaps == [], f"seed {seed}"
        handovers += fleet.watcher.handovers()
    assert handovers > 40


@pytest.mark.parametrize("make", [Forgetful, Minority, Blind, Yielding])
def test_it_counts_two_holders_of_broken_leases(make: type[LeaseParticipant]) -> None:
    size = 4 if make is Minority else 3
    for seed in range(400):
        fleet = WatchedFleet(size, 3 * seed, make, rates=(1.0, 1.0))
        fleet.calm(3 * TERM)
        fleet.wild(600)
        if fleet.watcher.two_holders and fleet.really_two:
            return
    pytest.fail("never counted")


def _ballot(asker: int, number: int) -> int:
    return number << 10 + INCARNATION_BITS | asker << INCARNATION_BITS


class Story:
    """Single messages past a watcher of five granters, whose lease lasts 0.9 s."""

    def __init__(self) -> None:
        self.watcher = Watcher(GRANTERS, 0.9)

    def at(self, when: float, to: int, message: LeaseProtocolMessage, *senders: int) -> None:
        for sender in senders:
            self.watcher.sent(sender, DUTY, message, when)
            self.watcher.received(sender, to, DUTY, message, when)

    def told(self, when: float, sender: int, token: int) -> None:
        self.watcher.told(sender, DUTY, token, when)


def test_an_accept_behind_the_end_of_the_lease_begins_nothing() -> None:
    """A granter that was stopped answers a round that is long over, while another one holds."""
    story, first, second = Story(), _ballot(0, 1), _ballot(1, 2)
    story.at(0.0, 0, PrepareResponse(first, 0), 2, 3)
    story.at(0.01, 0, AcceptResponse(first), 2)
    story.at(1.2, 1, PrepareResponse(second, 0), 3, 4)
    story.at(1.21, 1, AcceptResponse(second), 3, 4)
    story.told(1.22, 1, second)
    story.at(1.5, 0, AcceptResponse(first), 4)
    story.told(1.51, 0, first)
    assert story.watcher.two_holders == 0
    assert story.watcher.holder(DUTY, 1.5) == 1


def test_a_release_counts_from_when_it_was_sent_even_if_it_is_lost() -> None:
    story, first, second = Story(), _ballot(0, 1), _ballot(1, 2)
    story.at(0.0, 0, PrepareResponse(first, 0), 2, 3)
    story.at(0.01, 0, AcceptResponse(first), 2, 3)
    story.told(0.02, 0, first)
    story.watcher.sent(0, DUTY, LeaseReleased(first), 0.3)
    story.at(0.35, 1, PrepareResponse(second, 0), 0, 4)
    story.at(0.36, 1, AcceptResponse(second), 0, 4)
    story.told(0.37, 1, second)
    assert story.watcher.two_holders == 0
    assert story.watcher.holder(DUTY, 0.5) == 1


def test_two_majorities_at_one_time_are_counted_and_told() -> None:
    story, first, second = Story(), _ballot(0, 1), _ballot(1, 2)
    story.at(0.0, 0, PrepareResponse(first, 0), 2, 3)
    story.at(0.01, 0, AcceptResponse(first), 2, 3)
    story.told(0.02, 0, first)
    story.at(0.4, 1, PrepareResponse(second, 0), 3, 4)
    story.at(0.41, 1, AcceptResponse(second), 3, 4)
    story.told(0.42, 1, second)
    assert story.watcher.two_holders == 1
    (overlap,) = story.watcher.overlaps
    assert (overlap.earlier.token, overlap.later.token) == (first, second)
    assert overlap.later.begin < overlap.earlier.end


def test_who_has_not_told_that_it_holds_does_not_count() -> None:
    """Its own granter may have just started and be silent: two accepts of others are then no majority."""
    story, first = Story(), _ballot(0, 5)
    story.at(0.0, 0, PrepareResponse(first, 0), 2, 3)
    story.at(0.01, 0, AcceptResponse(first), 2, 3)
    assert story.watcher.holder(DUTY, 0.1) is None
    story.told(0.2, 0, first)
    assert story.watcher.holder(DUTY, 0.3) == 0
