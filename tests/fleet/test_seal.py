"""Sealed frames: who has no key cannot speak for a member, and keys change while the fleet talks."""

from __future__ import annotations

from pathlib import Path

import pytest

from reedspoke.fleet.frames import Ping, frames
from reedspoke.fleet.mail import Mail
from reedspoke.fleet.seal import Keys, KeysError, load

OLD, NEW = "11" * 16, "ab" * 32


def heard(sender: Keys | None, receiver: Keys, spoil: int = -1) -> bool:
    (body,) = Mail(1, 3, 5, sender).pack([Ping(1)])
    if spoil >= 0:
        body = body[:spoil] + bytes([body[spoil] ^ 1]) + body[spoil + 1 :]
    mail = Mail(0, 3, 1, receiver)
    taken = mail.take(body, 1) is not None
    assert mail.counted["unsealed"] == (not taken)
    return taken


@pytest.mark.parametrize(
    ("sender", "receiver", "hears"),
    [(OLD, OLD, True), (OLD, f"{OLD}\n{NEW}", True), (f"{OLD}\n{NEW}", OLD, True),
     (f"{NEW}\n{OLD}", f"{OLD}\n{NEW}", True), (NEW, f"{NEW}\n# {OLD}", True), (NEW, OLD, False)],
    ids=["one", "added behind", "and not yet here", "before", "the old one gone", "another"],
)  # fmt: skip
def test_keys_change_at_one_member_after_another(sender: str, receiver: str, hears: bool) -> None:
    assert heard(Keys(sender), Keys(receiver)) is hears


@pytest.mark.parametrize("spoil", [0, 7, 8, 12, -2])
def test_what_is_not_sealed_or_was_changed_is_counted_and_dropped(spoil: int) -> None:
    length = len(frames(1, 5, 1, [Ping(1)])[0]) + 8
    assert not heard(Keys(OLD), Keys(OLD), spoil % length)
    assert not heard(None, Keys(OLD))


@pytest.mark.parametrize(
    ("text", "why"),
    [("", "0 keys"), ("xyz", "line 1 is not hex"), ("00", "line 1 has 1 bytes"),
     (f"{OLD}\n{OLD}", "line 2 is"), ("\n".join(f"{at:02x}" * 16 for at in range(5)), "5 keys")],
)  # fmt: skip
def test_a_file_that_is_unusable_is_told(text: str, why: str, tmp_path: Path) -> None:
    file = tmp_path / "keys"
    file.write_text(text)
    file.chmod(0o600)
    with pytest.raises(KeysError, match=why):
        load(file)
    file.chmod(0o644)
    with pytest.raises(KeysError, match="others can read it"):
        load(file)
    with pytest.raises(KeysError, match="no plain file"):
        load(tmp_path)
