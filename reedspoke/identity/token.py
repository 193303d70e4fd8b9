"""A signed token: what it must be to be believed (RFC 7519, RFC 8725). No I/O and no clock of its own.

Nothing in the token chooses how it is verified: its kid names a key, and that key has one algorithm and
one issuer. `jwk`, `jku`, `x5u` and `x5c` in its header are not looked at. Times are us of Unix time.
"""

from __future__ import annotations

import base64
import binascii
import json
import re
from dataclasses import dataclass
from typing import Any

from joserfc import jws
from joserfc.errors import JoseError

from reedspoke.errors import ReedspokeError
from reedspoke.identity.keys import Key, Ring

SECOND = 1_000_000
MOST_BYTES = 8 * 1024
MOST_TEXT = 256
SEGMENT = re.compile(r"[A-Za-z0-9_-]+")
TYPES = frozenset(("jwt", "application/jwt", "at+jwt", "application/at+jwt"))


@dataclass(slots=True, frozen=True)
class Policy:
    audience: str
    skew: int = 30 * SECOND  # that clocks may differ by
    longest: int = 86_400 * SECOND  # between issue and expiry
    needs_id: bool = False  # a jti, where replay is forbidden


@dataclass(slots=True, frozen=True)
class Claims:
    """What a believed token says."""

    issuer: str
    subject: str
    kid: str
    expires: int
    id: str = ""
    bound_to: str = ""  # SHA-256 of the client certificate that must come with it, base64url (RFC 8705)


class RefusedError(ReedspokeError):
    """It is not believed. `reason` is stable, for figures and audit; nothing of the token is in it."""

    code = "token-refused"
    remedy = "look up the reason in docs/identity.md; the caller needs a fresh token or another key"

    def __init__(self, reason: str, kid: str = "") -> None:
        super().__init__(reason)
        self.reason, self.kid = reason, kid


def verify(token: str, ring: Ring, policy: Policy, now: int) -> Claims:
    """Raises RefusedError and nothing else, whatever the token is."""
    header, payload = _parts(token)
    key = _key(header, ring)
    if not key.span.verifies(now, policy.skew):
        raise RefusedError("key_gone" if now >= key.span.starts else "key_not_in_use", key.kid)
    try:
        found = jws.deserialize_compact(token, key.public, algorithms=[key.algorithm])
    except (JoseError, ValueError, TypeError, KeyError):
        raise RefusedError("signature", key.kid) from None
    if found.payload != payload:
        raise RefusedError("signature", key.kid)
    return _claims(_object(payload), key, policy, now)


def _parts(token: str) -> tuple[dict[str, Any], bytes]:
    if len(token) > MOST_BYTES:
        raise RefusedError("too_large")
    segments = token.split(".")
    if len(segments) != 3 or not all(SEGMENT.fullmatch(part) for part in segments):
        raise RefusedError("malformed")
    return _object(_decoded(segments[0])), _decoded(segments[1])


def _decoded(segment: str) -> bytes:
    """Only the one form of each text (RFC 7515, 2): no bits beyond the last byte."""
    try:
        raw = base64.urlsafe_b64decode(segment + "=" * (-len(segment) % 4))
    except (binascii.Error, ValueError):
        raise RefusedError("malformed") from None
    if base64.urlsafe_b64encode(raw).rstrip(b"=").decode() != segment:
        raise RefusedError("malformed")
    return raw


def _object(raw: bytes) -> dict[str, Any]:
    """A JSON object that says each thing once and has no figures that are none."""

    def once(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        if len(dict(pairs)) != len(pairs):
            raise ValueError("twice")
        return dict(pairs)

    def none(_: str) -> Any:
        raise ValueError("no figure")

    try:
        told = json.loads(raw.decode(), object_pairs_hook=once, parse_constant=none)
    except (ValueError, RecursionError):
        raise RefusedError("malformed") from None
    if not isinstance(told, dict):
        raise RefusedError("malformed")
    return told


def _key(header: dict[str, Any], ring: Ring) -> Key:
    kid = header.get("kid")
    if not isinstance(kid, str):
        raise RefusedError("no_kid")
    key = ring.find(kid)
    if key is None:
        raise RefusedError("unknown_kid")
    if header.get("alg") != key.algorithm:
        raise RefusedError("algorithm", key.kid)
    if "crit" in header or "b64" in header or "zip" in header or "enc" in header:
        raise RefusedError("unsupported", key.kid)
    kind = header.get("typ", "JWT")
    if not isinstance(kind, str) or kind.lower() not in TYPES:
        raise RefusedError("type", key.kid)
    return key


def _claims(told: dict[str, Any], key: Key, policy: Policy, now: int) -> Claims:
    def refused(reason: str) -> RefusedError:
        return RefusedError(reason, key.kid)

    if told.get("iss") != key.issuer:
        raise refused("issuer")
    audience = told.get("aud")
    if policy.audience not in (audience if isinstance(audience, list) else [audience]):
        raise refused("audience")
    expires, begins, issued = (_time(told, name, refused) for name in ("exp", "nbf", "iat"))
    if expires is None:
        raise refused("no_expiry")
    if now >= expires + policy.skew:
        raise refused("expired")
    if begins is not None and now + policy.skew < begins:
        raise refused("not_yet")
    if issued is not None and now + policy.skew < issued:
        raise refused("not_yet")
    if expires - (issued if issued is not None else now) > policy.longest:
        raise refused("too_long")
    subject, name = (_text(told, claim, refused) for claim in ("sub", "jti"))
    if not subject:
        raise refused("no_subject")
    if policy.needs_id and not name:
        raise refused("no_id")
    bound = told.get("cnf", {})
    if not isinstance(bound, dict) or (bound and not isinstance(bound.get("x5t#S256"), str)):
        raise refused("binding")  # another kind of binding, which is not checked here, is not passed over
    return Claims(key.issuer, subject, key.kid, expires, name, bound.get("x5t#S256", ""))


def _time(told: dict[str, Any], name: str, refused: Any) -> int | None:
    value = told.get(name)
    if value is None and name not in told:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < 1e11:
        raise refused("malformed")
    return int(value * SECOND)


def _text(told: dict[str, Any], name: str, refused: Any) -> str:
    value = told.get(name, "")
    if not isinstance(value, str) or len(value) > MOST_TEXT:
        raise refused("malformed")
    return value
