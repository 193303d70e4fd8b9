"""Calls to an authority, through the acme library. They block: only the driver's threads make them.

Importing this costs some 30 MB and half a second; it is done once, before the node serves.
"""

from __future__ import annotations

import base64
import json
import logging
import threading
import time
from collections.abc import Callable
from datetime import datetime
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import requests
from acme import errors, jws, messages
from acme.client import ClientNetwork
from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives.serialization import Encoding, load_pem_private_key
from josepy.b64 import b64encode
from josepy.jwa import ES256
from josepy.jwk import JWKEC

from reedspoke.acme import account as accounts
from reedspoke.acme import words
from reedspoke.acme.account import Account
from reedspoke.acme.problems import retry_after, trouble
from reedspoke.acme.words import Trouble
from reedspoke.errors import ReedspokeError
from reedspoke.operator.types import Authority
from reedspoke.sealed import CorruptFileError
from reedspoke.tls.store import Store
from reedspoke.units import parse_seconds

log = logging.getLogger("reedspoke")

AGENT = "reedspoke"
SECOND = 1_000_000
MOST_TEXT = 300
NONCES = 2  # further tries of a call for which the library has tried two
T = TypeVar("T")


class TroubleError(ReedspokeError):
    code = "authority-failed"
    remedy = "see what the authority says; renewal goes on by itself, at another one where there is one"

    def __init__(self, failed: words.Failed) -> None:
        super().__init__(failed.text)
        self.failed = failed


class Payload:
    """A JSON object as the acme library signs it."""

    def __init__(self, told: dict[str, Any]) -> None:
        self._told = told

    def json_dumps(self, **_: Any) -> str:
        return json.dumps(self._told)


class Directory(msgspec.Struct, rename="camel"):
    new_nonce: str
    new_account: str
    new_order: str
    revoke_cert: str = ""
    key_change: str = ""
    renewal_info: str = ""


class OrderBody(msgspec.Struct):
    status: str
    authorizations: list[str]
    finalize: str
    certificate: str = ""
    error: dict[str, Any] | None = None


class ChallengeBody(msgspec.Struct):
    type: str
    url: str = ""
    token: str = ""
    status: str = "pending"
    error: dict[str, Any] | None = None


class Identifier(msgspec.Struct):
    value: str


class AuthorizationBody(msgspec.Struct):
    status: str
    identifier: Identifier
    challenges: list[ChallengeBody]


class Suggested(msgspec.Struct):
    start: datetime
    end: datetime


class WindowBody(msgspec.Struct, rename="camel"):
    suggested_window: Suggested


class Network(ClientNetwork):
    """Remembers the latest answer: the library's errors do not carry its fields."""

    latest: requests.Response | None = None

    def _send_request(self, method: str, url: str, *args: Any, **kwargs: Any) -> requests.Response:
        self.latest = None
        self.latest = super()._send_request(method, url, *args, **kwargs)
        return self.latest


def problem(error: dict[str, Any] | None) -> str:
    if not error:
        return ""
    kind = str(error.get("type", "")).rpartition(":")[2]
    return f"{kind}: {error.get('detail', '')}"[:MOST_TEXT]


