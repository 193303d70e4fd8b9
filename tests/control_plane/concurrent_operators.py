"""Operators who put different documents under one number on top of one version, until each knows its end."""

from __future__ import annotations

from dataclasses import dataclass, field

from reedspoke.common.errors import ErrorCode
from tests.control_plane.simulation import Simulation

REFUSED = {ErrorCode.CONFIGURATION_STALE_MATCH, ErrorCode.CONFIGURATION_OLD_GENERATION}
ANSWER_LOST = 0.4  # how often an operator does not get the answer and sends again


@dataclass
class Order:
    """One operator's change, with every call that sent it."""

    match: int
    generation: int
    document: bytes
    calls: list[int] = field(default_factory=list)
    finished: bool = False


class Contest:
    """Some operators at one core; `check` holds all answers so far against the rules."""

    def __init__(self, simulation: Simulation, operators: int, match: int, generation: int) -> None:
        self._simulation = simulation
        self._random = simulation.random
        self.orders = [
            Order(match, generation, f"generation {generation} of operator {number}".encode())
            for number in range(1, operators + 1)
        ]

    def send(self) -> None:
        """Every operator without an end sends its order, to any scheduler and in any order."""
        for order in self._random.sample(self.orders, len(self.orders)):
            if not order.finished:
                self._send(order, self._random.choice(list(self._simulation.machines)))

    def read_answers(self) -> None:
        """Operators learn what came, unless the answer was lost."""
        for order in self.orders:
            clear = self._clear_answers(order)
            if clear and self._random.random() >= ANSWER_LOST:
                order.finished = True

    def resend_all(self) -> list[ErrorCode | None]:
        """Each order is sent once more, whatever its end was; the answers, in the order of operators."""
        return [self._resend(order) for order in self.orders]

    def check(self) -> None:
        """At most one order is ever acknowledged, and none has both clear answers."""
        ends = [self._clear_answers(order) for order in self.orders]
        assert sum("acknowledged" in end for end in ends) <= 1, ends
        assert all(len(end) <= 1 for end in ends), ends

    def winner(self) -> Order:
        """The order that was acknowledged."""
        (order,) = [order for order in self.orders if "acknowledged" in self._clear_answers(order)]
        return order

    def _send(self, order: Order, address: str) -> int:
        call = self._simulation.put(address, order.match, order.generation, order.document)
        order.calls.append(call)
        return call

    def _resend(self, order: Order) -> ErrorCode | None:
        running = [machine.address for machine in self._simulation.running()]
        call = self._send(order, self._random.choice(running))
        answers = self._simulation.judge.put_answers
        assert self._simulation.run_until(lambda: call in answers, 2.0)
        return answers[call].error

    def _clear_answers(self, order: Order) -> set[str]:
        answers = self._simulation.judge.put_answers
        errors = {answers[call].error for call in order.calls if call in answers}
        ends = {"acknowledged"} if None in errors else set()
        return ends | ({"refused"} if errors & REFUSED else set())
