"""A stand-in certificate authority that speaks ACME, from RFC 8555 and RFC 9773, and misbehaves as it is
told.

It checks what a real one checks (signatures, nonces, addresses, bindings), connects to the challenge
listener, and counts what it saw. `on` scripts a fault for the next calls of a kind, `chance` draws faults
at random by seed.
"""

from __future__ import annotations

import base64
import hashlib
import http.client
import json
import random
import socket
import threading
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any, cast

from cryptography import x509
from cryptography.hazmat.primitives.asymmetric import ec
from joserfc import jws
from joserfc.errors import JoseError
from joserfc.jwk import ECKey, OctKey, RSAKey

from reedspoke.errors import ReedspokeError
from reedspoke.lab.issuing import Issuer

PREFIX = "urn:ietf:params:acme:error:"
ALGORITHMS = ["ES256", "RS256"]
FAULTS = (
    "nonce", "slow", "reset", "limited", "broken", "malformed", "wrong_chain", "wrong_name", "wrong_key",
    "expired", "forget", "processing", "refuse", "call", "after",
)  # fmt: skip
KINDS: dict[str, Any] = {"EC": ECKey, "RSA": RSAKey, "oct": OctKey}


class ProblemError(Exception):
    def __init__(self, status: int, code: str, detail: str = "", after: float = 0) -> None:
        super().__init__(detail)
        self.status, self.code, self.detail, self.after = status, code, detail, after


class ResetError(ReedspokeError):
    """The connection ends without an answer."""

    code = "lab-reset"
    remedy = "nothing: a stand-in plays a connection that ends"


@dataclass(slots=True)
class Order:
    number: int
    account: int
    hosts: list[str]
    status: str = "pending"
    authorisations: list[int] = field(default_factory=list)
    certificate: bytes = b""
    processing: float = 0.0  # until when it stays so
    error: dict[str, str] | None = None


@dataclass(slots=True)
class Proof:
    number: int
    account: int
    host: str
    token: str
    status: str = "pending"
    asked: dict[str, str] = field(default_factory=dict)  # challenge -> its status
    error: dict[str, str] | None = None


@dataclass(slots=True)
class Fault:
    kind: str
    times: int
    figure: float = 0.0
    call: Callable[[], None] | None = None