def ari_id(leaf: x509.Certificate) -> str:
    """RFC 9773, 4.1; "" for a certificate that does not name its issuer's key."""
    try:
        found = leaf.extensions.get_extension_for_class(x509.AuthorityKeyIdentifier).value.key_identifier
    except x509.ExtensionNotFound:
        return ""
    if not found:
        return ""
    serial = leaf.serial_number
    parts = (found, serial.to_bytes(serial.bit_length() // 8 + 1, "big"))
    return ".".join(base64.urlsafe_b64encode(part).rstrip(b"=").decode() for part in parts)


class Caller:
    """One authority. Each thread has a connection of its own; the account is shared."""

    def __init__(self, authority: Authority, store: Store) -> None:
        self.authority, self.store = authority, store
        self._local = threading.local()
        self._lock = threading.Lock()  # of the account
        self._account: Account | None = None
        self._stamp = (0, 0)  # of the account's file as it was read or written last

    # ---- the account ----

    def account(self) -> Account:
        """Raises TroubleError where there is none."""
        with self._lock:
            if self._account is None or self._stamp != self._stamped():
                self._account = self._stored()  # also where another process has rolled its key
                self._local = threading.local()
            if self._account is None or not self._account.uri:
                raise TroubleError(words.Failed(Trouble.NO_ACCOUNT, "there is no account"))
            return self._account

    def _stamped(self) -> tuple[int, int]:
        return self.store.stamp(accounts.file_of(self.authority.name))

    def _save(self, account: Account) -> None:
        accounts.save(self.store, self.authority.name, account)
        self._stamp = self._stamped()

    def _stored(self) -> Account | None:
        self._stamp = self._stamped()
        try:
            return accounts.load(self.store, self.authority.name)
        except CorruptFileError as error:
            file = accounts.file_of(self.authority.name)
            log.error("acme: %s is unusable, a new account is made: %s", file, error)
            return None

    def forget_account(self) -> None:
        """The authority does not know it: the key stays, the address is asked for again."""
        with self._lock:
            if self._account is not None:
                self._account.uri = ""
                self._save(self._account)
        self._local = threading.local()

    def enrol(self) -> None:
        """Guards against a second account: the key is on disk before the authority hears of it."""
        with self._lock:
            account = self._account or self._stored() or Account(accounts.new_key())
            if not account.uri or account.next_key:
                if account.next_key:
                    self._settle_keys(account)
                self._save(account)
                account.uri = self._register(account.key)
                self._save(account)
                self._local = threading.local()
            self._account = account

    def _register(self, key: str, *, existing: bool = False) -> str:
        net = self._network(key, None)
        directory = self._directory(net)
        told: dict[str, Any] = {"termsOfServiceAgreed": self.authority.terms_agreed}
        if self.authority.contact:
            told["contact"] = list(self.authority.contact)
        if existing:
            told = {"onlyReturnExisting": True}
        elif self.authority.eab is not None:
            bound = messages.ExternalAccountBinding.from_data(
                JWKEC(key=accounts.jwk(key).key.public_key()),
                self.authority.eab.key_id,
                Path(self.authority.eab.key_file).read_text().strip(),
                {"newAccount": directory.new_account},  # type: ignore[arg-type]
            )
            told["externalAccountBinding"] = bound
        answer = net.post(directory.new_account, Payload(told), new_nonce_url=directory.new_nonce)
        return answer.headers["Location"]

    def _settle_keys(self, account: Account) -> None:
        """A change of keys was cut off: the authority says which one holds."""
        try:
            self._register(account.next_key, existing=True)
        except messages.Error:
            pass
        else:
            account.key = account.next_key
        account.next_key = ""

    def roll(self) -> None:
        """A new key for the account (RFC 8555, 7.3.5). Raises TroubleError; the old key holds then."""
        with self._lock:
            account = self._account or self._stored()
            if account is None or not account.uri:
                raise TroubleError(words.Failed(Trouble.NO_ACCOUNT, "there is no account"))
            account.next_key = account.next_key or accounts.new_key()
            self._save(account)
            net = self._network(account.key, account.uri)
            directory = self._directory(net)
            fresh = accounts.jwk(account.next_key)
            old = accounts.jwk(account.key).public_key().to_partial_json()
            inner = json.dumps({"account": account.uri, "oldKey": old}).encode()
            signed = jws.JWS.sign(inner, key=fresh, alg=ES256, nonce=None, url=directory.key_change)
            net.post(
                directory.key_change, Payload(signed.to_partial_json()), new_nonce_url=directory.new_nonce
            )
            account.key, account.next_key = account.next_key, ""
            self._save(account)
            self._account, self._local = account, threading.local()

    # ---- calls ----

    def _network(self, key: str, uri: str | None) -> Network:
        limit = max(0.05, parse_seconds(self.authority.timeout))
        net = Network(
            key=accounts.jwk(key),
            alg=ES256,
            user_agent=AGENT,
            timeout=limit,  # type: ignore[arg-type]
            verify_ssl=self.authority.ca_file or True,  # type: ignore[arg-type]
        )
        net.session.trust_env = False  # no proxy and no other roots than those of the operator file
        if uri is not None:
            net.account = {"uri": uri}  # type: ignore[assignment]
        return net

    def _net(self) -> tuple[Network, Directory]:
        account = self.account()
        found = getattr(self._local, "found", None)
        if found is None:
            net = self._network(account.key, account.uri)
            found = self._local.found = (net, self._directory(net))
        return found

    def _directory(self, net: Network) -> Directory:
        return msgspec.convert(net.get(self.authority.directory).json(), Directory)

    def _post(self, url: str, told: dict[str, Any] | None) -> requests.Response:
        net, directory = self._net()
        payload = None if told is None else Payload(told)
        return net.post(url, payload, new_nonce_url=directory.new_nonce)

    def run(self, call: Callable[[], T], *, about_order: bool = False) -> T | words.Failed:
        """The outcome of a call, whatever the authority and the network do to it."""
        try:
            return self._with_nonces(call)
        except TroubleError as error:
            return error.failed
        except messages.Error as error:
            answer = self._latest()
            status = answer.status_code if answer is not None else 0
            after = self._after(answer)
            found = trouble(error.typ, status, about_order)
            if found is Trouble.NO_ACCOUNT:
                self.forget_account()
            return words.Failed(found, f"{error.code or error.typ}: {error.detail}"[:MOST_TEXT], after)
        except (errors.Error, requests.RequestException) as error:
            answer = self._latest()
            status = answer.status_code if answer is not None else 0
            self._local = threading.local()  # also its nonces, and connections that may be half read
            found = trouble("", status, about_order)
            text = f"status {status}" if status else type(error).__name__
            return words.Failed(found, text, self._after(answer))
        except (msgspec.MsgspecError, ValueError, KeyError, TypeError) as error:
            self._local = threading.local()
            return words.Failed(Trouble.UNREACHABLE, f"its answer is malformed: {error}"[:MOST_TEXT])
        except OSError as error:
            return words.Failed(Trouble.LOCAL, f"{error.strerror or error}")

    def _with_nonces(self, call: Callable[[], T]) -> T:
        """RFC 8555, 6.5: a nonce that is refused is no reason to wait. The library tries twice; some
        authorities refuse good ones by chance."""
        for _ in range(NONCES):
            try:
                return call()
            except messages.Error as error:
                if error.code != "badNonce":
                    raise
        return call()

    def _latest(self) -> requests.Response | None:
        found = getattr(self._local, "found", None)
        return found[0].latest if found is not None else None

    def _after(self, answer: requests.Response | None) -> int:
        if answer is None:
            return 0
        return retry_after(answer.headers.get("Retry-After"), time.time_ns() // 1000)

    def begin(self, hosts: tuple[str, ...], replaces: str) -> words.Begun:
        """A key and a new order."""
        key = accounts.new_key()
        told: dict[str, Any] = {"identifiers": [{"type": "dns", "value": host} for host in hosts]}
        _, directory = self._net()
        if replaces and directory.renewal_info:
            told["replaces"] = replaces
        try:
            answer = self._post(directory.new_order, told)
        except messages.Error as error:
            if error.typ.endswith(":alreadyReplaced") and "replaces" in told:
                del told["replaces"]
                answer = self._post(directory.new_order, told)
            else:
                raise
        body = msgspec.convert(answer.json(), OrderBody)
        return words.Begun(answer.headers["Location"], tuple(body.authorizations), body.finalize, key)

    def check(self, order: str) -> words.Stands:
        return self._stands(self._post(order, None))

    def _stands(self, answer: requests.Response) -> words.Stands:
        body = msgspec.convert(answer.json(), OrderBody)
        return words.Stands(
            body.status, tuple(body.authorizations), body.finalize, body.certificate,
            self._after(answer), problem(body.error),
        )  # fmt: skip

    def look(self, url: str, challenge: str) -> words.Proof:
        answer = self._post(url, None)
        body = msgspec.convert(answer.json(), AuthorizationBody)
        found = next((one for one in body.challenges if one.type == challenge), None)
        if found is None:
            return words.Proof(body.status, body.identifier.value)
        return words.Proof(
            body.status, body.identifier.value, found.token, found.url, found.status,
            self._after(answer), problem(found.error),
        )  # fmt: skip

    def respond(self, url: str) -> words.Done:
        self._post(url, {})
        return words.Done()

    def key_authorization(self, token: str) -> str:
        """RFC 8555, 8.1."""
        thumbprint = b64encode(accounts.jwk(self.account().key).thumbprint()).decode()
        return f"{token}.{thumbprint}"

    def finalize(self, url: str, hosts: tuple[str, ...], key: str) -> words.Stands:
        names = x509.SubjectAlternativeName([x509.DNSName(host) for host in hosts])
        signing: Any = load_pem_private_key(key.encode(), None)
        request = (
            x509.CertificateSigningRequestBuilder()
            .subject_name(x509.Name([]))
            .add_extension(names, critical=False)
            .sign(signing, hashes.SHA256())
        )
        der = request.public_bytes(Encoding.DER)
        return self._stands(self._post(url, {"csr": b64encode(der).decode()}))

    def fetch(self, url: str) -> bytes:
        return self._post(url, None).content

    def window(self, leaf: x509.Certificate) -> words.Window:
        """RFC 9773: when the authority would have this certificate renewed."""
        net, directory = self._net()
        name = ari_id(leaf)
        if not directory.renewal_info or not name:
            return words.Window(0, 0, 0)
        answer = net.get(f"{directory.renewal_info.rstrip('/')}/{name}")
        found = msgspec.convert(answer.json(), WindowBody).suggested_window
        begins, ends = (int(at.timestamp() * SECOND) for at in (found.start, found.end))
        return words.Window(begins, ends, self._after(answer))

    def revoke(self, leaf: x509.Certificate, reason: int) -> None:
        """RFC 8555, 7.6, by the account."""
        _, directory = self._net()
        der = b64encode(leaf.public_bytes(Encoding.DER)).decode()
        self._post(directory.revoke_cert, {"certificate": der, "reason": reason})
