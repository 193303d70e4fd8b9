"""The 2DFQ^E core: start tags, a virtual clock, staggered eligibility and pessimistic charges.

After "2DFQ: Two-Dimensional Fair Queueing for Multi-Tenant Cloud Services" (SIGCOMM 2016). Symbols: f is a
client, S_f its start tag, phi_f its share, v the virtual clock, L_max^f its largest recent cost under a job
key, n the number of positions, i the rank of one of them. Times and costs are in any unit, the same for both;
`logic.py` counts in microseconds and the fleet's dispatcher in seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence, Sized
from typing import Protocol, TypeVar

from msgspec import Struct

ALPHA = 0.99  # decay of L_max at a completion, as in the paper


class FairClient(Protocol):
    """What the queue reads and writes of a client."""

    phi: float
    start: float
    out: int  # attempts out
    largest: dict[str, float]  # L_max for each job key

    @property
    def queue(self) -> Sized:
        """The client's waiting jobs."""


C = TypeVar("C", bound=FairClient)


class Charge(Struct, eq=False):
    """What a client has paid for one attempt."""

    key: str  # of the job
    paid: float = 0.0  # of its cost
    tags: float = 0.0  # by which this moved the client's start tag


def pay(client: FairClient, charge: Charge, total: float) -> None:
    """Bring what the client has paid for an attempt to `total`."""
    step = (total - charge.paid) / client.phi
    client.start += step
    charge.tags += step
    charge.paid = total


def finish_tag(client: FairClient, key: str) -> float:
    """S_f + L_max^f / phi_f for a job of that key."""
    return client.start + client.largest[key] / client.phi


class VirtualClock:
    """v gains the rate of finished work over the shares of the active clients."""

    def __init__(self, memory: float) -> None:
        self._memory = memory  # time over which the rate of finished work is averaged
        self._finished = 0.0
        self._at = 0.0
        self.value = 0.0

    def advance(self, now: float, active_share: float) -> float:
        """The clock at `now`, where clients of this total share were active since the last call."""
        gone = max(0.0, now - self._at)
        self._at = max(now, self._at)
        if active_share > 0:
            self.value += gone * self._finished / self._memory / active_share
        self._finished *= max(0.0, 1 - gone / self._memory)
        return self.value

    def add(self, cost: float) -> None:
        """Count finished work."""
        self._finished += cost


class FairQueue:
    """Chooses among clients and keeps their accounts. `key_of` gives the job key of a client's head job."""

    def __init__(self, clock_memory: float, refresh: float) -> None:
        self._clock = VirtualClock(clock_memory)
        self._refresh = refresh  # time between charges of running jobs
        self._refreshed = 0.0

    def clock(self, now: float, clients: Iterable[FairClient]) -> float:
        """v at `now`. Call it before a client becomes active or idle."""
        active = sum(client.phi for client in clients if client.out or client.queue)
        return self._clock.advance(now, active)

    def seed(self, client: FairClient, key: str, cost: float) -> None:
        """L_max starts at the largest cost seen, which the caller knows."""
        if key not in client.largest:
            client.largest[key] = cost

    def activate(self, client: FairClient, key: str, credit_jobs: float = 0.0) -> None:
        """A client without work gets a job. It catches up on the time it was idle for `credit_jobs` jobs at
        most: without any, a client whose few jobs come at random would lose its share between them."""
        credit = credit_jobs * client.largest[key] / client.phi
        client.start = max(client.start, self._clock.value - credit)

    def choose(self, clients: Sequence[C], key_of: Callable[[C], str], stagger: float) -> C:
        """The client to serve when position i of n frees and `stagger` is i/n.

        Of the eligible ones, S_f - (i/n) L_max < v, the one of the smallest finish tag; where none is, the
        smallest finish tag of all. Raises ValueError if there are no clients.
        """
        v = self._clock.value
        eligible = [
            client for client in clients if client.start - stagger * client.largest[key_of(client)] < v
        ]
        return min(eligible or clients, key=lambda client: finish_tag(client, key_of(client)))

    def begin(self, client: FairClient, key: str) -> Charge:
        """An attempt of a job of that key starts: its client pays L_max."""
        charge = Charge(key)
        client.out += 1
        pay(client, charge, client.largest[key])
        return charge

    def refresh_due(self, now: float) -> bool:
        """Whether running jobs are to be charged; true once in each interval."""
        if now - self._refreshed < self._refresh:
            return False
        self._refreshed = now
        return True

    def refresh(self, client: FairClient, charge: Charge, cost: float) -> None:
        """A running job pays for what exceeds its estimate."""
        if cost > charge.paid:
            pay(client, charge, cost)

    def finish(self, client: FairClient, charge: Charge, cost: float, learn: bool = True) -> None:
        """Retroactive charging: the client pays the difference to the true cost. L_max learns of it if the
        attempt ran to its end."""
        client.out -= 1
        pay(client, charge, cost)
        if learn:
            self._clock.add(cost)
            client.largest[charge.key] = max(ALPHA * client.largest[charge.key], cost)

    def reverse(self, client: FairClient, charge: Charge) -> None:
        """The attempt never ran: all that it was charged is given back."""
        client.out -= 1
        client.start -= charge.tags
        charge.paid = charge.tags = 0.0

    def forgettable(self, client: FairClient, credit_jobs: float = 0.0) -> bool:
        """Whether a client has no work and all the credit that a new one gets."""
        if client.out or client.queue:
            return False
        credit = credit_jobs * max(client.largest.values(), default=0.0) / client.phi
        return client.start <= self._clock.value - credit
