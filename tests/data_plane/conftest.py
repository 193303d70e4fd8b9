"""Fixtures: a data plane without sockets, and the real process, for each test."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack
from pathlib import Path
from typing import Any

import pytest

from tests.data_plane.plane import Plane, fresh_plane
from tests.data_plane.stage import Stage, fresh_stage
from tests.data_plane.world import World, fresh_world


@pytest.fixture
def worlds() -> Iterator[Callable[..., World]]:
    """A factory of worlds that are closed when the test ends."""
    with ExitStack() as stack:

        def make(**settings: Any) -> World:
            return stack.enter_context(fresh_world(**settings))

        yield make


@pytest.fixture
def world(worlds: Callable[..., World]) -> World:
    return worlds()


@pytest.fixture
def plane() -> Iterator[Plane]:
    with fresh_plane() as plane:
        yield plane


@pytest.fixture
def stage(tmp_path: Path) -> Iterator[Stage]:
    with fresh_stage(tmp_path) as stage:
        yield stage
