"""The booking node of a scheduler in a simulated fleet."""

from __future__ import annotations

from reedspoke.booking.limits import BookingLimits
from reedspoke.booking.settings import LEADER_ROLE
from reedspoke.lab.virtual import SECOND, Play


def test_a_leader_whose_storage_fails_gives_up_its_role() -> None:
    """Guards against a leader that keeps its lease although it cannot store changes.

    It committed nothing, so the outcome of every command was unknown until its restart.
    """
    play = Play(3, 1, SECOND // 2, SECOND, booking_limits=BookingLimits({"north": 6}, {}, step_s=1))
    play.run(5 * SECOND)

    def leaders() -> list[int]:
        return [
            member
            for member, simulated in play.processes.items()
            if simulated.booking_node
            and simulated.booking_node.replicated_log
            and simulated.booking_node.replicated_log.serving
        ]

    (first,) = leaders()
    process = play.processes[first]
    assert process.booking_node is not None
    process.booking_node.fail_storage(process.clock())
    process.flush()
    play.run(6 * SECOND)
    (second,) = leaders()
    assert second != first
    assert not process.duties.holds(LEADER_ROLE, process.clock())
