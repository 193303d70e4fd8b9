"""The keys that verify callers' tokens, and when each of them is valid. Pure; no clock.

    announced -> in use -> retiring -> gone      each from its time on; a leaked key is gone at once

A key is for one algorithm and one issuer, whatever a token says (RFC 8725, 3.1 and 3.8). Times are
microseconds of Unix time.
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

KID_PATTERN = re.compile(r"[\x21-\x7e]{1,128}")
MIN_RSA_BITS = 2048
MAX_KEYS = 1000
# Key type and curve that an algorithm needs, "" for no curve. Symmetric algorithms are not among them, as
# their verifiers could sign.
ALGORITHMS: dict[str, tuple[str, str]] = {
    "ES256": ("EC", "P-256"), "ES384": ("EC", "P-384"), "ES512": ("EC", "P-521"),
    "RS256": ("RSA", ""), "RS384": ("RSA", ""), "PS256": ("RSA", ""), "PS384": ("RSA", ""),
    "Ed25519": ("OKP", "Ed25519"),
}  # fmt: skip
PRIVATE_MEMBERS = frozenset(("d", "p", "q", "dp", "dq", "qi", "oth", "k"))
PublicKey = ECKey | RSAKey | OKPKey
KEY_CLASSES: dict[str, Any] = {"EC": ECKey, "RSA": RSAKey, "OKP": OKPKey}


class KeyState(Enum):
    """Where a key stands in its life; the values are shown to operators."""

    ANNOUNCED = "announced"
    IN_USE = "in use"
    RETIRING = "retiring"
    GONE = "gone"


class UnusableKeyError(ReedspokeError):
    """A key cannot be used; the text says why and holds nothing of it."""

    code = "key-unusable"
    remedy = "replace the key by one of an algorithm that identity.issuers allows"


@dataclass(slots=True, frozen=True)
class KeyValidity:
    """When a key counts; the fields are named as in key sets. 0 for `retires` and `gone`: not as yet.

    Raises UnusableKeyError where the times are not in order.
    """

    starts: int = 0  # its signer uses it from then on
    retires: int = 0  # its signer uses another one from then on
    gone: int = 0  # what it signed is not accepted any more
    leaked: bool = False

    def __post_init__(self) -> None:
        if self.gone and (not self.retires or self.gone < self.retires or self.retires < self.starts):
            raise UnusableKeyError("its times are not in order")

    def state(self, now: int) -> KeyState:
        """Where the key stands at this time."""
        if self.leaked or (self.gone and now >= self.gone):
            return KeyState.GONE
        if now < self.starts:
            return KeyState.ANNOUNCED
        return KeyState.RETIRING if self.retires and now >= self.retires else KeyState.IN_USE

    def verifies(self, now: int, skew: int) -> bool:
        """Whether a signature counts now, in microseconds.

        A signer's clock may be ahead of ours by the skew, and what it signed may come that much late.
        """
        if self.leaked or (self.gone and now >= self.gone + skew):
            return False
        return now + skew >= self.starts


@dataclass(slots=True, frozen=True)
class VerificationKey:
    """A public key, with the one issuer and the one algorithm that it is for."""

    kid: str
    issuer: str
    algorithm: str
    public: PublicKey
    validity: KeyValidity


def parse_jwk(
    jwk: Mapping[str, Any], issuer: str, algorithms: Iterable[str], validity: KeyValidity
) -> VerificationKey:
    """A public key of a key set (RFC 7517). `algorithms`: those that the operator allows this issuer.

    Raises UnusableKeyError.
    """
    kid = jwk.get("kid")
    if not isinstance(kid, str) or not KID_PATTERN.fullmatch(kid):
        raise UnusableKeyError("it has no usable kid")
    if jwk.get("use", "sig") != "sig" or "verify" not in jwk.get("key_ops", ["verify"]):
        raise UnusableKeyError(f"{kid}: it is not for signatures")
    if PRIVATE_MEMBERS & jwk.keys():
        raise UnusableKeyError(f"{kid}: it is no public key")
    algorithm = _only_algorithm(jwk, kid, algorithms)
    return VerificationKey(kid, issuer, algorithm, _public_key(jwk, kid), validity)


def _only_algorithm(jwk: Mapping[str, Any], kid: str, algorithms: Iterable[str]) -> str:
    """The one allowed algorithm that fits the key; which of several was meant would be a guess."""
    allowed = [name for name in algorithms if name in ALGORITHMS]
    named = jwk.get("alg")
    if named is not None:
        allowed = [name for name in allowed if name == named]
    fitting = [
        name
        for name in allowed
        if ALGORITHMS[name][0] == jwk.get("kty") and ALGORITHMS[name][1] in ("", jwk.get("crv"))
    ]
    if len(fitting) != 1:
        raise UnusableKeyError(f"{kid}: {'no' if not fitting else 'more than one'} allowed algorithm fits it")
    return fitting[0]


def _public_key(jwk: Mapping[str, Any], kid: str) -> PublicKey:
    try:
        public: PublicKey = KEY_CLASSES[str(jwk.get("kty"))].import_key(dict(jwk))
        if isinstance(public, RSAKey) and public.public_key.key_size < MIN_RSA_BITS:
            raise UnusableKeyError(f"{kid}: it is too short")
    except (JoseError, ValueError, TypeError, LookupError):
        raise UnusableKeyError(f"{kid}: it is unreadable") from None  # its text may quote the key
    return public


class KeySet:
    """All keys by kid. Raises UnusableKeyError where one kid stands for two keys, or for too many keys."""

    def __init__(self, keys: Iterable[VerificationKey]) -> None:
        self._keys: dict[str, VerificationKey] = {}
        for key in keys:
            if key.kid in self._keys:
                raise UnusableKeyError(f"{key.kid}: it is there twice")
            self._keys[key.kid] = key
        if len(self._keys) > MAX_KEYS:
            raise UnusableKeyError(f"{len(self._keys)} keys, {MAX_KEYS} are the most")

    def __len__(self) -> int:
        return len(self._keys)

    def find(self, kid: str) -> VerificationKey | None:
        """The key of this kid."""
        return self._keys.get(kid)
