"""Simulated control plane nodes around a `SessionChoice`: virtual time in steps of 10 ms, no event loop."""

from __future__ import annotations

from enum import Enum, auto
from random import Random

from msgspec import Struct

from reedspoke.common.messages import ControlMember
from reedspoke.data_plane.session_choice import SessionChoice

STEP_S = 0.01
CHECK_INTERVAL_S = 0.1  # between checks of the caller without an event
ROUND_TRIP_S = 0.02
CONNECT_TIMEOUT_S = 0.7
IDLE_TIMEOUT_S = 1.2
MAX_WATCH_WAIT_S = 0.4  # a `WatchRequest` gets its response within this time
HEARTBEAT_S = 1.2
MAX_AGE_S = 1.4
OWN_ZONE = "za"


class State(Enum):
    """How a simulated control plane node behaves."""

    CONFIRMED = auto()
    NO_MAJORITY = auto()  # responds that it has no majority
    UNREACHABLE = auto()  # packets are lost in both directions
    DOWN = auto()  # refuses connections


class SimulatedSession(Struct):
    """One simulated session; `reported_state` is what its last response said."""

    opened_at: float
    last_received_at: float
    respond_at: float
    up: bool = False
    reported_state: State | None = None


class SessionWorld:
    """`states` has the behaviour of each control plane node and may be changed at any time."""

    def __init__(self, states: dict[str, State], zones: dict[str, str], seed: int = 1) -> None:
        self.states = states
        self.zones = zones
        self.now = 100.0
        self.choice = SessionChoice(Random(seed))
        self.sessions: dict[str, SimulatedSession] = {}
        self.connects: list[tuple[float, str]] = []
        self.confirmed_at: float | None = None  # the latest confirmed response
        self.max_sessions = 0
        self.closed_while_confirmed: list[str] = []  # sessions closed by `SessionChoice` while confirmed
        self._checked_at = 0.0

    def members(self, *addresses: str) -> list[ControlMember]:
        """A member list of these addresses, or of all nodes."""
        return [ControlMember(address, self.zones[address]) for address in addresses or self.states]

    def confirmed_addresses(self) -> set[str]:
        return {
            address for address, session in self.sessions.items() if session.reported_state is State.CONFIRMED
        }

    def run_for(self, seconds: float) -> None:
        for _ in range(round(seconds / STEP_S)):
            self.step()

    def run_until_confirmed(self, timeout_s: float) -> float:
        """Run until a session gets a confirmed response; return the time, or fail after `timeout_s`."""
        began = self.now
        while self.confirmed_at is None or self.confirmed_at < began:
            self.step()
            assert self.now - began < timeout_s, f"no confirmed session; {self.sessions}"
        return self.now - began

    def step(self) -> None:
        self.now += STEP_S
        changes = [self._advance(address, session) for address, session in list(self.sessions.items())]
        if any(changes) or self.now - self._checked_at >= CHECK_INTERVAL_S:
            self._check()

    def _advance(self, address: str, session: SimulatedSession) -> bool:
        state = self.states[address]
        if state is State.UNREACHABLE or (
            state is State.DOWN and not session.up and self.now < session.respond_at
        ):
            limit = (
                session.last_received_at + IDLE_TIMEOUT_S
                if session.up
                else session.opened_at + CONNECT_TIMEOUT_S
            )
            return self._end(address) if self.now >= limit else False
        if state is State.DOWN:
            return self._end(address)
        if self.now < session.respond_at and (
            session.reported_state is None or session.reported_state is state
        ):
            return False
        session.up, session.last_received_at = True, self.now
        wait = MAX_WATCH_WAIT_S if state is State.CONFIRMED else HEARTBEAT_S
        session.reported_state, session.respond_at = state, self.now + wait
        if state is State.CONFIRMED:
            self.confirmed_at = self.now
            self.choice.record_confirmed(address, self.now)
        else:
            self.choice.record_unconfirmed(address, self.members(address), self.now)
        return True

    def _end(self, address: str) -> bool:
        del self.sessions[address]
        self.choice.session_ended(address, self.now)
        return True

    def _check(self) -> None:
        self._checked_at = self.now
        for address, session in list(self.sessions.items()):
            if self.choice.should_close(address, self.now):
                if session.reported_state is State.CONFIRMED:
                    self.closed_while_confirmed.append(address)
                self._end(address)
        in_doubt = self.confirmed_at is None or self.now - self.confirmed_at > MAX_AGE_S
        while (member := self.choice.next_member(self.now, OWN_ZONE, in_doubt)) is not None:
            assert member.address not in self.sessions
            self.choice.session_opened(member.address, self.now)
            self.connects.append((self.now, member.address))
            self.sessions[member.address] = SimulatedSession(self.now, self.now, self.now + ROUND_TRIP_S)
        self.max_sessions = max(self.max_sessions, len(self.sessions))


def fleet(size: int, zone_count: int = 3) -> dict[str, str]:
    """Addresses with zones assigned round robin."""
    names = ["za", "zb", "zc", "zd", "ze"][:zone_count]
    return {f"c{number}:1": names[number % zone_count] for number in range(size)}


def stable_world(size: int, zone_count: int = 3, seed: int = 1) -> SessionWorld:
    """A world where all nodes have a majority and two sessions have been open for some time."""
    zones = fleet(size, zone_count)
    world = SessionWorld(dict.fromkeys(zones, State.CONFIRMED), zones, seed)
    world.choice.add_members(world.members(), world.now)
    world.run_for(5)
    return world
