"""Version vectors: for each origin, the number up to which all of its adds are there."""

from __future__ import annotations

from collections.abc import Mapping

from reedspoke.control_plane.tallies.messages import Vector


def covers(vector: Mapping[str, int], required: Mapping[str, int]) -> bool:
    """Whether everything up to `required` is there."""
    return all(vector.get(origin, 0) >= number for origin, number in required.items())


def joined(first: Mapping[str, int], second: Mapping[str, int]) -> Vector:
    """The vector of who has what either has."""
    vector = dict(first)
    for origin, number in second.items():
        vector[origin] = max(number, vector.get(origin, 0))
    return vector


def met(first: Mapping[str, int], second: Mapping[str, int]) -> Vector:
    """The vector of what both have."""
    return {origin: min(number, second.get(origin, 0)) for origin, number in first.items()}
