"""Property-based tests are judged by their results, not by the time that an example takes."""

from __future__ import annotations

import time

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

slow_once = [True]


def test_the_profile_is_active() -> None:
    assert settings.default is not None
    assert settings.default.deadline is None
    assert HealthCheck.too_slow in settings.default.suppress_health_check


@given(st.integers())
def test_one_example_may_take_long(number: int) -> None:
    """Guards against flaky failures: with a deadline, a slow first example raised DeadlineExceeded and the
    repetition did not."""
    if slow_once:
        slow_once.pop()
        time.sleep(0.25)
    assert isinstance(number, int)
