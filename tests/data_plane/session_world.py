"""Control schedulers in virtual time around a `SessionChoice`: no loop, no sockets, steps of a hundredth."""

from __future__ import annotations

from enum import Enum, auto
from random import Random

from msgspec import Struct

from reedspoke.common.messages import ControlMember
from reedspoke.data_plane.session_choice import SessionChoice

STEP_S = 0.01
LOOK_S = 0.1  # between two looks of the caller where nothing happens
ROUND_TRIP_S = 0.02
CONNECT_TIMEOUT_S = 0.7
SILENCE_S = 1.2
HOLD_S = 0.4  # a `WatchRequest` is answered after this at the latest
HEARTBEAT_S = 1.2
DOUBT_S = 1.4
OWN_ZONE = "za"


class State(Enum):
    """How a control scheduler behaves."""

    SOUND = auto()
    CUT_OFF = auto()  # answers that no majority stands behind it
    DARK = auto()  # nothing comes through
    DOWN = auto()  # refuses connections


class Link(Struct):
    """One session."""

    opened_at: float
    heard_at: float
    answer_at: float
    up: bool = False
    told: State | None = None


class SessionWorld:
    """`states` has each control scheduler's behaviour and may be changed at any moment."""

    def __init__(self, states: dict[str, State], zones: dict[str, str], seed: int = 1) -> None:
        self.states = states
        self.zones = zones
        self.now = 100.0
        self.choice = SessionChoice(Random(seed))
        self.links: dict[str, Link] = {}
        self.dials: list[tuple[float, str]] = []
        self.confirmed_at: float | None = None  # the latest answer of a sound one
        self.most_links = 0
        self.ended_sound: list[str] = []  # left although they were sound
        self._looked_at = 0.0

    def members(self, *addresses: str) -> list[ControlMember]:
        """What a list of members says; all of them if none is named."""
        return [ControlMember(address, self.zones[address]) for address in addresses or self.states]

    def sound_links(self) -> set[str]:
        return {address for address, link in self.links.items() if link.told is State.SOUND}

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def until_sound(self, most_s: float) -> float:
        """How long it takes until some session brings a confirmed answer; fails after `most_s`."""
        began = self.now
        while self.confirmed_at is None or self.confirmed_at < began:
            self.step()
            assert self.now - began < most_s, f"no sound session; {self.links}"
        return self.now - began

    def step(self) -> None:
        self.now += STEP_S
        happened = [self._advance(address, link) for address, link in list(self.links.items())]
        if any(happened) or self.now - self._looked_at >= LOOK_S:
            self._look()

    def _advance(self, address: str, link: Link) -> bool:
        state = self.states[address]
        if state is State.DARK or (state is State.DOWN and not link.up and self.now < link.answer_at):
            limit = link.heard_at + SILENCE_S if link.up else link.opened_at + CONNECT_TIMEOUT_S
            return self._end(address) if self.now >= limit else False
        if state is State.DOWN:
            return self._end(address)
        if self.now < link.answer_at and (link.told is None or link.told is state):
            return False
        link.up, link.heard_at = True, self.now
        wait = HOLD_S if state is State.SOUND else HEARTBEAT_S
        link.told, link.answer_at = state, self.now + wait
        if state is State.SOUND:
            self.confirmed_at = self.now
            self.choice.record_confirmed(address, self.now)
        else:
            self.choice.record_unconfirmed(address, self.members(address), self.now)
        return True

    def _end(self, address: str) -> bool:
        del self.links[address]
        self.choice.session_ended(address, self.now)
        return True

    def _look(self) -> None:
        self._looked_at = self.now
        for address, link in list(self.links.items()):
            if self.choice.should_close(address, self.now):
                if link.told is State.SOUND:
                    self.ended_sound.append(address)
                self._end(address)
        in_doubt = self.confirmed_at is None or self.now - self.confirmed_at > DOUBT_S
        while (member := self.choice.next_member(self.now, OWN_ZONE, in_doubt)) is not None:
            assert member.address not in self.links
            self.choice.session_opened(member.address, self.now)
            self.dials.append((self.now, member.address))
            self.links[member.address] = Link(self.now, self.now, self.now + ROUND_TRIP_S)
        self.most_links = max(self.most_links, len(self.links))


def fleet(size: int, zone_count: int = 3) -> dict[str, str]:
    """Addresses with their zones, in turn."""
    names = ["za", "zb", "zc", "zd", "ze"][:zone_count]
    return {f"c{number}:1": names[number % zone_count] for number in range(size)}


def calm_world(size: int, zone_count: int = 3, seed: int = 1) -> SessionWorld:
    """All sound, two sessions up for some time."""
    zones = fleet(size, zone_count)
    world = SessionWorld(dict.fromkeys(zones, State.SOUND), zones, seed)
    world.choice.add_members(world.members(), world.now)
    world.run_for(5)
    return world
