"""Tests of drawn examples are judged by what they show, not by how long the machine took."""

from __future__ import annotations

import time

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

slow_once = [True]


def test_the_profile_is_in_force() -> None:
    assert settings.default is not None
    assert settings.default.deadline is None
    assert HealthCheck.too_slow in settings.default.suppress_health_check


@given(st.integers())
def test_one_example_may_take_long(number: int) -> None:
    """Before, this failed as flaky: DeadlineExceeded, then fast."""
    if slow_once:
        slow_once.pop()
        time.sleep(0.25)
    assert isinstance(number, int)
