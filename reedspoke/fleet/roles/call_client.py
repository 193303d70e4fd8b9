"""The HTTP client of periodic calls.

Each call is a POST with the fencing token, so that the target can reject calls of earlier holders.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from reedspoke.fleet.events import CallRoleTarget, RoleCallFinished
from reedspoke.net.runtime import Runtime

SECOND_US = 1_000_000
CONNECTION_ERROR = 599  # tornado's status without an HTTP response
MAX_TOKEN = (1 << 63) - 1

log = logging.getLogger("reedspoke")


@dataclass(slots=True, frozen=True)
class CallTarget:
    """The URL of a role's calls, and the time-out of a call."""

    url: str
    timeout_us: int


class RoleCallClient:
    """Carries out `CallRoleTarget` effects and emits `RoleCallFinished` at the end of each call."""

    def __init__(self, runtime: Runtime, scheduler: str, targets: Mapping[str, CallTarget]) -> None:
        """`scheduler` is sent to the target in `X-Holder`; `targets` is keyed by role."""
        self.runtime, self.scheduler, self.targets = runtime, scheduler, targets
        self._tasks: set[asyncio.Task[None]] = set()

    def effects(self) -> dict[type, Callable[[Any], None]]:
        """Returns the handlers of the effects that the client carries out."""
        return {CallRoleTarget: self._start_call}

    def open(self) -> None:
        """Does nothing: each call opens its own connection."""

    def reload(self) -> None:
        """Does nothing: the roles are read only at the start."""

    def close(self) -> None:
        """Cancels the open calls."""
        for task in self._tasks:
            task.cancel()

    def _start_call(self, effect: CallRoleTarget) -> None:
        task = asyncio.ensure_future(self._call(effect))
        self._tasks.add(task)  # the event loop keeps only weak references to tasks
        task.add_done_callback(self._tasks.discard)

    async def _call(self, effect: CallRoleTarget) -> None:
        status, later_token = 0, 0
        # The process may have been stopped since the decision, so the lease is checked again before the call.
        if self.runtime.clock.now() < effect.expires_at:
            status, later_token = await self._fetch(effect)
        self.runtime.emit(RoleCallFinished(effect.role, status, min(later_token, MAX_TOKEN)))

    async def _fetch(self, effect: CallRoleTarget) -> tuple[int, int]:
        """Returns the HTTP status (0 without a response) and the higher token known to the target (or 0)."""
        from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest

        target = self.targets[effect.role]
        timeout_s = target.timeout_us / SECOND_US
        headers = {
            "Fencing-Token": str(effect.token), "X-Duty": effect.role, "X-Holder": self.scheduler,
            "Content-Type": "text/plain",
        }  # fmt: skip
        request = HTTPRequest(
            target.url, "POST", headers, b"", connect_timeout=timeout_s, request_timeout=timeout_s,
            follow_redirects=False,
        )  # fmt: skip
        try:
            answer = await AsyncHTTPClient().fetch(request, raise_error=False)
        except (HTTPClientError, OSError) as error:
            log.warning("role %s: HTTP call failed: %s", effect.role, error)
            return 0, 0
        status = answer.code if answer.code < CONNECTION_ERROR else 0
        token = answer.headers.get("Fencing-Token", "") if answer.code == HTTPStatus.CONFLICT else ""
        return status, int(token) if token.isascii() and token.isdigit() else 0
