"""Messages between data plane and control plane over a session, each a typed, tagged structure.

A data plane node opens a session to the internal port of a control plane node. It sends `WatchRequest` with
the versions that it has; the `WatchResponse` comes as soon as any source has a newer version, or after the
heartbeat (a long poll). What it lacks it requests with `FetchRequest`, answered by the source's own message.
One `WatchRequest` is in flight at a time on a session, and any number of `FetchRequest`. A control plane node
that no majority of voters stands behind answers `UnconfirmedResponse` in place of `WatchResponse`, as soon as
that is so, and hands over no state.

On the same session `QuotaRequest` is answered with `QuotaResponse`, at any time and in any order.

Sources, with their versions (compared as pairs, the larger is newer):
- `configuration`: (view in which the chain's head took it, sequence on the chain)
- `workers`: (term of the worker discovery lease, count within the term)
- `members`: (0, count); it is local to one control plane node and compared for equality only.
- `evacuations`: (1, hash of the orders); compared for equality only, and missing while they are not known.

Compatibility: a message is an array on the wire, so the tag, the order of the fields and their defaults are
fixed; a new field goes to the end, with a default, and is left out where it has its default (`ADDED_FIELDS`).
Receivers ignore fields that they do not know. Names of classes and fields are free to change.
"""

from __future__ import annotations

from enum import Enum
from typing import Any

import ormsgpack
from msgspec import Struct, convert, field, structs, to_builtins

Version = tuple[int, int]
NO_VERSION: Version = (0, 0)

CONFIGURATION = "configuration"
WORKERS = "workers"
MEMBERS = "members"
EVACUATIONS = "evacuations"


class WatchRequest(Struct, tag="watch", array_like=True):
    """Data plane to control plane: the versions that the sender has; also its heartbeat and its load.

    `running` has for each worker's instance id the requests and the prompt tokens that the sender has in
    flight there. `draining` is true from SIGTERM on. `suspects` are workers that have lately failed requests
    of the sender.
    """

    request_id: int
    node_name: str
    incarnation: str
    zone: str
    versions: dict[str, Version]
    running: dict[str, tuple[int, int]] = field(default_factory=dict)
    draining: bool = False
    suspects: tuple[str, ...] = ()


class WatchResponse(Struct, tag="versions", array_like=True):
    """Control plane to data plane: the newest versions that this control plane node has.

    `wait_s` is how long the `WatchRequest` waited here for this response. `confirmed_ago_s` is how long
    before the response the configuration version in it was certainly the newest, by the grants of a majority
    of voters. Both are seconds of the sender's steady clock. So the receiver knows that it was the newest
    when it sent the `WatchRequest`, plus `wait_s`, minus `confirmed_ago_s`, on its own clock.

    `running` and `suspects` are of all data plane nodes but the receiver: what they have in flight at each
    worker, and how many of them suspect a worker.
    """

    request_id: int
    node_name: str
    versions: dict[str, Version]
    running: dict[str, tuple[int, int]] = field(default_factory=dict)
    wait_s: float = 0.0
    confirmed_ago_s: float = 0.0
    suspects: dict[str, int] = field(default_factory=dict)


class ControlMember(Struct, array_like=True, frozen=True):
    """A control plane node: its address for other nodes and its zone."""

    address: str
    zone: str


class UnconfirmedResponse(Struct, tag="unconfirmed", array_like=True):
    """Control plane to data plane: no majority of voters stands behind this control plane node now.

    `control` are control plane nodes where the receiver may look for one that has a majority. `versions` is
    the last state of this one; it is sent only on `FetchRequest.allow_unconfirmed`.
    """

    request_id: int
    node_name: str
    control: tuple[ControlMember, ...] = ()
    versions: dict[str, Version] = field(default_factory=dict)


