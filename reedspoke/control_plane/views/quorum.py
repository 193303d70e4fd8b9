"""Majority quorums: any two majorities of the same voters have a voter in common."""

from __future__ import annotations

from collections.abc import Mapping

from reedspoke.control_plane.replication.view import Member

NEVER = float("-inf")  # earlier than any other time


def majority_size(count: int) -> int:
    """The smallest number of voters that is more than half of `count`."""
    return count // 2 + 1


def majority_time(times: Mapping[str, float], voters: tuple[Member, ...]) -> float:
    """The latest time that the times of a majority of `voters` reach or exceed; `NEVER` if there is none.

    `times` maps folder ids to seconds of one clock; a voter without an entry counts as `NEVER`.
    """
    latest_first = sorted((times.get(voter.folder_id, NEVER) for voter in voters), reverse=True)
    return latest_first[majority_size(len(voters)) - 1]
