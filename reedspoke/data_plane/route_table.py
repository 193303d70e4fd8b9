"""Route lookup by host and longest path prefix, and the choice of an upstream of a traffic split."""

from __future__ import annotations

from zlib import crc32

from msgspec import Struct

from reedspoke.common.configuration import Configuration, Route, route_targets
from reedspoke.common.messages import NO_VERSION, Version

DEFAULT_TIMEOUT_MS = 30_000.0
DEFAULT_TARGET_MS = 1_000.0
DEFAULT_ATTEMPTS = 2
DEFAULT_PRIORITY = 1
HASH_RANGE = 1 << 32


class SplitTarget(Struct, frozen=True):
    """One upstream of a route, with the sum of the shares (up to 1) of it and all upstreams before it."""

    upstream: str
    cumulative_share: float


class CompiledRoute(Struct, frozen=True):
    """A route in the form in which requests use it."""

    name: str
    path_prefix: str
    streaming: bool
    repeatable: bool  # may be executed more than once: idempotent, or a resumable stream
    resumable: bool
    timeout_s: float
    latency_target_s: float
    priority: int
    max_attempts: int
    session_affinity: bool
    split_targets: tuple[SplitTarget, ...]
    public: bool = False  # no API key is needed
    event_gap_target_s: float = 0.0  # maximum gap between events of a stream; 0: no target

    def upstream_for(self, key: bytes) -> str:
        """The upstream for a request with this key; the same key always selects the same upstream."""
        if len(self.split_targets) == 1:
            return self.split_targets[0].upstream
        position = crc32(key) / HASH_RANGE
        for target in self.split_targets:
            if position < target.cumulative_share:
                return target.upstream
        return self.split_targets[-1].upstream


class RouteTable:
    """All routes of one version of the configuration.

    Each route is compiled when a request first uses it, so that a change of thousands of routes does not
    delay the requests of that moment.
    """

    def __init__(self, configuration: Configuration | None = None, version: Version = NO_VERSION) -> None:
        self.version = version
        self.configuration = configuration
        self._hosts: dict[str, dict[str, Route]] = {}
        self._compiled: dict[str, CompiledRoute] = {}
        routes = () if configuration is None else configuration.routes.values()
        for route in routes:
            self._hosts.setdefault(route["hostname"].lower(), {})[route["path_prefix"]] = route

    def find(self, host: str, path: str) -> CompiledRoute | None:
        """The route at `host` with the longest prefix of `path`; None if there is none."""
        prefixes = self._hosts.get(_without_port(host).lower())
        if prefixes is None:
            return None
        end = path.rfind("/", 0, _path_end(path))
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return self._compile(route)
            end = path.rfind("/", 0, end)
        return None

    def _compile(self, route: Route) -> CompiledRoute:
        name = route["name"]
        if name not in self._compiled:
            self._compiled[name] = compile_route(route)
        return self._compiled[name]


def _path_end(path: str) -> int:
    query = path.find("?")
    return len(path) if query < 0 else query


def _without_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host


def compile_route(route: Route) -> CompiledRoute:
    """Convert a route of the configuration."""
    streaming = route["route_type"] == "streaming"
    resumable = streaming and route.get("stream_resume", False)
    return CompiledRoute(
        name=route["name"],
        path_prefix=route["path_prefix"],
        streaming=streaming,
        repeatable=resumable or route["route_type"] == "idempotent",
        resumable=resumable,
        timeout_s=route.get("timeout_ms", DEFAULT_TIMEOUT_MS) / 1000,
        latency_target_s=route.get("target_ms", DEFAULT_TARGET_MS) / 1000,
        event_gap_target_s=route.get("gap_aim_ms", 0.0) / 1000,
        public=route.get("public", False),
        priority=route.get("priority", DEFAULT_PRIORITY),
        max_attempts=max(1, route.get("max_attempts", DEFAULT_ATTEMPTS)),
        session_affinity=route.get("session_affinity", False),
        split_targets=_compile_targets(route),
    )


def _compile_targets(route: Route) -> tuple[SplitTarget, ...]:
    splits = route_targets(route)
    total = sum(split["weight"] for split in splits)
    compiled = []
    cumulative_share = 0.0
    for split in splits:
        cumulative_share += split["weight"] / total
        if split["weight"] > 0:
            compiled.append(SplitTarget(split["upstream"], cumulative_share))
    return tuple(compiled)
