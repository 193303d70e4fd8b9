"""Settings and fixtures for all tests."""

from collections.abc import Generator, Iterator

import hypothesis
import pytest

from reedspoke.telemetry.invariants import monitor
from tests.acme.world import world
from tests.known_red import heed
from tests.peers import start
from tests.process_logs import log_sections

__all__ = ["start", "world"]

# Examples have no deadline: under load, a test that took 250 ms once and 0.04 ms the next time failed as
# flaky. The results of the examples are checked all the same.
hypothesis.settings.register_profile(
    "reedspoke", deadline=None, print_blob=True, suppress_health_check=[hypothesis.HealthCheck.too_slow]
)
hypothesis.settings.load_profile("reedspoke")


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    heed(config, items)


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(
    item: pytest.Item, call: pytest.CallInfo[None]
) -> Generator[None, pytest.TestReport, pytest.TestReport]:
    """Add the logs of the test's processes to the report of a failed test."""
    report = yield
    folder = getattr(item, "funcargs", {}).get("tmp_path")
    if report.failed and folder is not None:
        report.sections += log_sections(folder)
    return report


@pytest.fixture(autouse=True)
def invariants_hold() -> Iterator[None]:
    """Fail a test during which code in this process has violated an invariant."""
    monitor.reset_violations()
    yield
    broken = monitor.reset_violations()
    assert not broken, f"invariants were violated: {broken}"
