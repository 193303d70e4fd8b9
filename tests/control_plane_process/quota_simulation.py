"""Simulates the quota of one tenant over many nodes, and checks every sliding window against the limit.

Each control plane node has a real `QuotaAllocator` and `QuotaShare`. Data plane nodes are reduced to their
requests. Control plane nodes are killed and restarted, partitioned from each other, and leave and rejoin the
view. Messages take time and are lost at partitions. A long run is started with

    python -m tests.control_plane_process.quota_simulation --runs 10000
"""

from __future__ import annotations

import argparse
import heapq
import sys
from collections import deque
from collections.abc import Callable
from itertools import count
from random import Random

from msgspec import Struct, field

from reedspoke.common.messages import QuotaOutcome, QuotaRequest
from reedspoke.common.quota_rule import LAG_S, QuotaRule, window_limit
from reedspoke.common.tenants import Tenant
from reedspoke.control_plane.peers.messages import QuotaLoanRequest
from reedspoke.control_plane.quota.allocator import QuotaAllocator, QuotaEffect, SendResponse
from reedspoke.control_plane.quota.share import QuotaShare
from reedspoke.data_plane.quota_outage import OutageAllowance

TENANT = "t"
TICK_S = 0.05
REPAIR_S = 1.2  # time until the view excludes a lost node
VIEW_LAG_S = 0.05  # the longest time until a member receives a new view
CONTACT_S = 0.05  # age of the latest contact with a majority
WARM_UP_S = 8.0
OUTAGE_SHARE = 0.5  # share of the runs in which all control plane nodes are lost at once
MAX_LOST = 2  # the most control plane nodes lost at once, otherwise


class SimulationParameters(Struct, frozen=True):
    """The parameters of one run."""

    controls: int
    edges: int
    rate: float
    burst: float
    slack: float
    mean_units: float
    demand: float  # as a multiple of the rate, outside of the surge
    surge: float
    skew: float  # 0: all edges send equal load; close to 1: a few send nearly all
    faults: int
    seconds: float = 30.0

    def rule(self) -> QuotaRule:
        """Return the quota rule with the parameters of a deployment."""
        return QuotaRule(8.0, 0.1, self.slack)


def draw_parameters(random: Random) -> SimulationParameters:
    """Draw the parameters of a deployment with faults."""
    rate = random.choice((20.0, 300.0, 30_000.0, 280_000.0))
    return SimulationParameters(
        controls=random.choice((3, 5, 8)),
        edges=random.choice((6, 30, 85)),
        rate=rate,
        burst=rate * random.choice((0.0, 0.3, 1.0)),
        slack=rate * random.choice((0.0, 0.4, 3.0)),
        mean_units=rate * random.choice((0.01, 0.05, 0.15)),
        demand=random.choice((0.5, 0.77, 0.95)),
        surge=random.choice((1.0, 3.0, 8.0)),
        skew=random.choice((0.0, 0.5, 0.9)),
        faults=random.choice((0, 2, 5)),
    )


class Control(Struct, eq=False):
    """One control plane node."""

    address: str
    allocator: QuotaAllocator
    share: QuotaShare
    majority_as_of: float | None = None
    is_up: bool = True
    is_partitioned: bool = False  # from the other control plane nodes


class Arrival(Struct, frozen=True):
    """The arrival of a granted request at its worker."""

    at: float
    units: float


class SimulationResult(Struct):
    """The results of one run."""

    bound: float
    arrivals: list[Arrival] = field(default_factory=list)
    requested: float = 0.0  # units, after the warm-up
    granted: float = 0.0

    def max_window(self, window_s: float) -> float:
        """Return the most units that arrived within any window."""
        inside: deque[Arrival] = deque()
        total = worst = 0.0
        for arrival in sorted(self.arrivals, key=lambda item: item.at):
            inside.append(arrival)
            total += arrival.units
            while inside[0].at <= arrival.at - window_s:
                total -= inside.popleft().units
            worst = max(worst, total)
        return worst


