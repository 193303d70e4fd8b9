"""The lease of the list duty: which control scheduler calls the platform's list of workers.

A majority of the voters of the present view grants it. What makes two holders at one time unlikely enough:

- A granter grants to one holder at a time, for LEASE_S; one that starts anew waits that long before it
  grants, as it has forgotten what it granted.
- A holder counts from before it asked, and stops MARGIN_S early.
- Sets of voters differ by one member from view to view, so their majorities meet.

Each grant has a term, which is the fence of this duty: it goes with each list of workers. Terms only rise,
also past those that other processes know of; a list published under a higher term replaces one under a lower
term, and a holder that learns of one ends at once. No I/O and no clock here: `now` is seconds of a
clock that goes on while the process is stopped.
"""

from __future__ import annotations

from msgspec import Struct

from reedspoke.control_plane.peers.messages import LeaseAnswer, LeaseMessage, LeaseRelease, LeaseRequest

LEASE_S = 1.2
MARGIN_S = 0.1
RENEW_S = 0.4
ROUND_S = 0.35  # a request without a majority of answers by then has failed
RANK_DELAY_S = 0.12  # a voter waits that much longer for each voter before it in the view
RETRY_S = 0.3  # pause after a request that failed
TERM_SPAN = 2**31
GIVE_UP_PAUSE_S = 2.0  # no request for so long after the lease was given up


class Outgoing(Struct, frozen=True):
    """A message to another voter."""

    address: str
    message: LeaseMessage


class Granter:
    """What this process has granted."""

    def __init__(self, silent_until: float) -> None:
        self.highest_term = 0
        self._silent_until = silent_until
        self._holder = ""
        self._term = 0
        self._ends = 0.0

    def request(self, holder: str, term: int, now: float) -> LeaseAnswer:
        """Grant or refuse. The present holder may renew, also under a higher term."""
        if now < self._silent_until:
            return LeaseAnswer(term, False, self.highest_term, self._silent_until - now)
        if self._holder not in ("", holder) and now < self._ends:
            return LeaseAnswer(term, False, self.highest_term, self._ends - now)
        if term < self.highest_term or (term == self.highest_term and holder != self._holder):
            return LeaseAnswer(term, False, self.highest_term)
        self.highest_term = term
        self._holder, self._term, self._ends = holder, term, now + LEASE_S
        return LeaseAnswer(term, True, term)

    def release(self, holder: str, term: int) -> bool:
        """End a grant before its time. False where this is not the grant that is out."""
        if (holder, term) != (self._holder, self._term):
            return False
        self._ends = 0.0
        return True

    def busy_until(self, asker: str) -> float:
        """Until when this granter would refuse `asker`."""
        granted_until = 0.0 if self._holder == asker else self._ends
        return max(self._silent_until, granted_until)


class Round(Struct):
    """A request that is out."""

    term: int
    began: float
    granted: set[str]
    refused: set[str]


