"""Work in the background begins again after an unexpected error."""

from __future__ import annotations

import asyncio

import pytest

from reedspoke.common.background import keep_running
from reedspoke.common.unhandled_errors import unhandled_errors


class Work:
    """Fails a few times, then returns."""

    def __init__(self, failures: int, error: BaseException) -> None:
        self.failures = failures
        self.error = error
        self.begun = 0

    async def run(self) -> None:
        self.begun += 1
        if self.begun <= self.failures:
            raise self.error


def test_failed_work_is_restarted_until_it_returns() -> None:
    work = Work(3, ZeroDivisionError())
    before = unhandled_errors.count
    asyncio.run(keep_running("work", work.run, backoff_s=0))
    assert work.begun == 4
    assert unhandled_errors.count == before + 3


def test_a_cancellation_ends_it() -> None:
    work = Work(1, asyncio.CancelledError())
    with pytest.raises(asyncio.CancelledError):
        asyncio.run(keep_running("work", work.run, backoff_s=0))
    assert work.begun == 1
