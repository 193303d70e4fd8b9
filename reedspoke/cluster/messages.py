"""Messages between data plane and control plane over a session, each a typed, tagged structure.

A data plane scheduler opens a session to the internal port of a control scheduler. It sends `Watch` with the
versions that it holds; the answer `Versions` comes as soon as any source has a newer version, or after the
heartbeat. What it lacks it asks for with `Fetch`, answered by the source's own message. One `Watch` is out at
a time on a session, and any number of `Fetch`. A control scheduler that no majority of voters stands behind
answers `Unconfirmed` in place of `Versions`, as soon as that is so, and hands over no state.

Sources, with their versions (compared as pairs, the larger is newer):
- `configuration`: (view in which the chain's head took it, sequence on the chain)
- `workers`: (term of the list duty's lease, count within the term)
- `members`: (0, count); it is local to one control scheduler and compared for equality only.
"""

from __future__ import annotations

from typing import Any

import ormsgpack
from msgspec import Struct, convert, field, to_builtins

Version = tuple[int, int]
NO_VERSION: Version = (0, 0)

CONFIGURATION = "configuration"
WORKERS = "workers"
MEMBERS = "members"


class Watch(Struct, tag="watch", array_like=True):
    """Data plane to control plane: what I hold; also the heartbeat and my own load.

    `running` has for each worker's instance id the requests and the prompt tokens that I have there now.
    `draining` is true from SIGTERM on.
    """

    request_id: int
    node_name: str
    incarnation: str
    zone: str
    versions: dict[str, Version]
    running: dict[str, tuple[int, int]] = field(default_factory=dict)
    draining: bool = False


class Versions(Struct, tag="versions", array_like=True):
    """Control plane to data plane: the newest versions that this control scheduler has.

    `held_s` is how long the `Watch` waited here for this answer. `confirmed_ago_s` is how long before the
    answer the configuration told here was certainly the newest, by the grants of a majority of voters. Both
    are seconds of the sender's steady clock. So the receiver knows that it was the newest when it sent the
    `Watch`, plus `held_s`, minus `confirmed_ago_s`, on its own clock.
    """

    request_id: int
    node_name: str
    versions: dict[str, Version]
    running: dict[str, tuple[int, int]] = field(default_factory=dict)  # sum of all schedulers but the asker
    held_s: float = 0.0
    confirmed_ago_s: float = 0.0


class ControlMember(Struct, array_like=True, frozen=True):
    """A control scheduler: its address for other schedulers and its zone."""

    address: str
    zone: str


class Unconfirmed(Struct, tag="unconfirmed", array_like=True):
    """Control plane to data plane: no majority of voters stands behind this control scheduler now.

    `control` are control schedulers where the asker may look for one that has a majority. `versions` is what
    this one held last; it is fetched only with `Fetch.unconfirmed_too`.
    """

    request_id: int
    node_name: str
    control: tuple[ControlMember, ...] = ()
    versions: dict[str, Version] = field(default_factory=dict)


class Fetch(Struct, tag="fetch", array_like=True):
    """Data plane to control plane: send me this source, I hold `have` of it.

    `unconfirmed_too` asks for what the control scheduler holds even while no majority stands behind it; a
    data plane scheduler does so when it holds nothing and has found no better source for a while.
    """

    source: str
    have: Version = NO_VERSION
    unconfirmed_too: bool = False


class WorkerEntry(Struct, array_like=True, frozen=True):
    """One worker incarnation, as the platform's list has it."""

    instance_id: str
    upstream: str
    address: str
    zone: str
    generation: str
    capacity: int
    draining: bool
    cold_left_ms: float = 0.0
    models: tuple[str, ...] = ()


class WorkerList(Struct, tag="workers", array_like=True):
    """All workers that the platform lists."""

    version: Version
    workers: tuple[WorkerEntry, ...]


class ConfigurationSnapshot(Struct, tag="configuration", array_like=True):
    """The whole configuration: `document` is the operator's JSON, as it was sent."""

    version: Version
    document: bytes


class ConfigurationDelta(Struct, tag="configuration_delta", array_like=True):
    """What turns the configuration `base` into `version`; routes are keyed by their name.

    `routes`, `upstreams` and `limits` are JSON of the changed parts (`limits` empty: unchanged).
    """

    base: Version
    version: Version
    generation: int
    routes: bytes
    removed_routes: tuple[str, ...]
    upstreams: bytes
    removed_upstreams: tuple[str, ...]
    limits: bytes = b""


class EdgeMember(Struct, array_like=True, frozen=True):
    """A data plane scheduler whose session with some control scheduler stands."""

    node_name: str
    incarnation: str
    zone: str


class MemberList(Struct, tag="members", array_like=True):
    """Who is in the fleet, by the word of one control scheduler."""

    version: Version
    control: tuple[ControlMember, ...]
    edges: tuple[EdgeMember, ...]


EdgeMessage = Watch | Fetch
ControlMessage = Versions | Unconfirmed | WorkerList | ConfigurationSnapshot | ConfigurationDelta | MemberList


def encode(message: Struct) -> bytes:
    """Bytes of one message for the wire, without framing."""
    return ormsgpack.packb(to_builtins(message, builtin_types=(bytes,)))


def decode(payload: bytes, expected: Any) -> Any:
    """A message of the type (or union of types) `expected`; msgspec.ValidationError for anything else."""
    return convert(ormsgpack.unpackb(payload), type=expected)
