"""The keys that sign callers' tokens, and when each of them counts. No I/O and no clock of its own.

    announced -> in use -> retiring -> gone      each from its time on; a leaked key is gone at once

A key is for one algorithm and one issuer, whatever a token says (RFC 8725, 3.1 and 3.8). Times are us of Unix
time.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OKPKey, RSAKey

from reedspoke.errors import ReedspokeError

KID = re.compile(r"[\x21-\x7e]{1,128}")
LEAST_RSA = 2048  # bits
MOST_KEYS = 1000
# What an algorithm needs of a key: symmetric ones are not among them, as their verifiers could sign.
FITS: dict[str, tuple[str, str]] = {
    "ES256": ("EC", "P-256"), "ES384": ("EC", "P-384"), "ES512": ("EC", "P-521"),
    "RS256": ("RSA", ""), "RS384": ("RSA", ""), "PS256": ("RSA", ""), "PS384": ("RSA", ""),
    "Ed25519": ("OKP", "Ed25519"),
}  # fmt: skip
PRIVATE = frozenset(("d", "p", "q", "dp", "dq", "qi", "oth", "k"))
Public = ECKey | RSAKey | OKPKey
KINDS: dict[str, Any] = {"EC": ECKey, "RSA": RSAKey, "OKP": OKPKey}


class State(Enum):
    ANNOUNCED = "announced"
    IN_USE = "in use"
    RETIRING = "retiring"
    GONE = "gone"


class UnusableKeyError(ReedspokeError):
    """A key cannot be used; the text says why and holds nothing of it."""

    code = "key-unusable"
    remedy = "replace the key by one of an algorithm that identity.issuers allows"


@dataclass(slots=True, frozen=True)
class Span:
    """0 for `retires` and `gone`: not as yet."""

    starts: int = 0
    retires: int = 0
    gone: int = 0
    leaked: bool = False

    def __post_init__(self) -> None:
        if self.gone and (not self.retires or self.gone < self.retires or self.retires < self.starts):
            raise UnusableKeyError("its times are not in order")

    def state(self, now: int) -> State:
        if self.leaked or (self.gone and now >= self.gone):
            return State.GONE
        if now < self.starts:
            return State.ANNOUNCED
        return State.RETIRING if self.retires and now >= self.retires else State.IN_USE

    def verifies(self, now: int, skew: int) -> bool:
        """A signer's clock may be ahead of ours by the skew, and what it signed may come that much late."""
        if self.leaked or (self.gone and now >= self.gone + skew):
            return False
        return now + skew >= self.starts


@dataclass(slots=True, frozen=True)
class Key:
    kid: str
    issuer: str
    algorithm: str
    public: Public
    span: Span


def read(jwk: Mapping[str, Any], issuer: str, algorithms: Iterable[str], span: Span) -> Key:
    """A public key of a set. `algorithms`: those that the operator allows this issuer. Raises
    UnusableKeyError."""
    kid, kty = jwk.get("kid"), jwk.get("kty")
    if not isinstance(kid, str) or not KID.fullmatch(kid):
        raise UnusableKeyError("it has no usable kid")
    if jwk.get("use", "sig") != "sig" or "verify" not in jwk.get("key_ops", ["verify"]):
        raise UnusableKeyError(f"{kid}: it is not for signatures")
    if PRIVATE & jwk.keys():
        raise UnusableKeyError(f"{kid}: it is no public key")
    allowed = [name for name in algorithms if name in FITS]
    named = jwk.get("alg")
    if named is not None:
        allowed = [name for name in allowed if name == named]
    fitting = [name for name in allowed if FITS[name][0] == kty and FITS[name][1] in ("", jwk.get("crv"))]
    if len(fitting) != 1:
        raise UnusableKeyError(f"{kid}: {'no' if not fitting else 'more than one'} allowed algorithm fits it")
    try:
        public: Public = KINDS[str(kty)].import_key(dict(jwk))
        if isinstance(public, RSAKey) and public.public_key.key_size < LEAST_RSA:
            raise UnusableKeyError(f"{kid}: it is too short")
    except (JoseError, ValueError, TypeError, LookupError):
        raise UnusableKeyError(f"{kid}: it is unreadable") from None
    return Key(kid, issuer, fitting[0], public, span)


class Ring:
    """All keys by kid. Raises UnusableKeyError where one kid stands for two keys: which one is meant would
    be a guess."""

    def __init__(self, keys: Iterable[Key]) -> None:
        self._keys: dict[str, Key] = {}
        for key in keys:
            if key.kid in self._keys:
                raise UnusableKeyError(f"{key.kid}: it is there twice")
            self._keys[key.kid] = key
        if len(self._keys) > MOST_KEYS:
            raise UnusableKeyError(f"{len(self._keys)} keys, {MOST_KEYS} are the most")

    def __len__(self) -> int:
        return len(self._keys)

    def find(self, kid: str) -> Key | None:
        return self._keys.get(kid)
