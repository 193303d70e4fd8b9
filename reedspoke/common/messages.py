"""Messages between data plane and control plane over a session, each a typed, tagged structure.

A data plane scheduler opens a session to the internal port of a control scheduler. It sends `Watch` with the
versions that it holds; the answer `Versions` comes as soon as any source has a newer version, or after the
heartbeat. What it lacks it asks for with `Fetch`, answered by the source's own message. One `Watch` is out at
a time on a session, and any number of `Fetch`. A control scheduler that no majority of voters stands behind
answers `Unconfirmed` in place of `Versions`, as soon as that is so, and hands over no state.

On the same session `QuotaAsk` is answered with `QuotaAnswer`, at any time and in any order.

Sources, with their versions (compared as pairs, the larger is newer):
- `configuration`: (view in which the chain's head took it, sequence on the chain)
- `workers`: (term of the list duty's lease, count within the term)
- `members`: (0, count); it is local to one control scheduler and compared for equality only.
"""

from __future__ import annotations

from enum import Enum
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
    `draining` is true from SIGTERM on. `suspects` are workers that have lately failed requests of mine.
    """

    request_id: int
    node_name: str
    incarnation: str
    zone: str
    versions: dict[str, Version]
    running: dict[str, tuple[int, int]] = field(default_factory=dict)
    draining: bool = False
    suspects: tuple[str, ...] = ()


class Versions(Struct, tag="versions", array_like=True):
    """Control plane to data plane: the newest versions that this control scheduler has.

    `held_s` is how long the `Watch` waited here for this answer. `confirmed_ago_s` is how long before the
    answer the configuration told here was certainly the newest, by the grants of a majority of voters. Both
    are seconds of the sender's steady clock. So the receiver knows that it was the newest when it sent the
    `Watch`, plus `held_s`, minus `confirmed_ago_s`, on its own clock.

    `running` and `suspects` are of all data plane schedulers but the asker: what they hold at each worker,
    and how many of them suspect a worker.
    """

    request_id: int
    node_name: str
    versions: dict[str, Version]
    running: dict[str, tuple[int, int]] = field(default_factory=dict)
    held_s: float = 0.0
    confirmed_ago_s: float = 0.0
    suspects: dict[str, int] = field(default_factory=dict)


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

    `routes`, `upstreams`, `limits` and `tenants` are JSON of the changed parts (`limits` empty: unchanged).
    `keyed` is whether the new configuration has tenants at all, so that requests need keys.
    """

    base: Version
    version: Version
    generation: int
    routes: bytes
    removed_routes: tuple[str, ...]
    upstreams: bytes
    removed_upstreams: tuple[str, ...]
    limits: bytes = b""
    keyed: bool = False
    tenants: bytes = b"[]"
    removed_tenants: tuple[str, ...] = ()


class QuotaAsk(Struct, tag="quota_ask", array_like=True, frozen=True):
    """Data plane to control plane: may this tenant's request of so many units go to a worker?"""

    request_id: int
    tenant: str
    units: float


class QuotaVerdict(Enum):
    """What a control scheduler says to a `QuotaAsk`."""

    GRANTED = "granted"
    SPENT = "spent"  # the tenant's quota, as far as this control scheduler could get at it
    UNAVAILABLE = "unavailable"  # it has no part of the quota to grant from, or does not know the tenant


class QuotaAnswer(Struct, tag="quota_answer", array_like=True, frozen=True):
    """Control plane to data plane: the answer to a `QuotaAsk`. What is granted is spent at once or lost."""

    request_id: int
    verdict: QuotaVerdict
    retry_after_s: float = 0.0  # where it is spent: when it may be worth to ask again


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


EdgeMessage = Watch | Fetch | QuotaAsk
ControlMessage = (
    Versions
    | Unconfirmed
    | WorkerList
    | ConfigurationSnapshot
    | ConfigurationDelta
    | MemberList
    | QuotaAnswer
)


def encode(message: Struct) -> bytes:
    """Bytes of one message for the wire, without framing."""
    return ormsgpack.packb(to_builtins(message, builtin_types=(bytes,)))


def decode(payload: bytes, expected: Any) -> Any:
    """A message of the type (or union of types) `expected`; msgspec.ValidationError for anything else."""
    return convert(ormsgpack.unpackb(payload), type=expected)
