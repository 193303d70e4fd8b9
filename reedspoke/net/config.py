"""Loads and checks the configuration from the PROXY_* environment variables before anything starts."""

from __future__ import annotations

import ipaddress
import os
from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path

import msgspec
from msgspec import Struct

from reedspoke import interface as api
from reedspoke.errors import ReedspokeError
from reedspoke.net.core import OPERATOR_DESCRIPTORS
from reedspoke.settings import PlatformSettings, convert_settings

MIN_SOCKETS = 32


class ConfigError(ReedspokeError):
    """The configuration is unusable, so the scheduler cannot start; the text says why."""

    code = "configuration-unusable"
    remedy = "correct the key that the message names; a running process keeps the old configuration"


class Limits(Struct):
    """Resource limits of the process; the field names are keys of the configuration file."""

    memory_mb: float = 192
    sockets: int = 1024


class ConfigFile(Struct):
    """The configuration file; the field names are its keys."""

    settings: PlatformSettings
    name: str = ""
    listen: str = ""
    discovery: str = ""
    ops: str = ""
    seed: str = "0"
    limits: Limits = msgspec.field(default_factory=Limits)
    peers: list[str] = []
    peers_all: str = ""
    peer_listen: str = ""
    known: msgspec.Raw = msgspec.Raw(b'{"rev":0,"all":true,"targets":[]}')


@dataclass(slots=True, frozen=True)
class Peers:
    """The addresses for messages between schedulers: of this one and of all members."""

    listen: tuple[str, int]
    addresses: tuple[tuple[str, int], ...]
    all_peers: tuple[str, int] | None = None  # one address that reaches every peer


@dataclass(slots=True, frozen=True)
class Config:
    """The checked configuration of a scheduler, from the file and the environment."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    discovery_in_file: str  # as written in the file; a change of it overrides the variable
    ops: tuple[str, int] | None  # address of the operator API, None if there is none
    inherited: int | None  # descriptor of a listening socket that the platform owns
    shared_folder: str  # folder shared with the other process of this scheduler, "" if there is none
    seed: int
    sockets: int
    memory_mb: float
    known: bytes  # the list of issuer hosts in the format of discovery, possibly outdated
    settings: api.Settings
    peers: Peers | None  # None if schedulers exchange no messages
    conn_idle: int  # us after which an issuer host closes an idle connection, 0 if unknown


def address(text: str, what: str = "an address") -> tuple[str, int]:
    """Parse `ip:port`. Host names are not resolved, because the platform has no DNS. Raises ConfigError."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ConfigError(f"{what} is not ip:port: {text!r}") from None
    if not 0 < number < 65536:
        raise ConfigError(f"{what} has a port outside 1 to 65535: {text!r}")
    return host, number


def parse_peers(file: ConfigFile) -> Peers | None:
    """Return None if the settings forbid messages or no peer is configured.

    Raises ConfigError that names the key.
    """
    if not file.settings.ceilings.peer_messages or not (file.peers or file.peers_all):
        return None
    each = tuple(address(text, f"peers[{at}]") for at, text in enumerate(file.peers))
    all_peers = address(file.peers_all, "peers_all") if file.peers_all else None
    return Peers(address(file.peer_listen, "peer_listen"), each, all_peers)


def reload(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """Load the configuration again after SIGHUP.

    The environment dates from the start of the process. A changed discovery address in the file therefore
    overrides PROXY_DISCOVERY.
    """
    new = load(environ)
    if new.discovery_in_file and new.discovery_in_file != old.discovery_in_file:
        return replace(new, discovery=address(new.discovery_in_file, "discovery"))
    return replace(new, discovery=old.discovery)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    """Load and check the configuration. Raises ConfigError."""
    path = environ.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        file = msgspec.json.decode(Path(path).read_bytes(), type=ConfigFile)
        settings = convert_settings(file.settings)
        seed = int(file.seed or "0", 16)
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG cannot be read: {error}") from None
    except ValueError as error:  # msgspec's errors are ValueErrors as well
        raise ConfigError(f"PROXY_CONFIG is malformed: {error}") from None
    ops = environ.get("PROXY_OPS") or file.ops
    min_sockets = MIN_SOCKETS + (OPERATOR_DESCRIPTORS if ops else 0)
    if file.limits.sockets < min_sockets:
        raise ConfigError(f"limits.sockets is {file.limits.sockets}, but at least {min_sockets} are needed")
    inherited = environ.get("PROXY_FD", "")
    if inherited and not (inherited.isascii() and inherited.isdigit()):
        raise ConfigError(f"PROXY_FD is not a file descriptor: {inherited!r}")
    return Config(
        name=environ.get("PROXY_NAME") or file.name,
        listen=address(environ.get("PROXY_LISTEN") or file.listen, "PROXY_LISTEN"),
        discovery=address(environ.get("PROXY_DISCOVERY") or file.discovery, "PROXY_DISCOVERY"),
        discovery_in_file=file.discovery,
        ops=address(ops, "PROXY_OPS") if ops else None,
        inherited=int(inherited) if inherited else None,
        shared_folder=environ.get("TMPDIR", ""),
        seed=seed,
        sockets=file.limits.sockets,
        memory_mb=file.limits.memory_mb,
        known=bytes(file.known),
        settings=settings,
        peers=parse_peers(file),
        conn_idle=file.settings.ceilings.conn_idle,
    )