class FetchRequest(Struct, tag="fetch", array_like=True):
    """Data plane to control plane: send this source, of which the sender has `known_version`.

    `allow_unconfirmed` requests the control plane node's state even while no majority stands behind it; a
    data plane node does so when it has no state and has found no better source for a while.
    """

    source: str
    known_version: Version = NO_VERSION
    allow_unconfirmed: bool = False


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


class ZoneOrder(Struct, array_like=True, frozen=True):
    """The newest order of operators on a zone; the higher number is the newer order."""

    zone: str
    number: int
    evacuated: bool


class WorkerList(Struct, tag="workers", array_like=True):
    """All workers that the platform lists, those of evacuated zones marked as draining.

    `evacuated` are the ids of workers that drain only because their zone is evacuated, and `orders` those by
    which the list was marked.
    """

    version: Version
    workers: tuple[WorkerEntry, ...]
    evacuated: tuple[str, ...] = ()
    orders: tuple[ZoneOrder, ...] = ()


class EvacuationOrders(Struct, tag="evacuations", array_like=True):
    """The newest order on each zone on which there are any, as one control plane node has them."""

    version: Version
    orders: tuple[ZoneOrder, ...]


class ConfigurationSnapshot(Struct, tag="configuration", array_like=True):
    """The complete configuration: `document` is the operator's JSON, as it was sent."""

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


class QuotaRequest(Struct, tag="quota_ask", array_like=True, frozen=True):
    """Data plane to control plane: may this tenant's request of so many units go to a worker?"""

    request_id: int
    tenant: str
    units: float


class QuotaOutcome(Enum):
    """What a control plane node decided on a `QuotaRequest`; the values are on the wire."""

    GRANTED = "granted"
    SPENT = "spent"  # the tenant's quota, as far as this control plane node could get at it
    UNAVAILABLE = "unavailable"  # it has no share of the quota to grant from, or does not know the tenant


class QuotaResponse(Struct, tag="quota_answer", array_like=True, frozen=True):
    """Control plane to data plane: the outcome of a `QuotaRequest`. What is granted is used at once or lost.

    `retry_after_s` is set where the quota is spent: after so long another request may succeed.
    """

    request_id: int
    outcome: QuotaOutcome
    retry_after_s: float = 0.0


class EdgeMember(Struct, array_like=True, frozen=True):
    """A data plane node that has a session with some control plane node."""

    node_name: str
    incarnation: str
    zone: str


class MemberList(Struct, tag="members", array_like=True):
    """The members of the fleet, as one control plane node sees them."""

    version: Version
    control: tuple[ControlMember, ...]
    edges: tuple[EdgeMember, ...]


EdgeMessage = WatchRequest | FetchRequest | QuotaRequest
ControlMessage = (
    WatchResponse
    | UnconfirmedResponse
    | WorkerList
    | ConfigurationSnapshot
    | ConfigurationDelta
    | MemberList
    | EvacuationOrders
    | QuotaResponse
)

# The number of fields at the end that a message was given later.
ADDED_FIELDS: dict[type[Struct], int] = {WorkerList: 2}


def encode(message: Struct) -> bytes:
    """The MessagePack bytes of one message, without framing."""
    values = to_builtins(message, builtin_types=(bytes,))
    for field_info in _added_fields(type(message)):
        if getattr(message, field_info.name) != field_info.default:
            break
        values = values[:-1]
    return ormsgpack.packb(values)


def _added_fields(message_type: type[Struct]) -> list[structs.FieldInfo]:
    """The fields that a message was given later, the last one first."""
    count = ADDED_FIELDS.get(message_type, 0)
    return list(reversed(structs.fields(message_type)[-count:])) if count else []


def decode(payload: bytes, expected: Any) -> Any:
    """The message in `payload`, of the type (or union of types) `expected`.

    Raises msgspec.ValidationError for a message of another type, and ormsgpack.MsgpackDecodeError for bytes
    that are no MessagePack.
    """
    return convert(ormsgpack.unpackb(payload), type=expected)
