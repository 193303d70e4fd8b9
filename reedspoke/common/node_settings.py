"""The settings file of a process (JSON), named by an environment variable; unknown fields are ignored."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
from msgspec import Struct, field

from reedspoke.common.errors import ErrorCode, FleetError

SETTINGS_VARIABLE = "REEDSPOKE_NODE_FILE"
SETTINGS_DEFAULT_PATH = "/etc/reedspoke/settings.json"
WATCH_TIMEOUT_PER_HEARTBEAT = 1 / 3
WATCH_TIMEOUT_PER_APPLY = 1 / 4
DEFAULT_METRICS = "9464/metrics"  # as `deploy/system.toml` has it for both roles


class Limits(Struct, frozen=True):
    """The resources that the process may use."""

    cpu_share: float = 1.0
    cpu_cores: float = 1
    memory_mb: float = 256
    max_fds: int = 1024
    link_mbps: float = 1000.0
    disk_mb: float = 0


class Bounds(Struct, frozen=True):
    """Time limits and budgets that the deployment's rules set; the unit stands in each name."""

    seed_lag_s: float = 3
    reuse_s: float = 2
    contact_ms: float = 3000
    ack_ms: float = 4000
    catch_up_s: float = 4
    drain_ms: float = 3000
    grace_s: float = 8
    loss_slack_ms: float = 200
    apply_ms: float = 2000
    downgrade_ms: float = 250
    stretch_ms: float = 5000
    retry_ratio: float = 0.2
    retry_window_s: float = 10
    retry_slack: float = 10
    recovery_s: float = 12
    pass_ms: float = 120
    revoke_strict: bool = False  # `revoke_ms` binds machines out of touch too
    revoke_ms: float = 5000  # a key that was taken away is not served any more after this
    quota_window_s: float = 8
    quota_excess: float = 0.0  # by which a tenant's quota may be exceeded in each window,
    quota_slack: float = 0.0  # and the units beside it


class FaultTolerance(Struct, frozen=True):
    """What may be lost at once with no acknowledged change lost."""

    machines: int = 1
    zones: int = 0
    regions: int = 0


class CloudApi(Struct, frozen=True):
    """The platform's service that holds the list of workers."""

    address: str = ""
    rate_per_s: float = 1.0
    lag_ms: float = 1000


class Bind(Struct, frozen=True):
    """Addresses to listen at, each `ip:port`."""

    frontend: str = ""
    readiness: str = ""
    control_plane: str = ""


class NodeSettings(Struct, frozen=True):
    """All settings of one process. Field names are the keys of the file."""

    node_name: str
    ip_address: str
    zone: str
    region: str = ""
    zones: dict[str, str] = field(default_factory=dict)
    bind: Bind = field(default_factory=Bind)
    internal_ports: tuple[int, int] = (7660, 7675)
    seed_nodes: tuple[str, ...] = ()
    bootstrap: bool = False
    quorum_member: bool = False
    limits: Limits = field(default_factory=Limits)
    data_dir: str | None = None
    heartbeat_ms: float = 1000
    fault_tolerance: FaultTolerance = field(default_factory=FaultTolerance)
    bounds: Bounds = field(default_factory=Bounds)
    cloud_api: CloudApi = field(default_factory=CloudApi)
    metrics: str = DEFAULT_METRICS  # port and path of the metrics endpoint, at `ip_address`; empty: none

    def watch_timeout_s(self) -> float:
        """The seconds after which a control plane node answers a `WatchRequest` at the latest.

        They are also bounded by `apply_ms`: with rarer responses a data plane node could not know that its
        configuration is as new as it has to be.
        """
        by_heartbeat_ms = self.heartbeat_ms * WATCH_TIMEOUT_PER_HEARTBEAT
        by_apply_ms = self.bounds.apply_ms * WATCH_TIMEOUT_PER_APPLY
        return min(by_heartbeat_ms, by_apply_ms) / 1000

    def seed_addresses(self) -> tuple[str, ...]:
        """The internal addresses of the control plane nodes at the seeds."""
        return tuple(internal_address(seed, self) for seed in self.seed_nodes)


def internal_address(control_address: str, settings: NodeSettings) -> str:
    """The address for other nodes of the machine whose operator API listens at `control_address`."""
    host, _, _ = control_address.rpartition(":")
    return f"{host}:{settings.internal_ports[0]}"


def split_address(address: str) -> tuple[str, int]:
    """Host and port of `ip:port`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def settings_path() -> Path:
    """The path of the settings file: that of the environment variable, or the default."""
    return Path(os.environ.get(SETTINGS_VARIABLE, SETTINGS_DEFAULT_PATH))


def parse_settings(raw: bytes) -> NodeSettings:
    """Parse a settings file. Raises FleetError that names the key which is missing or wrong."""
    try:
        return msgspec.json.decode(raw, type=NodeSettings)
    except msgspec.DecodeError as error:
        raise FleetError(ErrorCode.SETTINGS_INVALID, str(error)) from error


def load_settings(path: Path | None = None) -> NodeSettings:
    """Read and parse the settings file at `path`, or at `settings_path()`.

    Raises FleetError where the file cannot be read (code 101) or parsed (code 102).
    """
    chosen = path or settings_path()
    try:
        raw = chosen.read_bytes()
    except OSError as error:
        raise FleetError(ErrorCode.SETTINGS_UNREADABLE, f"{chosen}: {error.strerror}") from error
    return parse_settings(raw)
