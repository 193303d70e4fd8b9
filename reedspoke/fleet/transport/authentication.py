"""Authentication of frames with shared keys, if an operator configures them.

A sender without a key cannot impersonate a member, even with a forged source address. The key file has one
key per line, hexadecimal, 16 to 64 bytes; blank lines and lines that start with `#` are skipped. The first
key signs, and all keys are accepted for verification. To rotate keys without downtime, append the new key on
every member, then move it to the first line on every member, then remove the old one.

The authentication code is keyed BLAKE2b (RFC 7693), truncated to 8 bytes: a frame is valid for seconds only,
and each wrong guess costs an attacker a datagram. Only `load_keys` performs I/O.
"""

from __future__ import annotations

import hmac
import os
import stat
from hashlib import blake2b
from pathlib import Path

from reedspoke.errors import ReedspokeError

CODE_BYTES = 8
MIN_KEY_BYTES, MAX_KEY_BYTES = 16, 64
MAX_KEYS = 4
MAX_FILE_BYTES = 4096
PERSONALIZATION = b"reedspoke-fleet"
PERMISSIONS_OF_OTHERS = 0o077


class FrameKeysError(ReedspokeError, ValueError):
    """The key file is unusable; the text names the reason."""

    code = "fleet-keys-unusable"
    remedy = "correct the file that fleet.key_file names; the old keys stay in use"


class FrameKeys:
    """The keys of a key file, which authenticate frames."""

    def __init__(self, text: str) -> None:
        """Parses the text of a key file. Raises FrameKeysError."""
        self._keys: list[bytes] = []
        for number, line in enumerate((line.strip() for line in text.splitlines()), 1):
            if line and not line.startswith("#"):
                self._add(line, number)
        if not 1 <= len(self._keys) <= MAX_KEYS:
            raise FrameKeysError(f"the file has {len(self._keys)} keys, not 1 to {MAX_KEYS}")

    def _add(self, line: str, number: int) -> None:
        try:
            key = bytes.fromhex(line)
        except ValueError as error:
            raise FrameKeysError(f"line {number} is not hexadecimal") from error
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            allowed = f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
            raise FrameKeysError(f"line {number} has {len(key)} bytes, not {allowed}")
        if key in self._keys:
            raise FrameKeysError(f"line {number} is a duplicate of an earlier key")
        self._keys.append(key)

    def __repr__(self) -> str:
        """Shows only the number of keys, so that no key gets into a log or a traceback."""
        return f"<FrameKeys {len(self._keys)}>"

    def sign(self, body: bytes) -> bytes:
        """Returns the body, preceded by its authentication code."""
        return _authentication_code(self._keys[0], body) + body

    def verify(self, data: bytes) -> bytes | None:
        """Returns the body of a signed frame, or None if no key matches."""
        code, body = data[:CODE_BYTES], data[CODE_BYTES:]
        # All keys are tried even after a match, so that the time taken does not reveal which key matches.
        matches = [hmac.compare_digest(_authentication_code(key, body), code) for key in self._keys]
        return body if any(matches) else None


def _authentication_code(key: bytes, body: bytes) -> bytes:
    return blake2b(body, digest_size=CODE_BYTES, key=key, person=PERSONALIZATION).digest()


def load_keys(path: str | Path) -> FrameKeys:
    """Reads a key file. Raises FrameKeysError, also if other users can read the file."""
    raw = _read_private_file(path)
    if len(raw) > MAX_FILE_BYTES:
        raise FrameKeysError(f"{path}: the file is larger than {MAX_FILE_BYTES} bytes")
    try:
        return FrameKeys(raw.decode("ascii"))
    except UnicodeDecodeError as error:
        raise FrameKeysError(f"{path}: the file is not ASCII text") from error
    except FrameKeysError as error:
        raise FrameKeysError(f"{path}: {error}") from error


def _read_private_file(path: str | Path) -> bytes:
    """Reads at most MAX_FILE_BYTES and one byte of a regular file that only its owner can access."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    except OSError as error:
        raise FrameKeysError(f"{path}: the file cannot be read: {error.strerror}") from error
    try:
        # The descriptor is checked instead of the path, whose file could be replaced before the read.
        status = os.fstat(descriptor)
        if not stat.S_ISREG(status.st_mode):
            raise FrameKeysError(f"{path}: not a regular file")
        if status.st_mode & PERMISSIONS_OF_OTHERS:
            mode = status.st_mode & 0o777
            raise FrameKeysError(f"{path}: other users can read the file: its mode is {mode:04o}, not 0600")
        return os.read(descriptor, MAX_FILE_BYTES + 1)
    finally:
        os.close(descriptor)
