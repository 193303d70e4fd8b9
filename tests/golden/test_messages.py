"""Messages and records have the bytes that an earlier version gave them, and are read from these.

`data/messages.json` was written by that version and is never edited. The examples name every field, so that
neither a renamed class nor a reordered field can change what goes over the wire or to the disk unnoticed.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest
from msgspec import Struct

from reedspoke.booking import messages as booking_messages
from reedspoke.common import messages as session_messages
from reedspoke.control_plane.peers import messages as peer_messages
from reedspoke.control_plane.replication import log_records
from reedspoke.control_plane.replication import messages as replica_messages
from reedspoke.fleet.messages import frame as fleet_frame
from reedspoke.fleet.messages import lease as lease_messages
from reedspoke.fleet.replicated_log import messages as log_messages
from tests.golden import booking_examples, fleet_examples, peer_examples, replica_examples, session_examples

GOLDEN: dict[str, dict[str, str]] = json.loads((Path(__file__).parent / "data/messages.json").read_text())
ROLE_HASH = 7
TTL_MS = 8
LOG_NAME_HASH = 7


class Group(NamedTuple):
    """Messages of one union: their examples, and how they become bytes and are read again."""

    examples: dict[str, Struct]
    encode: Callable[[Any], bytes]
    decode: Callable[[bytes, Any], Any]
    union: Any = None  # None: each is read as its own class


def in_lease(message: Any) -> bytes:
    """A lease's message goes inside a `LeaseMessage`."""
    return msgspec.msgpack.encode(
        lease_messages.LeaseMessage(role_hash=ROLE_HASH, ttl_ms=TTL_MS, message=message)
    )


def out_of_lease(payload: bytes, _: Any) -> Any:
    """The message inside a `LeaseMessage`."""
    return msgspec.msgpack.decode(payload, type=lease_messages.LeaseMessage).message


def in_log(message: Any) -> bytes:
    """A replicated log's message goes inside a `LogEnvelope`."""
    return msgspec.msgpack.encode(log_messages.LogEnvelope(log_name_hash=LOG_NAME_HASH, message=message))


def out_of_log(payload: bytes, _: Any) -> Any:
    """The message inside a `LogEnvelope`."""
    return msgspec.msgpack.decode(payload, type=log_messages.LogEnvelope).message


def decode_msgpack(payload: bytes, expected: Any) -> Any:
    """What msgspec reads."""
    return msgspec.msgpack.decode(payload, type=expected)


def decode_record(payload: bytes, _: Any) -> Any:
    """A record of the control log."""
    return log_records.decode_record(payload)


GROUPS = {
    "edge_messages": Group(
        session_examples.EDGE_MESSAGES,
        session_messages.encode,
        session_messages.decode,
        session_messages.EdgeMessage,
    ),
    "control_messages": Group(
        session_examples.CONTROL_MESSAGES,
        session_messages.encode,
        session_messages.decode,
        session_messages.ControlMessage,
    ),
    "peer_messages": Group(
        peer_examples.PEER_MESSAGES,
        session_messages.encode,
        session_messages.decode,
        peer_messages.PeerHello
        | peer_messages.SessionTable
        | peer_messages.DiscoveryLeaseMessage
        | peer_messages.QuotaMessage,
    ),
    "replica_messages": Group(
        replica_examples.REPLICA_MESSAGES,
        session_messages.encode,
        session_messages.decode,
        replica_messages.ReplicaMessage,
    ),
    "log_records": Group(replica_examples.LOG_RECORDS, log_records.encode_record, decode_record),
    "fleet_messages": Group(
        fleet_examples.FLEET_MESSAGES, msgspec.msgpack.encode, decode_msgpack, fleet_frame.Message
    ),
    "lease_messages": Group(fleet_examples.LEASE_MESSAGES, in_lease, out_of_lease),
    "log_words": Group(fleet_examples.LOG_WORDS, in_log, out_of_log),
    "booking_orders": Group(booking_examples.BOOKING_ORDERS, msgspec.msgpack.encode, decode_msgpack),
}
CASES = [(group, name) for group in GROUPS for name in GOLDEN[group]]


def test_every_message_of_the_earlier_version_has_an_example() -> None:
    assert {name: set(group.examples) for name, group in GROUPS.items()} == {
        name: set(rows) for name, rows in GOLDEN.items()
    }


def test_every_message_of_a_union_is_covered() -> None:
    assert members(session_messages.EdgeMessage) == classes("edge_messages")
    assert members(session_messages.ControlMessage) == classes("control_messages")
    assert members(replica_messages.ReplicaMessage) == classes("replica_messages")
    assert members(log_records.Record) == classes("log_records")
    assert members(fleet_frame.Message) - {bytes} == classes("fleet_messages")
    assert members(lease_messages.LeaseProtocolMessage) == classes("lease_messages")
    assert members(log_messages.LogMessage) == classes("log_words")
    assert members(booking_messages.BookingCommand) <= classes("booking_orders")


@pytest.mark.parametrize(("group", "name"), CASES)
def test_a_message_has_its_earlier_bytes(group: str, name: str) -> None:
    example = GROUPS[group].examples[name]
    assert GROUPS[group].encode(example).hex() == GOLDEN[group][name]


@pytest.mark.parametrize(("group", "name"), CASES)
def test_earlier_bytes_are_read_as_the_same_message(group: str, name: str) -> None:
    _, _, decode, union = GROUPS[group]
    example = GROUPS[group].examples[name]
    read = decode(bytes.fromhex(GOLDEN[group][name]), union or type(example))
    assert read == example
    assert type(read) is type(example)


def members(union: Any) -> set[type]:
    """The classes of a union."""
    return set(union.__args__)


def classes(group: str) -> set[type]:
    """The classes that a group has examples of."""
    return {type(example) for example in GROUPS[group].examples.values()}