class Simulation:
    """One run, determined by its seed."""

    def __init__(self, parameters: SimulationParameters, seed: int) -> None:
        self.parameters = parameters
        self.random = Random(seed)
        self.now = 0.0
        self.result = SimulationResult(window_limit(parameters.rate, parameters.burst, parameters.rule()))
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._view = [f"c{number}" for number in range(parameters.controls)]
        self._controls = {address: self._new_control(address) for address in self._view}
        self._requests: dict[int, tuple[float, list[str]]] = {}
        for control in self._controls.values():
            control.share.set_voters(frozenset(self._view), 0.0)
        self._edge_of: dict[int, tuple[int, bool]] = {}  # with whether the quota was reported as spent
        self._outages = [OutageAllowance(parameters.rule().window_s) for _ in range(parameters.edges)]
        self._weights = [(1 - parameters.skew) ** number + 0.02 for number in range(parameters.edges)]
        self._sessions = [
            self.random.sample(self._view, min(2, len(self._view))) for _ in range(parameters.edges)
        ]

    def run(self) -> SimulationResult:
        """Run the simulation to its end and return its results."""
        self._tick()
        self._next_request()
        if self.random.random() < OUTAGE_SHARE:
            self._at(self.random.uniform(WARM_UP_S, self.parameters.seconds - 3), self._lose_all)
        for _ in range(self.parameters.faults):
            at = self.random.uniform(WARM_UP_S, self.parameters.seconds)
            self._at(at, self._inject_fault)
        while self._queue and self._queue[0][0] <= self.parameters.seconds:
            self.now, _, action = heapq.heappop(self._queue)
            action()
        return self.result

    # ---- time and messages ----

    def _at(self, at: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at, next(self._numbers), action))

    def _later(self, action: Callable[[], None]) -> None:
        self._at(self.now + self.random.uniform(0.0005, 0.006), action)

    def _tick(self) -> None:
        reachable = [item for item in self._controls.values() if item.is_up and not item.is_partitioned]
        for control in reachable:
            if control.address in self._view and len(reachable) > len(self._view) // 2:
                control.majority_as_of = self.now - CONTACT_S
        for control in self._controls.values():
            if control.is_up:
                control.allocator.refresh(self.now)
                self._carry_out(control, control.allocator.expire_loans(self.now))
        self._at(self.now + TICK_S, self._tick)

    def _expire_loans_later(self, control: Control) -> None:
        next_expiry = control.allocator.next_expiry()
        if next_expiry is not None:
            self._at(next_expiry, lambda: self._expire_loans(control))

    def _expire_loans(self, control: Control) -> None:
        if control.is_up and self._controls[control.address] is control:
            self._carry_out(control, control.allocator.expire_loans(self.now))

    def _carry_out(self, control: Control, effects: list[QuotaEffect]) -> None:
        if any(not isinstance(effect, SendResponse) for effect in effects):
            self._expire_loans_later(control)
        for effect in effects:
            if isinstance(effect, SendResponse):
                response = effect.response
                self._later(lambda sent=response: self._handle_response(sent.request_id, sent.outcome))  # type: ignore[misc]
                continue
            receiver, message = self._controls[effect.address], effect.message
            if control.is_partitioned or receiver.is_partitioned:
                continue
            if isinstance(message, QuotaLoanRequest):
                self._later(lambda to=receiver, sent=message: self._handle_loan_request(control, to, sent))  # type: ignore[misc]
            else:
                self._later(lambda to=receiver, sent=message: self._handle_loan(to, sent))  # type: ignore[misc]

    def _handle_loan_request(self, sender: Control, receiver: Control, message: QuotaLoanRequest) -> None:
        if receiver.is_up:
            effects = receiver.allocator.handle_loan_request(sender.address, message, self.now)
            self._carry_out(receiver, effects)

    def _handle_loan(self, receiver: Control, message: object) -> None:
        if receiver.is_up:
            self._carry_out(receiver, receiver.allocator.handle_loan(message, self.now))  # type: ignore[arg-type]

    # ---- requests ----

    def _demand(self) -> float:
        surges = 12.0 <= self.now < 22.0
        return self.parameters.rate * (self.parameters.surge if surges else self.parameters.demand)

    def _next_request(self) -> None:
        pause = self.random.expovariate(self._demand() / self.parameters.mean_units)
        self._at(self.now + pause, self._request)

    def _request(self) -> None:
        self._next_request()
        units = self.parameters.mean_units * self.random.lognormvariate(-0.3, 0.77)
        edge = self.random.choices(range(self.parameters.edges), self._weights)[0]
        number = next(self._numbers)
        self._requests[number] = (units, list(self._sessions[edge]))
        self._edge_of[number] = (edge, False)
        if self.now >= WARM_UP_S:
            self.result.requested += units
        self._request_quota(number)

    def _request_quota(self, number: int) -> None:
        units, sessions = self._requests[number]
        if not sessions:
            self._use_outage_allowance(number)
            return
        control = self._controls[sessions.pop(0)]
        request = QuotaRequest(number, TENANT, units)
        if control.is_up:
            self._later(lambda: self._handle_request(control, request))
        else:
            self._request_quota(number)

    def _use_outage_allowance(self, number: int) -> None:
        """Use the edge's outage allowance for a request that no node has granted; otherwise refuse it."""
        units, _ = self._requests.pop(number)
        edge, was_spent = self._edge_of.pop(number)
        if not was_spent and self._outages[edge].admit(TENANT, units, self.now):
            self._arrive(units)

    def _arrive(self, units: float) -> None:
        self.result.arrivals.append(Arrival(self.now + self.random.uniform(0, LAG_S - 0.01), units))
        if self.now >= WARM_UP_S:
            self.result.granted += units

    def _handle_request(self, control: Control, request: QuotaRequest) -> None:
        if control.is_up:
            self._carry_out(control, control.allocator.handle_request(None, request, self.now))

    def _handle_response(self, number: int, outcome: QuotaOutcome) -> None:
        if number not in self._requests:
            return
        edge, _ = self._edge_of[number]
        if outcome is QuotaOutcome.SPENT:
            self._outages[edge].record_spent(TENANT, self.now)
            self._edge_of[number] = (edge, True)
        if outcome is not QuotaOutcome.GRANTED:
            self._request_quota(number)
            return
        units, _ = self._requests.pop(number)
        del self._edge_of[number]
        self._outages[edge].record_grant(TENANT, units, self.now)
        self._arrive(units)

    # ---- faults ----

    def _new_control(self, address: str) -> Control:
        share = QuotaShare(address, MAX_LOST, self.now)
        made: list[Control] = []
        allocator = QuotaAllocator(
            self.parameters.rule(), share, lambda: made[0].majority_as_of, self._reachable, self.now
        )
        tenant = Tenant(name=TENANT, rate_per_s=self.parameters.rate, burst=self.parameters.burst)
        allocator.configure({TENANT: tenant}, self.now)
        made.append(Control(address, allocator, share))
        return made[0]

    def _reachable(self) -> list[str]:
        return [name for name, item in self._controls.items() if item.is_up and not item.is_partitioned]

    def _lost(self) -> int:
        return sum(not item.is_up or item.is_partitioned for item in self._controls.values())

    def _inject_fault(self) -> None:
        if self._lost() >= min(MAX_LOST, (self.parameters.controls - 1) // 2):
            return
        address = self.random.choice([name for name, item in self._controls.items() if item.is_up])
        duration_s = self.random.uniform(0.2, 9.0)
        if self.random.random() < 0.5:
            self._controls[address].is_up = False
            self._at(self.now + duration_s, lambda: self._restart(address))
        else:
            self._controls[address].is_partitioned = True
            self._at(self.now + duration_s, lambda: self._reconnect(address))
        self._at(self.now + REPAIR_S, lambda: self._leave_view(address))

    def _lose_all(self) -> None:
        """Kill all control plane nodes at once and restart each one after a random delay."""
        for address, control in self._controls.items():
            control.is_up = False
            self._at(self.now + self.random.uniform(0.5, 1.6), lambda name=address: self._restart(name))  # type: ignore[misc]

    def _restart(self, address: str) -> None:
        self._controls[address] = self._new_control(address)
        self._join(address)

    def _reconnect(self, address: str) -> None:
        self._controls[address].is_partitioned = False
        self._join(address)

    def _leave_view(self, address: str) -> None:
        control = self._controls[address]
        if address in self._view and (not control.is_up or control.is_partitioned):
            self._view = [name for name in self._view if name != address]
            self._announce_view()

    def _join(self, address: str) -> None:
        if address not in self._view:
            self._view = sorted([*self._view, address])
        self._announce_view()

    def _announce_view(self) -> None:
        voters = frozenset(self._view)
        for address in self._controls:
            delay = self.random.uniform(0, VIEW_LAG_S)
            self._at(self.now + delay, lambda name=address: self._receive_view(name, voters))  # type: ignore[misc]

    def _receive_view(self, address: str, voters: frozenset[str]) -> None:
        control = self._controls[address]
        if control.is_up and not control.is_partitioned and voters == frozenset(self._view):
            control.share.set_voters(voters, self.now)


def run_seed(seed: int) -> tuple[SimulationParameters, float]:
    """Run a seed, and return its parameters and the ratio of its worst window to the limit."""
    parameters = draw_parameters(Random(seed))
    result = Simulation(parameters, seed).run()
    return parameters, result.max_window(parameters.rule().window_s) / result.bound


def main() -> int:
    """Run many seeds and print those that exceed the limit; the exit status is 1 if any does."""
    parser = argparse.ArgumentParser(description="Simulates quotas and checks every sliding window.")
    parser.add_argument("--runs", type=int, default=1000)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    worst, failed = 0.0, 0
    for seed in range(options.seed, options.seed + options.runs):
        parameters, used = run_seed(seed)
        worst = max(worst, used)
        if used > 1:
            failed += 1
            print(f"seed {seed}: {used:.3f} of the limit, {parameters}")
    print(f"{options.runs} runs, {failed} over the limit, worst window {worst:.3f} of the limit")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
