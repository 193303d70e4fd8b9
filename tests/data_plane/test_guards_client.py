"""Guards of client connections, one at a time: heads at their size limit."""

from __future__ import annotations

from tests.data_plane.world import LIMITS, NON_IDEMPOTENT, World, request_bytes

MAX_HEAD_BYTES = LIMITS["max_header_bytes"]
STATUS_HEAD_TOO_LARGE = 431
BLANK_LINE = b"\r\n"


def _request_with_head_of(size: int) -> bytes:
    """A request without a body whose head has this many bytes, including its last blank line."""
    shortest = len(request_bytes(NON_IDEMPOTENT, body=b"", X_Padding="x"))
    return request_bytes(NON_IDEMPOTENT, body=b"", X_Padding="x" * (1 + size - shortest))


def test_a_head_of_the_largest_size_is_read(world: World) -> None:
    request = _request_with_head_of(MAX_HEAD_BYTES)
    assert len(request) == MAX_HEAD_BYTES
    world.client().send(request)
    assert len(world.arrivals) == 1


def test_a_head_that_arrives_at_once_and_is_a_byte_too_large_is_refused(world: World) -> None:
    client = world.client()
    client.send(_request_with_head_of(MAX_HEAD_BYTES + 1))
    assert client.answer().status == STATUS_HEAD_TOO_LARGE
    assert world.arrivals == []


def test_blank_lines_before_a_request_count_as_its_head(world: World) -> None:
    client = world.client()
    client.send(BLANK_LINE * (MAX_HEAD_BYTES // len(BLANK_LINE) + 1))
    assert client.answer().status == STATUS_HEAD_TOO_LARGE
