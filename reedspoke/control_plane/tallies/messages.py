"""Messages between control plane nodes about tallies; they have a connection of their own.

Compatibility is as in `reedspoke.common.messages`: tags, order and defaults are fixed, names are not.
"""

from __future__ import annotations

from msgspec import Struct

INTERNAL_PREFIX = "/"  # of tallies that the API cannot name: orders of operators
Vector = dict[str, int]  # by origin: all of its adds up to this number


class TallyHello(Struct, tag="tally_hello", array_like=True, frozen=True):
    """The first message of a connection for tallies: the sender's address for other nodes and its zone."""

    address: str
    zone: str


class TallyAdd(Struct, array_like=True, frozen=True):
    """One add: `add_id` is the 64-bit number of the id that the application gave it."""

    tally: str
    add_id: int
    amount: int


class TallyEntries(Struct, tag="tally_entries", array_like=True, frozen=True):
    """Adds of one origin, numbered from `first`: pushed once synced, or the answer to a `TallyPull`."""

    origin: str
    first: int
    entries: tuple[TallyAdd, ...]


class TallyDigest(Struct, tag="tally_digest", array_like=True, frozen=True):
    """What the sender has on its disk; sent at intervals, and at once to who has sent entries.

    `sequence` rises with each digest of one incarnation to one receiver, `echo` is the highest that the
    sender has received from the receiver's incarnation `echo_incarnation`. `writable` is whether its disk
    works, `recovered` whether its folder has what any folder before it on that machine acknowledged.
    """

    folder_id: str
    incarnation: int
    sequence: int
    echo_incarnation: int
    echo: int
    writable: bool
    recovered: bool
    vector: Vector


class TallyPull(Struct, tag="tally_pull", array_like=True, frozen=True):
    """Send me what you have beyond this vector."""

    vector: Vector


class TallyCursor(Struct, array_like=True, frozen=True, order=True):
    """A place in the state, which is ordered by tally and id: everything up to it is done."""

    tally: str = ""
    add_id: int = -1


class TallyItems(Struct, array_like=True, frozen=True):
    """Ids of a tally with their amounts, packed by `packed_items`."""

    tally: str
    ids: bytes
    amounts: bytes


class TallyStateRequest(Struct, tag="tally_state_request", array_like=True, frozen=True):
    """Send me the state that stands behind this place."""

    after: TallyCursor


class TallyStateChunk(Struct, tag="tally_state", array_like=True, frozen=True):
    """The state behind `after`, up to `next`; `next` is None in the last chunk.

    `vector` is the sender's at that time: the state behind `after` includes everything up to it.
    `incarnation` is that of the sender's process.
    """

    incarnation: int
    after: TallyCursor
    next: TallyCursor | None
    vector: Vector
    items: tuple[TallyItems, ...]


TallyMessage = TallyEntries | TallyDigest | TallyPull | TallyStateRequest | TallyStateChunk