def b64(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def unb64(text: str) -> bytes:
    return base64.urlsafe_b64decode(text + "=" * (-len(text) % 4))


class Authority:
    """`where`: host -> address of its challenge listener; `txt`: name -> its TXT records; `bindings`: HMAC
    keys by id, where accounts must be bound. `lifetime`: s."""

    def __init__(
        self, name: str = "stand-in", lifetime: float = 10.0, seed: int = 1,
        where: Callable[[str], tuple[str, int]] | None = None,
        txt: Callable[[str], list[str]] | None = None,
        bindings: dict[str, bytes] | None = None,
    ) -> None:  # fmt: skip
        self.issuer, self.lifetime = Issuer(name), lifetime
        self.where, self.txt = where, txt
        self.bindings = bindings or {}
        self.counts: Counter[str] = Counter()
        self.accounts: dict[int, dict[str, Any]] = {}  # number -> public key
        self.orders: dict[int, Order] = {}
        self.issued: list[tuple[list[str], datetime]] = []
        self.revoked: set[int] = set()
        self.window: tuple[float, float] | None = None  # s from now, for renewalInfo
        self.replaced: list[str] = []
        self.at_once: Counter[str] = Counter()  # orders under way for a host, the most at a time
        self._proofs: dict[int, Proof] = {}
        self._nonces: set[str] = set()
        self._faults: dict[str, list[Fault]] = {}
        self._chances: list[tuple[str, float, float]] = []
        self._random = random.Random(seed)
        self._lock = threading.RLock()
        self._last = 0
        self._down = threading.Event()  # set: calls hang
        self._ended = threading.Event()
        authority = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            timeout = 30

            def do_GET(self) -> None:  # noqa: N802
                authority.serve(self)

            do_HEAD = do_POST = do_GET  # noqa: N815

            def log_message(self, *_: Any) -> None:
                pass

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 64

            def handle_error(self, *_: Any) -> None:
                authority.counts["cut off"] += 1

        self._server = Server(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self._server.server_address[1]}"
        self.directory = f"{self.url}/directory"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self) -> None:
        self._ended.set()
        self._server.shutdown()
        self._server.server_close()

    # ---- misbehaviour ----

    def on(
        self, endpoint: str, kind: str, times: int = 1, figure: float = 0.0,
        call: Callable[[], None] | None = None,
    ) -> None:  # fmt: skip
        """The next `times` calls of `endpoint` (* for any) meet this fault. `figure`: s, of slow and
        limited."""
        assert kind in FAULTS, kind
        self._faults.setdefault(endpoint, []).append(Fault(kind, times, figure, call))

    def chance(self, kind: str, share: float, figure: float = 0.0) -> None:
        self._chances.append((kind, share, figure))

    def hang(self, on: bool) -> None:
        """While it hangs, calls are taken and nothing comes back."""
        if on:
            self._down.set()
        else:
            self._down.clear()

    def _drawn(self, endpoint: str) -> Fault | None:
        with self._lock:
            for key in (endpoint, "*"):
                for fault in self._faults.get(key, []):
                    if fault.times > 0:
                        fault.times -= 1
                        return fault
            for kind, share, figure in self._chances:
                if self._random.random() < share:
                    return Fault(kind, 0, figure)
        return None

    # ---- calls ----

    def serve(self, handler: BaseHTTPRequestHandler) -> None:
        length = int(handler.headers.get("Content-Length") or 0)
        body = handler.rfile.read(length)
        parts = handler.path.strip("/").split("/")
        endpoint = parts[0] or "directory"
        self.counts[endpoint] += 1
        while self._down.is_set() and not self._ended.is_set():
            time.sleep(0.02)
        fault = self._drawn(endpoint)
        if fault is not None:
            self.counts[f"fault {fault.kind}"] += 1
        fields: dict[str, str] = {}
        try:
            self._before(fault)
            status, told = self._answer(handler, endpoint, parts[1:], body, fields, fault)
        except ProblemError as error:
            self.counts["problems"] += 1
            status = error.status
            told = {"type": PREFIX + error.code, "detail": error.detail, "status": status}
            fields["Content-Type"] = "application/problem+json"
            if error.after:
                fields["Retry-After"] = str(int(error.after + 0.999))
        except ResetError:
            handler.close_connection = True
            handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
            handler.connection.close()
            return
        data = told if isinstance(told, bytes) else json.dumps(told).encode()
        if fault is not None and fault.kind == "malformed" and endpoint != "newNonce":
            data, fields["Content-Type"] = b'{"status": "val', "application/json"
        if fault is not None and fault.kind == "after" and fault.call is not None:
            fault.call()
        self._send(handler, status, data, fields)

    def _before(self, fault: Fault | None) -> None:
        match fault.kind if fault is not None else "":
            case "slow":
                assert fault is not None
                self._ended.wait(fault.figure)
            case "reset":
                raise ResetError
            case "limited":
                assert fault is not None
                raise ProblemError(429, "rateLimited", "too many", fault.figure)
            case "broken":
                raise ProblemError(500, "serverInternal", "try again", fault.figure if fault else 0)
            case "refuse":
                raise ProblemError(403, "rejectedIdentifier", "not this name")
            case "call":
                assert fault is not None
                assert fault.call is not None
                fault.call()

    def _send(
        self, handler: BaseHTTPRequestHandler, status: int, data: bytes, fields: dict[str, str]
    ) -> None:
        handler.send_response(status)
        fields.setdefault("Content-Type", "application/json")
        with self._lock:
            nonce = b64(self._random.randbytes(12))
            self._nonces.add(nonce)
        fields["Replay-Nonce"] = nonce
        for name, value in fields.items():
            handler.send_header(name, value)
        handler.send_header("Content-Length", str(len(data)))
        handler.end_headers()
        if handler.command != "HEAD":
            handler.wfile.write(data)

    def _answer(
        self, handler: BaseHTTPRequestHandler, endpoint: str, rest: list[str], body: bytes,
        fields: dict[str, str], fault: Fault | None,
    ) -> tuple[int, Any]:  # fmt: skip
        if endpoint == "directory":
            names = ("newNonce", "newAccount", "newOrder", "revokeCert", "keyChange", "renewalInfo")
            meta = {"externalAccountRequired": bool(self.bindings)}
            return 200, {**{name: f"{self.url}/{name}" for name in names}, "meta": meta}
        if endpoint == "newNonce":
            return 200, b""
        if endpoint == "renewalInfo":
            return self._renewal_info(fields)
        payload, account, key = self._signed(handler, body, endpoint, fault)
        with self._lock:
            if endpoint == "newAccount":
                return self._new_account(payload, key, fields)
            if account is None:
                raise ProblemError(400, "malformed", "no account")
            match endpoint:
                case "newOrder":
                    return self._new_order(payload, account, fields)
                case "keyChange":
                    return self._key_change(payload, account)
                case "revokeCert":
                    return self._revoke(payload)
            number = int(rest[0]) if rest and rest[0].isdigit() else 0
            if endpoint in ("authz", "challenge"):
                proof = self._proofs.get(number)
                if proof is None or proof.account != account:
                    raise ProblemError(404, "malformed", "no such authorisation")
                if endpoint == "authz":
                    return 200, self._proof_body(proof)
                return self._challenge(proof, rest[1], account)
            order = self.orders.get(number)
            if fault is not None and fault.kind == "forget":
                self.orders.pop(number, None)
                order = None
            if order is None or order.account != account:
                raise ProblemError(404, "malformed", "no such order")
            match endpoint:
                case "order":
                    self._advance(order)
                    if order.status == "processing":
                        fields["Retry-After"] = "1"
                    return 200, self._order_body(order)
                case "finalize":
                    return self._finalize(order, payload, fault)
                case "certificate":
                    fields["Content-Type"] = "application/pem-certificate-chain"
                    return 200, order.certificate
        raise ProblemError(404, "malformed", "no such call")

    # ---- signatures ----

    def _signed(
        self, handler: BaseHTTPRequestHandler, body: bytes, endpoint: str, fault: Fault | None
    ) -> tuple[Any, int | None, dict[str, Any]]:
        if handler.headers.get("Content-Type") != "application/jose+json":
            raise ProblemError(415, "malformed", "content type")
        try:
            envelope = json.loads(body)
            header = json.loads(unb64(envelope["protected"]))
        except (ValueError, KeyError, TypeError):
            raise ProblemError(400, "malformed", "no JWS") from None
        with self._lock:
            good = header.get("nonce") in self._nonces
            self._nonces.discard(header.get("nonce", ""))
        if not good or (fault is not None and fault.kind == "nonce"):
            self.counts["bad nonces"] += 1
            raise ProblemError(400, "badNonce", "use a fresh one")
        if header.get("url") != self.url + handler.path:
            raise ProblemError(403, "unauthorized", "url")
        if ("jwk" in header) == ("kid" in header):
            raise ProblemError(400, "malformed", "jwk or kid")
        account: int | None = None
        if "kid" in header:
            told = str(header["kid"]).removeprefix(f"{self.url}/account/")
            account = int(told) if told.isdigit() and int(told) in self.accounts else None
            if account is None:
                raise ProblemError(400, "accountDoesNotExist", "no such account")
            key = self.accounts[account]
        else:
            key = header["jwk"]
        raw = self._verify(envelope, key)
        try:
            payload = json.loads(raw) if raw else None
        except ValueError:
            raise ProblemError(400, "malformed", "payload") from None
        return payload, account, key

    def _verify(
        self, envelope: dict[str, Any], key: dict[str, Any], algorithms: list[str] = ALGORITHMS
    ) -> bytes:
        try:
            registry = jws.JWSRegistry(algorithms=algorithms, strict_check_header=False)
            loaded = KINDS[key["kty"]].import_key(key)
            found = jws.deserialize_json(cast(Any, envelope), loaded, registry=registry)
        except (JoseError, ValueError, KeyError, TypeError):
            self.counts["bad signatures"] += 1
            raise ProblemError(400, "malformed", "signature") from None
        return found.payload or b""

    def _new_account(self, payload: Any, key: dict[str, Any], fields: dict[str, str]) -> tuple[int, Any]:
        public = KINDS[key["kty"]].import_key(key).as_dict(private=False)
        number = next((at for at, one in self.accounts.items() if same(one, public)), 0)
        status = 200
        if not number:
            if payload.get("onlyReturnExisting"):
                raise ProblemError(400, "accountDoesNotExist", "none with that key")
            if self.bindings:
                self._check_binding(payload.get("externalAccountBinding"), public)
            if not payload.get("termsOfServiceAgreed"):
                raise ProblemError(403, "userActionRequired", "terms")
            self._last += 1
            number, status = self._last, 201
            self.accounts[number] = public
            self.counts["accounts"] += 1
        fields["Location"] = f"{self.url}/account/{number}"
        return status, {"status": "valid", "contact": payload.get("contact", [])}

    def _check_binding(self, told: Any, public: dict[str, Any]) -> None:
        if not told:
            raise ProblemError(403, "externalAccountRequired", "bind the account")
        header = json.loads(unb64(told["protected"]))
        secret = self.bindings.get(header.get("kid", ""))
        if secret is None or header.get("url") != f"{self.url}/newAccount":
            raise ProblemError(403, "unauthorized", "binding")
        inner = json.loads(self._verify(told, {"kty": "oct", "k": b64(secret)}, ["HS256"]))
        if not same(inner, public):
            raise ProblemError(403, "unauthorized", "binding of another key")

    def _key_change(self, payload: Any, account: int) -> tuple[int, Any]:
        header = json.loads(unb64(payload["protected"]))
        inner = json.loads(self._verify(payload, header["jwk"]))
        if inner["account"] != f"{self.url}/account/{account}" or not same(
            inner["oldKey"], self.accounts[account]
        ):
            raise ProblemError(400, "malformed", "not the account's key")
        self.accounts[account] = KINDS[header["jwk"]["kty"]].import_key(header["jwk"]).as_dict(private=False)
        self.counts["keys rolled"] += 1
        return 200, {"status": "valid"}

    # ---- orders ----

    def _new_order(self, payload: Any, account: int, fields: dict[str, str]) -> tuple[int, Any]:
        hosts = [one["value"] for one in payload["identifiers"]]
        if payload.get("replaces"):
            if payload["replaces"] in self.replaced:
                raise ProblemError(409, "alreadyReplaced", "once only")
            self.replaced.append(payload["replaces"])
        order = next(
            (one for one in self.orders.values()
             if one.account == account and one.hosts == hosts and one.status == "pending"), None,
        )  # fmt: skip
        if order is None:
            self._last += 1
            order = self.orders[self._last] = Order(self._last, account, hosts)
            self.counts["orders"] += 1
            for host in hosts:
                self._last += 1
                proof = Proof(self._last, account, host, b64(self._random.randbytes(18)))
                self._proofs[proof.number] = proof
                order.authorisations.append(proof.number)
                open_ = sum(
                    one.status in ("pending", "ready") and host in one.hosts for one in self.orders.values()
                )
                self.at_once[host] = max(self.at_once[host], open_)
        else:
            self.counts["orders reused"] += 1
        fields["Location"] = f"{self.url}/order/{order.number}"
        return 201, self._order_body(order)

    def _order_body(self, order: Order) -> dict[str, Any]:
        told: dict[str, Any] = {
            "status": order.status,
            "identifiers": [{"type": "dns", "value": host} for host in order.hosts],
            "authorizations": [f"{self.url}/authz/{number}" for number in order.authorisations],
            "finalize": f"{self.url}/finalize/{order.number}",
        }
        if order.status == "valid":
            told["certificate"] = f"{self.url}/certificate/{order.number}"
        if order.error is not None:
            told["error"] = order.error
        return told

    def _advance(self, order: Order) -> None:
        proofs = [self._proofs[number] for number in order.authorisations]
        if order.status == "pending" and all(proof.status == "valid" for proof in proofs):
            order.status = "ready"
        elif order.status == "pending" and any(proof.status == "invalid" for proof in proofs):
            order.status = "invalid"
            order.error = next(proof.error for proof in proofs if proof.error is not None)
        elif order.status == "processing" and time.monotonic() >= order.processing:
            order.status = "valid"

    def _proof_body(self, proof: Proof) -> dict[str, Any]:
        kinds = ("http-01", "dns-01") if not proof.host.startswith("*.") else ("dns-01",)
        challenges = []
        for kind in kinds:
            status = proof.asked.get(kind, "pending")
            one = {
                "type": kind,
                "url": f"{self.url}/challenge/{proof.number}/{kind}",
                "token": proof.token,
                "status": status,
            }
            challenges.append(
                {**one, **({"error": proof.error} if proof.error and status == "invalid" else {})}
            )
        host = proof.host.removeprefix("*.")
        return {
            "status": proof.status,
            "identifier": {"type": "dns", "value": host},
            "challenges": challenges,
        }

    def _challenge(self, proof: Proof, kind: str, account: int) -> tuple[int, Any]:
        if kind not in proof.asked and proof.status == "pending":
            proof.asked[kind] = "processing"
            public = self.accounts[account]
            wanted = f"{proof.token}.{KINDS[public['kty']].import_key(public).thumbprint()}"
            threading.Thread(target=self._validate, args=(proof, kind, wanted), daemon=True).start()
        return 200, {
            "type": kind, "url": f"{self.url}/challenge/{proof.number}/{kind}", "token": proof.token,
            "status": proof.asked.get(kind, "pending"),
        }  # fmt: skip

    def _validate(self, proof: Proof, kind: str, wanted: str) -> None:
        try:
            if kind == "http-01":
                good = self._over_http(proof) == wanted
            else:
                name = "_acme-challenge." + proof.host.removeprefix("*.")
                value = b64(hashlib.sha256(wanted.encode()).digest())
                good = self.txt is not None and value in self.txt(name)
            why = "the answer is another"
        except OSError as error:
            good, why = False, f"{type(error).__name__}: {error}"
        with self._lock:
            self.counts["validated" if good else "not validated"] += 1
            proof.asked[kind] = proof.status = "valid" if good else "invalid"
            if not good:
                proof.error = {"type": PREFIX + ("connection" if kind == "http-01" else "dns"), "detail": why}

    def _over_http(self, proof: Proof) -> str:
        assert self.where is not None
        host, port = self.where(proof.host)
        connection = http.client.HTTPConnection(host, port, timeout=3)
        try:
            connection.request(
                "GET", f"/.well-known/acme-challenge/{proof.token}", headers={"Host": proof.host}
            )
            answer = connection.getresponse()
            return answer.read(1000).decode().strip() if answer.status == 200 else ""
        except http.client.HTTPException as error:
            raise OSError(str(error)) from None
        finally:
            connection.close()

    def _finalize(self, order: Order, payload: Any, fault: Fault | None) -> tuple[int, Any]:
        self._advance(order)
        if order.status in ("processing", "valid"):
            return 200, self._order_body(order)
        if order.status != "ready":
            raise ProblemError(403, "orderNotReady", order.status)
        request = x509.load_der_x509_csr(unb64(payload["csr"]))
        names = request.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
        if not request.is_signature_valid or sorted(names.get_values_for_type(x509.DNSName)) != sorted(
            order.hosts
        ):
            raise ProblemError(400, "badCSR", "names")
        kind = fault.kind if fault is not None else ""
        key: Any = request.public_key()
        hosts, lifetime, ago = order.hosts, self.lifetime, 0.0
        if kind == "wrong_name":
            hosts = [f"other.{hosts[0]}"]
        elif kind == "wrong_key":
            key = ec.generate_private_key(ec.SECP256R1()).public_key()
        elif kind == "expired":
            lifetime, ago = 60.0, 120.0
        leaf = self.issuer.issue(key, hosts, lifetime, ago)
        order.certificate = self.issuer.chain(leaf)
        if kind == "wrong_chain":
            order.certificate = Issuer("somebody").chain(leaf)
        if kind not in ("wrong_name", "wrong_key", "expired", "wrong_chain"):
            self.issued.append((hosts, leaf.not_valid_after_utc))
        self.counts["issued"] += 1
        order.status = "valid"
        if kind == "processing":
            order.status, order.processing = "processing", time.monotonic() + (fault.figure if fault else 0)
        return 200, self._order_body(order)

    def _revoke(self, payload: Any) -> tuple[int, Any]:
        found = x509.load_der_x509_certificate(unb64(payload["certificate"]))
        if found.serial_number in self.revoked:
            raise ProblemError(400, "alreadyRevoked", "once only")
        self.revoked.add(found.serial_number)
        return 200, b""

    def _renewal_info(self, fields: dict[str, str]) -> tuple[int, Any]:
        if self.window is None:
            raise ProblemError(404, "malformed", "none")
        now = datetime.now(UTC)
        begins, ends = (now + timedelta(seconds=at) for at in self.window)
        fields["Retry-After"] = "3600"
        return 200, {"suggestedWindow": {"start": begins.isoformat(), "end": ends.isoformat()}}


def same(one: dict[str, Any], other: dict[str, Any]) -> bool:
    """The same public key."""
    members = ("kty", "crv", "x", "y", "n", "e")
    return all(one.get(member) == other.get(member) for member in members)