class DutyLease:
    """This process as a granter and as one that wants the lease.

    `identity`, below TERM_SPAN, is to differ from process to process: it is the remainder of each of its
    terms. So none is used twice, also after a loss of all processes, when terms begin anew while lists of
    earlier ones may still be held elsewhere.
    """

    def __init__(
        self, address: str, now: float, *, fresh_fleet: bool = False, identity: int | None = None
    ) -> None:
        self._address = address
        self._granter = Granter(now if fresh_fleet else now + LEASE_S)
        self._voters: tuple[str, ...] = ()
        self._round: Round | None = None
        self._ask_at: float | None = None  # None: no voters are known yet
        self._paused_until = now
        self._least_term = 1
        self._identity = identity
        self._term = 0
        self._until = 0.0
        self._stopped = False

    # ---- what is asked ----

    def holds(self, now: float) -> bool:
        """Whether the duty is ours; ask before each act, as the process may have been stopped meanwhile."""
        return self._term > 0 and now < self._until

    @property
    def term(self) -> int:
        """The term under which we hold or last held the lease."""
        return self._term

    # ---- what happens ----

    def set_voters(self, voters: tuple[str, ...]) -> None:
        """The voters of the newest view, in the order of preference."""
        if voters != self._voters:
            self._voters = voters
            self._round = None

    def term_seen(self, term: int) -> None:
        """Somebody knows of a list of workers under this term. A holder under a lower one ends at once,
        whatever its lease says, and may hold again under a higher one only."""
        if term != self._term:  # somebody else's, or that of an earlier life: never used again
            self._least_term = max(self._least_term, term + 1)
        if term > self._term and self._until:
            self._until = 0.0
            self._ask_at = self._paused_until

    def need_higher_term(self, above: int, now: float) -> None:
        """Lists under our term are not the newest: renew under one above `above`, at once."""
        self._least_term = max(self._least_term, above + 1)
        if self._least_term > self._term and self.holds(now):
            self._ask_at = now

    def tick(self, now: float) -> list[Outgoing]:
        """Time has passed: ask, renew or give up a request."""
        if self._round is not None and now - self._round.began > ROUND_S:
            return self._round_failed(now, RETRY_S)
        if self._round is None and not self._stopped and self._address in self._voters:
            return self._ask(now)
        return []

    def received(self, sender: str, message: LeaseMessage, now: float) -> list[Outgoing]:
        """A message of another voter."""
        match message:
            case LeaseRequest(term):
                withdrawn = self._withdraw_for(sender, now)
                return [*withdrawn, Outgoing(sender, self._granter.request(sender, term, now))]
            case LeaseRelease(term):
                if self._granter.release(sender, term):
                    self._ask_at = now + self._rank_delay()
                return []
            case LeaseAnswer():
                return self._answered(sender, message, now)

    def give_up(self, now: float) -> list[Outgoing]:
        """Give the lease back, and leave it to others for a while."""
        messages = self._release()
        self._paused_until = now + GIVE_UP_PAUSE_S
        return messages

    def stop(self) -> list[Outgoing]:
        """Give the lease back for good."""
        self._stopped = True
        return self._release()

    # ---- inside ----

    def _ask(self, now: float) -> list[Outgoing]:
        if self._ask_at is None:
            self._ask_at = now + self._rank_delay()
        if now < max(self._ask_at, self._paused_until):
            return []
        holding = self.holds(now)
        if not holding:
            free_at = self._granter.busy_until(self._address)
            if now < free_at:
                self._ask_at = free_at + self._rank_delay()
                return []
        self._round = Round(self._next_term(holding), now, set(), set())
        return self._tell_voters(LeaseRequest(self._round.term), now)

    def _next_term(self, holding: bool) -> int:
        if holding and self._term >= self._least_term:
            return self._term
        least = max(self._term + 1, self._least_term, self._granter.highest_term + 1)
        return least if self._identity is None else least + (self._identity - least) % TERM_SPAN

    def _rank_delay(self) -> float:
        if self._address not in self._voters:
            return 0.0
        return RANK_DELAY_S * self._voters.index(self._address)

    def _tell_voters(self, message: LeaseRequest, now: float) -> list[Outgoing]:
        messages = [Outgoing(voter, message) for voter in self._voters if voter != self._address]
        own_answer = self._granter.request(self._address, message.term, now)
        return messages + self._answered(self._address, own_answer, now)

    def _answered(self, sender: str, answer: LeaseAnswer, now: float) -> list[Outgoing]:
        least_term = answer.highest_term if answer.granted else answer.highest_term + 1
        self._least_term = max(self._least_term, least_term)
        asked = self._round
        if asked is None or answer.term != asked.term or sender not in self._voters:
            return []
        if not answer.granted:
            return self._refused(asked, sender, answer, now)
        asked.granted.add(sender)
        if len(asked.granted) > len(self._voters) // 2:
            self._granted(asked)
        return []

    def _withdraw_for(self, rival: str, now: float) -> list[Outgoing]:
        """Give up a request that is out for one of a voter that stands before us, or both might fail."""
        asked = self._round
        if asked is None or self.holds(now) or not self._stands_before_us(rival):
            return []
        self._round = None
        self._ask_at = now + self._rank_delay()
        return self._release_term(asked.term)

    def _stands_before_us(self, rival: str) -> bool:
        before = self._voters[: self._voters.index(self._address)] if self._address in self._voters else ()
        return rival in before

    def _refused(self, asked: Round, sender: str, answer: LeaseAnswer, now: float) -> list[Outgoing]:
        if answer.retry_after_s <= 0:  # only the term was too low: rivals that wait here overtake each other
            self._ask_at = now
            return self._ask(now)
        asked.refused.add(sender)
        if len(self._voters) - len(asked.refused) <= len(self._voters) // 2:
            return self._round_failed(now, answer.retry_after_s)
        return []

    def _granted(self, asked: Round) -> None:
        self._round = None
        self._term = asked.term
        self._until = asked.began + LEASE_S - MARGIN_S
        self._ask_at = asked.began + RENEW_S

    def _round_failed(self, now: float, retry_after_s: float) -> list[Outgoing]:
        asked = self._round
        self._round = None
        if self.holds(now):
            self._ask_at = now
            return []
        self._ask_at = now + min(retry_after_s, RETRY_S) + self._rank_delay()
        return [] if asked is None else self._release_term(asked.term)

    def _release(self) -> list[Outgoing]:
        terms = {self._term}
        if self._round is not None:
            terms.add(self._round.term)
        self._round = None
        self._until = 0.0
        return [message for term in sorted(terms) if term for message in self._release_term(term)]

    def _release_term(self, term: int) -> list[Outgoing]:
        self._granter.release(self._address, term)
        return [Outgoing(voter, LeaseRelease(term)) for voter in self._voters if voter != self._address]
