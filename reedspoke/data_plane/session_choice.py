"""Decides with which control schedulers sessions are kept. No I/O, no clock, no randomness of its own.

A session counts when its control scheduler has lately answered that a majority stands behind it. Two such
sessions are wanted, in different zones if possible, and one more while the configuration is in doubt. A
session that has just been opened counts for a moment, so that slow ones do not keep others from being tried.

The caller asks `next_address` for whom to connect to until that is None, and `should_leave` for each session
that it has; it reports with the other methods what happens.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto
from random import Random

from msgspec import Struct

from reedspoke.common.messages import ControlMember
from reedspoke.data_plane.address_book import AddressBook, Entry

SESSIONS = 2
SESSIONS_IN_DOUBT = 3
MOST_OPEN = 4  # sessions at once, with those that do not count
OPENING_S = 0.3  # a session counts for so long without any answer
DEFAULT_QUIET_S = 0.8
LOOK_S = 0.1  # between two looks while something is to be done
SURPLUS_S = 1.0  # a session beyond the wanted number is kept for so long after the last doubt
DIAL_BURST = 6.0  # connections that may be begun at once
DIALS_PER_S = 2.5  # and in the long run


class SessionState(Enum):
    """What the last answer of a session says of its control scheduler."""

    OPENING = auto()  # no answer yet
    CONFIRMED = auto()
    UNCONFIRMED = auto()


class Session(Struct):
    """One session that is up or coming up."""

    address: str
    opened_at: float
    state: SessionState = SessionState.OPENING
    state_since: float = 0.0
    answered_at: float = 0.0


class DialBudget:
    """A token bucket for new connections."""

    def __init__(self) -> None:
        self._tokens = DIAL_BURST
        self._filled_at: float | None = None

    def available(self, now: float) -> bool:
        """Whether a connection may be begun."""
        self._fill(now)
        return self._tokens >= 1

    def spend(self, now: float) -> None:
        """A connection is begun."""
        self._fill(now)
        self._tokens = max(0.0, self._tokens - 1)

    def _fill(self, now: float) -> None:
        if self._filled_at is not None:
            self._tokens = min(DIAL_BURST, self._tokens + (now - self._filled_at) * DIALS_PER_S)
        self._filled_at = now


class SessionChoice:
    """The sessions of one data plane scheduler and all addresses that it has learnt.

    `quiet_s` is how long after its last answer a session counts: above the time in which a control scheduler
    answers each `WatchRequest`.
    """

    def __init__(self, random: Random, quiet_s: float = DEFAULT_QUIET_S) -> None:
        self._random = random
        self._quiet_s = quiet_s
        self._book = AddressBook()
        self._budget = DialBudget()
        self._sessions: dict[str, Session] = {}
        self._own_zone = ""
        self._in_doubt = True
        self._doubted_at = 0.0

    # ---- what is learnt ----

    def learnt(self, members: Iterable[ControlMember], now: float) -> None:
        """Some control scheduler, confirmed or not, names these."""
        self._book.learnt(members, now, self._sessions)

    def seeds(self, addresses: Iterable[str]) -> None:
        """The addresses that the settings name now."""
        self._book.seeds(addresses)

    # ---- what happens to sessions ----

    def opened(self, address: str, now: float) -> None:
        """A connection to this address is begun."""
        self._budget.spend(now)
        self._sessions[address] = Session(address, opened_at=now, state_since=now)

    def ended(self, address: str, now: float) -> None:
        """The connection failed, broke off or was left."""
        session = self._sessions.pop(address, None)
        entry = self._book.get(address)
        if session is None or entry is None:
            return
        if session.state is SessionState.UNCONFIRMED:
            entry.setback_at = now  # it has been counted; the pause begins now
        else:
            entry.set_back(now, unconfirmed=False)

    def confirmed(self, address: str, now: float) -> None:
        """The session brought `WatchResponse`: a majority stands behind its control scheduler."""
        self._answered(address, SessionState.CONFIRMED, now)
        entry = self._book.get(address)
        if entry is not None:
            entry.setbacks = 0

    def unconfirmed(self, address: str, control: Iterable[ControlMember], now: float) -> None:
        """The session brought `UnconfirmedResponse`, with these as hints where to look."""
        self.learnt(control, now)
        session = self._sessions.get(address)
        entry = self._book.get(address)
        if session is not None and entry is not None and session.state is not SessionState.UNCONFIRMED:
            entry.set_back(now, unconfirmed=True)
        self._answered(address, SessionState.UNCONFIRMED, now)

    def _answered(self, address: str, state: SessionState, now: float) -> None:
        session = self._sessions.get(address)
        if session is None:
            return
        if session.state is not state:
            session.state = state
            session.state_since = now
        session.answered_at = now

    # ---- decisions ----

    def next_address(self, now: float, own_zone: str, in_doubt: bool) -> ControlMember | None:
        """The control scheduler to connect to now, or None if none is wanted or may be tried."""
        self._note(now, own_zone, in_doubt)
        if len(self._sessions) >= MOST_OPEN or not self._budget.available(now):
            return None
        if len(self._promising(now)) >= self._wanted():
            return None
        chosen = self._best(self._candidates(now), now)
        return None if chosen is None else ControlMember(chosen.address, chosen.zone)

    def should_leave(self, address: str, now: float) -> bool:
        """Whether this session is to be ended: it is of no use and others are, or there are too many."""
        session = self._sessions.get(address)
        if session is None:
            return False
        if session.state is SessionState.UNCONFIRMED:
            return self._should_leave_unconfirmed(session, now)
        doubted_lately = self._in_doubt or now - self._doubted_at <= SURPLUS_S
        return not doubted_lately and address in self._surplus(now)

    def sound(self, now: float) -> list[str]:
        """Addresses of the sessions behind whose control schedulers a majority stands."""
        return [session.address for session in self._sessions.values() if self._is_sound(session, now)]

    def is_near(self, address: str) -> bool:
        """Whether this control scheduler is in the own zone."""
        return self._zone(address) == self._own_zone

    def next_look_s(self, now: float) -> float:
        """How long the caller may wait with its next look, if nothing happens in between."""
        if self._in_doubt or len(self._sessions) != SESSIONS or len(self.sound(now)) != SESSIONS:
            return LOOK_S
        first_answer = min(session.answered_at for session in self._sessions.values())
        return max(LOOK_S, first_answer + self._quiet_s - now)

    def _note(self, now: float, own_zone: str, in_doubt: bool) -> None:
        self._own_zone = own_zone
        self._in_doubt = in_doubt
        if in_doubt:
            self._doubted_at = now

    def _wanted(self) -> int:
        return SESSIONS_IN_DOUBT if self._in_doubt else SESSIONS

    def _is_sound(self, session: Session, now: float) -> bool:
        return session.state is SessionState.CONFIRMED and now - session.answered_at <= self._quiet_s

    def _promising(self, now: float) -> list[Session]:
        """The sessions that count, with those that may soon."""
        return [
            session
            for session in self._sessions.values()
            if self._is_sound(session, now)
            or (session.state is SessionState.OPENING and now - session.opened_at <= OPENING_S)
        ]

    def _candidates(self, now: float) -> list[Entry]:
        """All that may be tried now."""
        urgent = not self.sound(now)
        return [
            entry
            for entry in self._book.entries()
            if entry.address not in self._sessions and entry.may_be_tried(now, urgent)
        ]

    def _best(self, candidates: list[Entry], now: float) -> Entry | None:
        """No setback lately, in a zone without a session, the own zone first."""
        zones = {self._zone(session.address) for session in self._promising(now)}
        self._random.shuffle(candidates)
        return min(
            candidates,
            key=lambda entry: (
                entry.had_setback_lately(now),
                entry.setback_at if entry.had_setback_lately(now) else 0.0,
                entry.zone in zones,
                entry.zone != self._own_zone,
            ),
            default=None,
        )

    def _zone(self, address: str) -> str:
        entry = self._book.get(address)
        return "" if entry is None else entry.zone

    def _should_leave_unconfirmed(self, session: Session, now: float) -> bool:
        """As soon as a candidate needs its place, the one that has been unconfirmed longest first."""
        if len(self.sound(now)) >= self._wanted():
            return True
        if len(self._sessions) < self._wanted():
            return False  # there is a place for the candidate
        if not self._budget.available(now) or not self._candidates(now):
            return False
        return session is min(
            (other for other in self._sessions.values() if other.state is SessionState.UNCONFIRMED),
            key=lambda other: (other.state_since, other.address),
        )

    def _surplus(self, now: float) -> set[str]:
        """Sound sessions beyond the wanted number; different zones are kept, the own one first."""
        left = sorted(self.sound(now), key=lambda address: self._sessions[address].opened_at)
        zones: set[str] = set()
        for _ in range(min(SESSIONS, len(left))):
            kept = min(left, key=lambda address: self._keep_order(address, zones))
            left.remove(kept)
            zones.add(self._zone(kept))
        return set(left)

    def _keep_order(self, address: str, zones: set[str]) -> tuple[bool, bool]:
        zone = self._zone(address)
        return zone in zones, zone != self._own_zone
