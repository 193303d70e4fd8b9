"""Each message between data plane and control plane, to bytes and back."""

from __future__ import annotations

import msgspec
import pytest
from msgspec import Struct

from reedspoke.common.messages import (
    ConfigurationDelta,
    ConfigurationSnapshot,
    ControlMember,
    ControlMessage,
    EdgeMember,
    EdgeMessage,
    FetchRequest,
    MemberList,
    UnconfirmedResponse,
    WatchRequest,
    WatchResponse,
    WorkerEntry,
    WorkerList,
    decode,
    encode,
)

WORKER = WorkerEntry("i-1", "u1", "10.0.0.1:80", "za", "v1", 64, False, 1500.5, ("m", "n"))
EDGE_MESSAGES: list[Struct] = [
    WatchRequest(1, "edge-1", "ab12", "za", {}),
    WatchRequest(2**40, "edge-1", "ab12", "zä", {"workers": (3, 4)}, {"i-1": (2, 300)}, True),
    FetchRequest("configuration"),
    FetchRequest("workers", (7, 9)),
    FetchRequest("configuration", allow_unconfirmed=True),
]
CONTROL_MESSAGES: list[Struct] = [
    WatchResponse(1, "core-1", {"configuration": (5, 0), "workers": (2, 3), "members": (0, 1)}),
    WatchResponse(1, "core-1", {}, {"i-1": (0, 0)}),
    WatchResponse(2, "core-1", {"configuration": (5, 9)}, {}, 0.4, 0.25),
    UnconfirmedResponse(3, "core-2", (ControlMember("10.0.0.3:7660", "za"),), {"configuration": (5, 9)}),
    UnconfirmedResponse(4, "core-2"),
    WorkerList((1, 2), ()),
    WorkerList((1, 2), (WORKER, WorkerEntry("i-2", "u2", "10.0.0.2:80", "zb", "v2", 1, True))),
    ConfigurationSnapshot((5, 0), b'{"generation":1}\x00\xff'),
    ConfigurationDelta((5, 0), (8, 0), 12, b"[]", ("r1", "r2"), b"[{}]", ("u1",), b"{}"),
    ConfigurationDelta((5, 0), (8, 0), 12, b"", (), b"", ()),
    MemberList((0, 3), (ControlMember("10.0.0.3:7660", "za"),), (EdgeMember("edge-1", "ab12", "za"),)),
    MemberList((0, 0), (), ()),
]


@pytest.mark.parametrize("message", EDGE_MESSAGES, ids=lambda message: type(message).__name__)
def test_messages_of_the_data_plane_are_decoded(message: Struct) -> None:
    assert decode(encode(message), EdgeMessage) == message


@pytest.mark.parametrize("message", CONTROL_MESSAGES, ids=lambda message: type(message).__name__)
def test_messages_of_the_control_plane_are_decoded(message: Struct) -> None:
    assert decode(encode(message), ControlMessage) == message


@pytest.mark.parametrize("message", CONTROL_MESSAGES, ids=lambda message: type(message).__name__)
def test_a_message_of_another_type_is_rejected(message: Struct) -> None:
    with pytest.raises(msgspec.ValidationError):
        decode(encode(message), EdgeMessage)


@pytest.mark.parametrize(
    "message", EDGE_MESSAGES + CONTROL_MESSAGES, ids=lambda message: type(message).__name__
)
def test_every_truncation_of_a_message_is_rejected(message: Struct) -> None:
    payload = encode(message)
    expected = EdgeMessage if message in EDGE_MESSAGES else ControlMessage
    for length in range(len(payload)):
        with pytest.raises(ValueError):  # noqa: PT011 - both libraries' errors are ValueErrors
            decode(payload[:length], expected)


def test_fields_that_a_later_version_adds_are_ignored() -> None:
    import ormsgpack

    later = ormsgpack.packb(["fetch", "workers", [1, 2], True, "a later field"])
    assert decode(later, EdgeMessage) == FetchRequest("workers", (1, 2), True)


def test_fields_that_an_earlier_version_lacks_take_their_defaults() -> None:
    import ormsgpack

    earlier = ormsgpack.packb(["watch", 1, "edge-1", "ab12", "za", {}])
    assert decode(earlier, EdgeMessage) == WatchRequest(1, "edge-1", "ab12", "za", {})
