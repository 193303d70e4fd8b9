"""The stand-in authority's own keys: a root, an intermediate, and what they issue, some of it wrong on
purpose."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives.asymmetric.types import CertificatePublicKeyTypes
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

SERVER, CLIENT = ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH
BACKDATED = timedelta(seconds=2)


def named(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


class Issuer:
    def __init__(self, name: str) -> None:
        self.name = name
        self._root_key = ec.generate_private_key(ec.SECP256R1())
        self._key = ec.generate_private_key(ec.SECP256R1())
        now = datetime.now(UTC)
        self.root = self._ca(f"{name} root", None, self._root_key.public_key(), now)
        self.intermediate = self._ca(f"{name} intermediate", self.root, self._key.public_key(), now)

    def _ca(
        self, subject: str, issuer: x509.Certificate | None, key: ec.EllipticCurvePublicKey, now: datetime
    ) -> x509.Certificate:
        return (
            x509.CertificateBuilder()
            .subject_name(named(subject))
            .issuer_name(issuer.subject if issuer is not None else named(subject))
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(days=1))
            .not_valid_after(now + timedelta(days=30))
            .add_extension(x509.BasicConstraints(ca=True, path_length=None), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key), critical=False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(self._root_key.public_key()),
                critical=False,
            )
            .add_extension(_usage(ca=True), critical=True)
            .sign(self._root_key, hashes.SHA256())
        )

    def root_pem(self) -> bytes:
        return self.root.public_bytes(Encoding.PEM)

    def issue(
        self, key: CertificatePublicKeyTypes, hosts: list[str], lifetime: float, ago: float = 0.0, *,
        client: bool = False,
    ) -> x509.Certificate:  # fmt: skip
        """For a server, or for a client. `lifetime`: s, counted from `ago` s before now; certificates know
        whole seconds only."""
        begins = datetime.now(UTC) - timedelta(seconds=ago)
        names = x509.SubjectAlternativeName([x509.DNSName(host) for host in hosts])
        return (
            x509.CertificateBuilder()
            .subject_name(x509.Name([]))
            .issuer_name(self.intermediate.subject)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins - (BACKDATED if not ago else timedelta()))
            .not_valid_after(begins + timedelta(seconds=lifetime))
            .add_extension(names, critical=True)
            .add_extension(x509.ExtendedKeyUsage([CLIENT if client else SERVER]), critical=False)
            .add_extension(_usage(ca=False), critical=True)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(self._key.public_key()), critical=False
            )
            .sign(self._key, hashes.SHA256())
        )

    def chain(self, leaf: x509.Certificate) -> bytes:
        return b"".join(one.public_bytes(Encoding.PEM) for one in (leaf, self.intermediate))


def _usage(*, ca: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not ca, content_commitment=False, key_encipherment=False, data_encipherment=False,
        key_agreement=False, key_cert_sign=ca, crl_sign=ca, encipher_only=False, decipher_only=False,
    )  # fmt: skip
