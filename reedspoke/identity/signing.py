"""Signing keys of a small installation, and tokens made with them: a folder with a private key a file, 0600.

    KID.key      the private key, PEM, encrypted where a passphrase is given
    ring.json    which keys there are and when each is valid

For tests and for installations without a signer of their own. The store's rules hold: each file is written in
full or not at all. No error holds anything secret, and none is chained to a library's, whose text might.
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
from reedspoke.identity.key_files import LEAKED_MEMBER, TIME_MEMBERS, VALIDITY_MEMBER
from reedspoke.identity.keys import KeyState, KeyValidity, UnusableKeyError
from reedspoke.sealed import CorruptFileError, seal, unseal
from reedspoke.tls.certificate import UnfitError
from reedspoke.tls.store import Store

INDEX_FILE = "ring.json"
INDEX_KIND, INDEX_FORMAT = b"reedspoke-signing", 1  # in the first line of that file
SECOND_US = 1_000_000
RSA_BITS, RSA_EXPONENT = 3072, 65537
KID_BYTES, TOKEN_ID_BYTES = 6, 12
SIGNING_KEY_CLASSES: dict[str, Any] = {"ES256": ECKey, "Ed25519": OKPKey, "RS256": RSAKey}


class SigningKeyEntry(Struct):
    """A key in `ring.json`, whose members are named as the fields; times in microseconds of Unix time."""

    kid: str
    algorithm: str
    starts: int
    retires: int = 0
    gone: int = 0
    leaked: bool = False

    def validity(self) -> KeyValidity:
        """Raises UnusableKeyError where the times are not in order."""
        return KeyValidity(self.starts, self.retires, self.gone, self.leaked)


class SigningError(ReedspokeError):
    """It cannot be done; the text says why and holds nothing secret."""

    code = "signing-failed"
    remedy = "mend what the message names, and sign again"


def generate_private_key(algorithm: str) -> Any:
    """A private key of the `cryptography` library. Raises SigningError for an unknown algorithm."""
    if algorithm == "ES256":
        return ec.generate_private_key(ec.SECP256R1())
    if algorithm == "Ed25519":
        return ed25519.Ed25519PrivateKey.generate()
    if algorithm == "RS256":
        return rsa.generate_private_key(RSA_EXPONENT, RSA_BITS)
    raise SigningError(f"{algorithm}: no algorithm of this tool")


class Signer:
    """The keys in one folder.

    Raises SigningError from every method, and StoreError where the folder is no good.
    """

    def __init__(self, store: Store, passphrase: str = "") -> None:
        self.store, self._passphrase = store, passphrase.encode()

    def entries(self) -> list[SigningKeyEntry]:
        """All keys, the oldest first."""
        try:
            raw = self.store.read(INDEX_FILE)
            if raw is None:
                return []
            body = unseal(INDEX_KIND, INDEX_FORMAT, raw)
            return msgspec.json.decode(body, type=list[SigningKeyEntry])
        except (CorruptFileError, UnfitError, OSError, msgspec.MsgspecError) as error:
            raise SigningError(f"{INDEX_FILE}: {error}") from None

    def generate(self, algorithm: str, starts: int) -> SigningKeyEntry:
        """Make a key. It is on disk before the index names it."""
        entry = SigningKeyEntry(f"k{secrets.token_hex(KID_BYTES)}", algorithm, starts)
        encryption: KeySerializationEncryption = NoEncryption()
        if self._passphrase:
            encryption = BestAvailableEncryption(self._passphrase)
        private_key = generate_private_key(algorithm)
        pem = private_key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, encryption)
        try:
            self.store.write(f"{entry.kid}.key", pem)
        except OSError as error:
            raise SigningError(f"{entry.kid}.key: {error.strerror}") from None
        self._write_entries([*self.entries(), entry])
        return entry

    def rotate(self, now: int, announce: int, overlap: int) -> SigningKeyEntry:
        """A new key from `announce` on; what was in use retires then and is gone `overlap` later.

        All in microseconds.
        """
        in_use = [entry for entry in self.entries() if entry.validity().state(now) is KeyState.IN_USE]
        if not in_use:
            raise SigningError("there is no key in use to rotate")
        successor = self.generate(in_use[-1].algorithm, now + announce)
        entries = self.entries()
        for entry in entries:
            if entry.kid != successor.kid and not entry.retires and not entry.leaked:
                entry.retires, entry.gone = successor.starts, successor.starts + overlap
        self._write_entries(entries)
        return successor

    def retire(self, kid: str, now: int, overlap: int, *, leaked: bool = False) -> None:
        """The key retires now and is gone `overlap` later; a leaked one is gone at once."""
        entries = self.entries()
        for entry in entries:
            if entry.kid == kid:
                entry.starts = min(entry.starts, now)
                entry.retires, entry.gone, entry.leaked = now, now + overlap, leaked
                self._write_entries(entries)
                return
        raise SigningError(f"{kid}: there is no such key")

    def jwks(self, now: int) -> bytes:
        """The public key set (RFC 7517): all keys that are not gone.

        Those that leaked are in it too, so that whoever reads it rejects them.
        """
        keys = [
            self._public_jwk(entry)
            for entry in self.entries()
            if entry.validity().state(now) is not KeyState.GONE or entry.leaked
        ]
        return msgspec.json.format(msgspec.json.encode({"keys": keys}), indent=2) + b"\n"

    def issue(self, claims: dict[str, Any], now: int, kid: str = "") -> str:
        """A token signed by the newest key in use, or by the one that is named."""
        usable = [
            entry for entry in self.entries() if (entry.kid == kid if kid else self._is_in_use(entry, now))
        ]
        if not usable:
            raise SigningError(f"{kid}: there is no such key" if kid else "there is no key in use")
        newest = max(usable, key=lambda entry: entry.starts)
        header = {"alg": newest.algorithm, "kid": newest.kid, "typ": "JWT"}
        return jws.serialize_compact(
            header, msgspec.json.encode(claims), self._load_key(newest), [newest.algorithm]
        )

    def _write_entries(self, entries: list[SigningKeyEntry]) -> None:
        body = msgspec.json.encode(entries)
        try:
            self.store.write(INDEX_FILE, seal(INDEX_KIND, INDEX_FORMAT, body))
        except OSError as error:
            raise SigningError(f"{INDEX_FILE}: {error.strerror}") from None

    def _public_jwk(self, entry: SigningKeyEntry) -> dict[str, Any]:
        times = {name: at for name in TIME_MEMBERS if (at := getattr(entry, name))}
        validity: dict[str, Any] = {name: rfc3339(at) for name, at in times.items()}
        if entry.leaked:
            validity[LEAKED_MEMBER] = True
        return {
            **self._load_key(entry).as_dict(private=False),
            "kid": entry.kid,
            "use": "sig",
            "alg": entry.algorithm,
            VALIDITY_MEMBER: validity,
        }

    def _load_key(self, entry: SigningKeyEntry) -> Any:
        """The key of the `joserfc` library."""
        key_class = SIGNING_KEY_CLASSES[entry.algorithm]
        return key_class.import_key(self._read_pem(entry.kid), password=self._passphrase or None)

    def _read_pem(self, kid: str) -> bytes:
        try:
            pem = self.store.read(f"{kid}.key")
            if pem is None:
                raise SigningError(f"{kid}.key: there is none")
            load_pem_private_key(pem, self._passphrase or None)
        except (UnfitError, OSError) as error:
            raise SigningError(f"{kid}.key: {error}") from None
        except (ValueError, TypeError):
            raise SigningError(f"{kid}.key: it is torn, or the passphrase is another") from None
        return pem

    def _is_in_use(self, entry: SigningKeyEntry, now: int) -> bool:
        try:
            return entry.validity().state(now) is KeyState.IN_USE
        except UnusableKeyError:
            return False


def rfc3339(at: int) -> str:
    """Microseconds of Unix time as text, in UTC."""
    return datetime.fromtimestamp(at / SECOND_US, UTC).isoformat()


def token_id() -> str:
    """A random `jti`."""
    return base64.urlsafe_b64encode(secrets.token_bytes(TOKEN_ID_BYTES)).rstrip(b"=").decode()
