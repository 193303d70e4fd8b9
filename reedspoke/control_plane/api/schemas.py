"""JSON bodies of the operator API.

Names, fields and docstrings of these classes are published in `openapi/operator.json`, and
`tests/control_plane_process/test_openapi.py` compares the two: none of them changes without the API.
"""

from __future__ import annotations

from msgspec import Struct


class Accepted(Struct):
    """Body of the answer to a change that is in force."""

    generation: int


class ErrorDetail(Struct):
    """What went wrong: a number that is never reused, its name and a sentence."""

    code: int
    name: str
    message: str


class ErrorAnswer(Struct):
    """Body of every answer that is not a 200."""

    error: ErrorDetail


class TallyChange(Struct):
    """Body of an add to a tally: how much, and an id under which it counts once."""

    instance_id: str
    held_by: int


class TallyTotal(Struct):
    """Body of the answer to a read of a tally."""

    total: int


class StatusAnswer(Struct):
    """The state of this scheduler, for the command line. What it does not know is null."""

    node_name: str
    address: str
    view: int
    voters: tuple[str, ...]
    chain: tuple[str, ...]
    generation: int | None
    sequence: int | None
    edges: tuple[str, ...]
    peers: tuple[str, ...]
    workers: int | None
    workers_version: tuple[int, int]
    holds_list_duty: bool
    holds_majority: bool = False
    evacuated: list[str] | None = None
