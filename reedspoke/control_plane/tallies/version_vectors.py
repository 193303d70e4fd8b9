"""Version vectors: for each origin, the number up to which all its adds are included."""

from __future__ import annotations

from collections.abc import Mapping

from reedspoke.control_plane.tallies.messages import VersionVector


def covers(vector: Mapping[str, int], required: Mapping[str, int]) -> bool:
    """Whether `vector` includes everything up to `required`."""
    return all(vector.get(origin, 0) >= number for origin, number in required.items())


def upper_bound(first: Mapping[str, int], second: Mapping[str, int]) -> VersionVector:
    """The element-wise maximum: the vector of a node that has all that either has."""
    vector = dict(first)
    for origin, number in second.items():
        vector[origin] = max(number, vector.get(origin, 0))
    return vector


def lower_bound(first: Mapping[str, int], second: Mapping[str, int]) -> VersionVector:
    """The element-wise minimum: the vector of what both have."""
    return {origin: min(number, second.get(origin, 0)) for origin, number in first.items()}
