"""Key sets from files: a JWKS whose keys may say when they count. Reading is here, deciding in `keys`."""

from __future__ import annotations

import json
from collections.abc import Sequence
from datetime import datetime
from pathlib import Path
from typing import Any

from reedspoke.errors import ReedspokeError
from reedspoke.identity.keys import Key, Ring, Span, UnusableKeyError, read
from reedspoke.operator.types import Identity, TokenIssuer

MOST_BYTES = 1024 * 1024
TIMES = ("starts", "retires", "gone")


class SourceError(ReedspokeError):
    """A key set cannot be used; the text names the file and says why."""

    code = "key-set-unusable"
    remedy = "mend the file that the message names; the last good one stays in force"


def span(told: Any) -> Span:
    """`reedspoke` in a key: times as RFC 3339, and `leaked`. Raises ValueError."""
    if told is None:
        return Span()
    if not isinstance(told, dict) or not told.keys() <= {*TIMES, "leaked"}:
        raise ValueError("its times are malformed")
    at = {}
    for name in TIMES:
        if name in told:
            moment = datetime.fromisoformat(str(told[name]))
            if moment.tzinfo is None:
                raise ValueError(f"{name} has no time zone")
            at[name] = int(moment.timestamp() * 1_000_000)
    return Span(**at, leaked=told.get("leaked") is True)


def keys_of(raw: bytes, issuer: TokenIssuer, where: str) -> list[Key]:
    """All keys of a set. One that cannot be used makes the whole set unusable: a set that shrinks unseen
    would refuse callers. Raises SourceError."""
    try:
        told = json.loads(raw)
        listed = told["keys"]
        if not isinstance(listed, list) or not listed:
            raise ValueError("it names no key")
        return [read(jwk, issuer.issuer, issuer.algorithms, span(jwk.get("reedspoke"))) for jwk in listed]
    except (ValueError, KeyError, TypeError, AttributeError, UnusableKeyError) as error:
        raise SourceError(f"{where}: unusable key set: {error}") from None


def ring(identity: Identity) -> Ring:
    """The keys of all issuers. Raises SourceError."""
    found: list[Key] = []
    for issuer in identity.issuers:
        try:
            raw = Path(issuer.keys_file).read_bytes()
        except OSError as error:
            raise SourceError(f"{issuer.keys_file}: cannot be read: {error.strerror}") from None
        if len(raw) > MOST_BYTES:
            raise SourceError(f"{issuer.keys_file}: too large")
        found += keys_of(raw, issuer, issuer.keys_file)
    try:
        return Ring(found)
    except UnusableKeyError as error:
        raise SourceError(f"identity.issuers: {error}") from None


def stamps(identity: Identity) -> Sequence[tuple[int, int]]:
    """Change whenever a file of keys is replaced."""
    told = []
    for issuer in identity.issuers:
        try:
            found = Path(issuer.keys_file).stat()
            told.append((found.st_ino, found.st_mtime_ns))
        except OSError:
            told.append((0, 0))
    return told
