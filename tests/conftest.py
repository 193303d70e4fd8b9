from collections.abc import Iterator

import pytest

from reedspoke.telemetry.invariants import monitor
from tests.acme.world import world
from tests.known_red import heed
from tests.peers import start

__all__ = ["start", "world"]


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    heed(config, items)


@pytest.fixture(autouse=True)
def invariants_hold() -> Iterator[None]:
    """A test fails if the code under test, in this process, has broken an invariant."""
    monitor.forget()
    yield
    broken = monitor.forget()
    assert not broken, f"invariants were violated: {broken}"
