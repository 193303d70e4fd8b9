"""A signed token: what it must be to be accepted (RFC 7519, RFC 8725). Pure; no clock.

Nothing in the token chooses how it is verified: its kid names a key, and that key has one algorithm and one
issuer. `jwk`, `jku`, `x5u` and `x5c` in its header are not looked at. Times are microseconds of Unix time.

No error holds anything of the token, and none is chained to the library's, whose text might.
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
from reedspoke.identity.keys import KeySet, VerificationKey

SECOND_US = 1_000_000
MAX_TOKEN_BYTES = 8 * 1024
MAX_CLAIM_LENGTH = 256
MAX_UNIX_TIME_S = 1e11
SEGMENTS = 3  # header, payload, signature
SEGMENT_PATTERN = re.compile(r"[A-Za-z0-9_-]+")
TYPES = frozenset(("jwt", "application/jwt", "at+jwt", "application/at+jwt"))
UNSUPPORTED_HEADERS = frozenset(("crit", "b64", "zip", "enc"))


@dataclass(slots=True, frozen=True)
class TokenPolicy:
    """What the operator demands of tokens; times in microseconds."""

    audience: str
    skew: int = 30 * SECOND_US  # that clocks may differ by
    max_lifetime: int = 86_400 * SECOND_US  # between issue and expiry
    requires_id: bool = False  # a jti, where replay is forbidden


@dataclass(slots=True, frozen=True)
class Claims:
    """What an accepted token says."""

    issuer: str
    subject: str
    kid: str
    expires: int
    id: str = ""
    bound_to: str = ""  # SHA-256 of the client certificate that must come with it, base64url (RFC 8705)


class TokenRejectedError(ReedspokeError):
    """A token is not accepted. `reason` is stable, for metrics and audit; nothing of the token is in it."""

    code = "token-refused"
    remedy = "look up the reason in docs/identity.md; the caller needs a fresh token or another key"

    def __init__(self, reason: str, kid: str = "") -> None:
        super().__init__(reason)
        self.reason, self.kid = reason, kid


def verify_token(token: str, keys: KeySet, policy: TokenPolicy, now: int) -> Claims:
    """The claims. Raises TokenRejectedError and nothing else, whatever the token is."""
    header, payload = _header_and_payload(token)
    key = _verification_key(header, keys)
    if not key.validity.verifies(now, policy.skew):
        raise TokenRejectedError("key_gone" if now >= key.validity.starts else "key_not_in_use", key.kid)
    try:
        verified = jws.deserialize_compact(token, key.public, algorithms=[key.algorithm])
    except (JoseError, ValueError, TypeError, KeyError):
        raise TokenRejectedError("signature", key.kid) from None
    if verified.payload != payload:
        raise TokenRejectedError("signature", key.kid)
    return _ClaimReader(_json_object(payload), key, policy, now).read()


def _header_and_payload(token: str) -> tuple[dict[str, Any], bytes]:
    if len(token) > MAX_TOKEN_BYTES:
        raise TokenRejectedError("too_large")
    segments = token.split(".")
    if len(segments) != SEGMENTS or not all(SEGMENT_PATTERN.fullmatch(segment) for segment in segments):
        raise TokenRejectedError("malformed")
    return _json_object(_decode_segment(segments[0])), _decode_segment(segments[1])


def _decode_segment(segment: str) -> bytes:
    """Only the one form of each text (RFC 7515, 2): no bits beyond the last byte."""
    try:
        raw = base64.urlsafe_b64decode(segment + "=" * (-len(segment) % 4))
    except (binascii.Error, ValueError):
        raise TokenRejectedError("malformed") from None
    if base64.urlsafe_b64encode(raw).rstrip(b"=").decode() != segment:
        raise TokenRejectedError("malformed")
    return raw


def _json_object(raw: bytes) -> dict[str, Any]:
    """A JSON object that has each member once, and no numbers that are none."""

    def unique_members(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
        if len(dict(pairs)) != len(pairs):
            raise ValueError("twice")
        return dict(pairs)

    def reject_constant(_: str) -> Any:
        raise ValueError("no figure")

    try:
        parsed = json.loads(raw.decode(), object_pairs_hook=unique_members, parse_constant=reject_constant)
    except (ValueError, RecursionError):
        raise TokenRejectedError("malformed") from None
    if not isinstance(parsed, dict):
        raise TokenRejectedError("malformed")
    return parsed


def _verification_key(header: dict[str, Any], keys: KeySet) -> VerificationKey:
    kid = header.get("kid")
    if not isinstance(kid, str):
        raise TokenRejectedError("no_kid")
    key = keys.find(kid)
    if key is None:
        raise TokenRejectedError("unknown_kid")
    if header.get("alg") != key.algorithm:
        raise TokenRejectedError("algorithm", key.kid)
    if UNSUPPORTED_HEADERS & header.keys():
        raise TokenRejectedError("unsupported", key.kid)
    kind = header.get("typ", "JWT")
    if not isinstance(kind, str) or kind.lower() not in TYPES:
        raise TokenRejectedError("type", key.kid)
    return key


class _ClaimReader:
    """Checks the claims of a token whose signature is good."""

    def __init__(self, claims: dict[str, Any], key: VerificationKey, policy: TokenPolicy, now: int) -> None:
        self._claims = claims
        self._key = key
        self._policy = policy
        self._now = now

    def read(self) -> Claims:
        """Raises TokenRejectedError."""
        self._check_issuer_and_audience()
        expires = self._check_times()
        subject, token_id = self._text("sub"), self._text("jti")
        if not subject:
            raise self._rejected("no_subject")
        if self._policy.requires_id and not token_id:
            raise self._rejected("no_id")
        return Claims(self._key.issuer, subject, self._key.kid, expires, token_id, self._bound_to())

    def _check_issuer_and_audience(self) -> None:
        if self._claims.get("iss") != self._key.issuer:
            raise self._rejected("issuer")
        audience = self._claims.get("aud")
        if self._policy.audience not in (audience if isinstance(audience, list) else [audience]):
            raise self._rejected("audience")

    def _check_times(self) -> int:
        """When the token expires."""
        expires, not_before, issued = (self._time(name) for name in ("exp", "nbf", "iat"))
        skew = self._policy.skew
        if expires is None:
            raise self._rejected("no_expiry")
        if self._now >= expires + skew:
            raise self._rejected("expired")
        if not_before is not None and self._now + skew < not_before:
            raise self._rejected("not_yet")
        if issued is not None and self._now + skew < issued:
            raise self._rejected("not_yet")
        if expires - (issued if issued is not None else self._now) > self._policy.max_lifetime:
            raise self._rejected("too_long")
        return expires

    def _bound_to(self) -> str:
        confirmation = self._claims.get("cnf", {})
        if not isinstance(confirmation, dict):
            raise self._rejected("binding")
        if confirmation and not isinstance(confirmation.get("x5t#S256"), str):
            raise self._rejected("binding")  # another kind of binding is not checked here, and not ignored
        bound_to: str = confirmation.get("x5t#S256", "")
        return bound_to

    def _time(self, name: str) -> int | None:
        if name not in self._claims:
            return None
        value = self._claims[name]
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise self._rejected("malformed")
        if not 0 <= value < MAX_UNIX_TIME_S:
            raise self._rejected("malformed")
        return int(value * SECOND_US)

    def _text(self, name: str) -> str:
        value = self._claims.get(name, "")
        if not isinstance(value, str) or len(value) > MAX_CLAIM_LENGTH:
            raise self._rejected("malformed")
        return value

    def _rejected(self, reason: str) -> TokenRejectedError:
        return TokenRejectedError(reason, self._key.kid)
