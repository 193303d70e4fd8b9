"""Keys that schedulers seal their frames with, where an operator gives them: who has none of them cannot
speak for a member, whatever address it sends from.

The file has one key a line, hexadecimal, 16 to 64 bytes; the first one seals, each of them is accepted, so
that a new key is put behind the old one at every member, then before it, and then the old one is taken out.
A seal is keyed BLAKE2b (RFC 7693), cut to 8 bytes: a frame lives for seconds, and a wrong guess costs a
datagram. No I/O here but `load`.
"""

from __future__ import annotations

import hmac
import os
import stat
from hashlib import blake2b
from pathlib import Path

from reedspoke.errors import ReedspokeError

SEAL = 8  # bytes
LEAST, MOST = 16, 64  # bytes of a key
MOST_KEYS = 4
MOST_FILE = 4096
PERSON = b"reedspoke-fleet"


class KeysError(ReedspokeError, ValueError):
    """The file is unusable; the text says why."""

    code = "fleet-keys-unusable"
    remedy = "mend the file of fleet.key_file; the old keys stay in force"


class Keys:
    """Raises KeysError for a text that is not as above."""

    def __init__(self, text: str) -> None:
        self._keys: list[bytes] = []
        for number, line in enumerate((part.strip() for part in text.splitlines()), 1):
            if not line or line.startswith("#"):
                continue
            try:
                key = bytes.fromhex(line)
            except ValueError:
                raise KeysError(f"line {number} is not hexadecimal") from None
            if not LEAST <= len(key) <= MOST:
                raise KeysError(f"line {number} has {len(key)} bytes, not {LEAST} to {MOST}")
            if key in self._keys:
                raise KeysError(f"line {number} is there twice")
            self._keys.append(key)
        if not 1 <= len(self._keys) <= MOST_KEYS:
            raise KeysError(f"it has {len(self._keys)} keys, not 1 to {MOST_KEYS}")

    def __repr__(self) -> str:  # keys must not get into a trace
        return f"<Keys {len(self._keys)}>"

    def seal(self, body: bytes) -> bytes:
        return _mac(self._keys[0], body) + body

    def open(self, data: bytes) -> bytes | None:
        """What was sealed; None: by none of these keys."""
        told, body = data[:SEAL], data[SEAL:]
        # All are tried, whichever fits: the time taken tells nothing of which one it was.
        fits = [hmac.compare_digest(_mac(key, body), told) for key in self._keys]
        return body if any(fits) else None


def _mac(key: bytes, body: bytes) -> bytes:
    return blake2b(body, digest_size=SEAL, key=key, person=PERSON).digest()


def load(path: str | Path) -> Keys:
    """Raises KeysError, also for a file that others can read."""
    try:
        fd = os.open(path, os.O_RDONLY | os.O_NONBLOCK)
    except OSError as error:
        raise KeysError(f"{path}: cannot be read: {error.strerror}") from None
    try:
        found = os.fstat(fd)
        if not stat.S_ISREG(found.st_mode):
            raise KeysError(f"{path}: it is no plain file")
        if found.st_mode & 0o077:
            raise KeysError(f"{path}: others can read it: its mode is {found.st_mode & 0o777:04o}, not 0600")
        raw = os.read(fd, MOST_FILE + 1)
    finally:
        os.close(fd)
    if len(raw) > MOST_FILE:
        raise KeysError(f"{path}: it is too large")
    try:
        return Keys(raw.decode("ascii"))
    except UnicodeDecodeError:
        raise KeysError(f"{path}: it is no text of ASCII") from None
    except KeysError as error:
        raise KeysError(f"{path}: {error}") from None
