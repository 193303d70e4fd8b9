"""Authentication of frames with shared keys, where an operator configures them.

Whoever has none of the keys cannot speak for a member, whatever address it sends from. The key file has one
key a line, hexadecimal, 16 to 64 bytes; blank lines and lines that begin with `#` are skipped. The first
key signs, and each of them is accepted. To rotate keys without downtime: append the new key on every
member, then move it to the first line on every member, then remove the old one.

The code is keyed BLAKE2b (RFC 7693), truncated to 8 bytes: a frame is of use for seconds only, and each wrong
guess costs an attacker a datagram. Only `load_keys` performs I/O.
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
    """The key file is unusable; the text says why."""

    code = "fleet-keys-unusable"
    remedy = "mend the file of fleet.key_file; the old keys stay in force"


class FrameKeys:
    """The keys of a key file, by which frames are authenticated."""

    def __init__(self, text: str) -> None:
        """Parses the text of a key file. Raises FrameKeysError."""
        self._keys: list[bytes] = []
        for number, line in enumerate((line.strip() for line in text.splitlines()), 1):
            if line and not line.startswith("#"):
                self._add(line, number)
        if not 1 <= len(self._keys) <= MAX_KEYS:
            raise FrameKeysError(f"it has {len(self._keys)} keys, not 1 to {MAX_KEYS}")

    def _add(self, line: str, number: int) -> None:
        try:
            key = bytes.fromhex(line)
        except ValueError as error:
            raise FrameKeysError(f"line {number} is not hexadecimal") from error
        if not MIN_KEY_BYTES <= len(key) <= MAX_KEY_BYTES:
            allowed = f"{MIN_KEY_BYTES} to {MAX_KEY_BYTES}"
            raise FrameKeysError(f"line {number} has {len(key)} bytes, not {allowed}")
        if key in self._keys:
            raise FrameKeysError(f"line {number} is there twice")
        self._keys.append(key)

    def __repr__(self) -> str:
        """The number of keys only: keys must not get into a log or a traceback."""
        return f"<FrameKeys {len(self._keys)}>"

    def sign(self, body: bytes) -> bytes:
        """The body behind its authentication code."""
        return _authentication_code(self._keys[0], body) + body

    def verify(self, data: bytes) -> bytes | None:
        """The body of a signed frame, or None where no key fits."""
        code, body = data[:CODE_BYTES], data[CODE_BYTES:]
        # Every key is tried, also behind one that fits, so that the time taken does not tell which one fits.
        matches = [hmac.compare_digest(_authentication_code(key, body), code) for key in self._keys]
        return body if any(matches) else None


def _authentication_code(key: bytes, body: bytes) -> bytes:
    return blake2b(body, digest_size=CODE_BYTES, key=key, person=PERSONALIZATION).digest()


def load_keys(path: str | Path) -> FrameKeys:
    """Reads a key file. Raises FrameKeysError, also for a file that other users can read."""
    raw = _read_private_file(path)
    if len(raw) > MAX_FILE_BYTES:
        raise FrameKeysError(f"{path}: it is too large")
    try:
        return FrameKeys(raw.decode("ascii"))
    except UnicodeDecodeError as error:
        raise FrameKeysError(f"{path}: it is no text of ASCII") from error
    except FrameKeysError as error:
        raise FrameKeysError(f"{path}: {error}") from error


def _read_private_file(path: str | Path) -> bytes:
    """At most one byte more than MAX_FILE_BYTES of a regular file of mode 0600."""
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    except OSError as error:
        raise FrameKeysError(f"{path}: cannot be read: {error.strerror}") from error
    try:
        # The open file is examined, not its path: another one could be put there in between.
        status = os.fstat(descriptor)
        if not stat.S_ISREG(status.st_mode):
            raise FrameKeysError(f"{path}: it is no plain file")
        if status.st_mode & PERMISSIONS_OF_OTHERS:
            mode = status.st_mode & 0o777
            raise FrameKeysError(f"{path}: others can read it: its mode is {mode:04o}, not 0600")
        return os.read(descriptor, MAX_FILE_BYTES + 1)
    finally:
        os.close(descriptor)
