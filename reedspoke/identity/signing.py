"""Signing keys of a small installation, and tokens made with them: a folder with a private key a file, 0600.

    KID.key      the private key, PEM, encrypted where a passphrase is given
    ring.json    which keys there are and when each counts

For tests and for installations without a signer of their own. The store's rules hold: written whole or not
at all.
"""

from __future__ import annotations

import base64
import secrets
from datetime import UTC, datetime
from typing import Any

import msgspec
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa
from cryptography.hazmat.primitives.serialization import (
    BestAvailableEncryption,
    Encoding,
    KeySerializationEncryption,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)
from joserfc import jws
from joserfc.jwk import ECKey, OKPKey, RSAKey
from msgspec import Struct

from reedspoke.errors import ReedspokeError
from reedspoke.identity.keys import Span, State, UnusableKeyError
from reedspoke.sealed import TornError, seal, unseal
from reedspoke.tls.certificate import UnfitError
from reedspoke.tls.store import Store

MARK, FORM = b"reedspoke-signing", 1
SECOND = 1_000_000
KINDS: dict[str, Any] = {"ES256": ECKey, "Ed25519": OKPKey, "RS256": RSAKey}


class Entry(Struct):
    kid: str
    algorithm: str
    starts: int
    retires: int = 0
    gone: int = 0
    leaked: bool = False

    def span(self) -> Span:
        return Span(self.starts, self.retires, self.gone, self.leaked)


class SigningError(ReedspokeError):
    """It cannot be done; the text says why and holds nothing secret."""

    code = "signing-failed"
    remedy = "mend what the message names, and sign again"


def made(algorithm: str) -> Any:
    if algorithm == "ES256":
        return ec.generate_private_key(ec.SECP256R1())
    if algorithm == "Ed25519":
        return ed25519.Ed25519PrivateKey.generate()
    if algorithm == "RS256":
        return rsa.generate_private_key(65537, 3072)
    raise SigningError(f"{algorithm}: no algorithm of this tool")


class Signer:
    """Raises SigningError from every method, and StoreError where the folder is no good."""

    def __init__(self, store: Store, passphrase: str = "") -> None:
        self.store, self._passphrase = store, passphrase.encode()

    def entries(self) -> list[Entry]:
        try:
            raw = self.store.read("ring.json")
            if raw is None:
                return []
            return msgspec.json.decode(unseal(MARK, FORM, raw), type=list[Entry])
        except (TornError, UnfitError, OSError, msgspec.MsgspecError) as error:
            raise SigningError(f"ring.json: {error}") from None

    def _keep(self, entries: list[Entry]) -> None:
        try:
            self.store.write("ring.json", seal(MARK, FORM, msgspec.json.encode(entries)))
        except OSError as error:
            raise SigningError(f"ring.json: {error.strerror}") from None

    def generate(self, algorithm: str, starts: int) -> Entry:
        """The key is on disk before the ring names it."""
        entry = Entry(f"k{secrets.token_hex(6)}", algorithm, starts)
        secret: KeySerializationEncryption = NoEncryption()
        if self._passphrase:
            secret = BestAvailableEncryption(self._passphrase)
        pem = made(algorithm).private_bytes(Encoding.PEM, PrivateFormat.PKCS8, secret)
        try:
            self.store.write(f"{entry.kid}.key", pem)
        except OSError as error:
            raise SigningError(f"{entry.kid}.key: {error.strerror}") from None
        self._keep([*self.entries(), entry])
        return entry

    def rotate(self, now: int, announce: int, overlap: int) -> Entry:
        """A new key from `announce` on; what was in use retires then and is gone `overlap` later. us."""
        entries = self.entries()
        current = [one for one in entries if one.span().state(now) is State.IN_USE]
        if not current:
            raise SigningError("there is no key in use to rotate")
        fresh = self.generate(current[-1].algorithm, now + announce)
        entries = self.entries()
        for one in entries:
            if one.kid != fresh.kid and not one.retires and not one.leaked:
                one.retires, one.gone = fresh.starts, fresh.starts + overlap
        self._keep(entries)
        return fresh

    def retire(self, kid: str, now: int, overlap: int, *, leaked: bool = False) -> None:
        entries = self.entries()
        for one in entries:
            if one.kid == kid:
                one.starts = min(one.starts, now)
                one.retires, one.gone, one.leaked = now, now + overlap, leaked
                self._keep(entries)
                return
        raise SigningError(f"{kid}: there is no such key")

    def jwks(self, now: int) -> bytes:
        """All that are not gone, and those that leaked, so that whoever reads it refuses them."""
        keys = []
        for one in self.entries():
            if one.span().state(now) is State.GONE and not one.leaked:
                continue
            public = KINDS[one.algorithm].import_key(self._pem(one.kid), password=self._passphrase or None)
            times = {name: at for name in ("starts", "retires", "gone") if (at := getattr(one, name))}
            told: dict[str, Any] = {name: stamp(at) for name, at in times.items()}
            if one.leaked:
                told["leaked"] = True
            keys.append(
                {**public.as_dict(private=False), "kid": one.kid, "use": "sig", "alg": one.algorithm,
                 "reedspoke": told}
            )  # fmt: skip
        return msgspec.json.format(msgspec.json.encode({"keys": keys}), indent=2) + b"\n"

    def _pem(self, kid: str) -> bytes:
        try:
            raw = self.store.read(f"{kid}.key")
            if raw is None:
                raise SigningError(f"{kid}.key: there is none")
            load_pem_private_key(raw, self._passphrase or None)
        except (UnfitError, OSError) as error:
            raise SigningError(f"{kid}.key: {error}") from None
        except (ValueError, TypeError):
            raise SigningError(f"{kid}.key: it is torn, or the passphrase is another") from None
        return raw

    def issue(self, claims: dict[str, Any], now: int, kid: str = "") -> str:
        """By the newest key in use, or by the one that is named."""
        found = [one for one in self.entries() if (one.kid == kid if kid else self._in_use(one, now))]
        if not found:
            raise SigningError(f"{kid}: there is no such key" if kid else "there is no key in use")
        one = max(found, key=lambda entry: entry.starts)
        key = KINDS[one.algorithm].import_key(self._pem(one.kid), password=self._passphrase or None)
        header = {"alg": one.algorithm, "kid": one.kid, "typ": "JWT"}
        return jws.serialize_compact(header, msgspec.json.encode(claims), key, [one.algorithm])

    def _in_use(self, one: Entry, now: int) -> bool:
        try:
            return one.span().state(now) is State.IN_USE
        except UnusableKeyError:
            return False


def stamp(at: int) -> str:
    return datetime.fromtimestamp(at / SECOND, UTC).isoformat()


def token_id() -> str:
    return base64.urlsafe_b64encode(secrets.token_bytes(12)).rstrip(b"=").decode()
