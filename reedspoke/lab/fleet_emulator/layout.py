"""Addresses, settings and first configuration of an emulated deployment, all on loopback."""

from __future__ import annotations

import random

import msgspec
from msgspec import Struct

from reedspoke.common.configuration import Document, RequestLimits, Route, Upstream
from reedspoke.common.node_settings import Bind, CloudApi, Limits, NodeSettings
from reedspoke.lab.fleet_emulator.workload import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    STREAMING,
    RequestKind,
    StreamShape,
)

ZONES = {"zone-a": "region-1", "zone-b": "region-1", "zone-c": "region-1"}
MODEL_UPSTREAM = "model-pool"
PLAIN_UPSTREAM = "plain-pool"
HOSTNAME = "fleet.example"
HEALTH_PATH = "/health"
FIRST_GENERATION = 1
CONTROL_SUBNET, EDGE_SUBNET, WORKER_SUBNET, PLATFORM_SUBNET = 1, 2, 3, 4
LEAST_PORT, MOST_PORT = 20_000, 32_000  # below those that the system gives to outgoing connections
INTERNAL_PORTS = 16
HOSTS_IN_SUBNET = 250
LIST_RATE_PER_S = 20.0
LIST_LAG_MS = 200.0


class Ports(Struct, frozen=True):
    """Ports of the run; each machine has an address of its own."""

    control: int
    frontend: int
    readiness: int
    worker: int
    platform: int
    internal: tuple[int, int]


class Layout(Struct, frozen=True):
    """Where everything of one run listens. `network` is the second part of its addresses."""

    network: int
    ports: Ports
    list_rate_per_s: float = LIST_RATE_PER_S

    def address(self, subnet: int, number: int) -> str:
        """IP address of a machine."""
        block, host = divmod(number, HOSTS_IN_SUBNET)
        return f"127.{self.network}.{subnet + 8 * block}.{host + 1}"

    def control(self, number: int) -> str:
        return f"{self.address(CONTROL_SUBNET, number)}:{self.ports.control}"

    def worker(self, number: int) -> str:
        return f"{self.address(WORKER_SUBNET, number)}:{self.ports.worker}"

    def platform(self) -> str:
        return f"{self.address(PLATFORM_SUBNET, 0)}:{self.ports.platform}"

    def frontend(self, number: int) -> str:
        return f"{self.address(EDGE_SUBNET, number)}:{self.ports.frontend}"

    def readiness(self, number: int) -> str:
        return f"{self.address(EDGE_SUBNET, number)}:{self.ports.readiness}"


def draw_layout(list_rate_per_s: float = LIST_RATE_PER_S) -> Layout:
    """Addresses that hardly any other run on this machine uses at the same time."""
    source = random.SystemRandom()
    first = source.randrange(LEAST_PORT, MOST_PORT - INTERNAL_PORTS - 5)
    internal = first + 5, first + 4 + INTERNAL_PORTS
    ports = Ports(first, first + 1, first + 2, first + 3, first + 4, internal)
    return Layout(source.randrange(1, 255), ports, list_rate_per_s)


def zone_of(number: int) -> str:
    """Zone of a machine: they take turns."""
    return list(ZONES)[number % len(ZONES)]


def node_settings(
    layout: Layout, name: str, subnet: int, number: int, bind: Bind, seeds: int, data_dir: str | None
) -> NodeSettings:
    """Settings of one process."""
    zone = zone_of(number)
    core = data_dir is not None
    return NodeSettings(
        node_name=name,
        ip_address=layout.address(subnet, number),
        zone=zone,
        region=ZONES[zone],
        zones=ZONES,
        bind=bind,
        internal_ports=layout.ports.internal,
        seed_nodes=tuple(layout.control(seed) for seed in range(seeds)),
        bootstrap=core,
        quorum_member=core,
        limits=Limits(disk_mb=128 if core else 0, max_fds=4096, memory_mb=300),
        data_dir=data_dir,
        cloud_api=CloudApi(layout.platform(), rate_per_s=layout.list_rate_per_s, lag_ms=LIST_LAG_MS),
    )


def internal_address_of(layout: Layout, number: int) -> str:
    """Where data plane schedulers reach a control plane process."""
    return f"{layout.address(CONTROL_SUBNET, number)}:{layout.ports.internal[0]}"


def control_settings(layout: Layout, number: int, seeds: int, data_dir: str) -> NodeSettings:
    """Settings of a control plane process."""
    bind = Bind(control_plane=layout.control(number))
    return node_settings(layout, f"control-{number}", CONTROL_SUBNET, number, bind, seeds, data_dir)


def edge_settings(layout: Layout, number: int, seeds: int) -> NodeSettings:
    """Settings of a data plane process."""
    bind = Bind(frontend=layout.frontend(number), readiness=layout.readiness(number))
    return node_settings(layout, f"edge-{number}", EDGE_SUBNET, number, bind, seeds, None)


def request_kinds(per_s: float) -> tuple[RequestKind, ...]:
    """The kinds of requests, at `per_s` in all."""
    model, plain = frozenset((MODEL_UPSTREAM,)), frozenset((PLAIN_UPSTREAM,))
    resumable = StreamShape(resumable=True)
    long_prompt = StreamShape(shared_tokens=1500, session_tokens=600, output_tokens=48)
    return (
        RequestKind("chat", HOSTNAME, "/chat/", STREAMING, model, 0.4 * per_s, stream=resumable),
        RequestKind("review", HOSTNAME, "/review/", STREAMING, model, 0.2 * per_s, stream=long_prompt),
        RequestKind("lookup", HOSTNAME, "/lookup/", IDEMPOTENT, plain, 0.2 * per_s, target_ms=500),
        RequestKind("booking", HOSTNAME, "/booking/", NON_IDEMPOTENT, plain, 0.2 * per_s, target_ms=500),
    )


def route_for(kind: RequestKind, priority: int) -> Route:
    """The route of a kind of request."""
    (upstream,) = kind.upstreams
    route = Route(
        name=f"route-{kind.name}",
        hostname=kind.hostname,
        path_prefix=kind.path_prefix,
        route_type=kind.route_type,
        timeout_ms=kind.deadline_ms,
        target_ms=kind.target_ms,
        priority=priority,
        upstream=upstream,
        max_attempts=2,
    )
    if kind.stream is not None:
        route["session_affinity"] = True
        route["stream_resume"] = kind.stream.resumable
        route["gap_aim_ms"] = kind.stream.gap_aim_ms
    return route


def configuration(kinds: tuple[RequestKind, ...], generation: int = FIRST_GENERATION) -> Document:
    """A whole configuration."""
    model = Upstream(
        name=MODEL_UPSTREAM,
        health_check=HEALTH_PATH,
        max_connections=256,
        engine={"capacity": 16, "kv_tokens": 60_000, "models": [{"name": "m"}]},
    )
    plain = Upstream(name=PLAIN_UPSTREAM, health_check=HEALTH_PATH, max_connections=128)
    limits = RequestLimits(
        max_header_bytes=16_384, max_body_bytes=4_194_304, header_timeout_ms=3000, idle_timeout_ms=15_000
    )
    routes = [route_for(kind, priority) for priority, kind in enumerate(kinds)]
    return Document(generation=generation, routes=routes, upstreams=[model, plain], limits=limits)


def encode_configuration(document: Document) -> bytes:
    return msgspec.json.encode(document)
