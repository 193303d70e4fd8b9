"""The core of 2DFQ^E fair queueing: start tags, virtual time, staggered eligibility and pessimistic charges.

It follows "2DFQ: Two-Dimensional Fair Queueing for Multi-Tenant Cloud Services" (SIGCOMM 2016). Symbols: f is
a client, S_f its start tag, phi_f its share, v the virtual time, L_max^f its largest recent cost for a job
key, n the number of positions (requests that workers run at once), and i the rank of one of them. A job key
names jobs of similar cost; the dispatcher uses the model. A client is active while it has queued jobs or
attempts in flight. Times and costs may have any unit if both have the same; the dispatcher uses seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence, Sized
from typing import Protocol, TypeVar

from msgspec import Struct

ALPHA = 0.99  # Decay of L_max at each completion, as in the paper.


class FairClient(Protocol):
    """The attributes of a client that the queue reads and writes."""

    phi: float  # Its share phi_f.
    start: float  # Its start tag S_f.
    out: int  # The number of attempts in flight.
    largest: dict[str, float]  # L_max for each job key.

    @property
    def queue(self) -> Sized:
        """The client's queued jobs."""


ClientT = TypeVar("ClientT", bound=FairClient)


class Charge(Struct, eq=False):
    """What a client was charged for one attempt."""

    key: str  # The job key.
    paid: float = 0.0  # The cost charged so far.
    start_tag_delta: float = 0.0  # How far this advanced the client's start tag.


def pay(client: FairClient, charge: Charge, total: float) -> None:
    """Raise or lower what the client was charged for an attempt to `total`."""
    step = (total - charge.paid) / client.phi
    client.start += step
    charge.start_tag_delta += step
    charge.paid = total


def finish_tag(client: FairClient, key: str) -> float:
    """The finish tag S_f + L_max^f / phi_f of a job of that key."""
    return client.start + client.largest[key] / client.phi


class VirtualClock:
    """The virtual time v: it advances by the rate of finished work over the shares of the active clients."""

    def __init__(self, window: float) -> None:
        self._window = window  # Time over which the rate of finished work is averaged.
        self._finished_work = 0.0  # The cost of recently finished jobs, which decays over the window.
        self._advanced_at = 0.0
        self.value = 0.0

    def advance(self, now: float, active_share: float) -> float:
        """Advance v to `now`; clients with this total share were active since the last call."""
        elapsed = max(0.0, now - self._advanced_at)
        self._advanced_at = max(now, self._advanced_at)
        if active_share > 0:
            self.value += elapsed * self._finished_work / self._window / active_share
        self._finished_work *= max(0.0, 1 - elapsed / self._window)
        return self.value

    def add(self, cost: float) -> None:
        """Add finished work."""
        self._finished_work += cost


class FairQueue:
    """Selects the client to serve next and charges clients for their attempts."""

    def __init__(self, clock_window: float, charge_interval: float) -> None:
        self._clock = VirtualClock(clock_window)
        self._charge_interval = charge_interval  # Time between charges of running jobs.
        self._charged_at = 0.0

    def advance_clock(self, now: float, clients: Iterable[FairClient]) -> float:
        """Advance v to `now` and return it. Call it before a client becomes active or idle."""
        active = sum(client.phi for client in clients if client.out or client.queue)
        return self._clock.advance(now, active)

    def seed_largest(self, client: FairClient, key: str, cost: float) -> None:
        """Initialize L_max for a key with the largest cost that the caller has seen, unless it is set."""
        if key not in client.largest:
            client.largest[key] = cost

    def activate(self, client: FairClient, key: str, credit_jobs: float = 0.0) -> None:
        """Update the start tag of an idle client that gets a job.

        The client may catch up on its idle time by at most `credit_jobs` jobs. Without this credit, a client
        whose few jobs arrive at random would lose its share in the gaps between them.
        """
        credit = credit_jobs * client.largest[key] / client.phi
        client.start = max(client.start, self._clock.value - credit)

    def choose(self, clients: Sequence[ClientT], key_of: Callable[[ClientT], str], stagger: float) -> ClientT:
        """The client to serve when position i of n becomes free; `stagger` is i/n.

        It is the one with the smallest finish tag among the eligible clients, those with
        S_f - (i/n) L_max < v, or among all clients if none is eligible. `key_of` returns the job key of a
        client's head job. Raises ValueError if there are no clients.
        """
        v = self._clock.value
        eligible = [
            client for client in clients if client.start - stagger * client.largest[key_of(client)] < v
        ]
        return min(eligible or clients, key=lambda client: finish_tag(client, key_of(client)))

    def begin_attempt(self, client: FairClient, key: str) -> Charge:
        """Start an attempt of a job of that key.

        Its client is charged L_max in advance, as the cost is not known before the attempt ends.
        """
        charge = Charge(key)
        client.out += 1
        pay(client, charge, client.largest[key])
        return charge

    def charge_due(self, now: float) -> bool:
        """Whether running jobs must be charged now; true once in each interval."""
        if now - self._charged_at < self._charge_interval:
            return False
        self._charged_at = now
        return True

    def charge_running(self, client: FairClient, charge: Charge, cost: float) -> None:
        """Charge the client of a running job for the cost beyond what it has been charged."""
        if cost > charge.paid:
            pay(client, charge, cost)

    def finish_attempt(self, client: FairClient, charge: Charge, cost: float, learn: bool = True) -> None:
        """End an attempt and charge its client the difference to the true cost.

        With `learn`, for an attempt that ran to its end, the cost also updates L_max and the virtual time.
        """
        client.out -= 1
        pay(client, charge, cost)
        if learn:
            self._clock.add(cost)
            client.largest[charge.key] = max(ALPHA * client.largest[charge.key], cost)

    def reverse_attempt(self, client: FairClient, charge: Charge) -> None:
        """End an attempt that never ran and refund all that its client was charged."""
        client.out -= 1
        client.start -= charge.start_tag_delta
        charge.paid = charge.start_tag_delta = 0.0

    def can_drop(self, client: FairClient, credit_jobs: float = 0.0) -> bool:
        """Whether an idle client may be dropped, because it gains nothing by starting again as a new one.

        Its start tag is then at most that of a new client, which starts with `credit_jobs` jobs of credit.
        """
        if client.out or client.queue:
            return False
        credit = credit_jobs * max(client.largest.values(), default=0.0) / client.phi
        return client.start <= self._clock.value - credit
