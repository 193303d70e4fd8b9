"""Key sets from files: a JWKS (RFC 7517) whose keys may say when they are valid. Decisions are in `keys`."""

from __future__ import annotations

import json
from collections.abc import Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

from reedspoke.errors import ReedspokeError
from reedspoke.identity.keys import KeySet, KeyValidity, UnusableKeyError, VerificationKey, parse_jwk
from reedspoke.operator.types import Identity, TokenIssuer

MAX_FILE_BYTES = 1024 * 1024
MICROSECONDS = 1_000_000
VALIDITY_MEMBER = "reedspoke"  # of a key, with the members below
TIME_MEMBERS = ("starts", "retires", "gone")
LEAKED_MEMBER = "leaked"


class KeySetError(ReedspokeError):
    """A key set cannot be used; the text names the file and says why."""

    code = "key-set-unusable"
    remedy = "mend the file that the message names; the last good one stays in force"


def parse_validity(member: Any) -> KeyValidity:
    """The member `reedspoke` of a key: times as RFC 3339, and `leaked`. Raises ValueError."""
    if member is None:
        return KeyValidity()
    if not isinstance(member, dict) or not member.keys() <= {*TIME_MEMBERS, LEAKED_MEMBER}:
        raise ValueError("its times are malformed")
    times = {name: _parse_time(name, member[name]) for name in TIME_MEMBERS if name in member}
    return KeyValidity(**times, leaked=member.get(LEAKED_MEMBER) is True)


def _parse_time(name: str, text: Any) -> int:
    """Microseconds of Unix time."""
    moment = datetime.fromisoformat(str(text))
    if moment.tzinfo is None:
        raise ValueError(f"{name} has no time zone")
    return int(moment.timestamp() * MICROSECONDS)


def parse_key_set(raw: bytes, issuer: TokenIssuer, where: str) -> list[VerificationKey]:
    """All keys of a set; `where` is named in errors. Raises KeySetError.

    One key that cannot be used makes the whole set unusable: a set that shrinks unseen would reject callers.
    """
    try:
        listed = json.loads(raw)["keys"]
        if not isinstance(listed, list) or not listed:
            raise ValueError("it names no key")
        return [
            parse_jwk(jwk, issuer.issuer, issuer.algorithms, parse_validity(jwk.get(VALIDITY_MEMBER)))
            for jwk in listed
        ]
    except (ValueError, KeyError, TypeError, AttributeError, UnusableKeyError) as error:
        raise KeySetError(f"{where}: unusable key set: {error}") from None  # the cause may quote the file


def load_key_set(identity: Identity) -> KeySet:
    """The keys of all issuers that the operator file names. Raises KeySetError."""
    keys: list[VerificationKey] = []
    for issuer in identity.issuers:
        try:
            raw = Path(issuer.keys_file).read_bytes()
        except OSError as error:
            raise KeySetError(f"{issuer.keys_file}: cannot be read: {error.strerror}") from error
        if len(raw) > MAX_FILE_BYTES:
            raise KeySetError(f"{issuer.keys_file}: too large")
        keys += parse_key_set(raw, issuer, issuer.keys_file)
    try:
        return KeySet(keys)
    except UnusableKeyError as error:
        raise KeySetError(f"identity.issuers: {error}") from error


def file_stamps(identity: Identity) -> Sequence[tuple[int, int]]:
    """Inode and time of change of each file of keys; they differ whenever a file is replaced."""
    stamps = []
    for issuer in identity.issuers:
        try:
            status = Path(issuer.keys_file).stat()
            stamps.append((status.st_ino, status.st_mtime_ns))
        except OSError:
            stamps.append((0, 0))
    return stamps
