"""Our account at an authority, as it lies on disk: its key, its address, and a key that is to replace it."""

from __future__ import annotations

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
    load_pem_private_key,
)
from josepy.jwk import JWKEC
from msgspec import Struct

from reedspoke.acme.record import packed, unpacked
from reedspoke.sealed import CorruptFileError
from reedspoke.tls.certificate import UnfitError
from reedspoke.tls.store import Store


class Account(Struct):
    key: str
    uri: str = ""
    next_key: str = ""  # told to the authority, whose answer has not come

    def __repr__(self) -> str:
        return f"<Account {self.uri}>"


def new_key() -> str:
    """P-256, as PEM."""
    made = ec.generate_private_key(ec.SECP256R1())
    return made.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption()).decode()


def jwk(key: str) -> JWKEC:
    loaded = load_pem_private_key(key.encode(), None)
    return JWKEC(key=loaded)


def file_of(authority: str) -> str:
    return f"account-{authority}.json"


def load(store: Store, authority: str) -> Account | None:
    """None where there is none. Raises CorruptFileError for what is no account of ours, OSError."""
    try:
        raw = store.read(file_of(authority))
    except UnfitError as error:
        raise CorruptFileError(str(error)) from None
    if raw is None:
        return None
    found = unpacked(raw, Account)
    try:
        jwk(found.key)
    except (ValueError, TypeError):
        raise CorruptFileError("its key is unreadable") from None
    return found


def save(store: Store, authority: str, account: Account) -> None:
    """Raises OSError."""
    store.write(file_of(authority), packed(account))
