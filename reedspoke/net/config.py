"""What the platform tells a scheduler through PROXY_*, checked before anything starts."""

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
from reedspoke.net.core import DOOR
from reedspoke.settings import PlatformSettings, convert_settings

MIN_SOCKETS = 32


class ConfigError(ReedspokeError):
    """The scheduler cannot start as told; the text says why."""

    code = "configuration-unusable"
    remedy = "mend the key that the message names; a process that runs keeps the old one"


class Limits(Struct):
    memory_mb: float = 192
    sockets: int = 1024


class ConfigFile(Struct):
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
    """The other schedulers' addresses for messages, and ours."""

    listen: tuple[str, int]
    addresses: tuple[tuple[str, int], ...]
    all_peers: tuple[str, int] | None = None  # reaches every one of them


@dataclass(slots=True, frozen=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    discovery_in_file: str  # as the file itself has it: a change of it goes before the variable
    ops: tuple[str, int] | None  # the operators' door, None: there is none
    inherited: int | None  # descriptor of a listener that the platform holds
    shared_folder: str  # what it shares with its other process, "": nothing
    seed: int
    sockets: int
    memory_mb: float
    known: bytes  # the list of issuer hosts in discovery's form, maybe old
    settings: api.Settings
    peers: Peers | None  # None: no messages between schedulers
    conn_idle: int  # us after which an issuer host closes an idle connection, 0: not told


def address(text: str, what: str = "an address") -> tuple[str, int]:
    """`ip:port`; names are not resolved, the platform has no DNS."""
    host, _, port = text.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
        number = int(port)
    except ValueError:
        raise ConfigError(f"{what} is no ip:port: {text!r}") from None
    if not 0 < number < 65536:
        raise ConfigError(f"{what} has no port from 1 to 65535: {text!r}")
    return host, number


def parse_peers(told: ConfigFile) -> Peers | None:
    """None where the settings forbid messages, or nobody is named. Raises ConfigError that names the key."""
    if not told.settings.ceilings.peer_messages or not (told.peers or told.peers_all):
        return None
    each = tuple(address(text, f"peers[{at}]") for at, text in enumerate(told.peers))
    reach = address(told.peers_all, "peers_all") if told.peers_all else None
    return Peers(address(told.peer_listen, "peer_listen"), each, reach)


def reload(old: Config, environ: Mapping[str, str] = os.environ) -> Config:
    """The configuration after SIGHUP. Guards against the environment, which is as old as the process: what is
    new in the file as discovery's address counts, whatever PROXY_DISCOVERY said at the start."""
    new = load(environ)
    if new.discovery_in_file and new.discovery_in_file != old.discovery_in_file:
        return replace(new, discovery=address(new.discovery_in_file, "discovery"))
    return replace(new, discovery=old.discovery)


def load(environ: Mapping[str, str] = os.environ) -> Config:
    path = environ.get("PROXY_CONFIG", "")
    if not path:
        raise ConfigError("PROXY_CONFIG is not set")
    try:
        told = msgspec.json.decode(Path(path).read_bytes(), type=ConfigFile)
        meant = convert_settings(told.settings)
        seed = int(told.seed or "0", 16)
    except OSError as error:
        raise ConfigError(f"PROXY_CONFIG cannot be read: {error}") from None
    except ValueError as error:  # msgspec's errors are ValueErrors too
        raise ConfigError(f"PROXY_CONFIG is malformed: {error}") from None
    ops = environ.get("PROXY_OPS") or told.ops
    least = MIN_SOCKETS + (DOOR if ops else 0)
    if told.limits.sockets < least:
        raise ConfigError(f"limits.sockets is {told.limits.sockets}, at least {least} are needed")
    inherited = environ.get("PROXY_FD", "")
    if inherited and not (inherited.isascii() and inherited.isdigit()):
        raise ConfigError(f"PROXY_FD is no descriptor: {inherited!r}")
    return Config(
        name=environ.get("PROXY_NAME") or told.name,
        listen=address(environ.get("PROXY_LISTEN") or told.listen, "PROXY_LISTEN"),
        discovery=address(environ.get("PROXY_DISCOVERY") or told.discovery, "PROXY_DISCOVERY"),
        discovery_in_file=told.discovery,
        ops=address(ops, "PROXY_OPS") if ops else None,
        inherited=int(inherited) if inherited else None,
        shared_folder=environ.get("TMPDIR", ""),
        seed=seed,
        sockets=told.limits.sockets,
        memory_mb=told.limits.memory_mb,
        known=bytes(told.known),
        settings=meant,
        peers=parse_peers(told),
        conn_idle=told.settings.ceilings.conn_idle,
    )
