"""Frames: encoded messages are decoded unchanged, within the size limit of a datagram."""

from __future__ import annotations

import pytest

from reedspoke.fleet.messages.failure_detector import Ack, MemberUpdate, Ping
from reedspoke.fleet.messages.frame import (
    Frame,
    Message,
    decode_frame,
    encode_frames,
    frame_from_text,
    frame_to_text,
    is_newer_sequence,
)
from reedspoke.fleet.messages.lease import LeaseHeld, LeaseMessage, LeaseReleased, PrepareResponse
from reedspoke.fleet.messages.sizes import MAX_DATAGRAM_BYTES, MAX_FRAME_BYTES
from reedspoke.fleet.messages.worker_load import (
    MAX_LOADS_PER_REPORT,
    WORK_UNIT_US,
    LoadReport,
    WorkerLoad,
    decode_loads,
    encode_loads,
)

MESSAGES: list[Message] = [
    Ping(65535),
    Ack(0),
    MemberUpdate(199, 4095, 7, 2),
    LeaseMessage(9, 3000, PrepareResponse(1 << 63, 5)),
    LeaseMessage(9, 0, LeaseReleased(4, -1)),
    LeaseHeld(3, 1 << 62, 3000),
    *encode_loads([WorkerLoad(7, 3, 40 * WORK_UNIT_US), WorkerLoad(65535, 0, 0.0)]),
]


def test_a_frame_is_decoded_unchanged_from_bytes_and_from_text() -> None:
    (body,) = encode_frames(199, 4095, 4095, MESSAGES)
    assert decode_frame(frame_from_text(frame_to_text(body))).messages == MESSAGES
    assert decode_frame(body) == Frame(sender=199, incarnation=4095, sequence=4095, messages=MESSAGES)


def test_no_frame_exceeds_the_size_of_a_datagram() -> None:
    """The platform invalidates a run in which a longer datagram is sent."""
    loads = [WorkerLoad(worker, 255, 1e12) for worker in range(MAX_LOADS_PER_REPORT * 3)]
    bodies = encode_frames(1, 2, 4095, [*MESSAGES * 9, *encode_loads(loads)])
    assert all(len(body) <= MAX_FRAME_BYTES for body in bodies)
    assert all(len(frame_to_text(body)) <= MAX_DATAGRAM_BYTES for body in bodies)
    messages = [message for body in bodies for message in decode_frame(body).messages]
    reports = [message for message in messages if isinstance(message, LoadReport)]
    assert sum(len(decode_loads(report)) for report in reports) == len(loads) + 18
    assert [decode_frame(body).sequence for body in bodies][:2] == [4095, 0]


@pytest.mark.parametrize(
    ("sequence", "than", "is_newer"), [(1, 0, True), (0, 4095, True), (5, 5, False), (4, 5, False)]
)
def test_sequence_numbers_wrap(sequence: int, than: int, is_newer: bool) -> None:
    assert is_newer_sequence(sequence, than) is is_newer
