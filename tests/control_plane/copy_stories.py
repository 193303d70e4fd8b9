"""Building blocks of tests in which the copies of the configuration are lost and return one by one."""

from __future__ import annotations

from collections.abc import Callable

from reedspoke.common.errors import ErrorCode
from reedspoke.control_plane.replication.view import View
from tests.control_plane.simulated_parts import IdleComponent, Machine
from tests.control_plane.simulation import Simulation

RECOVERY_S = 12.0  # `recovery_s` of the smallest deployments
REPAIR_LIMIT_S = 4.0


class Appended(IdleComponent):
    """Calls `action` once, as the machine at `address` enters a view after `since` that appends it."""

    def __init__(self, address: str, since: int, action: Callable[[], None]) -> None:
        self._address = address
        self._since = since
        self._action: Callable[[], None] | None = action

    def view_changed(self, machine: Machine, view: View) -> None:
        """A replica acts in a newer view."""
        link = view.chain[-1]
        is_appended = link.member.address == self._address and link.joined_view == view.number > self._since
        if self._action is None or machine.address != self._address or not is_appended:
            return
        action, self._action = self._action, None
        action()

    @property
    def done(self) -> bool:
        """Whether the action has been called."""
        return self._action is None


def when_appended(simulation: Simulation, address: str, action: Callable[[], None]) -> Appended:
    """Call `action` as the machine enters the view that appends it, before it has got its copy."""
    present = simulation.newest_view()
    assert present is not None
    component = Appended(address, present.number, action)
    simulation.components.append(component)
    return component


def wait_for_chain(simulation: Simulation, addresses: list[str]) -> None:
    """Wait until the chain has these members in this order."""
    reached = simulation.run_until(lambda: simulation.chain() == addresses, REPAIR_LIMIT_S)
    assert reached, f"the chain is {simulation.chain()}"


def change(simulation: Simulation, address: str, generation: int) -> None:
    """Have a change acknowledged on top of the generation before it."""
    document = f"change {generation}".encode()
    assert simulation.put_and_wait(address, generation - 1, generation, document) is None


def recovers(simulation: Simulation, generation: int) -> bool:
    """Whether some machine reads back this generation, and a change on top of it is acknowledged, in time."""
    deadline = simulation.now + RECOVERY_S
    number = 0
    while simulation.now < deadline:
        for address in [machine.address for machine in simulation.running()]:
            number += 1
            read = simulation.get_and_wait(address)
            if read is None or read.error is ErrorCode.NO_QUORUM:
                continue
            assert read.committed is not None
            assert read.committed.generation >= generation, "an older configuration is read"
            document = f"on top of {generation}, try {number}".encode()
            newest = max(each.generation for each in simulation.judge.changes.values())
            if simulation.put_and_wait(address, read.committed.generation, newest + 1, document) is None:
                return True
        simulation.run(0.1)
    return False
