"""Messages between control plane nodes about tallies, which use a separate connection.

The rules of compatibility are those of `reedspoke.common.messages`: the tags and the order and defaults of
fields are fixed, the names of classes and fields are not.
"""

from __future__ import annotations

from msgspec import Struct

# Begins the names of the tallies that hold operators' orders; the API accepts no such names.
INTERNAL_TALLY_PREFIX = "/"
VersionVector = dict[str, int]  # for each origin, the number up to which all its adds are included


class TallyHello(Struct, tag="tally_hello", array_like=True, frozen=True):
    """The first message on a connection for tallies: the sender's address for other nodes and its zone."""

    address: str
    zone: str


class TallyAdd(Struct, array_like=True, frozen=True):
    """One add. `add_id` is the id that the application gave it, as a 64-bit number."""

    tally: str
    add_id: int
    amount: int


class TallyEntries(Struct, tag="tally_entries", array_like=True, frozen=True):
    """Adds of one origin, numbered from `first`: pushed once synced, or an answer to a `TallyPull`."""

    origin: str
    first: int
    entries: tuple[TallyAdd, ...]


class TallyDigest(Struct, tag="tally_digest", array_like=True, frozen=True):
    """What the sender has on its disk; sent periodically, and at once to a node whose entries were stored.

    `sequence` increases with each digest from one incarnation to one receiver. `echo` is the highest sequence
    that the sender has received from the receiver's incarnation `echo_incarnation`. `writable` is whether the
    sender's disk works, `recovered` whether its folder has everything that earlier folders on its machine
    acknowledged.
    """

    folder_id: str
    incarnation: int
    sequence: int
    echo_incarnation: int
    echo: int
    writable: bool
    recovered: bool
    vector: VersionVector


class TallyPull(Struct, tag="tally_pull", array_like=True, frozen=True):
    """The sender requests all adds that are not included in this vector."""

    vector: VersionVector


class TallyCursor(Struct, array_like=True, frozen=True, order=True):
    """A position in the state, which is ordered by tally and id; everything up to it has been sent."""

    tally: str = ""
    add_id: int = -1


class TallyItems(Struct, array_like=True, frozen=True):
    """Ids of a tally and their amounts, packed by `packed_items`."""

    tally: str
    ids: bytes
    amounts: bytes


class TallyStateRequest(Struct, tag="tally_state_request", array_like=True, frozen=True):
    """The sender requests the part of the state after this position."""

    after: TallyCursor


class TallyStateChunk(Struct, tag="tally_state", array_like=True, frozen=True):
    """The part of the state after `after` up to `next`, which is None in the last chunk.

    `vector` is the sender's at that time: the state after `after` includes everything up to it.
    `incarnation` identifies the sender's process.
    """

    incarnation: int
    after: TallyCursor
    next: TallyCursor | None
    vector: VersionVector
    items: tuple[TallyItems, ...]


TallyMessage = TallyEntries | TallyDigest | TallyPull | TallyStateRequest | TallyStateChunk


class OrderHello(Struct, tag="order_hello", array_like=True, frozen=True):
    """The first message on a connection for order messages: as `TallyHello`."""

    address: str
    zone: str


class OrderNumbersRequest(Struct, tag="order_numbers_request", array_like=True, frozen=True):
    """The sender requests the numbers of orders. `request_id` is unique among all processes."""

    request_id: int


class OrderNumbersReply(Struct, tag="order_numbers", array_like=True, frozen=True):
    """All that the folder may have on its disk of the tallies that hold orders, or get there later.

    `adds` has for each of these tallies and each amount the add with the highest id, also if it is not synced
    yet. `recovered` is as in `TallyDigest`.
    """

    request_id: int
    folder_id: str
    recovered: bool
    adds: tuple[TallyAdd, ...]


OrderMessage = OrderNumbersRequest | OrderNumbersReply
