"""What is logged while a chain cannot be repaired; otherwise a chain that waits looks like a healthy one."""

from __future__ import annotations

import pytest

from reedspoke.control_plane.replication.effects import LogEvent
from reedspoke.control_plane.views.next_view import RepairBlock, find_repair_block
from tests.control_plane.simulated_parts import DiskMode
from tests.control_plane.strength import strong_core
from tests.control_plane.view_builders import member_named, snapshot_of, view_of

BLOCKED_FOR_S = 3.0


@pytest.mark.parametrize(
    ("chain", "reachable", "incomplete", "tolerated", "block"),
    [
        ("abc", "abc", "", 1, None),
        ("abc", "ab", "", 1, None),
        ("ab", "b", "b", 1, RepairBlock.NO_COMPLETE_MEMBER),
        ("ab", "a", "", 1, RepairBlock.TOO_FEW_MEMBERS),
        ("abc", "a", "", 2, RepairBlock.TOO_FEW_MEMBERS),
        ("abc", "ac", "c", 2, RepairBlock.TOO_FEW_MEMBERS),
    ],
)
def test_the_block_of_a_repair_is_named(
    chain: str, reachable: str, incomplete: str, tolerated: int, block: RepairBlock | None
) -> None:
    snapshot = snapshot_of(reachable, incomplete=incomplete, tolerated=tolerated)
    assert find_repair_block(view_of(chain), snapshot) is block


def test_a_chain_that_a_joiner_completes_is_not_blocked() -> None:
    assert find_repair_block(view_of("ab"), snapshot_of("a", joiners=[member_named("c")])) is None


def test_a_block_is_logged_once_with_the_condition_of_each_member() -> None:
    """One machine of three has a full disk, another is down: a majority votes, and one member is too few."""
    simulation = strong_core(1, 3, 1)
    lines: list[tuple[str, LogEvent]] = []
    simulation.on_log = lambda address, line: lines.append((address, line))
    first, second, third = simulation.chain()
    simulation.set_disk(third, DiskMode.FULL)
    simulation.put(first, 1, 2, b"second")
    assert simulation.run_until(lambda: simulation.chain() == [first, second], 3.0)
    simulation.lose_power(first, restart_after=None)
    simulation.run(BLOCKED_FOR_S)
    ((address, line),) = [each for each in lines if each[1].text == "chain cannot be repaired"]
    assert address == second
    assert line.fields["reason"] == RepairBlock.TOO_FEW_MEMBERS.value
    assert line.fields["members"] == {first: "unreachable", second: "complete"}
