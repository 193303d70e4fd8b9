"""Simulated operators: changes in flight, lost answers, and resubmissions at other machines."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field
from random import Random

from msgspec import json

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.effects import PutCompleted
from tests.control_plane.disturbances import STABLE_AFTER_S
from tests.control_plane.simulation import Simulation

ANSWER_TIMEOUT_S = 1.0  # an operator without an answer attempts another machine after this
FIRST_BACKOFF_S = 0.05
MAX_BACKOFF_S = 0.5
BACKOFF_FACTOR = 1.6
MAX_ORDERS = 8  # number of changes in flight at a time
CHECK_INTERVAL_S = 0.1
SMALL_ACK_S = 4.0
LARGE_ACK_S = 5.0
LARGE_CORE = 5
LARGEST_STEP = 3  # largest difference between successive generations
FINAL_REJECTIONS = (ErrorCode.CONFIGURATION_STALE_MATCH, ErrorCode.CONFIGURATION_OLD_GENERATION)


@dataclass(eq=False)
class Order:
    """A change that its operator submits until it gets a final answer."""

    match: int
    generation: int
    document: bytes
    began: float
    backoff_s: float = FIRST_BACKOFF_S
    attempts: dict[str, int] = field(default_factory=dict)
    call: int | None = None  # the call in flight
    ended: bool = False


def document_of(generation: int, number: int) -> bytes:
    """A configuration that is unique by its number."""
    limits = {"max_header_bytes": 16384 + number}
    return json.encode({"generation": generation, "routes": [], "upstreams": [], "limits": limits})


class Operators:
    """All operators. `answer_loss` is the share of answers that are lost."""

    def __init__(self, simulation: Simulation) -> None:
        self.answer_loss = 0.0
        self.orders: list[Order] = []
        self._simulation = simulation
        self._random = Random(f"operators {simulation.random.random()}")
        self._documents = itertools.count(1)
        self._by_call: dict[int, Order] = {}
        large = len(simulation.machines) >= LARGE_CORE
        self._ack_s = LARGE_ACK_S if large else SMALL_ACK_S
        simulation.on_put_answer = self._answered
        self._check()

    # ---- calls ----

    def order(
        self, match: int, generation: int, document: bytes | None = None, at: str | None = None
    ) -> Order:
        """Submit a change, at any machine or first at the given one."""
        if document is None:
            document = document_of(generation, next(self._documents))
        order = Order(match, generation, document, self._simulation.now)
        self.orders.append(order)
        self._send(order, at)
        return order

    def order_next(self) -> None:
        """Submit a change that builds on the newest generation that an operator knows."""
        match = self.newest()
        self.order(match, match + self._random.randint(1, LARGEST_STEP))

    def race(self, count: int) -> list[Order]:
        """Submit competing changes with one match and one generation, each at another machine if possible."""
        match = self.newest()
        generation = match + self._random.randint(1, LARGEST_STEP)
        addresses = list(self._simulation.machines)
        self._random.shuffle(addresses)
        places = itertools.cycle(addresses)
        return [self.order(match, generation, at=next(places)) for _ in range(count)]

    def again(self) -> None:
        """Submit an acknowledged change again, the newest more often than others."""
        done = [change for change in self._simulation.judge.changes.items() if change[1].acknowledged]
        if done:
            document, change = done[-1] if self._random.random() < 0.5 else self._random.choice(done)
            self.order(change.match, change.generation, document)

    def stale(self) -> None:
        """Submit a change with a stale match or an old generation."""
        newest = self.newest()
        if newest and self._random.random() < 0.5:
            self.order(self._random.randint(0, newest - 1), newest + 1)
        else:
            self.order(newest, self._random.randint(0, newest))

    def read(self) -> None:
        """Submit a read to any running machine."""
        running = self._simulation.running()
        if running:
            self._simulation.get(self._random.choice(running).address)

    def newest(self) -> int:
        """The newest generation that any operator knows."""
        return self._simulation.judge.newest_known

    def open_orders(self) -> list[Order]:
        """Changes without a final answer."""
        return [order for order in self.orders if not order.ended]

    # ---- one order ----

    def _send(self, order: Order, at: str | None = None) -> None:
        if order.ended:
            return
        simulation = self._simulation
        address = at or self._next_machine(order)
        order.attempts[address] = order.attempts.get(address, 0) + 1
        machine = simulation.machines[address]
        if machine.replica is None or machine.shutting_down:
            self._retry_later(order)
            return

        def begin(call: int) -> None:
            order.call = call
            self._by_call[call] = order
            simulation.at(simulation.now + ANSWER_TIMEOUT_S, lambda: self._time_out(order, call))

        simulation.put(address, order.match, order.generation, order.document, on_call=begin)

    def _next_machine(self, order: Order) -> str:
        """A machine with the fewest submissions of this change."""
        addresses = list(self._simulation.machines)
        self._random.shuffle(addresses)
        return min(addresses, key=lambda address: order.attempts.get(address, 0))

    def _retry_later(self, order: Order) -> None:
        order.call = None
        pause = order.backoff_s * (0.5 + self._random.random())
        order.backoff_s = min(MAX_BACKOFF_S, order.backoff_s * BACKOFF_FACTOR)
        self._simulation.at(self._simulation.now + pause, lambda: self._send(order))

    def _time_out(self, order: Order, call: int) -> None:
        if order.call == call and not order.ended:
            del self._by_call[call]
            self._retry_later(order)

    def _answered(self, answer: PutCompleted) -> None:
        order = self._by_call.get(answer.request_id)
        if order is None or self._random.random() < self.answer_loss:
            return
        del self._by_call[answer.request_id]
        if answer.error is None or answer.error in FINAL_REJECTIONS:
            order.ended = True
            order.call = None
        else:
            self._retry_later(order)

    # ---- the bound on acknowledgements ----

    def _check(self) -> None:
        simulation = self._simulation
        simulation.at(simulation.now + CHECK_INTERVAL_S, self._check)
        settled_from = simulation.settled_since() + STABLE_AFTER_S
        for order in self.open_orders():
            change = simulation.judge.changes.get(order.document)
            if change is not None and (change.acknowledged or change.rejected):
                continue
            waited = simulation.now - max(order.began, settled_from)
            assert waited <= self._ack_s, (
                f"no answer to {order.generation} on {order.match} for {waited:.1f} s"
            )
