from collections.abc import Generator, Iterator

import hypothesis
import pytest

from reedspoke.telemetry.invariants import monitor
from tests.acme.world import world
from tests.known_red import heed
from tests.peers import start
from tests.process_logs import log_sections

__all__ = ["start", "world"]

# How long an example takes is the machine's business: beside load, a test that took 250 ms once and
# 0.04 ms the next time failed as flaky. What an example shows is judged as before.
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
    """A test that fails shows what its processes have logged."""
    report = yield
    folder = getattr(item, "funcargs", {}).get("tmp_path")
    if report.failed and folder is not None:
        report.sections += log_sections(folder)
    return report


@pytest.fixture(autouse=True)
def invariants_hold() -> Iterator[None]:
    """A test fails if the code under test, in this process, has broken an invariant."""
    monitor.reset_violations()
    yield
    broken = monitor.reset_violations()
    assert not broken, f"invariants were violated: {broken}"
