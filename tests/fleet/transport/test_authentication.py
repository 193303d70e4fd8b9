"""Authenticated frames: only senders with a key are accepted, and keys are rotated without downtime."""

from __future__ import annotations

from pathlib import Path

import pytest

from reedspoke.fleet.messages.failure_detector import Ping
from reedspoke.fleet.messages.frame import encode_frames
from reedspoke.fleet.transport.authentication import CODE_BYTES, FrameKeys, FrameKeysError, load_keys
from reedspoke.fleet.transport.channel import FrameChannel

OLD, NEW = "11" * 16, "ab" * 32


def accepts(receiver: FrameKeys, sender: FrameKeys | None, corrupt_at: int | None = None) -> bool:
    """Returns whether a frame is accepted, if necessary with one bit of the byte at `corrupt_at` flipped."""
    (body,) = FrameChannel(1, 3, 5, sender).encode([Ping(1)])
    if corrupt_at is not None:
        body = body[:corrupt_at] + bytes([body[corrupt_at] ^ 1]) + body[corrupt_at + 1 :]
    channel = FrameChannel(0, 3, 1, receiver)
    accepted = channel.receive(body, 1) is not None
    assert channel.counters["unauthenticated"] == (not accepted)
    return accepted


@pytest.mark.parametrize(
    ("sender", "receiver", "accepted"),
    [(OLD, OLD, True), (OLD, f"{OLD}\n{NEW}", True), (f"{OLD}\n{NEW}", OLD, True),
     (f"{NEW}\n{OLD}", f"{OLD}\n{NEW}", True), (NEW, f"{NEW}\n# {OLD}", True), (NEW, OLD, False)],
    ids=["one key", "new key appended", "not yet appended here", "new key first", "old key removed", "other"],
)  # fmt: skip
def test_keys_are_rotated_on_one_member_after_another(sender: str, receiver: str, accepted: bool) -> None:
    assert accepts(FrameKeys(receiver), FrameKeys(sender)) is accepted


@pytest.mark.parametrize("corrupt_at", [0, 7, 8, 12, -2])
def test_a_frame_that_is_not_authentic_is_counted_and_dropped(corrupt_at: int) -> None:
    length = len(encode_frames(1, 5, 1, [Ping(1)])[0]) + CODE_BYTES
    assert not accepts(FrameKeys(OLD), FrameKeys(OLD), corrupt_at % length)
    assert not accepts(FrameKeys(OLD), None)


@pytest.mark.parametrize(
    ("text", "reason"),
    [("", "0 keys"), ("xyz", "line 1 is not hex"), ("00", "line 1 has 1 bytes"),
     (f"{OLD}\n{OLD}", "line 2 is"), ("\n".join(f"{at:02x}" * 16 for at in range(5)), "5 keys")],
)  # fmt: skip
def test_an_unusable_key_file_is_reported(text: str, reason: str, tmp_path: Path) -> None:
    file = tmp_path / "keys"
    file.write_text(text)
    file.chmod(0o600)
    with pytest.raises(FrameKeysError, match=reason):
        load_keys(file)
    file.chmod(0o644)
    with pytest.raises(FrameKeysError, match="other users can read the file"):
        load_keys(file)
    with pytest.raises(FrameKeysError, match="not a regular file"):
        load_keys(tmp_path)
