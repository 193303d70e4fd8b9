"""A data plane without sockets for each test."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import ExitStack
from typing import Any

import pytest

from tests.data_plane.world import World, fresh_world


@pytest.fixture
def worlds() -> Iterator[Callable[..., World]]:
    """Makes worlds that last until the test ends."""
    with ExitStack() as stack:

        def make(**settings: Any) -> World:
            return stack.enter_context(fresh_world(**settings))

        yield make


@pytest.fixture
def world(worlds: Callable[..., World]) -> World:
    return worlds()
