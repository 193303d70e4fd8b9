"""What a certificate with its key and chain must be before it is used or kept. No I/O, no clock of its own.

Checked with cryptography: the leaf's key is the key, every name asked for is in it, each certificate is
signed by the next one of the chain, its time has come and has not passed.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    PublicFormat,
    load_pem_private_key,
)

from reedspoke.errors import ReedspokeError
from reedspoke.sealed import CorruptFileError, seal, unseal

SECOND = 1_000_000
MOST_CHAIN = 8
MOST_BYTES = 256 * 1024


class UnfitError(ReedspokeError):
    """It is not to be used; the text says why and holds nothing secret."""

    code = "certificate-unfit"
    remedy = "see what the message says of the chain or the key; the former one stays in force"


@dataclass(slots=True, frozen=True)
class Pair:
    """A certificate with its chain, and the key it is for. Times in us of Unix time."""

    leaf: x509.Certificate
    chain: tuple[x509.Certificate, ...]
    pem: bytes  # key, leaf and chain
    begins: int
    ends: int
    hosts: tuple[str, ...]

    @property
    def serial(self) -> str:
        return f"{self.leaf.serial_number:x}"

    def chain_pem(self) -> bytes:
        """Without the key."""
        return b"".join(found.public_bytes(Encoding.PEM) for found in (self.leaf, *self.chain))

    def __repr__(self) -> str:  # a key in a trace would be a key in the log
        return f"<Pair {self.serial} for {', '.join(self.hosts)}>"


def pair(key_pem: bytes, chain_pem: bytes) -> Pair:
    """Reads both. Raises UnfitError where they do not belong together."""
    if len(key_pem) + len(chain_pem) > MOST_BYTES:
        raise UnfitError("it is too large")
    try:
        key = load_pem_private_key(key_pem, None)
    except (ValueError, TypeError):  # the library's text may quote what it has read
        raise UnfitError("its key is unreadable") from None
    try:
        found = x509.load_pem_x509_certificates(chain_pem)
        hosts = _hosts(found[0])
        leaf_key = found[0].public_key().public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    except ValueError as error:
        raise UnfitError(f"its chain is unreadable: {str(error)[:100]}") from None
    if len(found) > MOST_CHAIN:
        raise UnfitError(f"its chain has {len(found)} certificates, {MOST_CHAIN} are the most")
    own = key.public_key().public_bytes(Encoding.DER, PublicFormat.SubjectPublicKeyInfo)
    if own != leaf_key:
        raise UnfitError("the certificate is for another key")
    for one, issuer in zip(found, found[1:], strict=False):
        try:
            one.verify_directly_issued_by(issuer)
        except (ValueError, TypeError, InvalidSignature):
            raise UnfitError("its chain does not hold: one is not issued by the next") from None
    leaf = found[0]
    begins = int(leaf.not_valid_before_utc.timestamp()) * SECOND
    ends = int(leaf.not_valid_after_utc.timestamp()) * SECOND
    return Pair(leaf, tuple(found[1:]), key_pem + chain_pem, begins, ends, hosts)


def _hosts(leaf: x509.Certificate) -> tuple[str, ...]:
    try:
        names = leaf.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return tuple(name.lower() for name in names.get_values_for_type(x509.DNSName))


def fit(found: Pair, hosts: Sequence[str], now: int, ahead: int = 0) -> None:
    """Raises UnfitError unless it can serve these hosts now. `ahead` (us): how far in the future it may
    begin, for clocks that differ."""
    if missing := sorted(set(hosts) - set(found.hosts)):
        raise UnfitError(f"it is not for {', '.join(missing[:3])}")
    if now >= found.ends:
        raise UnfitError("it has expired")
    if now + ahead < found.begins:
        raise UnfitError("its time has not come")
    try:
        usage = found.leaf.extensions.get_extension_for_class(x509.ExtendedKeyUsage).value
    except x509.ExtensionNotFound:
        return
    if x509.oid.ExtendedKeyUsageOID.SERVER_AUTH not in usage:
        raise UnfitError("it is not for servers")


# ---- the form in which it is kept ----

MARK = b"reedspoke-certificate"
FORM = 1


def packed(found: Pair) -> bytes:
    """One text with key, certificate and chain, and a first line that tells a torn one."""
    return seal(MARK, FORM, found.pem)


def unpacked(raw: bytes) -> Pair:
    """Raises UnfitError for what is torn, foreign, or of another form."""
    try:
        body = unseal(MARK, FORM, raw)
    except CorruptFileError as error:
        raise UnfitError(str(error)) from None
    at = body.find(b"-----BEGIN CERTIFICATE-----")
    if at < 0:
        raise UnfitError("it holds no certificate")
    return pair(body[:at], body[at:])
