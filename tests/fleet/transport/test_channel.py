"""The channel: frames that are not accepted are counted by reason."""

from __future__ import annotations

import pytest

from reedspoke.fleet.messages.errors import FrameError
from reedspoke.fleet.messages.failure_detector import Ping
from reedspoke.fleet.messages.frame import decode_frame, encode_frames
from reedspoke.fleet.transport.channel import FrameChannel
from tests.fleet.messages.test_frame import MESSAGES

VERSION_2 = b"\x20"


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"\x00\xff",
        b"hello there",
        b"~" * 300,
        encode_frames(1, 2, 3, MESSAGES)[0][:-2],
        b"0" * 20,
        encode_frames(1, 2, 3, [])[:1] or VERSION_2 + bytes(4) + b"\xc0",
        VERSION_2 + bytes(4) + b"\x91\x92\x01\xff",
    ],
    ids=["empty", "bytes", "text", "long", "truncated", "version", "nil", "below"],
)
def test_a_malformed_frame_is_counted_and_dropped(body: bytes) -> None:
    channel = FrameChannel(0, 4, 1)
    assert channel.receive(body) is None
    assert channel.counters["malformed"] == 1
    with pytest.raises(FrameError):
        decode_frame(body)


@pytest.mark.parametrize(
    ("sender", "by_address"),
    [(1, 1), (3, 3), (700, -1), (2, 0)],
    ids=["itself", "member 3", "member 700", "forged address"],
)
def test_frames_of_unknown_senders_and_of_this_member_are_ignored(sender: int, by_address: int) -> None:
    channel = FrameChannel(1, 3, 5)
    assert channel.receive(encode_frames(sender, 1, 1, [Ping(1)])[0], by_address) is None
    assert channel.counters["unknown_sender"] == 1
