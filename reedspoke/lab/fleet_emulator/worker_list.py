"""The platform's list of workers: pages, a rate limit for all callers together, and a lag."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from urllib.parse import parse_qs, urlsplit

import msgspec
from msgspec import Struct

from reedspoke.lab.fleet_emulator import http_messages as http
from reedspoke.lab.fleet_emulator.http_messages import HttpConnection, Request
from reedspoke.lab.fleet_emulator.listener import HttpListener
from reedspoke.lab.fleet_emulator.worker import WorkerProfile, WorkerState

LIST_PATH = "/workers"
PAGE_SIZE = 50
TOKEN_PREFIX = "p-"
JSON = {http.CONTENT_TYPE: "application/json"}


class ListedModel(Struct, frozen=True):
    """A model that a worker serves."""

    name: str
    generation: int = 1
    adapters: tuple[str, ...] = ()


class ListedWorker(Struct, frozen=True):
    """An entry of the list."""

    instance_id: str
    upstream: str
    address: str
    zone: str
    generation: str
    capacity: int
    state: str
    cold_left_ms: float
    stage: str = "dual"
    models: tuple[ListedModel, ...] = ()


class WorkerPage(Struct, frozen=True):
    """Answer to one call."""

    instances: tuple[ListedWorker, ...]
    next_token: str | None


def listed(profile: WorkerProfile, state: WorkerState) -> ListedWorker:
    """The entry of a worker in this state."""
    return ListedWorker(
        instance_id=profile.instance_id,
        upstream=profile.upstream,
        address=profile.address,
        zone=profile.zone,
        generation=profile.generation,
        capacity=profile.capacity,
        state=state.value,
        cold_left_ms=profile.cold_left_ms,
        models=tuple(ListedModel(name) for name in profile.models),
    )


class WorkerRegistry:
    """The truth and what the list shows of it: changes appear `lag_s` later."""

    def __init__(self, lag_s: float, clock: Callable[[], float]) -> None:
        self._lag_s = lag_s
        self._clock = clock
        self._changes: deque[tuple[float, dict[str, ListedWorker]]] = deque([(float("-inf"), {})])

    def change(self, entries: dict[str, ListedWorker]) -> None:
        """From now on these are the workers."""
        self._changes.append((self._clock(), dict(entries)))

    def current(self) -> dict[str, ListedWorker]:
        """The newest truth."""
        return self._changes[-1][1]

    def visible(self) -> dict[str, ListedWorker]:
        """What the list shows now."""
        shown_until = self._clock() - self._lag_s
        while len(self._changes) > 1 and self._changes[1][0] <= shown_until:
            self._changes.popleft()
        return self._changes[0][1]


class RateLimit:
    """At most `per_s` calls in any second."""

    def __init__(self, per_s: float, clock: Callable[[], float]) -> None:
        self._per_s = per_s
        self._clock = clock
        self._calls: deque[float] = deque()

    def allow(self) -> bool:
        now = self._clock()
        while self._calls and self._calls[0] <= now - 1:
            self._calls.popleft()
        if len(self._calls) >= self._per_s:
            return False
        self._calls.append(now)
        return True


def page_of(entries: dict[str, ListedWorker], zone: str, token: str, size: int = PAGE_SIZE) -> WorkerPage:
    """A page of the entries in a zone (of all zones where it is empty). Raises ValueError for a bad token."""
    chosen = [entry for entry in entries.values() if not zone or entry.zone == zone]
    start = int(token.removeprefix(TOKEN_PREFIX)) if token else 0
    end = start + size
    return WorkerPage(tuple(chosen[start:end]), f"{TOKEN_PREFIX}{end}" if end < len(chosen) else None)


class WorkerListServer(HttpListener):
    """`GET /workers?zone=...&page_token=...`."""

    def __init__(self, address: str, registry: WorkerRegistry, limit: RateLimit) -> None:
        super().__init__(address)
        self.registry = registry
        self.limit = limit
        self.calls = 0
        self.refused = 0

    async def serve_connection(self, connection: HttpConnection) -> None:
        while (request := await connection.read_request()) is not None:
            connection.write(self._answer(request))

    def _answer(self, request: Request) -> bytes:
        parts = urlsplit(request.target)
        if request.method != "GET" or parts.path != LIST_PATH:
            return http.render_answer(404, {})
        self.calls += 1
        if not self.limit.allow():
            self.refused += 1
            return http.render_answer(429, {})
        query = parse_qs(parts.query)
        zone, token = query.get("zone", [""])[0], query.get("page_token", [""])[0]
        try:
            page = page_of(self.registry.visible(), zone, token)
        except ValueError:
            return http.render_answer(400, {})
        return http.render_answer(200, JSON, msgspec.json.encode(page))
