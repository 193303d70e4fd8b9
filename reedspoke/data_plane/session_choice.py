"""Selects the control plane nodes to keep sessions with. No I/O, no clock, no randomness of its own.

A session is confirmed while a recent response says that a majority of voters supports its control plane node.
The target is two confirmed sessions, in different zones if possible, and one more while the configuration is
in doubt: while it may be older than the deployment allows. A session that was just opened counts towards the
target for a short time only, so that slow connections do not prevent others from being tried.

The caller connects to what `next_member` returns, again and again until it returns None, and calls
`should_close` for each open session. It reports events with the other methods.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum, auto
from random import Random

from msgspec import Struct

from reedspoke.common.messages import ControlMember
from reedspoke.data_plane.address_book import AddressBook, AddressEntry

TARGET_SESSIONS = 2
TARGET_SESSIONS_IN_DOUBT = 3
MAX_OPEN_SESSIONS = 4  # This includes unconfirmed sessions.
OPENING_GRACE_S = 0.3  # A session without a response counts towards the target for this long.
DEFAULT_STALE_AFTER_S = 0.8  # A session without a response for longer than this is no longer confirmed.
# The interval between checks while the configuration is in doubt or the target is not met exactly.
POLL_INTERVAL_S = 0.1
SURPLUS_GRACE_S = 1.0  # A surplus session is kept this long after the configuration was last in doubt.
CONNECT_BURST = 6.0  # Size of the token bucket: this many connection attempts may start at once.
CONNECTS_PER_S = 2.5  # Refill rate of the token bucket: the long-term rate of connection attempts.


class SessionState(Enum):
    """Whether, by the last response on a session, a majority of voters supports the control plane node."""

    OPENING = auto()  # There is no response yet.
    CONFIRMED = auto()
    UNCONFIRMED = auto()


class Session(Struct):
    """One session that is connected or connecting."""

    address: str
    opened_at: float
    state: SessionState = SessionState.OPENING
    state_changed_at: float = 0.0
    last_response_at: float = 0.0


class ConnectRateLimit:
    """A token bucket for connection attempts."""

    def __init__(self) -> None:
        self._tokens = CONNECT_BURST
        self._refilled_at: float | None = None

    def available(self, now: float) -> bool:
        """Whether a connection attempt may start."""
        self._refill(now)
        return self._tokens >= 1

    def consume(self, now: float) -> None:
        """Take a token for a connection attempt."""
        self._refill(now)
        self._tokens = max(0.0, self._tokens - 1)

    def _refill(self, now: float) -> None:
        if self._refilled_at is not None:
            self._tokens = min(CONNECT_BURST, self._tokens + (now - self._refilled_at) * CONNECTS_PER_S)
        self._refilled_at = now


class SessionChoice:
    """The sessions of one data plane node and all addresses that it knows.

    `stale_after_s` is how long a session stays confirmed after its last response. It has to exceed the time
    within which a control plane node responds to each `WatchRequest`, or idle sessions would lose their
    confirmation.
    """

    def __init__(self, random: Random, stale_after_s: float = DEFAULT_STALE_AFTER_S) -> None:
        self._random = random
        self._stale_after_s = stale_after_s
        self._book = AddressBook()
        self._connect_limit = ConnectRateLimit()
        self._sessions: dict[str, Session] = {}
        self._own_zone = ""
        self._in_doubt = True
        self._last_in_doubt_at = 0.0

    # ---- known addresses ----

    def add_members(self, members: Iterable[ControlMember], now: float) -> None:
        """Add the members that a control plane node listed, with or without a majority."""
        self._book.add_members(members, now, self._sessions)

    def set_seeds(self, addresses: Iterable[str]) -> None:
        """Replace the seeds: the addresses in the settings."""
        self._book.set_seeds(addresses)

    # ---- session events ----

    def session_opened(self, address: str, now: float) -> None:
        """A connection attempt to this address has started."""
        self._connect_limit.consume(now)
        self._sessions[address] = Session(address, opened_at=now, state_changed_at=now)

    def session_ended(self, address: str, now: float) -> None:
        """The connection failed, was lost, or was closed."""
        session = self._sessions.pop(address, None)
        entry = self._book.get(address)
        if session is None or entry is None:
            return
        if session.state is SessionState.UNCONFIRMED:
            # The failure was counted when the session became unconfirmed. Only its retry delay starts now.
            entry.last_failure_at = now
        else:
            entry.record_failure(now, unconfirmed=False)

    def record_confirmed(self, address: str, now: float) -> None:
        """The session received a current `WatchResponse`: a majority of voters supports its node."""
        self._record_response(address, SessionState.CONFIRMED, now)
        entry = self._book.get(address)
        if entry is not None:
            entry.failures = 0

    def record_unconfirmed(self, address: str, control: Iterable[ControlMember], now: float) -> None:
        """The session received an `UnconfirmedResponse`, or a `WatchResponse` that is too old.

        `control` are the members in the response, added as further addresses to try.
        """
        self.add_members(control, now)
        session = self._sessions.get(address)
        entry = self._book.get(address)
        if session is not None and entry is not None and session.state is not SessionState.UNCONFIRMED:
            entry.record_failure(now, unconfirmed=True)
        self._record_response(address, SessionState.UNCONFIRMED, now)

    def _record_response(self, address: str, state: SessionState, now: float) -> None:
        session = self._sessions.get(address)
        if session is None:
            return
        if session.state is not state:
            session.state = state
            session.state_changed_at = now
        session.last_response_at = now

    # ---- decisions ----

    def next_member(self, now: float, own_zone: str, in_doubt: bool) -> ControlMember | None:
        """The control plane node to connect to now; None if no session is needed or no attempt is allowed."""
        self._update_conditions(now, own_zone, in_doubt)
        if len(self._sessions) >= MAX_OPEN_SESSIONS or not self._connect_limit.available(now):
            return None
        if len(self._active_sessions(now)) >= self._target_count():
            return None
        chosen = self._best_candidate(self._candidates(now), now)
        return None if chosen is None else ControlMember(chosen.address, chosen.zone)

    def should_close(self, address: str, now: float) -> bool:
        """Whether to close this session: it is unconfirmed and not needed, or exceeds the target."""
        session = self._sessions.get(address)
        if session is None:
            return False
        if session.state is SessionState.UNCONFIRMED:
            return self._should_close_unconfirmed(session, now)
        recently_in_doubt = self._in_doubt or now - self._last_in_doubt_at <= SURPLUS_GRACE_S
        return not recently_in_doubt and address in self._surplus_addresses(now)

    def confirmed_addresses(self, now: float) -> list[str]:
        """The addresses of the confirmed sessions."""
        return [session.address for session in self._sessions.values() if self._is_confirmed(session, now)]

    def is_in_own_zone(self, address: str) -> bool:
        """Whether this control plane node is in the zone of this data plane node."""
        return self._zone_of(address) == self._own_zone

    def next_check_s(self, now: float) -> float:
        """Seconds until the caller has to check again if no event occurs before."""
        if (
            self._in_doubt
            or len(self._sessions) != TARGET_SESSIONS
            or len(self.confirmed_addresses(now)) != TARGET_SESSIONS
        ):
            return POLL_INTERVAL_S
        oldest_response = min(session.last_response_at for session in self._sessions.values())
        return max(POLL_INTERVAL_S, oldest_response + self._stale_after_s - now)

    def _update_conditions(self, now: float, own_zone: str, in_doubt: bool) -> None:
        self._own_zone = own_zone
        self._in_doubt = in_doubt
        if in_doubt:
            self._last_in_doubt_at = now

    def _target_count(self) -> int:
        return TARGET_SESSIONS_IN_DOUBT if self._in_doubt else TARGET_SESSIONS

    def _is_confirmed(self, session: Session, now: float) -> bool:
        return (
            session.state is SessionState.CONFIRMED and now - session.last_response_at <= self._stale_after_s
        )

    def _active_sessions(self, now: float) -> list[Session]:
        """The sessions that count towards the target: confirmed, or opened a short time ago."""
        return [
            session
            for session in self._sessions.values()
            if self._is_confirmed(session, now)
            or (session.state is SessionState.OPENING and now - session.opened_at <= OPENING_GRACE_S)
        ]

    def _candidates(self, now: float) -> list[AddressEntry]:
        """All addresses without a session that may be tried now."""
        urgent = not self.confirmed_addresses(now)  # Without a confirmed session, retry delays are shorter.
        return [
            entry
            for entry in self._book.entries()
            if entry.address not in self._sessions and entry.may_connect(now, urgent)
        ]

    def _best_candidate(self, candidates: list[AddressEntry], now: float) -> AddressEntry | None:
        """The candidate to try first.

        Candidates without a recent failure come first, then those whose failure is the oldest. Among equals a
        zone without an active session is preferred, then the own zone; the rest is random.
        """
        zones = {self._zone_of(session.address) for session in self._active_sessions(now)}
        self._random.shuffle(candidates)
        return min(
            candidates,
            key=lambda entry: (
                entry.failed_recently(now),
                entry.last_failure_at if entry.failed_recently(now) else 0.0,
                entry.zone in zones,
                entry.zone != self._own_zone,
            ),
            default=None,
        )

    def _zone_of(self, address: str) -> str:
        entry = self._book.get(address)
        return "" if entry is None else entry.zone

    def _should_close_unconfirmed(self, session: Session, now: float) -> bool:
        """Whether to close this unconfirmed session: the target is met, or a candidate needs its place.

        A candidate takes the place of the session that has been unconfirmed for the longest time.
        """
        if len(self.confirmed_addresses(now)) >= self._target_count():
            return True
        if len(self._sessions) < self._target_count():
            return False  # There is room for the candidate without closing a session.
        if not self._connect_limit.available(now) or not self._candidates(now):
            return False
        return session is min(
            (other for other in self._sessions.values() if other.state is SessionState.UNCONFIRMED),
            key=lambda other: (other.state_changed_at, other.address),
        )

    def _surplus_addresses(self, now: float) -> set[str]:
        """The addresses of the confirmed sessions that exceed the target.

        The sessions to keep are in different zones if possible, preferably in the own one, and the oldest of
        those that are equal in this.
        """
        left = sorted(self.confirmed_addresses(now), key=lambda address: self._sessions[address].opened_at)
        zones: set[str] = set()
        for _ in range(min(TARGET_SESSIONS, len(left))):
            kept = min(left, key=lambda address: self._keep_priority(address, zones))
            left.remove(kept)
            zones.add(self._zone_of(kept))
        return set(left)

    def _keep_priority(self, address: str, zones: set[str]) -> tuple[bool, bool]:
        """Sort key of a session to keep, the lowest first; `zones` are those of the sessions kept so far."""
        zone = self._zone_of(address)
        return zone in zones, zone != self._own_zone
